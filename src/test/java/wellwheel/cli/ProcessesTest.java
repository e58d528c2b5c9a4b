package wellwheel.cli;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.failsafe.Failsafe;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

@Isolated
class ProcessesTest extends ProcessFixture {
  private static final String CONFIG =
      "{\"Revision\":%d,\"Routing\":[{\"Name\":\"a\",\"Host\":\"wheel.example\",\"PathStart\":\"/desk/\",\"Type\":\"background\",\"GiveUpMs\":800,\"TargetMs\":100,\"Rank\":1,"
          + "\"Backend\":\"desk\",\"Tries\":4,\"InOrder\":true,\"KeepForS\":60,\"StartTargetMs\":500,\"Public\":false},{\"Name\":\"b\",\"Host\":\"wheel.example\",\"PathStart\":\"/pulled/\",\"Type\":\"background\","
          + "\"GiveUpMs\":800,\"TargetMs\":100,\"Rank\":1,\"Backend\":\"pulled\",\"Tries\":4,\"InOrder\":false,\"KeepForS\":60,\"StartTargetMs\":500,\"Public\":false}],\"Backends\":["
          + "{\"Name\":\"desk\",\"MaxConns\":40,\"RatePerS\":0,\"DropsRepeats\":false,\"WorkerPull\":false,\"Endpoint\":null},{\"Name\":\"pulled\",\"MaxConns\":40,\"RatePerS\":0,\"DropsRepeats\":false,\"WorkerPull\":true,\"Endpoint\":null}],"
          + "\"Customers\":[{\"Name\":\"co-op\",\"ApiKeys\":[\"try-me\"],\"RatePerS\":900,\"Burst\":900}]}";

  private final Map<String, String> seals = new ConcurrentHashMap<>();
  private final List<String> order = new ArrayList<>();
  private volatile String listed = "";

  private synchronized void handle(HttpExchange exchange, boolean works) throws IOException {
    var id = exchange.getRequestHeaders().getFirst("Attempt-Id");
    var seal = "seal-" + id;
    if (works) {
      assertThat(seals.put(id, seal)).isNull();
      order.add(id);
    }
    reply(exchange, works ? 200 : 500, works ? seal : "", "done");
  }

  private String entry(String id, HttpServer server, String version) {
    return "{\"Id\":\""
        + id
        + "\",\"Backend\":\"desk\",\"Address\":\"127.0.0.1:"
        + server.getAddress().getPort()
        + "\",\"Zone\":\"here\",\"Revision\":\""
        + version
        + "\",\"Capacity\":8,\"State\":\"ready\",\"ColdLeftMs\":0}";
  }

  private void handIn(String path, String id) {
    Failsafe.with(SOON)
        .run(
            () ->
                assertThat(
                        ask(
                                "POST",
                                path,
                                "body of " + id,
                                "Host",
                                "wheel.example",
                                "Authorization",
                                "Bearer try-me",
                                "Attempt-Id",
                                id,
                                "Order-Key",
                                "one")
                            .statusCode())
                    .isEqualTo(202));
  }

  private String state(String id) {
    return operator(
        0,
        "message",
        "state",
        id,
        "--edge",
        "127.0.0.4:" + front,
        "--host",
        "wheel.example",
        "--key",
        "try-me",
        "--json");
  }

  private void start() throws IOException {
    open(exchange -> reply(exchange, 200, "", "{\"Servers\":[" + listed + "],\"NextToken\":null}"));
    launch("control-1", "127.0.0.1", "wellwheel.control.ControlDaemon");
    launch("storage-1", "127.0.0.2", "wellwheel.Main", "storage");
    launch("storage-2", "127.0.0.3", "wellwheel.Main", "storage");
    launch("edge-1", "127.0.0.4", "wellwheel.Main", "edge");
  }

  private Path config(int revision) throws IOException {
    return Files.writeString(
        home.resolve("config-" + revision + ".json"), String.format(CONFIG, revision));
  }

