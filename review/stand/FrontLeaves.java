import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A front gets SIGTERM while requests wait in it for an instance that no worker has room for. */
final class FrontLeaves {
  private static final int REQUESTS = 10;
  private static final int TIME_LEFT_MS = 8000;

  private FrontLeaves() {}

  public static void main(String[] arguments) throws Exception {
    var stand = new Stand(Path.of(arguments[0]));
    var code = 2;
    try {
      code = run(stand);
    } finally {
      stand.note("exit " + code);
      Runtime.getRuntime().exit(code);
    }
  }

  private static void reply(HttpExchange exchange, int status, String body) throws IOException {
    var bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getRequestBody().readAllBytes();
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  /** The platform: one worker, whose memory is taken by other tenants of it. */
  private static HttpServer platform(Stand stand, String address) throws IOException {
    var server = HttpServer.create(new InetSocketAddress(address, 8743), 64);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/servers", e -> reply(e, 200, "{\"Servers\":[],\"NextToken\":null}"));
    server.createContext(
        "/workers",
        e ->
            reply(
                e,
                200,
                "{\"WorkerMachines\":[{\"Name\":\"w-1\",\"Zone\":\"brest\",\"MemoryMb\":8558,"
                    + "\"MemoryLeftMb\":0,\"State\":\"ready\"}]}"));
    server.createContext(
        "/start",
        e -> {
          stand.note("the platform refuses a start: no room");
          reply(e, 409, "{}");
        });
    server.createContext("/stop", e -> reply(e, 404, "{}"));
    server.start();
    return server;
  }

  private static int run(Stand stand) throws Exception {
    for (var zone : List.of("brest", "rennes", "quimper")) {
      stand.add("core-" + zone, "control", zone);
    }
    var leaving = stand.add("edge-brest", "front", "brest");
    stand.add("edge-rennes", "front", "rennes");
    stand.add("edge-quimper", "front", "quimper");
    var address = stand.net + "200";
    var platform = platform(stand, address);
    stand.extra.put(
        "timing", ",\"RetryRatio\":0.2,\"RetryWindowS\":10,\"ExtraRetries\":194,\"RejectMargin\":17");
    stand.extra.put(
        "options",
        ",\"Rollout\":\"functions\",\"PlatformApi\":{\"Address\":\""
            + address
            + ":8743\",\"RatePerS\":61.0,\"Duties\":[\"starting\"],\"MaxLagMs\":800,\"DutyRateS\":357.0}");
    stand.startAll();
    var config =
        "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"fivo.example\",\"PathStart\":\"/d/\","
            + "\"Type\":\"safe\",\"GiveUpMs\":8000,\"TargetMs\":1000,\"Rank\":2,\"Backend\":\"doc\","
            + "\"Tries\":2}],\"Backends\":[{\"Name\":\"doc\",\"HealthPath\":null,\"MaxConns\":93,"
            + "\"MemoryMb\":128,\"StartupMs\":300,\"MaxInFlight\":1}],"
            + "\"Caps\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderWaitMs\":3000,"
            + "\"IdleMs\":15000}}";
    var put =
        stand.operate(
            "POST",
            "/Config.Replace",
            List.of("Based-On-Version", "0", "Content-Type", "application/json"),
            config.getBytes(StandardCharsets.UTF_8),
            60);
    stand.note("configuration: " + put.status());
    for (var node : stand.nodes.values()) {
      if (node.role.equals("front") && !stand.ready(node, 20)) {
        stand.note(node.name + " is not ready");
        return 2;
      }
    }
    TimeUnit.SECONDS.sleep(6);
    var threads = Executors.newCachedThreadPool();
    var answers = new ArrayList<Future<Integer>>();
    for (var i = 0; i < REQUESTS; i++) {
      var id = "q" + i;
      answers.add(threads.submit(() -> ask(stand, leaving, id)));
    }
    TimeUnit.SECONDS.sleep(1);
    if (Stand.TROUBLE) {
      stand.signal(leaving, "TERM");
    }
    var cut = 0;
    for (var answer : answers) {
      cut += answer.get() == 0 ? 1 : 0;
    }
    stand.note(
        "of " + REQUESTS + " requests, " + cut
            + " were read and their connections ended without an answer before their deadline");
    platform.stop(0);
    return cut > 0 ? 1 : 0;
  }

  private static int ask(Stand stand, Stand.Node front, String id) {
    stand.note(id + " is sent to " + front.name + " with " + TIME_LEFT_MS + " ms");
    var sent = stand.seconds();
    var answer =
        stand.call(
            front.ip + ":8749",
            "GET",
            "/d/x",
            List.of("Host", "fivo.example", "Attempt-Id", id, "Time-Left-Ms", "" + TIME_LEFT_MS),
            new byte[0],
            TIME_LEFT_MS + 500);
    var waitedMs = Math.round((stand.seconds() - sent) * 1000);
    stand.note(
        id + " after " + waitedMs + " ms: " + answer.status()
            + " " + answer.fields().getOrDefault("why", ""));
    return answer.status() == 0 && waitedMs < TIME_LEFT_MS - 200 ? 0 : 1;
  }
}
