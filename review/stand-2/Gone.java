import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients give up requests to a function that has no instance yet. */
public final class Gone {
  private static final int REQUESTS = 12;
  private static final int FEW = 3;

  private Gone() {}

  public static void main(String[] arguments) {
    Rig.run(Path.of(arguments[0]), Gone::broken);
  }

  private static boolean broken(Rig rig) throws Exception {
    Map<String, Long> ranMs = new ConcurrentHashMap<>();
    Map<String, Long> closedMs = new ConcurrentHashMap<>();
    var platform =
        rig.keep(
            new FunctionPlatform(
                rig,
                15,
                750,
                4,
                (instance, request) -> {
                  var id = request.header("Attempt-Id");
                  ranMs.putIfAbsent(id, rig.nowMs());
                  rig.note("instance " + instance.id + " runs " + id);
                  Thread.sleep(160);
                  return Http.answer(
                      200,
                      List.of("Attempt-Id", id, "Server-Seal", "seal-" + id),
                      "reviewed".getBytes(StandardCharsets.UTF_8));
                }));
    Deployment.addControls(rig);
    var front = rig.add("edge-1", "front", 6, "brest");
    Deployment.start(rig, platform.address(), true);
    Deployment.awaitControl(rig);
    rig.configure(
        0,
        Deployment.configuration(
            1,
            List.of(Deployment.functionRoute("r-1", "/mide241/", "huvo11a", false)),
            List.of(Deployment.function("huvo11a", 4)),
            List.of(Deployment.tenant("deba380", "key-1"))));
    rig.until("the front is ready", 30_000, () -> rig.ready(front));
    Rig.pause(5_000);
    var threads = new ArrayList<Thread>();
    for (var number = 1; number <= REQUESTS; number++) {
      var id = "try-" + number;
      var thread = new Thread(() -> ask(rig, front, id, closedMs));
      threads.add(thread);
      thread.start();
    }
    for (var thread : threads) {
      thread.join();
    }
    Rig.pause(4_000);
    var late = 0;
    for (var each : closedMs.entrySet()) {
      var ran = ranMs.get(each.getKey());
      late += ran != null && ran - each.getValue() > 500 ? 1 : 0;
    }
    rig.note(ranMs.size() + " requests ran, " + late + " over 500 ms after their client had closed");
    if (!rig.trouble && ranMs.size() < REQUESTS) {
      throw new Rig.CannotRun("only " + ranMs.size() + " requests ran");
    }
    return late > FEW;
  }

  private static void ask(Rig rig, Rig.Node front, String id, Map<String, Long> closedMs) {
    try (var connection = new Http.Connection(front.ip + ":" + Rig.FRONT, 7_000)) {
      connection.send(
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
              "Bearer key-1"),
          "review".getBytes(StandardCharsets.UTF_8));
      if (rig.trouble) {
        Rig.pause(100);
        connection.close();
        closedMs.put(id, rig.nowMs());
        rig.note("the client of " + id + " has closed its connection");
      } else {
        rig.note("the client of " + id + " got " + connection.read().status());
      }
    } catch (IOException e) {
      rig.note("the connection of " + id + " failed: " + e);
    }
  }
}