  private HttpResponse<String> keyed(String id, String body) throws Exception {
    return ask(
        "POST",
        "/desk/keyed",
        body,
        "Host",
        "wheel.example",
        "Authorization",
        "Bearer try-me",
        "Attempt-Id",
        id,
        "Order-Key",
        "thing",
        "Operation-Key",
        "approval-17");
  }

  @Test
  void repeatsOfAKeyAreAnsweredAlikeAndLookedUp() throws Exception {
    start();
    operator(
        WellwheelCtl.FINE,
        "config",
        "put",
        config(1).toString(),
        "--based-on",
        "0",
        "--wait-s",
        "30");
    var first =
        Failsafe.with(SOON)
            .get(
                () -> {
                  var answer = keyed("try-1", "approve");
                  assertThat(answer.statusCode()).isEqualTo(202);
                  return answer;
                });
    var name = first.headers().firstValue("Message-Name").orElseThrow();
    var again = keyed("try-2", "approve");
    assertThat(again.statusCode()).isEqualTo(202);
    assertThat(again.headers().firstValue("Message-Name").orElseThrow()).isEqualTo(name);
    var reused = keyed("try-3", "reject");
    assertThat(reused.statusCode()).isEqualTo(409);
    assertThat(reused.body()).contains("2015");
    assertThat(operator(WellwheelCtl.FINE, "receipt", "co-op", "desk", "approval-17"))
        .contains(name);
    assertThat(operator(WellwheelCtl.UNKNOWN, "receipt", "co-op", "desk", "never"))
        .contains("nothing is known");
    assertThat(operator(WellwheelCtl.FINE, "receipt")).contains("storage-1");
    operator(WellwheelCtl.USAGE, "receipt", "co-op");
  }

