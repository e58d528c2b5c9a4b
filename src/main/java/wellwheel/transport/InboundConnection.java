package wellwheel.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import wellwheel.runtime.Clock;
import wellwheel.runtime.FatalErrors;

/** A connection by which a peer sends its frames. Only the newest one of each peer is heard. */
final class InboundConnection extends SimpleChannelInboundHandler<ByteBuf> {
  private static final System.Logger LOG = System.getLogger("links");
  private static final long REFUSED_US = 1_000_000;

  /** What a connection needs of the node's links. */
  interface Host {
    /** The newest connection of a peer, which this one replaces if it is newer. */
    Optional<InboundConnection> replaceIfNewer(InboundConnection connection);

    /** Takes a frame of the peer. */
    void hear(String peerIp, Frame frame);
  }

  private final Host host;
  private final Clock clock;
  private String peer = "";
  private long life;
  private long number;
  private boolean superseded;
  private boolean stamped;
  private TransitDelay delay;
  private Runnable close = () -> {};

  InboundConnection(Host host, Clock clock) {
    this.host = host;
    this.clock = clock;
    delay = new TransitDelay(clock.steadyUs());
  }

  String peer() {
    return peer;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
    var frame = read(buffer);
    if (superseded) {
      return;
    }
    if (peer.isEmpty()) {
      greet(context, frame);
    } else if (frame.kind().equals(Greeting.PING)) {
      context.writeAndFlush(WireFormat.framed(Greeting.pong()));
    } else {
      host.hear(peer, frame);
    }
  }

  private Frame read(ByteBuf buffer) {
    var stamp = WireFormat.readStamp(buffer);
    var frame = WireFormat.readFrame(buffer);
    stamped |= stamp.isPresent();
    if (!stamped) {
      return frame;
    }
    var nowUs = clock.steadyUs();
    return frame.delayedBy(
        stamp.isPresent() ? delay.delayUs(stamp.getAsInt(), nowUs) : delay.delayUs(nowUs));
  }

  private void greet(ChannelHandlerContext context, Frame hello) {
    if (!Greeting.isHello(hello)) {
      context.close();
      return;
    }
    delay = new TransitDelay(clock.steadyUs());
    peer = hello.text("ip");
    life = hello.number("life");
    number = hello.number("c");
    close = context::close;
    host.replaceIfNewer(this).ifPresent(known -> refuse(context, known));
  }

  private void refuse(ChannelHandlerContext context, InboundConnection known) {
    LOG.log(System.Logger.Level.INFO, "refused an older connection of " + peer);
    superseded = true;
    context.writeAndFlush(WireFormat.framed(Greeting.stale(known.life)));
    clock.after(REFUSED_US, close);
  }

  /** Whether it is newer than another one of the same peer. Former versions name no life. */
  boolean isNewerThan(InboundConnection other) {
    return life <= 0 || life > other.life || life == other.life && number > other.number;
  }

  /** Nothing more is heard from it. */
  void supersede() {
    superseded = true;
    close.run();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    FatalErrors.check(cause);
    context.close();
  }
}
