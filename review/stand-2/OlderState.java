import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Jobs end well and are shown as finished; then all machines that count are killed at once. */
public final class OlderState {
  private static final int MESSAGES = 3;
  private static final long CALM_MS = 5_000;
  private static final long RECOVERY_MS = 12_000;

  private OlderState() {}

  public static void main(String[] arguments) {
    Rig.run(Path.of(arguments[0]), OlderState::broken);
  }

  private static boolean broken(Rig rig) throws Exception {
    Deployment.addControls(rig);
    rig.add("storage-1", "storage", 4, "brest");
    rig.add("storage-2", "storage", 5, "brest");
    var edge = rig.add("edge-1", "edge", 6, "brest");
    Deployment.start(rig, rig.ip(15) + ":8743", false);
    Deployment.awaitControl(rig);
    rig.configure(
        0,
        Deployment.configuration(
            1,
            List.of(Deployment.messageRoute("r-1", "/vobo680/", "huvo11a", false)),
            List.of(Deployment.service("huvo11a", true)),
            List.of(Deployment.tenant("deba380", "key-1"))));
    rig.until("the edge node is ready", 30_000, () -> rig.ready(edge));
    var sealByName = new TreeMap<String, String>();
    for (var number = 1; number <= MESSAGES; number++) {
      handInAndRun(rig, edge, "m-" + number, sealByName);
    }
    Rig.pause(CALM_MS);
    for (var each : sealByName.entrySet()) {
      if (!finished(state(rig, edge, each.getKey()), each.getValue())) {
        throw new Rig.CannotRun(each.getKey() + " was not shown as finished");
      }
    }
    if (rig.trouble) {
      killAllThatCount(rig);
    }
    Rig.pause(RECOVERY_MS);
    rig.until("the edge node is ready", 20_000, () -> rig.ready(edge));
    var older = 0;
    for (var round = 1; round <= 5; round++) {
      older = older(rig, edge, sealByName);
      Rig.pause(1_000);
    }
    rig.note(older + " of " + MESSAGES + " are shown in an older state than before");
    return older > 0;
  }

  private static void handInAndRun(
      Rig rig, Rig.Node edge, String id, Map<String, String> sealByName) {
    var address = edge.ip + ":" + Rig.FRONT;
    var taken =
        Http.call(
            address,
            "POST",
            "/vobo680/2f",
            List.of("Host", "lode17.example", "Authorization", "Bearer key-1", "Attempt-Id", id),
            "callout",
            3_000);
    var name = taken.header("Message-Name").isEmpty() ? id : taken.header("Message-Name");
    rig.note("the client sent " + id + " and got " + taken.status() + ", name " + name);
    var job =
        Http.call(
            address, "POST", "/pull/huvo11a", List.of("Server-Id", "w-1", "Wait-Ms", "3000"), "",
            5_000);
    var seal = "seal-" + job.header("Attempt-Id");
    rig.note("the worker got " + job.status() + " with " + job.header("Attempt-Id"));
    var end =
        Http.call(
            address,
            "POST",
            "/job-end/" + job.header("Attempt-Id"),
            List.of("Lease", job.header("Lease"), "Job-Result", "200", "Server-Seal", seal),
            "",
            5_000);
    rig.note("the worker ended it with 200, " + seal + ", and got " + end.status());
    if (taken.status() != 202 || !job.header("Attempt-Id").equals(id) || end.status() != 200) {
      throw new Rig.CannotRun(id + " was not handed in and run");
    }
    sealByName.put(name, seal);
  }

  private static void killAllThatCount(Rig rig) throws IOException, InterruptedException {
    var counted = rig.nodes.values().stream().filter(node -> !node.role.equals("edge")).toList();
    for (var node : counted) {
      rig.signal(node, "KILL");
    }
    for (var node : counted) {
      node.process.waitFor();
    }
    Rig.pause(700);
    for (var node : counted) {
      rig.start(node, Deployment.platform(rig.ip(15) + ":8743", false));
    }
  }

  private static int older(Rig rig, Rig.Node edge, Map<String, String> sealByName) {
    var older = 0;
    for (var each : sealByName.entrySet()) {
      var answer = state(rig, edge, each.getKey());
      older += answer.status() == 200 && !finished(answer, each.getValue()) ? 1 : 0;
    }
    return older;
  }

  private static Http.Answer state(Rig rig, Rig.Node edge, String name) {
    var answer =
        Http.call(
            edge.ip + ":" + Rig.FRONT,
            "GET",
            "/message/" + name,
            List.of("Host", "lode17.example", "Authorization", "Bearer key-1"),
            "",
            2_000);
    rig.note("the state of " + name + ": " + answer.status() + " " + answer.text());
    return answer;
  }

  private static boolean finished(Http.Answer answer, String seal) {
    return answer.status() == 200
        && answer.text().contains("\"finished\"")
        && answer.text().contains(seal);
  }
}
