package wellwheel;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import wellwheel.config.NodeOptions;
import wellwheel.control.ControlDaemon;
import wellwheel.edge.EdgeDaemon;
import wellwheel.queue.StorageDaemon;
import wellwheel.runtime.NodeRuntime;

/**
 * Plays a small cluster in one process at build time, so that the class archive holds what daemons
 * load.
 */
final class Warmup {
  private static final long LONGEST_MS = 8_000;
  private static final String CONFIG =
      "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"127.0.0.4\",\"PathStart\":\"/\",\"Type\":\"background\",\"GiveUpMs\":500,\"TargetMs\":100,\"Rank\":1,"
          + "\"Backend\":\"s\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":5,\"StartTargetMs\":500,\"Public\":false}],\"Backends\":[{\"Name\":\"s\",\"MaxConns\":4,\"RatePerS\":9.0,\"DropsRepeats\":true,"
          + "\"WorkerPull\":false,\"Endpoint\":\"127.0.0.1:9\"}],\"Customers\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"],\"RatePerS\":90,\"Burst\":90}]}";

  private Warmup() {}

  static void run() throws Exception {
    var front = freePort();
    var control = freePort();
    var inner = freePort();
    var folder = Files.createTempDirectory("wellwheel-warmup").toString();
    new ControlDaemon(
        NodeRuntime.with(
            options("control", "127.0.0.1", folder + "/control", inner, control, front)));
    new StorageDaemon(
        NodeRuntime.with(options("one", "127.0.0.2", folder + "/one", inner, control, front)));
    new StorageDaemon(
        NodeRuntime.with(options("two", "127.0.0.3", folder + "/two", inner, control, front)));
    new EdgeDaemon(NodeRuntime.with(options("edge", "127.0.0.4", "", inner, control, front)));
    exercise(
        URI.create("http://127.0.0.1:" + control + "/Config.Replace"),
        URI.create("http://127.0.0.4:" + front + "/x"));
    System.exit(0);
  }

  private static int freePort() throws IOException {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static NodeOptions options(
      String name, String ip, String folder, int inner, int control, int front) throws Exception {
    return NodeOptions.read(
        "{\"NodeName\":\""
            + name
            + "\",\"Ip\":\""
            + ip
            + "\",\"Zone\":\"z\",\"ListenOn\":{\"Control\":\""
            + ip
            + ":"
            + control
            + "\",\"FrontHttp\":\""
            + ip
            + ":"
            + front
            + "\",\"Readiness\":\""
            + ip
            + ":"
            + control
            + "\"},\"InternalPorts\":["
            + inner
            + ","
            + inner
            + "],\"SeedNodes\":[\"127.0.0.1:"
            + control
            + "\"],\"FirstBoot\":true,\"Survive\":{\"Machines\":0},\"DataDir\":\""
            + folder
            + "\"}");
  }

  private static void exercise(URI control, URI front) throws InterruptedException {
    var client = HttpClient.newHttpClient();
    var untilMs = System.currentTimeMillis() + LONGEST_MS;
    var configured = false;
    while (System.currentTimeMillis() < untilMs) {
      Thread.sleep(100);
      configured =
          configured || post(client, control, CONFIG, List.of("Based-On-Version", "0")) == 200;
      if (configured
          && post(client, front, "warm", List.of("Attempt-Id", "warm", "Authorization", "Bearer k"))
              == 202) {
        Thread.sleep(300);
        return;
      }
    }
  }

  private static int post(HttpClient client, URI target, String body, List<String> headers) {
    try {
      var request =
          HttpRequest.newBuilder(target)
              .headers(headers.toArray(String[]::new))
              .POST(HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
              .build();
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }
}
