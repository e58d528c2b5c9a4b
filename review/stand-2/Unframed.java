import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A processor whose answers have no length and end with their connections, which it closes. */
public final class Unframed {
  private static final int MESSAGES = 5;
  private static final long WATCH_MS = 8_000;

  private record Run(long atMs, String id) {}

  private Unframed() {}

  public static void main(String[] arguments) {
    Rig.run(Path.of(arguments[0]), Unframed::broken);
  }

  private static boolean broken(Rig rig) throws Exception {
    var runs = new ArrayList<Run>();
    var firstSuccessMs = new TreeMap<String, Long>();
    var processor =
        rig.keep(
            new Server(
                rig.ip(14),
                8080,
                request -> {
                  var id = request.header("Attempt-Id");
                  synchronized (runs) {
                    runs.add(new Run(rig.nowMs(), id));
                  }
                  rig.note("the processor runs " + id);
                  Thread.sleep(20);
                  var headers = List.of("Attempt-Id", id, "Server-Seal", "seal-" + id);
                  var body = "done".getBytes(StandardCharsets.UTF_8);
                  synchronized (runs) {
                    firstSuccessMs.putIfAbsent(id, rig.nowMs());
                  }
                  return rig.trouble
                      ? new Server.Reply(Http.unframed(200, headers, body), true)
                      : new Server.Reply(Http.answer(200, headers, body), false);
                }));
    var platform =
        rig.keep(
            new Server(
                rig.ip(15),
                8743,
                request ->
                    new Server.Reply(
                        Http.answer(
                            200,
                            List.of("Content-Type", "application/json"),
                            ("{\"Servers\":[{\"Backend\":\"wuno96b\",\"Address\":\""
                                    + processor.address()
                                    + "\",\"Zone\":\"brest\",\"Revision\":\"v1\",\"Capacity\":8,"
                                    + "\"State\":\"ready\",\"ColdLeftMs\":0,\"Id\":\"i-7f3a91c2\"}],"
                                    + "\"NextToken\":null}")
                                .getBytes(StandardCharsets.UTF_8)),
                        false)));
    Deployment.addControls(rig);
    rig.add("storage-1", "storage", 4, "brest");
    rig.add("storage-2", "storage", 5, "brest");
    var edge = rig.add("edge-1", "edge", 6, "brest");
    Deployment.start(rig, platform.address(), false);
    Deployment.awaitControl(rig);
    rig.configure(
        0,
        Deployment.configuration(
            1,
            List.of(Deployment.messageRoute("r-1", "/noda141/", "wuno96b", false)),
            List.of(Deployment.service("wuno96b", false)),
            List.of(Deployment.tenant("deba380", "key-1"))));
    rig.until("the edge node is ready", 30_000, () -> rig.ready(edge));
    Rig.pause(1500);
    for (var number = 1; number <= MESSAGES; number++) {
      var id = "m-" + number;
      var answer =
          Http.call(
              edge.ip + ":" + Rig.FRONT,
              "POST",
              "/noda141/" + number,
              List.of("Host", "lode17.example", "Authorization", "Bearer key-1", "Attempt-Id", id),
              "notice " + number,
              3000);
      rig.note("the client sent " + id + " and got " + answer.status());
      if (answer.status() != 202) {
        throw new Rig.CannotRun(id + " was not accepted");
      }
    }
    Rig.pause(WATCH_MS);
    var state =
        Http.call(
            edge.ip + ":" + Rig.FRONT,
            "GET",
            "/message/m-1",
            List.of("Host", "lode17.example", "Authorization", "Bearer key-1"),
            "",
            2000);
    rig.note("the state of m-1: " + state.status() + " " + state.text());
    return judge(rig, runs, firstSuccessMs);
  }

  private static boolean judge(Rig rig, List<Run> runs, Map<String, Long> firstSuccessMs) {
    synchronized (runs) {
      var again = 0;
      for (var success : firstSuccessMs.entrySet()) {
        var later =
            runs.stream()
                .filter(
                    run -> run.id().equals(success.getKey()) && run.atMs() > success.getValue())
                .count();
        rig.note(success.getKey() + " ran again " + later + " times after its first success");
        again += later > 0 ? 1 : 0;
      }
      if (firstSuccessMs.size() < MESSAGES) {
        throw new Rig.CannotRun("only " + firstSuccessMs.size() + " messages ever ran");
      }
      return again > 0;
    }
  }
}
