package wellwheel.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import wellwheel.config.Configuration;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.ResultCode;

/** Guards against servers that run out of memory while many large bodies are under way. */
@Isolated
class BodyBudgetTest {
  private static final int BODY_BYTES = 400;
  private static final int BUDGET_BYTES = 1_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final LinkedBlockingQueue<Exchange> held = new LinkedBlockingQueue<>();
  private final BodyBudget budget = new BodyBudget(BUDGET_BYTES);
  private final List<Socket> sockets = new ArrayList<>();
  private int port;

  @BeforeEach
  void open() throws Exception {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    var loop = group.next();
    var caps = new Configuration.Caps(512, 2_000, 3_000_000, 3_000_000);
    new HttpServer(loop, new LoopClock(loop), () -> caps, 100, budget, held::add)
        .open("127.0.0.1:" + port);
  }

  @AfterEach
  void close() throws IOException {
    for (var socket : sockets) {
      socket.close();
    }
    group.shutdownGracefully();
  }

  private Socket send(int bodyBytes) throws IOException {
    var socket = new Socket("127.0.0.1", port);
    sockets.add(socket);
    socket.setSoTimeout(5_000);
    sendOn(socket, bodyBytes);
    return socket;
  }

  private static void sendOn(Socket socket, int bodyBytes) throws IOException {
    var text =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + bodyBytes
            + "\r\n\r\n"
            + "y".repeat(bodyBytes);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String status(Socket socket) throws IOException {
    var read = new byte[2_000];
    var count = socket.getInputStream().read(read);
    return new String(read, 0, Math.max(0, count), StandardCharsets.ISO_8859_1).split("\r\n")[0];
  }

  private Exchange served() throws InterruptedException {
    return held.poll(5, TimeUnit.SECONDS);
  }

  private void answer(Exchange exchange) throws Exception {
    group.next().submit(() -> exchange.answer(Exchange.Answer.of(ResultCode.FINE))).get();
  }

  @Test
  void aBodyBeyondTheBudgetIsRefusedWholeAndTheConnectionGoesOn() throws Exception {
    send(BODY_BYTES);
    send(BODY_BYTES);
    var first = served();
    served();
    var third = send(BODY_BYTES);
    assertThat(status(third)).startsWith("HTTP/1.1 503");
    answer(first);
    sendOn(third, BODY_BYTES);
    assertThat(served().body()).hasLength(BODY_BYTES);
  }

  @Test
  void whatAClosedConnectionHeldComesBack() throws Exception {
    var half = send(0);
    served();
    half.getOutputStream()
        .write(
            ("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + "y".repeat(700))
                .getBytes(StandardCharsets.ISO_8859_1));
    half.close();
    for (var tries = 0; budget.bytes() > 0 && tries < 100; tries++) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(budget.bytes()).isEqualTo(0);
  }

  @Test
  void aSingleBodyThatIsLargerThanTheBudgetIsServed() throws Exception {
    send(2 * BUDGET_BYTES);
    var large = served();
    assertThat(large.body()).hasLength(2 * BUDGET_BYTES);
    assertThat(status(send(1))).startsWith("HTTP/1.1 503");
    answer(large);
    send(1);
    assertThat(served()).isNotNull();
    assertThat(budget.bytes()).isEqualTo(1);
  }
}
