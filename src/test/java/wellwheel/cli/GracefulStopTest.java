package wellwheel.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import dev.failsafe.Failsafe;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** Guards against requests that are cut unanswered when their process gets SIGTERM. */
@Isolated
class GracefulStopTest extends ProcessFixture {
  private static final int GRACE_S = 3;
  private static final int CONNECTIONS = 6;
  private static final String EDGE_IP = "127.0.0.4";
  private static final String FUNCTION =
      "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathStart\":\"/f/\",\"Type\":\"safe\",\"GiveUpMs\":9000,\"TargetMs\":900,\"Rank\":1,\"Backend\":\"s\",\"Tries\":2}],"
          + "\"Backends\":[{\"Name\":\"s\",\"HealthPath\":null,\"MaxConns\":9,\"MemoryMb\":128,\"StartupMs\":300,\"MaxInFlight\":1}]}";
  private static final String QUEUE =
      "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathStart\":\"/f/\",\"Type\":\"background\",\"GiveUpMs\":500,\"TargetMs\":100,\"Rank\":1,"
          + "\"Backend\":\"s\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":90,\"StartTargetMs\":500,\"Public\":true}],\"Backends\":[{\"Name\":\"s\",\"MaxConns\":4,\"RatePerS\":0.0,\"DropsRepeats\":false,"
          + "\"WorkerPull\":true,\"Endpoint\":null}],\"Customers\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"],\"RatePerS\":90,\"Burst\":90}]}";

  private static void fullPlatform(HttpExchange exchange) throws IOException {
    switch (exchange.getRequestURI().getPath()) {
      case "/workers" ->
          reply(
              exchange,
              200,
              "",
              "{\"WorkerMachines\":[{\"Name\":\"w\",\"Zone\":\"here\",\"MemoryMb\":999,\"MemoryLeftMb\":0,\"State\":\"ready\"}]}");
      case "/servers" -> reply(exchange, 200, "", "{\"Servers\":[],\"NextToken\":null}");
      default -> reply(exchange, 409, "", "{}");
    }
  }

  private void configure(String configuration) throws IOException {
    var file = Files.writeString(home.resolve("config.json"), configuration);
    operator(
        WellwheelCtl.FINE, "config", "put", file.toString(), "--based-on", "0", "--wait-s", "30");
  }

  private void untilReady(String path) {
    Failsafe.with(SOON)
        .run(
            () ->
                assertThat(ask("GET", path, "", "Host", "h", "Attempt-Id", "early").statusCode())
                    .isNotEqualTo(503));
  }

  private static String request(String id) {
    return "POST /f/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "
        + id
        + "\r\nTime-Left-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi";
  }

  /** Kept connections, with two requests each, the second of them read behind the first. */
  private List<Socket> waitingRequests() throws IOException {
    var sockets = new ArrayList<Socket>();
    for (var number = 0; number < CONNECTIONS; number++) {
      var socket = new Socket(EDGE_IP, front);
      socket.setSoTimeout(2 * GRACE_S * 1000);
      var text = request("a-" + number) + request("b-" + number);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      sockets.add(socket);
    }
    return sockets;
  }

  private static void send(Process process, String signal) throws Exception {
    var kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    assertThat(kill.waitFor()).isEqualTo(0);
  }

  private static List<String> statuses(Socket socket) throws IOException {
    var all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    var found = new ArrayList<String>();
    for (var part : all.split("HTTP/1.1 ", -1)) {
      if (!part.isEmpty()) {
        found.add(part.substring(0, 3));
      }
    }
    return found;
  }

  private static void expectEnd(Process process, List<Socket> sockets, List<String> allowed)
      throws Exception {
    for (var socket : sockets) {
      var statuses = statuses(socket);
      assertWithMessage("answers of one connection").that(statuses).hasSize(2);
      assertThat(allowed).containsAtLeastElementsIn(Set.copyOf(statuses));
      socket.close();
    }
    assertThat(process.waitFor(GRACE_S, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isEqualTo(0);
  }

  @Test
  void whatWaitsInAFrontForAnInstanceIsRefusedBeforeTheEnd() throws Exception {
    open(GracefulStopTest::fullPlatform);
    moreOptions = ",\"Rollout\":\"functions\",\"Timing\":{\"GraceS\":" + GRACE_S + "}";
    launch("control-1", "127.0.0.1", "wellwheel.control.ControlDaemon");
    launch("front-1", "127.0.0.5", "wellwheel.Main", "front");
    var leaving = launch("front-2", EDGE_IP, "wellwheel.Main", "front");
    configure(FUNCTION);
    untilReady("/nowhere");
    var sockets = waitingRequests();
    TimeUnit.MILLISECONDS.sleep(500);
    send(leaving, "TERM");
    TimeUnit.MILLISECONDS.sleep(200);
    send(leaving, "HUP");
    send(leaving, "TERM");
    expectEnd(leaving, sockets, List.of("503"));
  }

  @Test
  void whatWaitsInAnEdgeNodeForAFrozenStorageNodeIsAnsweredBeforeTheEnd() throws Exception {
    open(GracefulStopTest::fullPlatform);
    moreOptions = ",\"Timing\":{\"GraceS\":" + GRACE_S + "}";
    launch("control-1", "127.0.0.1", "wellwheel.control.ControlDaemon");
    var storage =
        List.of(
            launch("storage-1", "127.0.0.2", "wellwheel.Main", "storage"),
            launch("storage-2", "127.0.0.3", "wellwheel.Main", "storage"));
    var leaving = launch("edge-1", EDGE_IP, "wellwheel.Main", "edge");
    configure(QUEUE);
    Failsafe.with(SOON)
        .run(
            () ->
                assertThat(
                        ask("POST", "/f/x", "first", "Host", "h", "Attempt-Id", "first")
                            .statusCode())
                    .isEqualTo(202));
    for (var process : storage) {
      send(process, "STOP");
    }
    var sockets = waitingRequests();
    TimeUnit.MILLISECONDS.sleep(200);
    send(leaving, "TERM");
    expectEnd(leaving, sockets, List.of("503", "504"));
  }
}
