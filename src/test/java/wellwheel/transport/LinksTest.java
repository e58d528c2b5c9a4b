package wellwheel.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import wellwheel.runtime.LoopClock;

@Isolated
class LinksTest {
  private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);
  private static final String HERE = "127.0.0.1";
  private static final String THERE = "127.0.0.2";
  private static final String PEER = "10.9.9.9";
  private static final long FIRST = 1_700_000_000_000_000L;
  private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> unsent = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> down = new LinkedBlockingQueue<>();
  private volatile long lastDelayUs;
  private int port;
  private Links links;

  private static final class Peer implements AutoCloseable {
    final Socket socket;
    final DataInputStream in;
    final DataOutputStream out;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(10_000);
      in = new DataInputStream(socket.getInputStream());
      out = new DataOutputStream(socket.getOutputStream());
    }

    Peer says(Frame frame) throws IOException {
      var bytes = frame.pack();
      out.writeInt(bytes.length);
      out.write(bytes);
      return this;
    }

    Peer says(int stamp, Frame frame) throws IOException {
      out.write(ByteBufUtil.getBytes(WireFormat.stamped(stamp, frame.pack())));
      return this;
    }

    void saysIfOpen(Frame frame) {
      try {
        says(frame);
      } catch (IOException e) {
        assertThat(e).hasMessageThat().containsMatch("reset|pipe");
      }
    }

    Frame hears() throws IOException {
      return Frame.unpack(hearsBytes());
    }

    byte[] hearsBytes() throws IOException {
      var bytes = new byte[in.readInt()];
      in.readFully(bytes);
      return bytes;
    }

    /** Hears the greeting of a connection, without an answer to it. */
    Frame hearsHello() throws IOException {
      var hello = hears();
      assertThat(hello.kind()).isEqualTo("hello");
      assertThat(hears().kind()).isEqualTo("ping");
      return hello;
    }

    /** Hears the greeting of a connection and answers it. */
    Frame greets() throws IOException {
      var hello = hearsHello();
      says(Frame.of("pong"));
      return hello;
    }

    boolean isClosed() {
      try {
        return in.read() < 0;
      } catch (IOException e) {
        return e.getMessage().contains("reset");
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** What the handler was told of frames and peers that are lost, in its order. */
  private final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();

  @BeforeEach
  void open() throws Exception {
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    links = new Links(HERE, port, GROUP.next(), new LoopClock(GROUP.next()));
    links.open(
        new Network.MessageHandler() {
          @Override
          public void onFrame(String peerIp, Frame frame) {
            lastDelayUs = frame.delayUs();
            heard.add(peerIp + " " + frame.kind());
          }

          @Override
          public void onDown(String peerIp) {
            told.add("down");
            down.add(peerIp);
          }

          @Override
          public void onUnsent(String peerIp, Frame frame) {
            told.add("unsent " + frame.kind());
            unsent.add(frame.kind());
          }
        });
  }

  @AfterAll
  static void close() {
    GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Peer peer(long life, long number) throws IOException {
    return new Peer(new Socket(HERE, port))
        .says(
            Frame.of("hello")
                .with("proto", 1)
                .with("ip", PEER)
                .with("life", life)
                .with("c", number));
  }

  private String next() throws InterruptedException {
    return String.valueOf(heard.poll(10, TimeUnit.SECONDS));
  }

  @Test
  void framesOfAnOlderLifeOrConnectionAreNotHeardOnceANewerOneHasSpoken() throws Exception {
    for (var step : new long[][] {{0, 2}, {1, 1}}) {
      try (var old = peer(FIRST, 1)) {
        old.says(Frame.of("a"));
        assertThat(next()).isEqualTo(PEER + " a");
        try (var newer = peer(FIRST + step[0], step[1])) {
          newer.says(Frame.of("b"));
          assertThat(next()).isEqualTo(PEER + " b");
          old.saysIfOpen(Frame.of("c"));
          assertThat(old.isClosed()).isTrue();
          newer.says(Frame.of("d"));
          assertThat(next()).isEqualTo(PEER + " d");
          assertThat(heard).isEmpty();
        }
      }
      open();
    }
  }

  private Peer refused(long life, long number) throws IOException {
    var late = peer(life, number).says(Frame.of("b"));
    var told = late.hears();
    assertThat(told.kind()).isEqualTo("stale");
    assertThat(told.number("life")).isEqualTo(FIRST + 7);
    return late.says(Frame.of("b"));
  }

  @Test
  void aLateHelloOfAnOlderLifeOrConnectionIsRefusedAndToldWhichIsKnown() throws Exception {
    try (var newest = peer(FIRST + 7, 2)) {
      newest.says(Frame.of("a"));
      assertThat(next()).isEqualTo(PEER + " a");
      var late = new ArrayList<Peer>();
      for (var older : new long[][] {{0, 5}, {7, 1}, {7, 2}}) {
        late.add(refused(FIRST + older[0], older[1]));
      }
      for (var each : late) {
        assertThat(each.isClosed()).isTrue();
      }
      newest.says(Frame.of("c"));
      assertThat(next()).isEqualTo(PEER + " c");
      assertThat(heard).isEmpty();
    }
  }

  @Test
  void peersOfTheFormerVersionSayNoLifeAndAreHeard() throws Exception {
    try (var newer = peer(FIRST, 1)) {
      newer.says(Frame.of("a"));
      assertThat(next()).isEqualTo(PEER + " a");
      try (var former =
          new Peer(new Socket(HERE, port))
              .says(Frame.of("hello").with("proto", 1).with("ip", PEER))) {
        former.says(Frame.of("b"));
        assertThat(next()).isEqualTo(PEER + " b");
      }
    }
  }

  @Test
  void whoseClockWentBackTakesALaterLifeWhenItIsToldSo() throws Exception {
    try (var server = new ServerSocket(port, 10, InetAddress.getByName(THERE))) {
      links.send(THERE, Frame.of("a"));
      var known = Long.MAX_VALUE / 2;
      try (var first = new Peer(server.accept())) {
        assertThat(first.hearsHello().number("life")).isLessThan(known);
        first.says(Frame.of("stale").with("life", known));
        assertThat(first.isClosed()).isTrue();
      }
      try (var second = new Peer(server.accept())) {
        assertThat(second.greets().number("life")).isGreaterThan(known);
        assertThat(second.hears().kind()).isEqualTo("a");
      }
      assertThat(down.poll(10, TimeUnit.SECONDS)).isEqualTo(THERE);
      assertThat(unsent).isEmpty();
    }
  }

  @Test
  void connectionsOfOneLifeAreNumbered() throws Exception {
    try (var server = new ServerSocket(port, 10, InetAddress.getByName(THERE))) {
      var former = Frame.of("none");
      for (var turn = 0; turn < 3; turn++) {
        links.send(THERE, Frame.of("a"));
        try (var peer = new Peer(server.accept())) {
          var hello = peer.greets();
          assertThat(peer.hears().kind()).isEqualTo("a");
          assertThat(hello.number("c")).isGreaterThan(former.number("c"));
          former = hello;
        }
        assertThat(down.poll(10, TimeUnit.SECONDS)).isEqualTo(THERE);
      }
    }
  }

  @Test
  void aFrameOfWhichAnyByteMayHaveLeftIsNeverCalledUnsent() throws Exception {
    var big = new byte[12 << 20];
    new Random(1).nextBytes(big);
    try (var server = new ServerSocket(port, 10, InetAddress.getByName(THERE))) {
      links.send(THERE, Frame.of("big").with("b", big));
      try (var peer = new Peer(server.accept())) {
        peer.greets();
        assertThat(peer.in.readInt()).isAtLeast(big.length);
        peer.socket.setSoLinger(true, 0);
      }
      assertThat(down.poll(10, TimeUnit.SECONDS)).isEqualTo(THERE);
    }
    links.send(THERE, Frame.of("later"));
    assertThat(unsent.poll(10, TimeUnit.SECONDS)).isEqualTo("later");
    assertThat(unsent).isEmpty();
  }

  private void sendTwoInOneTurn() {
    GROUP
        .next()
        .submit(
            () -> {
              links.send(THERE, Frame.of("a"));
              links.send(THERE, Frame.of("b"));
            });
  }

  private void assertToldInTurn(String... events) throws InterruptedException {
    for (var each : events) {
      assertThat(told.poll(10, TimeUnit.SECONDS)).isEqualTo(each);
    }
  }

  /** Guards against frames that count as lost, and are sent again, though none ever left. */
  @Test
  void whatCouldNotBeSentIsToldBeforeItsPeerIsCalledDown() throws Exception {
    sendTwoInOneTurn();
    assertToldInTurn("unsent a", "unsent b", "down");
  }

  /** Guards against frames that are given up and yet taken, as their peer stood still. */
  @Test
  void nothingLeavesBeforeThePeerHasAnsweredTheGreeting() throws Exception {
    try (var server = new ServerSocket(port, 10, InetAddress.getByName(THERE))) {
      sendTwoInOneTurn();
      assertToldInTurn("unsent a", "unsent b", "down");
      try (var peer = new Peer(server.accept())) {
        peer.hearsHello();
        assertThat(peer.isClosed()).isTrue();
      }
    }
  }

  @Test
  void aPeerThatRefusesEveryGreetingIsDown() throws Exception {
    try (var server = new ServerSocket(port, 10, InetAddress.getByName(THERE))) {
      links.send(THERE, Frame.of("a"));
      for (var turn = 0; turn < 2; turn++) {
        try (var peer = new Peer(server.accept())) {
          peer.hearsHello();
          peer.says(Frame.of("stale").with("life", Long.MAX_VALUE / 2 + turn * FIRST));
          assertThat(peer.isClosed()).isTrue();
        }
      }
      assertToldInTurn("unsent a", "down");
    }
  }

  /** Guards against times in a frame that are taken as if it had just been sent. */
  @Test
  void aFrameTellsHowLongItWasHeld() throws Exception {
    var sinceGreetingUs = 3_000_000;
    try (var peer = peer(FIRST, 1)) {
      peer.says(TransitDelay.stampOf(sinceGreetingUs), Frame.of("prompt"));
      assertThat(next()).isEqualTo(PEER + " prompt");
      assertThat(lastDelayUs).isEqualTo(0);
      peer.says(TransitDelay.stampOf(sinceGreetingUs - 2_000_000), Frame.of("held"));
      assertThat(next()).isEqualTo(PEER + " held");
      assertThat(lastDelayUs).isAtLeast(1_999_000);
      peer.says(Frame.of("beside"));
      assertThat(next()).isEqualTo(PEER + " beside");
      assertThat(lastDelayUs).isAtLeast(1_999_000);
    }
  }

  @Test
  void whoUnderstandsStampsGetsThemAndTheOthersDoNot() throws Exception {
    try (var server = new ServerSocket(port, 10, InetAddress.getByName(THERE))) {
      for (var understands : List.of(true, false)) {
        links.send(THERE, Frame.of("a"));
        try (var peer = new Peer(server.accept())) {
          peer.hearsHello();
          peer.says(Frame.of("pong").with("st", understands));
          var bytes = Unpooled.wrappedBuffer(peer.hearsBytes());
          assertThat(WireFormat.readStamp(bytes).isPresent()).isEqualTo(understands);
          assertThat(WireFormat.readFrame(bytes).kind()).isEqualTo("a");
        }
        assertThat(down.poll(10, TimeUnit.SECONDS)).isEqualTo(THERE);
      }
    }
  }

  /** Guards against times in a frame that has waited for its peer's greeting. */
  @Test
  void whatHasWaitedForTheGreetingTellsIt() throws Exception {
    try (var server = new ServerSocket(port, 10, InetAddress.getByName(THERE))) {
      links.send(THERE, Frame.of("a"));
      try (var peer = new Peer(server.accept())) {
        peer.hearsHello();
        var waitedUs = 50_000;
        GROUP.next().schedule(() -> {}, waitedUs, TimeUnit.MICROSECONDS).get();
        peer.says(Frame.of("pong").with("st", true));
        var stamp = WireFormat.readStamp(Unpooled.wrappedBuffer(peer.hearsBytes()));
        assertThat(stamp.getAsInt()).isAtMost(0);
      }
    }
  }
}
