package wellwheel.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wellwheel.runtime.FatalErrors;
import wellwheel.runtime.LoopClock;

/** Frames between nodes over TCP: one connection to each peer, numbered by life. */
public final class Links implements Network {
  private static final System.Logger LOG = System.getLogger("links");
  private static final int PROTOCOL = 1;
  private static final int FRAME_MOST = 64 << 20;
  private static final long QUEUED_BYTES_CEILING = 32L << 20;

  /** The part of the heap that may wait for one peer. */
  private static final int HEAP_PARTS = 8;

  private static final long QUEUED_BYTES_MOST =
      Math.min(QUEUED_BYTES_CEILING, Runtime.getRuntime().maxMemory() / HEAP_PARTS);
  private static final int CONNECT_MS = 400;
  private static final long REST_US = 100_000;
  private static final long PING_US = 200_000;
  private static final long SILENT_US = 750_000;
  private static final long REFUSED_US = 1_000_000;
  private static final int PEERS_MOST = 4096;
  private static final int LENGTH_BYTES = 4;
  private static final byte[] PING = Frame.of("ping").pack();
  private static final byte[] PONG = Frame.of("pong").pack();

  private record Queued(Frame frame, byte[] bytes) {}

  private final class Link {
    final String ip;
    Channel channel;
    boolean connecting;
    boolean active;
    long restUntilUs;
    long pingUs;

    boolean talked;

    /** Place, among what was sent and answered, of the last frame sent that is no answer. */
    long sentAt;

    /** Place, among what was sent and answered, of the last answer from the peer. */
    long answeredAt;

    boolean owed;
    boolean unflushed;
    long queuedBytes;
    final ArrayDeque<Queued> queue = new ArrayDeque<>();

    Link(String ip) {
      this.ip = ip;
    }
  }

