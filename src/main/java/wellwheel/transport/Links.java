package wellwheel.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wellwheel.runtime.LoopClock;

/** Frames between nodes over TCP: one connection to each peer, numbered by life. */
public final class Links implements Network {
  private static final int FRAME_MOST = 64 << 20;
  private static final long QUEUED_BYTES_CEILING = 32L << 20;

  /** The part of the heap that may wait for one peer. */
  private static final int HEAP_PARTS = 8;

  private static final long QUEUED_BYTES_MOST =
      Math.min(QUEUED_BYTES_CEILING, Runtime.getRuntime().maxMemory() / HEAP_PARTS);
  private static final long BEAT_US = 100_000;
  private static final int PEERS_MOST = 4096;

  private final String ip;
  private final int port;
  private final EventLoop loop;
  private final LoopClock clock;
  private final Map<String, OutboundLink> links = new HashMap<>();
  private final Map<String, InboundConnection> newest =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, InboundConnection> eldest) {
          return size() > PEERS_MOST;
        }
      };
  private final List<OutboundLink> unflushed = new ArrayList<>();
  private boolean flushing;
  private long life;
  private long connections;
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
                        new LengthFieldBasedFrameDecoder(
                            FRAME_MOST, 0, WireFormat.LENGTH_BYTES, 0, WireFormat.LENGTH_BYTES),
                        new InboundConnection(new Inbound(), clock));
              }
            })
        .bind(ip, port)
        .sync();
    clock.every(BEAT_US, this::beat);
  }

  private final class Inbound implements InboundConnection.Host {
    @Override
    public Optional<InboundConnection> replaceIfNewer(InboundConnection connection) {
      var known = Optional.ofNullable(newest.get(connection.peer()));
      if (known.filter(each -> !connection.isNewerThan(each)).isPresent()) {
        return known;
      }
      newest.put(connection.peer(), connection);
      known.ifPresent(InboundConnection::supersede);
      return Optional.empty();
    }

    @Override
    public void hear(String peerIp, Frame frame) {
      Optional.ofNullable(links.get(peerIp)).ifPresent(link -> link.noteAnswer(frame));
      LoopClock.guarded(() -> handler.onFrame(peerIp, frame));
    }
  }

  private final class Outbound implements OutboundLink.Host {
    @Override
    public byte[] hello() {
      return Greeting.hello(ip, life, ++connections);
    }

    @Override
    public void knownLife(long knownLife) {
      life = Math.max(life, knownLife) + 1;
    }

    @Override
    public void flushSoon(OutboundLink link) {
      unflushed.add(link);
      if (!flushing) {
        flushing = true;
        loop.execute(() -> LoopClock.guarded(Links.this::flush));
      }
    }

    @Override
    public void unsent(String peerIp, Frame frame) {
      handler.onUnsent(peerIp, frame);
    }

    @Override
    public void down(String peerIp) {
      handler.onDown(peerIp);
    }
  }

  @Override
  public void send(String peerIp, Frame frame) {
    if (peerIp.isEmpty()) {
      return;
    }
    var bytes = frame.pack();
    if (peerIp.equals(ip)) {
      loop.execute(
          () -> LoopClock.guarded(() -> handler.onFrame(ip, Frame.unpack(bytes).delayedBy(0))));
      return;
    }
    links.computeIfAbsent(peerIp, this::linkTo).send(frame, bytes);
  }

  private OutboundLink linkTo(String peerIp) {
    return new OutboundLink(peerIp, port, loop, clock, new Outbound(), QUEUED_BYTES_MOST);
  }

  private void flush() {
    flushing = false;
    var due = List.copyOf(unflushed);
    unflushed.clear();
    due.forEach(OutboundLink::flush);
  }

  private void beat() {
    List.copyOf(links.values()).forEach(OutboundLink::beat);
  }
}
