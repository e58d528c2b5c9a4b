package wellwheel.queue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import wellwheel.cluster.ClusterView;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.Clock;
import wellwheel.storage.Disk;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/** A storage node on a scripted clock, network and disk, primary of one partition with a copy. */
abstract class StorageNodeFixture {
  static final String CONTROL = "10.0.0.1";
  static final String EDGE = "10.0.0.9";
  static final String OTHER = "10.0.0.3";
  static final String CONFIG =
      "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathStart\":\"/\",\"Type\":\"background\",\"GiveUpMs\":500,\"TargetMs\":100,\"Rank\":1,"
          + "\"Backend\":\"s\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":90,\"StartTargetMs\":500,\"Public\":false}],\"Backends\":[{\"Name\":\"s\",\"MaxConns\":4,\"RatePerS\":0.0,\"DropsRepeats\":false,"
          + "\"WorkerPull\":true,\"Endpoint\":null}],\"Customers\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"],\"RatePerS\":90,\"Burst\":90}]}";

  record Task(long atUs, Runnable task) {}

  long nowUs = 1_000_000;
  final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) -> Long.compare(a.atUs(), b.atUs()));
  final List<Frame> sentToOther = new ArrayList<>();
  final List<Frame> sentToControl = new ArrayList<>();
  final List<Consumer<DeliveryClient.Outcome>> attempts = new ArrayList<>();
  String config = CONFIG;
  StorageNode node;

  final Clock clock =
      new Clock() {
        @Override
        public long steadyUs() {
          return nowUs;
        }

        @Override
        public long wallUs() {
          return nowUs;
        }

        @Override
        public Schedule after(long waitUs, Runnable task) {
          var one = new Task(nowUs + waitUs, task);
          tasks.add(one);
          return () -> tasks.remove(one);
        }
      };
  final Network wire =
      (ip, frame) -> {
        var copy = Frame.unpack(frame.pack());
        (ip.equals(OTHER) ? sentToOther : sentToControl).add(copy);
      };
  boolean stalled;

  /** Whether a node that is started again finds what the former one has written. */
  boolean keepsFiles;

  final List<Runnable> unsynced = new ArrayList<>();
  final Map<String, byte[]> files = new HashMap<>();
  final Disk disk =
      new Disk() {
        @Override
        public byte[] load(String name) {
          return files.getOrDefault(name, new byte[0]);
        }

        @Override
        public void append(String name, byte[] bytes, Runnable synced) {
          if (keepsFiles) {
            files.merge(name, bytes, StorageNodeFixture::concatenated);
          }
          if (stalled) {
            unsynced.add(synced);
          } else {
            synced.run();
          }
        }

        @Override
        public void rewrite(String name, byte[] whole, Runnable synced) {
          synced.run();
        }
      };

  private static byte[] concatenated(byte[] one, byte[] other) {
    var both = Arrays.copyOf(one, one.length + other.length);
    System.arraycopy(other, 0, both, one.length, other.length);
    return both;
  }

  @BeforeEach
  void start() throws Exception {
    boot();
    other("rep")
        .forEach(
            frame ->
                node.onFrame(
                    OTHER,
                    Frame.of("ok").with("l", frame.small("l")).with("s", frame.number("s"))));
    sentToOther.clear();
  }

  void boot() throws Exception {
    start(true);
    news(partition(1, List.of(node.id(), "other#1"), "", 2, 1));
    handIn("m1");
  }

  void start(boolean first) throws Exception {
    var options =
        NodeOptions.read(
            "{\"NodeName\":\"me\",\"Ip\":\"10.0.0.2\",\"Zone\":\"z\",\"ListenOn\":{},\"InternalPorts\":[7100,7115],\"SeedNodes\":[\""
                + CONTROL
                + ":1\"],\"FirstBoot\":"
                + first
                + ",\"Survive\":{\"Machines\":1}}");
    node =
        new StorageNode(
            options,
            clock,
            wire,
            disk,
            new DeliveryClient() {
              @Override
              public void deliver(Attempt attempt, Consumer<Outcome> done) {
                attempts.add(done);
              }

              @Override
              public void forget(String address) {}
            },
            1);
    node.tick();
  }

  static ClusterView.Partition partition(
      long epoch, List<String> copies, String joining, int need, long version) {
    return new ClusterView.Partition(0, epoch, copies, joining, need, version);
  }

  void news(ClusterView.Partition partition) {
    news(partition, 1);
  }

  /** News from the control leader: the partition's place, and the configuration of a revision. */
  void news(ClusterView.Partition partition, long revision) {
    var members =
        List.of(
            new ClusterView.Member(node.id(), "storage", "10.0.0.2", "z"),
            new ClusterView.Member("other#1", "storage", OTHER, "y"));
    var frame =
        Frame.of("claim.ok")
            .with("sent", nowUs)
            .with("core", nowUs)
            .with("voters", List.<Object>of(CONTROL))
            .with("rev", revision)
            .with("config", config.getBytes(StandardCharsets.UTF_8))
            .with("mem", 1)
            .with("members", members.stream().map(ClusterView.Member::frame).toList())
            .with("lines", List.of(partition.frame()));
    node.onFrame(CONTROL, Frame.unpack(frame.pack()));
  }

  void handIn(String id) {
    node.onFrame(EDGE, put(id, "h", 0, "the body".getBytes(StandardCharsets.UTF_8)));
  }

  static Frame put(String id, String host, long revision, byte[] body) {
    return Frame.of("put")
        .with("l", 0)
        .with("rid", 1)
        .with("i", id)
        .with("t", "t")
        .with("h", host)
        .with("m", "POST")
        .with("p", "/x")
        .with("keep", 90_000_000L)
        .with("cr", revision)
        .with("b", body);
  }

  /** What the edge node has been told of its hand-ins. */
  List<String> putAnswers() {
    return sentToControl.stream()
        .filter(frame -> frame.kind().equals("put.ok"))
        .map(frame -> frame.text("r"))
        .toList();
  }

  /** The primary of another node sends this copy a record. */
  void replicated(long epoch, long number, Frame record) {
    node.onFrame(
        OTHER,
        Frame.unpack(
            Frame.of("rep")
                .with("l", 0)
                .with("e", epoch)
                .with("s", (epoch << 32) + number)
                .with("y", true)
                .with("c", record)
                .pack()));
  }

  List<Frame> other(String kind) {
    return sentToOther.stream().filter(frame -> frame.kind().equals(kind)).toList();
  }

  void copyAcknowledges() {
    copyAcknowledges(false);
  }

  void copyAcknowledges(boolean full) {
    for (var frame : other("rep")) {
      sentToOther.remove(frame);
      node.onFrame(
          OTHER,
          Frame.of("ok").with("l", frame.small("l")).with("s", frame.number("s")).with("fu", full));
    }
  }

  /** The copy still follows this primary, but acknowledges no record. */
  void copyConfirmsPrimary() {
    for (var frame : other("rep")) {
      if (frame.inner("c").kind().equals("b")) {
        sentToOther.remove(frame);
        node.onFrame(
            OTHER, Frame.of("ok").with("l", frame.small("l")).with("s", frame.number("s")));
      }
    }
  }

  Frame look() {
    return look("m1", "h", false);
  }

  Frame look(String id, String host, boolean body) {
    sentToControl.clear();
    node.onFrame(
        EDGE,
        Frame.of("look")
            .with("rid", 7)
            .with("line", 0)
            .with("id", id)
            .with("tenant", "t")
            .with("host", host)
            .with("body", body));
    copyConfirmsPrimary();
    return sentToControl.stream()
        .filter(frame -> frame.kind().equals("look.ok"))
        .findFirst()
        .orElse(Frame.of("none"));
  }

  void leased() {
    node.onFrame(
        CONTROL,
        Frame.unpack(
            Frame.of("claim.ok")
                .with("sent", nowUs)
                .with("core", nowUs)
                .with("voters", List.<Object>of(CONTROL))
                .pack()));
  }
}
