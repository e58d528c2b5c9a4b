import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The keys of tenants are taken away; with trouble, the last ones too. */
public final class LastKey {
  private static final long REVOKE_MS = 5_000;

  private LastKey() {}

  public static void main(String[] arguments) {
    Rig.run(Path.of(arguments[0]), LastKey::broken);
  }

  private static boolean broken(Rig rig) throws Exception {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    var platform =
        rig.keep(
            new FunctionPlatform(
                rig,
                15,
                450,
                4,
                (instance, request) -> {
                  var id = request.header("Attempt-Id");
                  ran.add(id);
                  rig.note(
                      "instance " + instance.id + " runs " + id + ", Customer \""
                          + request.header("Customer") + "\"");
                  return Http.answer(
                      200,
                      List.of("Attempt-Id", id, "Server-Seal", "seal-" + id),
                      "term".getBytes(StandardCharsets.UTF_8));
                }));
    Deployment.addControls(rig);
    var front = rig.add("edge-1", "front", 6, "brest");
    Deployment.start(rig, platform.address(), true);
    Deployment.awaitControl(rig);
    rig.configure(0, configuration(1, rig.trouble, false));
    rig.until("the front is ready", 30_000, () -> rig.ready(front));
    var before = ask(rig, front, "before", "key-1");
    if (before.status() != 200 || !ran.contains("before")) {
      throw new Rig.CannotRun("the key did not work before it was taken away");
    }
    var foreign = ask(rig, front, "foreign-before", "no-such-key");
    if (foreign.status() != 401) {
      throw new Rig.CannotRun("a key that nobody holds was not answered with 401");
    }
    rig.configure(1, configuration(2, rig.trouble, true));
    Rig.pause(REVOKE_MS + 1_000);
    var count = 0;
    for (var number = 1; number <= 5; number++) {
      ask(rig, front, "revoked-" + number, "key-1");
      ask(rig, front, "foreign-" + number, "no-such-key");
      count += ran.contains("revoked-" + number) ? 1 : 0;
      count += ran.contains("foreign-" + number) ? 1 : 0;
    }
    rig.note(count + " of 10 requests ran whose key no configuration in force holds");
    return count > 0;
  }

  private static Http.Answer ask(Rig rig, Rig.Node front, String id, String key) {
    var answer =
        Http.call(
            front.ip + ":" + Rig.FRONT,
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
            "check",
            7_000);
    rig.note("the client sent " + id + " with " + key + " and got " + answer.status());
    return answer;
  }

  /** Without trouble a second tenant keeps its key, so that the first one's is not the last. */
  private static String configuration(int revision, boolean alone, boolean takenAway) {
    var first = takenAway ? Deployment.tenant("deba380") : Deployment.tenant("deba380", "key-1");
    return Deployment.configuration(
        revision,
        List.of(Deployment.functionRoute("r-1", "/mide241/", "huvo11a", false)),
        List.of(Deployment.function("huvo11a", 4)),
        alone ? List.of(first) : List.of(first, Deployment.tenant("zoru114", "key-2")));
  }
}