  private final String ip;
  private final int port;
  private final EventLoop loop;
  private final LoopClock clock;
  private final Map<String, Link> links = new HashMap<>();
  private final Map<String, Inbound> newest =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Inbound> eldest) {
          return size() > PEERS_MOST;
        }
      };
  private final List<Link> unflushed = new ArrayList<>();
  private boolean flushing;
  private long life;
  private long connections;
  private long exchanges;
  private MessageHandler handler =
      new MessageHandler() {
        @Override
        public void onFrame(String peerIp, Frame frame) {}

        @Override
        public void onDown(String peerIp) {}
      };

  public Links(String ip, int port, EventLoop loop, LoopClock clock) {
    this.ip = ip;
    this.port = port;
    this.loop = loop;
    this.clock = clock;
    this.life = clock.wallUs();
  }

  public void open(MessageHandler newHandler) throws InterruptedException {
    handler = newHandler;
    new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 256)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new LengthFieldBasedFrameDecoder(FRAME_MOST, 0, 4, 0, 4), new Inbound());
              }
            })
        .bind(ip, port)
        .sync();
    clock.every(100_000, this::beat);
  }

  private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {
    private String peer = "";
    private long life;
    private long number;
    private boolean superseded;
    private Runnable close = () -> {};

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
      var bytes = new byte[buffer.readableBytes()];
      buffer.readBytes(bytes);
      var frame = Frame.unpack(bytes);
      if (superseded) {
        return;
      }
      if (peer.isEmpty()) {
        greet(context, frame);
      } else if (frame.kind().equals("ping")) {
        context.writeAndFlush(framed(PONG));
      } else {
        noteAnswer(peer, frame);
        LoopClock.guarded(() -> handler.onFrame(peer, frame));
      }
    }

    private void greet(ChannelHandlerContext context, Frame hello) {
      if (!hello.kind().equals("hello") || hello.number("proto") != PROTOCOL) {
        context.close();
        return;
      }
      life = hello.number("life");
      number = hello.number("c");
      var known = Optional.ofNullable(newest.get(hello.text("ip")));
      if (known.filter(each -> life > 0 && !isNewerThan(each)).isPresent()) {
        LOG.log(System.Logger.Level.INFO, "refused an older connection of " + hello.text("ip"));
        superseded = true;
        context.writeAndFlush(framed(Frame.of("stale").with("life", known.get().life).pack()));
        clock.after(REFUSED_US, context::close);
        return;
      }
      peer = hello.text("ip");
      close = context::close;
      newest.put(peer, this);
      known.ifPresent(Inbound::supersede);
    }

    private boolean isNewerThan(Inbound other) {
      return life > other.life || life == other.life && number > other.number;
    }

    private void supersede() {
      superseded = true;
      close.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.check(cause);
      context.close();
    }
  }

  private final class Outbound extends SimpleChannelInboundHandler<ByteBuf> {
    private final Link link;

    Outbound(Link link) {
      this.link = link;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
      var bytes = new byte[buffer.readableBytes()];
      buffer.readBytes(bytes);
      var frame = Frame.unpack(bytes);
      if (frame.kind().equals("stale")) {
        life = Math.max(life, frame.number("life")) + 1;
        context.close();
      } else if (link.channel == context.channel()) {
        link.owed = false;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (link.channel == context.channel()) {
        link.active = false;
        link.channel = null;
        link.queuedBytes = 0;
        LoopClock.guarded(() -> handler.onDown(link.ip));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.check(cause);
      context.close();
    }
  }

  /** An answer shows that what was sent to the peer arrives, so that no ping is needed. */
  private void noteAnswer(String peer, Frame frame) {
    var link = links.get(peer);
    if (link != null && isAnswer(frame)) {
      link.answeredAt = ++exchanges;
    }
  }

  private static boolean isAnswer(Frame frame) {
    return frame.kind().endsWith(ANSWER);
  }

  private static ByteBuf framed(byte[] bytes) {
    return Unpooled.buffer(LENGTH_BYTES + bytes.length).writeInt(bytes.length).writeBytes(bytes);
  }

  @Override
  public void send(String peerIp, Frame frame) {
    if (peerIp.isEmpty()) {
      return;
    }
    var bytes = frame.pack();
    if (peerIp.equals(ip)) {
      loop.execute(() -> LoopClock.guarded(() -> handler.onFrame(ip, Frame.unpack(bytes))));
      return;
    }
    var link = links.computeIfAbsent(peerIp, Link::new);
    if (link.active) {
      write(link, frame, bytes);
    } else if (clock.steadyUs() < link.restUntilUs || link.queuedBytes > QUEUED_BYTES_MOST) {
      loop.execute(() -> LoopClock.guarded(() -> handler.onUnsent(peerIp, frame)));
    } else {
      link.queue.add(new Queued(frame, bytes));
      link.queuedBytes += bytes.length;
      connect(link);
    }
  }

  private void write(Link link, Frame frame, byte[] bytes) {
    if (link.channel.unsafe().outboundBuffer() != null
        && link.channel.unsafe().outboundBuffer().totalPendingWriteBytes() > QUEUED_BYTES_MOST) {
      loop.execute(() -> LoopClock.guarded(() -> handler.onUnsent(link.ip, frame)));
      return;
    }
    link.channel.write(framed(bytes), link.channel.voidPromise());
    if (!isAnswer(frame)) {
      link.talked = true;
      link.sentAt = ++exchanges;
    }
    if (!link.unflushed) {
      link.unflushed = true;
      unflushed.add(link);
    }
    if (!flushing) {
      flushing = true;
      loop.execute(() -> LoopClock.guarded(this::flush));
    }
  }

  private void flush() {
    flushing = false;
    for (var link : unflushed) {
      link.unflushed = false;
      if (link.active) {
        link.channel.flush();
      }
    }
    unflushed.clear();
  }

  private void connect(Link link) {
    if (link.connecting) {
      return;
    }
    link.connecting = true;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new LengthFieldBasedFrameDecoder(1 << 16, 0, 4, 0, 4), new Outbound(link));
              }
            })
        .connect(link.ip, port)
        .addListener(
            (io.netty.channel.ChannelFuture future) ->
                LoopClock.guarded(() -> connected(link, future)));
  }

  private void connected(Link link, io.netty.channel.ChannelFuture future) {
    link.connecting = false;
    var queued = List.copyOf(link.queue);
    link.queue.clear();
    link.queuedBytes = 0;
    if (!future.isSuccess()) {
      link.restUntilUs = clock.steadyUs() + REST_US;
      queued.forEach(each -> LoopClock.guarded(() -> handler.onUnsent(link.ip, each.frame())));
      LoopClock.guarded(() -> handler.onDown(link.ip));
      return;
    }
    link.channel = future.channel();
    link.active = true;
    link.owed = false;
    link.channel.write(
        framed(
            Frame.of("hello")
                .with("proto", PROTOCOL)
                .with("ip", ip)
                .with("life", life)
                .with("c", ++connections)
                .pack()),
        link.channel.voidPromise());
    queued.forEach(each -> write(link, each.frame(), each.bytes()));
    flush();
  }

  private void beat() {
    var nowUs = clock.steadyUs();
    for (var link : List.copyOf(links.values())) {
      if (!link.active || !link.talked && !link.owed) {
        continue;
      }
      if (link.owed && nowUs - link.pingUs > SILENT_US) {
        LOG.log(System.Logger.Level.INFO, "silent peer " + link.ip);
        link.channel.close();
      } else if (link.answeredAt > link.sentAt) {
        link.talked = false;
      } else if (link.talked && !link.owed && nowUs - link.pingUs > PING_US) {
        link.talked = false;
        link.owed = true;
        link.pingUs = nowUs;
        link.channel.writeAndFlush(framed(PING), link.channel.voidPromise());
      }
    }
  }
}
