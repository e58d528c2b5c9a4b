package wellwheel.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.config.Configuration;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.ResultCode;

@Isolated
class HttpServerTest {
  private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);
  private static final CopyOnWriteArrayList<String> SEEN = new CopyOnWriteArrayList<>();
  private static final LinkedBlockingQueue<Exchange> HELD = new LinkedBlockingQueue<>();
  private static int port;

  @BeforeAll
  static void open() throws Exception {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    var loop = GROUP.next();
    var caps = new Configuration.Caps(512, 64, 300_000, 400_000);
    var door =
        new HttpServer(
            loop,
            new LoopClock(loop),
            () -> caps,
            100,
            exchange -> {
              SEEN.add(
                  exchange.method()
                      + " "
                      + exchange.target()
                      + " "
                      + new String(exchange.body(), StandardCharsets.UTF_8));
              if (exchange.target().startsWith("/held")) {
                HELD.add(exchange);
                return;
              }
              exchange.answer(
                  Exchange.Answer.of(ResultCode.FINE)
                      .with("text/plain", "yes".getBytes(StandardCharsets.UTF_8)));
            });
    door.open("127.0.0.1:" + port);
    door.watch();
  }

  @AfterAll
  static void close() {
    GROUP.shutdownGracefully();
  }

  private static String tell(String request) throws IOException {
    try (var socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 5, 5\r\n\r\nhello",
        "POST /bad HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST /bad HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST /bad HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /bad HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
        "GET /bad HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET /bad HTTP/1.1\r\n\r\n",
        "CONNECT /bad HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET http://elsewhere/bad HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /bad HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n"
      })
  void malformedRequestsAreRefusedAndTheConnectionClosed(String request) throws IOException {
    SEEN.clear();
    assertThat(tell(request)).startsWith("HTTP/1.1 400");
    assertThat(SEEN).isEmpty();
  }

  @Test
  void sizesAreBounded() throws IOException {
    assertThat(tell("GET /big HTTP/1.1\r\nHost: h\r\nX: " + "y".repeat(600) + "\r\n\r\n"))
        .startsWith("HTTP/1.1 431");
    assertThat(tell("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"))
        .startsWith("HTTP/1.1 413");
    assertThat(
            tell(
                "POST /big HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"
                    + "y".repeat(65)
                    + "\r\n0\r\n\r\n"))
        .startsWith("HTTP/1.1 413");
  }

  @Test
  void slowHeadsGet408AndSilentOnesAreClosed() throws IOException {
    assertThat(tell("GET /slow HTTP/1.1\r\nHo")).startsWith("HTTP/1.1 408");
    assertThat(tell("")).isEmpty();
  }

  @Test
  void bodiesComeByLengthOrChunksAndPipelinedRequestsInOrder() throws IOException {
    SEEN.clear();
    var answer =
        tell(
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhiPOST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n2\r\neo\r\n0\r\n\r\n"
                + "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assertThat(answer.split("HTTP/1.1 200", -1)).hasLength(4);
    assertThat(SEEN).containsExactly("POST /a hi", "POST /b yeo", "GET /c ").inOrder();
  }

  private static Exchange held() throws InterruptedException {
    return HELD.poll(10, TimeUnit.SECONDS);
  }

  private static void answer(Exchange exchange, String text) {
    GROUP
        .next()
        .execute(
            () ->
                exchange.answer(
                    Exchange.Answer.of(ResultCode.FINE)
                        .with("text/plain", text.getBytes(StandardCharsets.UTF_8))));
  }

  private static String readUntil(Socket socket, String end) throws IOException {
    var found = new StringBuilder();
    while (!found.toString().endsWith(end)) {
      var next = socket.getInputStream().read();
      if (next < 0) {
        break;
      }
      found.append((char) next);
    }
    return found.toString();
  }

  private static Socket connection(String request) throws IOException {
    var socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(10_000);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  @Test
  void anAnswerToHeadHasNoBodySoTheNextOneIsReadInItsPlace() throws IOException {
    var answer =
        tell(
            "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    var parts = answer.split("\r\n\r\n", -1);
    assertThat(parts).hasLength(3);
    assertThat(parts[0].toLowerCase(java.util.Locale.ROOT)).contains("content-length: 3");
    assertThat(parts[1]).startsWith("HTTP/1.1 200");
    assertThat(parts[2]).isEqualTo("yes");
  }

  @Test
  void whatFollowsConnectionCloseIsNeverServed() throws Exception {
    SEEN.clear();
    try (var socket =
        connection(
            "GET /held HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /after HTTP/1.1\r\nHost: h\r\n\r\n")) {
      answer(held(), "first");
      var all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(all.split("HTTP/1.1 200", -1)).hasLength(2);
      assertThat(SEEN).containsExactly("GET /held ");
    }
  }

  @Test
  void aSecondOrLateAnswerToAnExchangeNeverReachesTheNextRequest() throws Exception {
    try (var socket =
        connection(
            "GET /held/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /held/2 HTTP/1.1\r\nHost: h\r\n\r\n")) {
      var first = held();
      answer(first, "one.");
      assertThat(readUntil(socket, "one.")).startsWith("HTTP/1.1 200");
      var second = held();
      answer(first, "again.");
      answer(second, "two.");
      var answer = readUntil(socket, "two.");
      assertThat(answer).startsWith("HTTP/1.1 200");
      assertThat(answer).doesNotContain("again.");
    }
  }

  @Test
  void answersGoOutInTheOrderOfTheRequestsAndOnlyOneIsServedAtATime() throws Exception {
    try (var socket =
        connection(
            "GET /held/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /held/2 HTTP/1.1\r\nHost: h\r\n\r\n")) {
      var first = held();
      assertThat(HELD).isEmpty();
      answer(first, "one.");
      assertThat(readUntil(socket, "one.")).endsWith("one.");
      answer(held(), "two.");
      assertThat(readUntil(socket, "two.")).endsWith("two.");
    }
  }

  @Test
  void aMalformedRequestBehindASoundOneDoesNotCostItsAnswer() throws Exception {
    try (var socket =
        connection("GET /held HTTP/1.1\r\nHost: h\r\n\r\nGET /bad HTTP/1.1\r\n\r\n")) {
      answer(held(), "sound.");
      var all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(all).startsWith("HTTP/1.1 200");
      assertThat(all).endsWith("sound.");
    }
  }

  private interface Step {
    void run(HttpServer server) throws Exception;
  }

  /** Does a step with a server of its own, whose requests are all held. */
  private static void withServer(Step step) throws Exception {
    var loop = GROUP.next();
    var caps = new Configuration.Caps(512, 64, 300_000, 400_000);
    var server = new HttpServer(loop, new LoopClock(loop), () -> caps, 100, HELD::add);
    int ownPort;
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ownPort = socket.getLocalPort();
    }
    server.open("127.0.0.1:" + ownPort);
    var shared = port;
    port = ownPort;
    try {
      step.run(server);
    } finally {
      port = shared;
    }
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static String get(String target) {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  /** Guards against requests that were read behind another one and lost as the server drained. */
  @Test
  void whatWasReadIsAnsweredBeforeADrainingServerCloses() throws Exception {
    withServer(
        server -> {
          try (var socket = connection(get("/held/1") + get("/held/2") + get("/held/3"))) {
            var first = held();
            GROUP.next().submit(server::drain).sync();
            answer(first, "one.");
            answer(held(), "two.");
            answer(held(), "three.");
            var all = readAll(socket);
            assertThat(all.split("HTTP/1.1 200", -1)).hasLength(4);
            assertThat(all.split("(?i)connection: close", -1)).hasLength(2);
          }
        });
  }

  /** Guards against connections cut without an answer when the process ends. */
  @Test
  void whatIsOpenAtTheEndIsAnsweredAndWhatWaitsBehindItIsRefused() throws Exception {
    withServer(
        server -> {
          try (var socket = connection(get("/held/1") + get("/held/2"))) {
            var first = held();
            GROUP.next().submit(server::answerOpen).sync();
            var all = readAll(socket);
            assertThat(all).startsWith("HTTP/1.1 504");
            assertThat(all).contains("HTTP/1.1 503");
            assertThat(all).contains("3009");
            answer(first, "late.");
            assertThat(HELD).isEmpty();
          }
        });
  }

  @Test
  void newRequestsAreRefusedOnceTheProcessIsAboutToEnd() throws Exception {
    withServer(
        server -> {
          GROUP.next().submit(server::refuseNew).sync();
          try (var socket = connection(get("/held"))) {
            assertThat(readAll(socket)).startsWith("HTTP/1.1 503");
          }
          assertThat(HELD).isEmpty();
        });
  }
}
