import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Nothing passes from one front to another while safe requests come that may run at one processor. */
public final class OneWay {
  private static final int FRONTS = 7;
  private static final int FUNCTIONS = 100;
  private static final int TRIES = 1;
  private static final int FEW = 3;
  private static final long CUT_MS = 5_500;
  private static final long WORK_MS = 600;

  /** The port of a machine to which nothing passes: connections to it hang. */
  private static final class Dark implements Closeable {
    private final ServerSocket socket;
    private final List<Socket> fillers = new ArrayList<>();

    Dark(String ip, int port) throws IOException {
      socket = bound(ip, port);
      for (var number = 0; number < 4; number++) {
        var filler = new Socket();
        fillers.add(filler);
        try {
          filler.connect(new InetSocketAddress(ip, port), 50);
        } catch (IOException e) {
          break;
        }
      }
    }

    /** The listener before it may take a moment to be gone. */
    private static ServerSocket bound(String ip, int port) throws IOException {
      for (var tries = 0; ; tries++) {
        var socket = new ServerSocket();
        try {
          socket.setReuseAddress(true);
          socket.bind(new InetSocketAddress(ip, port), 1);
          return socket;
        } catch (IOException e) {
          socket.close();
          if (tries == 20) {
            throw e;
          }
          Rig.pause(10);
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      for (var each : fillers) {
        each.close();
      }
    }
  }

  /** At which instances each request is at work now, and how many there were at most. */
  private static final class Works {
    private final Map<String, Set<String>> now = new ConcurrentHashMap<>();
    private final Map<String, Integer> most = new ConcurrentHashMap<>();
    private final Map<String, Long> sentMs = new ConcurrentHashMap<>();

    synchronized int begins(String id, String instance) {
      var at = now.computeIfAbsent(id, key -> new HashSet<>());
      at.add(instance);
      most.merge(id, at.size(), Math::max);
      return at.size();
    }

    synchronized void ends(String id, String instance) {
      now.get(id).remove(instance);
    }

    /** Requests sent since a moment that were at work at more instances at once than that. */
    synchronized long over(int tries, long sinceMs) {
      return most.entrySet().stream()
          .filter(each -> each.getValue() > tries && sentMs.get(each.getKey()) >= sinceMs)
          .count();
    }
  }

  private OneWay() {}

  public static void main(String[] arguments) {
    Rig.run(Path.of(arguments[0]), OneWay::broken);
  }

  private static boolean broken(Rig rig) throws Exception {
    var works = new Works();
    var platform =
        rig.keep(
            new FunctionPlatform(
                rig, 15, 300, 1, (instance, request) -> work(rig, works, instance, request)));
    platform.quiet = true;
    Deployment.addControls(rig);
    var fronts = new ArrayList<Rig.Node>();
    fronts.add(rig.add("edge-1", "front", 4, "brest", Rig.INNER + 50));
    for (var number = 2; number <= FRONTS; number++) {
      fronts.add(rig.add("edge-" + number, "front", 3 + number, "rennes"));
    }
    var far = fronts.get(FRONTS - 1);
    var link = join(rig, fronts.get(0), far);
    Deployment.start(rig, platform.address(), true);
    Deployment.awaitControl(rig);
    rig.configure(0, configuration());
    rig.until("the fronts are ready", 30_000, () -> fronts.stream().allMatch(rig::ready));
    var ended = new AtomicBoolean();
    var served = new AtomicInteger();
    var threads = new ArrayList<Thread>();
    for (var number = 1; number <= FUNCTIONS; number++) {
      var of = number;
      var thread = new Thread(() -> ask(rig, works, fronts.get(0), of, ended, served));
      threads.add(thread);
      thread.start();
    }
    Rig.pause(6_000);
    rig.note(served.get() + " requests were served before");
    var before = works.over(TRIES, 0);
    var lostMs = rig.nowMs();
    if (rig.trouble) {
      link.cut(true);
      link.stopListening();
      rig.note("nothing passes from edge-1 to " + far.name);
    }
    try (var dark = rig.trouble ? new Dark(far.ip, Rig.INNER + 50) : null) {
      Rig.pause(CUT_MS);
    }
    link.cut(false);
    if (rig.trouble) {
      rig.keep(new Link(far.ip, Rig.INNER + 50, far.ip, Rig.INNER));
      rig.note("the cut has healed after " + CUT_MS + " ms");
    }
    Rig.pause(5_000);
    ended.set(true);
    for (var thread : threads) {
      thread.join(8_000);
    }
    var over = works.over(TRIES, lostMs);
    rig.note(served.get() + " requests were served in all");
    rig.note(before + " requests were at work at more than " + TRIES + " instance at once before");
    rig.note(over + " were that were sent after the cut had begun");
    if (served.get() < FUNCTIONS) {
      throw new Rig.CannotRun("hardly anything was served");
    }
    return over > FEW || before > FEW;
  }

  /** Joins the first front, which meets its peers at another port, with the other nodes. */
  private static Link join(Rig rig, Rig.Node first, Rig.Node far) throws IOException {
    rig.keep(new Link(first.ip, Rig.INNER, first.ip, first.inner));
    Link toFar = null;
    for (var node : rig.nodes.values()) {
      if (node != first) {
        var link = rig.keep(new Link(node.ip, first.inner, node.ip, Rig.INNER));
        toFar = node == far ? link : toFar;
      }
    }
    return toFar;
  }

  private static byte[] work(
      Rig rig, Works works, FunctionPlatform.Instance instance, Http.Request request)
      throws InterruptedException {
    var id = request.header("Attempt-Id");
    var at = works.begins(id, instance.id);
    if (at > TRIES) {
      rig.note(id + " is at work at " + at + " instances at once, the last is " + instance.id);
    }
    Thread.sleep(WORK_MS);
    works.ends(id, instance.id);
    return Http.answer(
        200,
        List.of("Attempt-Id", id, "Server-Seal", "seal-" + id + "-" + instance.id),
        "document".getBytes(StandardCharsets.UTF_8));
  }

  private static void ask(
      Rig rig,
      Works works,
      Rig.Node front,
      int number,
      AtomicBoolean ended,
      AtomicInteger served) {
    for (var turn = 1; !ended.get(); turn++) {
      var id = "f" + number + "-" + turn;
      works.sentMs.put(id, rig.nowMs());
      var answer =
          Http.call(
              front.ip + ":" + Rig.FRONT,
              "GET",
              "/xade" + number + "/2f",
              List.of(
                  "Host",
                  "fivo90.example",
                  "Attempt-Id",
                  id,
                  "Time-Left-Ms",
                  "6000",
                  "Authorization",
                  "Bearer key-1"),
              "",
              7_000);
      served.addAndGet(answer.status() == 200 ? 1 : 0);
    }
  }

  private static String configuration() {
    var routes = new ArrayList<String>();
    var services = new ArrayList<String>();
    for (var number = 1; number <= FUNCTIONS; number++) {
      routes.add(
          Deployment.functionRoute("r-" + number, "/xade" + number + "/", "wuno" + number, true)
              .replace("\"Tries\":2", "\"Tries\":" + TRIES));
      services.add(
          Deployment.function("wuno" + number, 1).replace("\"MemoryMb\":512", "\"MemoryMb\":128"));
    }
    return Deployment.configuration(
        1, routes, services, List.of(Deployment.tenant("deba380", "key-1")));
  }
}
