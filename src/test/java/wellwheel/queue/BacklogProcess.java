package wellwheel.queue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import wellwheel.cluster.ClusterView;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.LoopClock;
import wellwheel.storage.FileDisk;
import wellwheel.transport.Frame;

/**
 * A storage node on a real disk and clock, to be run with the heap of the deploy file: takes large
 * bodies until it refuses more, or, with <code>restore</code>, reads them back after a restart.
 */
final class BacklogProcess {
  private static final String CONTROL = "127.0.0.1";
  private static final String EDGE = "127.0.0.9";
  private static final int BODY_BYTES = 262_000;
  private static final int HAND_INS_MOST = 600;
  private static final int TICKS_TO_SEE = 60;
  private static final String CONFIG =
      "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathStart\":\"/\",\"Type\":\"background\",\"GiveUpMs\":500,\"TargetMs\":100,\"Rank\":1,"
          + "\"Backend\":\"s\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":900,\"StartTargetMs\":500,\"Public\":false}],\"Backends\":[{\"Name\":\"s\",\"MaxConns\":4,\"RatePerS\":0.0,\"DropsRepeats\":false,"
          + "\"WorkerPull\":true,\"Endpoint\":null}]}";

  private final SynchronousQueue<Frame> answers = new SynchronousQueue<>();
  private final AtomicLong ticks = new AtomicLong();
  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final Path folder;
  private StorageNode node;

  private BacklogProcess(Path folder) {
    this.folder = folder;
  }

  /** Arguments: the folder of the disk, and <code>fill</code> or <code>restore</code>. */
  public static void main(String[] arguments) throws Exception {
    var process = new BacklogProcess(Path.of(arguments[0]));
    process.start();
    var count = arguments[1].equals("fill") ? process.fill() : process.restored();
    process.awaitTicks();
    System.out.println("messages " + count);
    System.exit(0);
  }

  private void start() throws Exception {
    var loop = loops.next();
    var clock = new LoopClock(loop);
    var first = !Files.exists(folder.resolve("keeper.journal"));
    var options =
        NodeOptions.read(
            "{\"NodeName\":\"me\",\"Ip\":\"127.0.0.2\",\"Zone\":\"z\",\"ListenOn\":{},\"InternalPorts\":[7100,7115],"
                + "\"SeedNodes\":[\"127.0.0.1:1\"],\"FirstBoot\":"
                + first
                + ",\"Survive\":{\"Machines\":0}}");
    node =
        new StorageNode(
            options,
            clock,
            (ip, frame) -> told(Frame.unpack(frame.pack())),
            new FileDisk(folder, loop),
            new DeliveryClient() {
              @Override
              public void deliver(Attempt attempt, Consumer<Outcome> done) {}

              @Override
              public void forget(String address) {}
            },
            new Random(1).nextLong());
    clock.every(
        50_000,
        () -> {
          node.tick();
          ticks.incrementAndGet();
        });
    loop.submit(() -> node.onFrame(CONTROL, news(clock, 1))).get();
    if (!first) {
      loop.submit(() -> node.onFrame(CONTROL, news(clock, 2))).get();
    }
  }

  /** News of an epoch; a restarted node becomes the primary again only in a new one. */
  private Frame news(LoopClock clock, long epoch) {
    var place = new ClusterView.Partition(0, epoch, List.of(node.id()), "", 1, epoch);
    var member = new ClusterView.Member(node.id(), "storage", "127.0.0.2", "z");
    var frame =
        Frame.of("claim.ok")
            .with("sent", clock.steadyUs())
            .with("core", clock.wallUs())
            .with("voters", List.<Object>of(CONTROL))
            .with("rev", 1)
            .with("config", CONFIG.getBytes(StandardCharsets.UTF_8))
            .with("mem", 1)
            .with("members", List.of(member.frame()))
            .with("lines", List.of(place.frame()));
    return Frame.unpack(frame.pack());
  }

  private void told(Frame frame) {
    if (frame.kind().equals("put.ok") || frame.kind().equals("look.ok")) {
      new Thread(() -> hand(frame)).start();
    }
  }

  private void hand(Frame frame) {
    try {
      answers.put(frame);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Frame ask(Frame frame) throws Exception {
    loops.next().execute(() -> LoopClock.guarded(() -> node.onFrame(EDGE, frame)));
    var answer = answers.poll(20, TimeUnit.SECONDS);
    if (answer == null) {
      throw new IllegalStateException("the storage node does not answer any more");
    }
    return answer;
  }

  private int fill() throws Exception {
    for (var number = 0; number < HAND_INS_MOST; number++) {
      var frame =
          Frame.of("put")
              .with("l", 0)
              .with("rid", number)
              .with("i", "m" + number)
              .with("t", "t")
              .with("h", "h")
              .with("m", "POST")
              .with("p", "/x")
              .with("keep", 900_000_000L)
              .with("b", body(number));
      if (!ask(frame).text("r").equals("kept")) {
        return number;
      }
    }
    return HAND_INS_MOST;
  }

  private int restored() throws Exception {
    var count = 0;
    while (count < node.liveMessages()) {
      var answer =
          ask(
              Frame.of("look")
                  .with("rid", count)
                  .with("line", 0)
                  .with("id", "m" + count)
                  .with("tenant", "t")
                  .with("host", "h")
                  .with("body", true));
      if (!java.util.Arrays.equals(answer.bytes("body"), body(count))) {
        throw new IllegalStateException("m" + count + " does not come back");
      }
      count++;
    }
    return count;
  }

  private static byte[] body(int number) {
    var body = new byte[BODY_BYTES];
    new Random(number).nextBytes(body);
    return body;
  }

  private void awaitTicks() throws InterruptedException {
    var from = ticks.get();
    for (var waited = 0; ticks.get() < from + TICKS_TO_SEE; waited++) {
      if (waited > 200) {
        throw new IllegalStateException("the storage node's timer is gone");
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }
}
