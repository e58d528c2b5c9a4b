package wellwheel.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import dev.failsafe.RetryPolicy;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Starts the project's own programs as processes on loopback addresses, beside a platform. */
abstract class ProcessFixture {
  static final RetryPolicy<Object> SOON =
      RetryPolicy.builder()
          .handle(AssertionError.class, IOException.class)
          .withDelay(Duration.ofMillis(100))
          .withMaxRetries(-1)
          .withMaxDuration(Duration.ofSeconds(40))
          .build();
  @TempDir Path home;

  final List<Process> processes = new ArrayList<>();
  final List<HttpServer> servers = new ArrayList<>();
  int inner;
  int control;
  int front;
  HttpServer platform;

  /** More of the options file: fields that begin with a comma. */
  String moreOptions = "";

  @AfterEach
  void end() throws InterruptedException {
    processes.forEach(Process::destroyForcibly);
    for (var process : processes) {
      process.waitFor(10, TimeUnit.SECONDS);
    }
    servers.forEach(server -> server.stop(0));
  }

  static int freePort() throws IOException {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  HttpServer serve(com.sun.net.httpserver.HttpHandler handler) throws IOException {
    var server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.createContext("/", handler);
    server.start();
    servers.add(server);
    return server;
  }

  static void reply(HttpExchange exchange, int status, String seal, String body)
      throws IOException {
    exchange.getRequestBody().readAllBytes();
    exchange
        .getResponseHeaders()
        .set("Attempt-Id", String.valueOf(exchange.getRequestHeaders().getFirst("Attempt-Id")));
    if (!seal.isEmpty()) {
      exchange.getResponseHeaders().set("Server-Seal", seal);
    }
    exchange.sendResponseHeaders(status, body.length());
    exchange.getResponseBody().write(body.getBytes(StandardCharsets.UTF_8));
    exchange.close();
  }

  /** Draws the ports and starts the platform. */
  void open(HttpHandler platformHandler) throws IOException {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    inner = freePort();
    control = freePort();
    front = freePort();
    platform = serve(platformHandler);
  }

  Process launch(String name, String ip, String... main) throws IOException {
    var options = home.resolve(name + ".json");
    var data = Files.createDirectories(home.resolve(name));
    Files.writeString(
        options,
        "{\"NodeName\":\""
            + name
            + "\",\"Ip\":\""
            + ip
            + "\",\"Zone\":\"here\",\"ListenOn\":{\"Control\":\""
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
            + "\"],\"FirstBoot\":true,\"DataDir\":\""
            + data
            + "\",\"Survive\":{\"Machines\":0},\"Watch\":{\"Enabled\":true},"
            + "\"PlatformApi\":{\"Address\":\"127.0.0.1:"
            + platform.getAddress().getPort()
            + "\",\"RatePerS\":20}"
            + moreOptions
            + "}");
    var command =
        new ArrayList<>(
            List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path")));
    command.addAll(List.of(main));
    var builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(home.resolve(name + ".log").toFile());
    builder.environment().put("WELLWHEEL_CONFIG", options.toString());
    var process = builder.start();
    processes.add(process);
    return process;
  }

  String operator(int wanted, String... words) {
    var out = new StringWriter();
    var err = new StringWriter();
    var all = new ArrayList<>(List.of(words));
    if (!all.contains("--control")) {
      all.addAll(List.of("--control", "127.0.0.9:" + control + ",127.0.0.1:" + control));
    }
    var status =
        WellwheelCtl.line(new PrintWriter(out, true), new PrintWriter(err, true))
            .execute(all.toArray(String[]::new));
    assertWithMessage("%s: %s%s", all, out, err).that(status).isEqualTo(wanted);
    assertThat(err.toString()).doesNotContain("\tat ");
    return out + err.toString();
  }

  HttpResponse<String> ask(String method, String target, String body, String... headers)
      throws IOException, InterruptedException {
    var request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.4:" + front + target))
            .timeout(Duration.ofSeconds(3))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .headers(headers);
    return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
  }
}