  @Test
  void aFirstHandInAndTheOperatorsCalls() throws Exception {
    start();
    assertThat(operator(WellwheelCtl.FINE, "config", "validate", config(1).toString()))
        .contains("valid");
    var bad =
        Files.writeString(
            home.resolve("bad.json"),
            String.format(CONFIG, 1)
                .replace("\"Backend\":\"pulled\"", "\"Backend\":\"nobody\"")
                .replace("\"MaxConns\":40", "\"MaxConns\":0"));
    assertThat(operator(WellwheelCtl.INVALID, "config", "validate", bad.toString()))
        .contains("/Routing/1/Backend");
    assertThat(operator(WellwheelCtl.INVALID, "config", "validate", bad.toString()))
        .contains("/Backends/1/MaxConns");
    assertThat(
            operator(WellwheelCtl.INVALID, "config", "validate", home.resolve("none").toString()))
        .contains("cannot read");
    assertThat(
            operator(
                WellwheelCtl.FINE,
                "config",
                "put",
                config(1).toString(),
                "--based-on",
                "0",
                "--wait-s",
                "30"))
        .contains("in force");
    operator(WellwheelCtl.LOST_RACE, "config", "put", config(2).toString(), "--based-on", "7");
    assertThat(operator(WellwheelCtl.FINE, "config", "diff", config(2).toString()))
        .contains("~ /Revision 1 -> 2");
    handIn("/pulled/1", "first-1");
    assertThat(state("first-1")).contains("waiting");
    Failsafe.with(SOON)
        .run(
            () ->
                assertThat(
                        ask(
                                "POST",
                                "/pulled/2",
                                "body of next-1",
                                "Host",
                                "wheel.example",
                                "Authorization",
                                "Bearer try-me",
                                "Attempt-Id",
                                "next-1",
                                "Runs-After",
                                "first-1")
                            .statusCode())
                    .isEqualTo(202));
    assertThat(operator(WellwheelCtl.FINE, "steps", "first-1")).contains("Runs-After");
    var job =
        Failsafe.with(SOON)
            .get(
                () -> {
                  var found = ask("POST", "/pull/pulled", "", "Server-Id", "me", "Wait-Ms", "1000");
                  assertThat(found.statusCode()).isEqualTo(200);
                  return found;
                });
    assertThat(job.body()).isEqualTo("body of first-1");
    assertThat(
            ask(
                    "POST",
                    "/job-end/first-1",
                    "",
                    "Lease",
                    job.headers().firstValue("Lease").orElseThrow(),
                    "Job-Result",
                    "200",
                    "Server-Seal",
                    "done-by-me")
                .statusCode())
        .isEqualTo(200);
    assertThat(state("first-1")).contains("done-by-me");
    var next =
        Failsafe.with(SOON)
            .get(
                () -> {
                  var found = ask("POST", "/pull/pulled", "", "Server-Id", "me", "Wait-Ms", "1000");
                  assertThat(found.statusCode()).isEqualTo(200);
                  return found;
                });
    assertThat(next.body()).isEqualTo("body of next-1");
    assertThat(operator(WellwheelCtl.FINE, "steps", "next-1")).contains("runs at me");
    assertThat(operator(WellwheelCtl.FINE, "steps", "--failed")).contains("none");
    operator(WellwheelCtl.UNKNOWN, "steps", "0-nobody", "--release");
    operator(WellwheelCtl.UNKNOWN, "steps", "nobody");
    operator(WellwheelCtl.USAGE, "steps");
    assertThat(operator(WellwheelCtl.FINE, "nodes")).contains("storage-2");
    assertThat(operator(WellwheelCtl.FINE, "partitions", "--json")).contains("\"Missing\": 0");
    assertThat(operator(WellwheelCtl.FINE, "warnings")).contains("none");
    assertThat(operator(WellwheelCtl.FINE, "codes")).contains("3000");
    assertThat(operator(WellwheelCtl.REFUSED, "retire", "start", "storage-1", "--over", "5"))
        .contains("too few");
    operator(WellwheelCtl.UNKNOWN, "retire", "status", "nobody");
    operator(WellwheelCtl.UNKNOWN, "rollout", "status", "pulled");
    operator(
        WellwheelCtl.UNREACHABLE, "nodes", "--wait-s", "1", "--control", "127.0.0.9:" + control);
    operator(WellwheelCtl.USAGE, "nodes", "--control", "nonsense");
    operator(WellwheelCtl.USAGE, "rollout");
  }

  @Test
  void aFaultyVersionIsLeftByItself() throws Exception {
    start();
    var old = serve(exchange -> handle(exchange, true));
    var faulty = serve(exchange -> handle(exchange, false));
    listed = entry("p-1", old, "v1");
    operator(
        WellwheelCtl.FINE,
        "config",
        "put",
        config(1).toString(),
        "--based-on",
        "0",
        "--wait-s",
        "30");
    var policy =
        Files.writeString(
            home.resolve("policy.json"),
            "{\"Steps\":[50,100],\"LegsPerStep\":4,\"SecondsPerStep\":0.5,\"Tolerance\":0.2,\"LeastErrors\":2,\"Current\":\"v1\"}");
    assertThat(operator(WellwheelCtl.FINE, "rollout", "set", "desk", policy.toString()))
        .contains("Phase: idle");
    listed += "," + entry("p-2", faulty, "v2");
    Failsafe.with(SOON)
        .run(
            () ->
                assertThat(operator(WellwheelCtl.FINE, "rollout", "status", "desk"))
                    .contains("Phase: shifting"));
    var handed = new ArrayList<String>();
    Failsafe.with(SOON)
        .run(
            () -> {
              handed.add("m" + handed.size());
              handIn("/desk/" + handed.size() % 7, handed.get(handed.size() - 1));
              assertThat(operator(WellwheelCtl.FINE, "rollout", "status", "desk"))
                  .contains("Reverted: v2");
            });
    handed.forEach(
        id -> Failsafe.with(SOON).run(() -> assertThat(state(id)).contains("seal-" + id)));
    assertThat(order).containsExactlyElementsIn(handed).inOrder();
  }
}
