package wellwheel;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.control.ControlDaemon;
import wellwheel.functions.FrontDaemon;
import wellwheel.runtime.NodeRuntime;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;
import wellwheel.transport.HttpServer;

/** The part of the warm-up that plays a deployment of functions. */
final class FunctionsWarmup {
  /** How many ports it needs. */
  static final int PORTS = 4;

  private static final String CONTROL_IP = "127.0.0.5";
  private static final String FRONT_IP = "127.0.0.6";
  private static final int CONNECTIONS = 16;
  private static final long MOST_MS = 10_000;
  private static final long TRY_AGAIN_MS = 50;
  private static final int CALLS = 5;
  private static final String CONFIGURATION =
      "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"127.0.0.6\",\"PathStart\":\"/\",\"Type\":\"safe\",\"GiveUpMs\":4000,\"TargetMs\":500,\"Rank\":1,\"Backend\":\"s\",\"Tries\":2}],"
          + "\"Backends\":[{\"Name\":\"s\",\"HealthPath\":null,\"MaxConns\":4,\"MemoryMb\":64,\"StartupMs\":10,\"MaxInFlight\":2}]}";
  private static final String PATCH =
      "{\"Revision\":2,\"PutItems\":{\"Routing\":[]},\"RemoveNames\":{\"Routing\":[\"none\"]}}";

  private FunctionsWarmup() {}

  /** Plays it; tells whether every call was answered. */
  static boolean play(List<Integer> ports) throws Exception {
    var control = CONTROL_IP + ":" + ports.get(0);
    var front = FRONT_IP + ":" + ports.get(1);
    var platform = CONTROL_IP + ":" + ports.get(3);
    var folder = Files.createTempDirectory("wellwheel-functions").toString();
    var runtime = NodeRuntime.with(options(CONTROL_IP, ports, platform, folder));
    new HttpServer(
            runtime.loop(),
            runtime.clock(),
            Configuration.NONE::caps,
            CONNECTIONS,
            exchange -> answer(exchange, platform))
        .open(platform);
    new ControlDaemon(runtime);
    new FrontDaemon(NodeRuntime.with(options(FRONT_IP, ports, platform, folder)));
    var answered = until(control + "/Config.Replace", CONFIGURATION, "Based-On-Version", "0");
    for (var call = 0; call < CALLS; call++) {
      answered &= until(front + "/call", "body", "Attempt-Id", "call-" + call);
    }
    return answered && until(control + "/Config.Update", PATCH, "Based-On-Version", "1");
  }

  private static NodeOptions options(String ip, List<Integer> ports, String platform, String folder)
      throws NodeOptions.Unusable {
    return NodeOptions.read(
        String.format(
            "{\"NodeName\":\"%1$s\",\"Ip\":\"%1$s\",\"Zone\":\"z\",\"Rollout\":\"functions\",\"ListenOn\":{\"Control\":\"%1$s:%2$d\",\"FrontHttp\":\"%1$s:%3$d\",\"Readiness\":\"%1$s:%2$d\"},"
                + "\"InternalPorts\":[%4$d,%4$d],\"SeedNodes\":[\"%5$s:%2$d\"],\"FirstBoot\":true,\"DataDir\":\"%6$s\",\"Survive\":{\"Machines\":0},"
                + "\"PlatformApi\":{\"Address\":\"%7$s\",\"RatePerS\":50,\"DutyRateS\":50}}",
            ip, ports.get(0), ports.get(1), ports.get(2), CONTROL_IP, folder, platform));
  }

  /** Stands for the platform and for its one instance. */
  private static void answer(Exchange exchange, String address) {
    var body =
        switch (exchange.target()) {
          case "/workers" ->
              "{\"WorkerMachines\":[{\"Name\":\"w\",\"Zone\":\"z\",\"MemoryMb\":999,\"MemoryLeftMb\":999,\"State\":\"ready\"}]}";
          case "/start", "/stop" -> "{\"Id\":\"i-1\",\"Address\":\"" + address + "\"}";
          case "/servers" ->
              "{\"Servers\":[{\"Id\":\"i-1\",\"Backend\":\"s\",\"Address\":\""
                  + address
                  + "\",\"Zone\":\"z\",\"State\":\"ready\"}],\"NextToken\":null}";
          default -> "{}";
        };
    var name = exchange.header("Attempt-Id").orElse("");
    exchange.answer(
        Exchange.Answer.of(ResultCode.FINE, "Server-Seal", "done", "Attempt-Id", name)
            .with("application/json", body.getBytes(StandardCharsets.UTF_8)));
  }

  private static boolean until(String target, String body, String... headers)
      throws InterruptedException {
    var untilMs = System.currentTimeMillis() + MOST_MS;
    while (System.currentTimeMillis() < untilMs) {
      if (status(target, body, headers) == 200) {
        return true;
      }
      Thread.sleep(TRY_AGAIN_MS);
    }
    return false;
  }

  private static int status(String target, String body, String... headers)
      throws InterruptedException {
    try {
      return HttpClient.newHttpClient()
          .send(
              HttpRequest.newBuilder(URI.create("http://" + target))
                  .headers(headers)
                  .POST(HttpRequest.BodyPublishers.ofString(body))
                  .build(),
              HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (IOException e) {
      return 0;
    }
  }
}
