package wellwheel.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.ArrayDeque;
import java.util.List;
import wellwheel.runtime.Clock;
import wellwheel.runtime.FatalErrors;
import wellwheel.runtime.LoopClock;

/**
 * The connection by which this node sends to one peer. Frames wait here until the peer has answered
 * the greeting: what could not be sent has then surely not left, though a process that stands still
 * or a link that holds its bytes lets connections come up.
 */
final class OutboundLink {
  private static final System.Logger LOG = System.getLogger("links");
  private static final int CONNECT_MS = 400;
  private static final long GREETING_US = 750_000;
  private static final long REST_US = 100_000;
  private static final long PING_US = 200_000;
  private static final long SILENT_US = 750_000;
  private static final int ANSWER_MOST = 1 << 16;

  /** What a link needs of the node's links. */
  interface Host {
    /** The first frame of the next connection. */
    byte[] hello();

    /** The peer knows a later life of this node than the present one. */
    void knownLife(long life);

    /** Flushes the link soon. */
    void flushSoon(OutboundLink link);

    void unsent(String peerIp, Frame frame);

    void down(String peerIp);
  }

  private enum State {
    CLOSED,
    CONNECTING,
    GREETING,
    UP
  }

  private record Queued(Frame frame, byte[] bytes, long sinceUs) {}

  private final String ip;
  private final int port;
  private final EventLoop loop;
  private final Clock clock;
  private final Host host;
  private final long queuedBytesMost;
  private final ArrayDeque<Queued> queue = new ArrayDeque<>();
  private State state = State.CLOSED;
  private Channel channel;
  private long queuedBytes;
  private long restUntilUs;
  private long greetedUs;
  private boolean stamps;

  /** Whether a frame of this connection was stamped, and how the last one was. */
  private boolean hasStamp;

  private int lastStamp;
  private boolean unflushed;

  /** Whether the peer refused the last greeting, as it knows a later life of this node. */
  private boolean refused;

  /** Whether anything but answers was sent since the last ping. */
  private boolean talked;

  /** Whether a ping has no answer yet. */
  private boolean owed;

  private long pingUs;

  /** Counts what was sent and answered, to tell which came last. */
  private long exchanges;

  /** Place, among what was sent and answered, of the last frame sent that is no answer. */
  private long sentAt;

  /** Place, among what was sent and answered, of the last answer from the peer. */
  private long answeredAt;

  OutboundLink(String ip, int port, EventLoop loop, Clock clock, Host host, long queuedBytesMost) {
    this.ip = ip;
    this.port = port;
    this.loop = loop;
    this.clock = clock;
    this.host = host;
    this.queuedBytesMost = queuedBytesMost;
  }

  void send(Frame frame, byte[] bytes) {
    if (state == State.UP) {
      write(frame, bytes, clock.steadyUs());
    } else if (clock.steadyUs() < restUntilUs || queuedBytes > queuedBytesMost) {
      unsentSoon(frame);
    } else {
      queue.add(new Queued(frame, bytes, clock.steadyUs()));
      queuedBytes += bytes.length;
      connect();
    }
  }

  private void unsentSoon(Frame frame) {
    loop.execute(() -> LoopClock.guarded(() -> host.unsent(ip, frame)));
  }

  /** Writes a frame that was to be sent at a steady time, which may lie before the greeting. */
  private void write(Frame frame, byte[] bytes, long sinceUs) {
    var buffer = channel.unsafe().outboundBuffer();
    if (buffer != null && buffer.totalPendingWriteBytes() > queuedBytesMost) {
      unsentSoon(frame);
      return;
    }
    channel.write(stamped(bytes, sinceUs), channel.voidPromise());
    if (!isAnswer(frame)) {
      talked = true;
      sentAt = ++exchanges;
    }
    if (!unflushed) {
      unflushed = true;
      host.flushSoon(this);
    }
  }

  /** Stamps a frame, unless it goes with the stamp of the one before. */
  private ByteBuf stamped(byte[] bytes, long sinceUs) {
    var stamp = TransitDelay.stampOf(sinceUs - greetedUs);
    if (!stamps || hasStamp && stamp == lastStamp) {
      return WireFormat.framed(bytes);
    }
    hasStamp = true;
    lastStamp = stamp;
    return WireFormat.stamped(stamp, bytes);
  }

