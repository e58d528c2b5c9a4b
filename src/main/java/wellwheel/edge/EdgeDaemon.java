package wellwheel.edge;

import java.security.SecureRandom;
import wellwheel.config.Configuration;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.NodeRuntime;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;
import wellwheel.transport.HttpServer;
import wellwheel.transport.Links;

/** Binds the edge node to sockets and ends it gracefully. */
public final class EdgeDaemon {
  private static final System.Logger LOG = System.getLogger("edge");
  private static final long CLOSE_AFTER_US = 2_400_000;
  private static final long END_MARGIN_US = 1_200_000;
  private final NodeRuntime nodeRuntime;
  private final EdgeNode node;
  private final HttpServer front;
  private final GracefulShutdown departure = new GracefulShutdown();
  private boolean leaving;
  private long leftUs;

  public EdgeDaemon(NodeRuntime nodeRuntime) throws InterruptedException {
    this.nodeRuntime = nodeRuntime;
    var options = nodeRuntime.options();
    var links =
        new Links(options.ip(), options.innerPort(), nodeRuntime.loop(), nodeRuntime.clock());
    node = new EdgeNode(options, nodeRuntime.clock(), links, new SecureRandom().nextLong());
    front =
        new HttpServer(
            nodeRuntime.loop(),
            nodeRuntime.clock(),
            () -> node.clusterLease().configuration().caps(),
            Math.max(64, options.maxFiles() - 600),
            node::onExchange);
    var ready =
        new HttpServer(
            nodeRuntime.loop(),
            nodeRuntime.clock(),
            () -> Configuration.NONE.caps(),
            64,
            this::ready);
    links.open(node);
    front.open(options.front());
    front.watch();
    ready.open(options.ready());
    nodeRuntime.loop().execute(() -> LoopClock.guarded(node::tick));
    nodeRuntime.onSeeds(node.clusterLease()::addControlNodes);
    nodeRuntime.onTerm(this::leave);
    LOG.log(System.Logger.Level.INFO, "edge node " + options.node() + " is up");
  }

  private void ready(Exchange exchange) {
    exchange.answer(
        exchange.target().equals("/ready")
            ? Exchange.Answer.of(node.ready() ? ResultCode.FINE : ResultCode.NO_CLAIM)
            : Exchange.Answer.of(ResultCode.NO_PATH));
  }

  private void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    leftUs = nodeRuntime.clock().steadyUs();
    LOG.log(System.Logger.Level.INFO, "leaving");
    node.leave();
    nodeRuntime.clock().after(CLOSE_AFTER_US, this::close);
  }

  private void close() {
    front.drain();
    node.close();
    nodeRuntime.clock().every(50_000, this::mayEnd);
  }

  private void mayEnd() {
    front.closeIdle();
    var late =
        nodeRuntime.clock().steadyUs() - leftUs > nodeRuntime.options().graceUs() - END_MARGIN_US;
    if (late) {
      node.flush();
      nodeRuntime.clock().after(50_000, nodeRuntime::end);
      return;
    }
    switch (departure.step(node.idle() && front.connections() == 0)) {
      case FLUSH -> node.flush();
      case END -> nodeRuntime.end();
      default -> {}
    }
  }
}
