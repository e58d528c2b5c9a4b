import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A front is cut off from the control nodes for 5.5 s, and meanwhile a key is taken away. */
public final class CutFront {
  private static final long CUT_MS = 5_500;
  private static final long REVOKE_MS = 5_000;
  private static final int OTHER_CLIENTS = 6;

  private CutFront() {}

  public static void main(String[] arguments) {
    Rig.run(Path.of(arguments[0]), CutFront::broken);
  }

  private static boolean broken(Rig rig) throws Exception {
    Map<String, Long> ranMs = new ConcurrentHashMap<>();
    var platform =
        rig.keep(
            new FunctionPlatform(
                rig, 15, 450, 4, (instance, request) -> work(rig, ranMs, instance, request)));
    Deployment.addControls(rig);
    var front = rig.add("edge-1", "front", 6, "brest", Rig.INNER + 50);
    var links = join(rig, front);
    Deployment.start(rig, platform.address(), true);
    Deployment.awaitControl(rig);
    rig.configure(0, configuration(1, "key-1"));
    rig.until("the front is ready", 30_000, () -> rig.ready(front));
    var connection = rig.keep(new Http.Connection(front.ip + ":" + Rig.FRONT, 7_000));
    if (call(connection, "first", "key-1").status() != 200) {
      throw new Rig.CannotRun("the key did not work before it was taken away");
    }
    var ended = new AtomicBoolean();
    var served = new AtomicInteger();
    for (var number = 1; number <= OTHER_CLIENTS; number++) {
      var of = number;
      Server.daemon(() -> others(front, of, ended, served));
    }
    Rig.pause(2_000);
    var cutMs = rig.nowMs();
    if (rig.trouble) {
      links.forEach(link -> link.cut(true));
      rig.note("edge-1 is cut off from the control nodes; its clients and instances reach it");
    }
    rig.configure(1, configuration(2));
    var acknowledgedMs = rig.nowMs();
    Rig.pause(Math.max(0, acknowledgedMs + REVOKE_MS + 30 - rig.nowMs()));
    late(rig, connection, acknowledgedMs, cutMs + CUT_MS - 50);
    Rig.pause(Math.max(0, cutMs + CUT_MS - rig.nowMs()));
    links.forEach(link -> link.cut(false));
    rig.note((rig.nowMs() - cutMs) + " ms after the cut began it has healed");
    Rig.pause(3_000);
    var after = call(connection, "healed", "key-1");
    rig.note("3 s later the client sent healed with key-1 and got " + after.status());
    ended.set(true);
    rig.note("other clients, whose key stays, were served " + served.get() + " times");
    rig.note(ranMs.size() + " requests ran, sent over 5,000 ms after their key was taken away");
    if (served.get() == 0) {
      throw new Rig.CannotRun("nobody was served");
    }
    return !ranMs.isEmpty();
  }

  private static byte[] work(
      Rig rig,
      Map<String, Long> ranMs,
      FunctionPlatform.Instance instance,
      Http.Request request)
      throws InterruptedException {
    var id = request.header("Attempt-Id");
    if (id.startsWith("late")) {
      ranMs.put(id, rig.nowMs());
      rig.note(
          "instance " + instance.id + " runs " + id + ", Customer \"" + request.header("Customer")
              + "\"");
    } else {
      Thread.sleep(110);
    }
    return Http.answer(
        200,
        List.of("Attempt-Id", id, "Server-Seal", "seal-" + id),
        "term".getBytes(StandardCharsets.UTF_8));
  }

  /** Joins the front, which meets its peers at another port, with the control nodes. */
  private static List<Link> join(Rig rig, Rig.Node front) throws IOException {
    var links = new ArrayList<Link>();
    for (var node : rig.nodes.values()) {
      if (node.role.equals("control")) {
        links.add(rig.keep(new Link(node.ip, front.inner, node.ip, Rig.INNER)));
      }
    }
    links.add(rig.keep(new Link(front.ip, Rig.INNER, front.ip, front.inner)));
    return links;
  }

  private static void late(Rig rig, Http.Connection connection, long acknowledgedMs, long untilMs) {
    try {
      for (var turn = 1; rig.nowMs() < untilMs; turn++) {
        var sinceMs = rig.nowMs() - acknowledgedMs;
        var answer = call(connection, "late-" + turn, "key-1");
        rig.note(
            "the client sent late-" + turn + " with key-1 " + sinceMs
                + " ms after the acknowledgement and got " + answer.status());
        Rig.pause(30);
      }
    } catch (IOException e) {
      rig.note("the client's connection ended: " + e);
    }
  }

  /** Clients whose key stays; they keep the function's instances at work. */
  private static void others(
      Rig.Node front, int number, AtomicBoolean ended, AtomicInteger served) {
    for (var turn = 1; !ended.get(); turn++) {
      try (var connection = new Http.Connection(front.ip + ":" + Rig.FRONT, 7_000)) {
        var answer = call(connection, "other-" + number + "-" + turn, "key-2");
        served.addAndGet(answer.status() == 200 ? 1 : 0);
      } catch (IOException e) {
        Rig.pause(50);
      }
    }
  }

  private static Http.Answer call(Http.Connection connection, String id, String key)
      throws IOException {
    return connection.call(
        "POST",
        "/mide241/2f",
        List.of(
            "Host",
            "fivo90.example",
            "Attempt-Id",
            id,
            "Time-Left-Ms",
            "6000",
            "Authorization",
            "Bearer " + key),
        "check".getBytes(StandardCharsets.UTF_8));
  }

  private static String configuration(int revision, String... keys) {
    return Deployment.configuration(
        revision,
        List.of(Deployment.functionRoute("r-1", "/mide241/", "huvo11a", false)),
        List.of(Deployment.function("huvo11a", 4)),
        List.of(Deployment.tenant("deba380", keys), Deployment.tenant("zoru114", "key-2")));
  }
}