  void flush() {
    unflushed = false;
    if (state == State.UP) {
      channel.flush();
    }
  }

  /** An answer shows that what was sent to the peer arrives, so that no ping is needed. */
  void noteAnswer(Frame frame) {
    if (isAnswer(frame)) {
      answeredAt = ++exchanges;
    }
  }

  private static boolean isAnswer(Frame frame) {
    return frame.kind().endsWith(Network.ANSWER);
  }

  private void connect() {
    if (state != State.CLOSED) {
      return;
    }
    state = State.CONNECTING;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel fresh) {
                fresh
                    .pipeline()
                    .addLast(
                        new LengthFieldBasedFrameDecoder(
                            ANSWER_MOST, 0, WireFormat.LENGTH_BYTES, 0, WireFormat.LENGTH_BYTES),
                        new Answers());
              }
            })
        .connect(ip, port)
        .addListener((ChannelFuture future) -> LoopClock.guarded(() -> connected(future)));
  }

  private void connected(ChannelFuture future) {
    if (!future.isSuccess()) {
      failed();
      return;
    }
    var fresh = future.channel();
    channel = fresh;
    state = State.GREETING;
    stamps = false;
    greetedUs = clock.steadyUs();
    fresh.write(WireFormat.framed(host.hello()), fresh.voidPromise());
    fresh.writeAndFlush(WireFormat.framed(Greeting.ping()), fresh.voidPromise());
    clock.after(GREETING_US, () -> endGreeting(fresh));
  }

  private void endGreeting(Channel greeted) {
    if (channel == greeted && state == State.GREETING) {
      LOG.log(System.Logger.Level.INFO, "no greeting from " + ip);
      greeted.close();
    }
  }

  /** No connection came up, or the peer did not answer on it. */
  private void failed() {
    state = State.CLOSED;
    refused = false;
    restUntilUs = clock.steadyUs() + REST_US;
    takeQueue().forEach(each -> LoopClock.guarded(() -> host.unsent(ip, each.frame())));
    LoopClock.guarded(() -> host.down(ip));
  }

  private List<Queued> takeQueue() {
    var queued = List.copyOf(queue);
    queue.clear();
    queuedBytes = 0;
    return queued;
  }

  /** The greeting is said once more in a later life; a second refusal counts as a failure. */
  private void refusedAs(long knownLife) {
    refused = !refused;
    host.knownLife(knownLife);
  }

  private void greeted(Frame pong) {
    state = State.UP;
    refused = false;
    stamps = Greeting.understandsStamps(pong);
    hasStamp = false;
    owed = false;
    takeQueue().forEach(each -> write(each.frame(), each.bytes(), each.sinceUs()));
    flush();
  }

  /** Pings the peer if nothing else shows that it hears, and closes if it stays silent. */
  void beat() {
    if (state != State.UP || !talked && !owed) {
      return;
    }
    var nowUs = clock.steadyUs();
    if (owed && nowUs - pingUs > SILENT_US) {
      LOG.log(System.Logger.Level.INFO, "silent peer " + ip);
      channel.close();
    } else if (answeredAt > sentAt) {
      talked = false;
    } else if (talked && !owed && nowUs - pingUs > PING_US) {
      talked = false;
      owed = true;
      pingUs = nowUs;
      channel.writeAndFlush(WireFormat.framed(Greeting.ping()), channel.voidPromise());
    }
  }

  /** What the peer says on this connection: answers to the greeting and to pings. */
  private final class Answers extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
      var frame = WireFormat.readFrame(buffer);
      if (Greeting.isStale(frame)) {
        refusedAs(frame.number("life"));
        context.close();
      } else if (channel == context.channel() && state == State.GREETING) {
        greeted(frame);
      } else if (channel == context.channel()) {
        owed = false;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (channel != context.channel()) {
        return;
      }
      channel = null;
      if (state == State.GREETING && refused) {
        state = State.CLOSED;
        connect();
      } else if (state == State.GREETING) {
        failed();
      } else {
        state = State.CLOSED;
        LoopClock.guarded(() -> host.down(ip));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.check(cause);
      context.close();
    }
  }
}
