package wellwheel.edge;

import java.security.SecureRandom;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.NodeRuntime;
import wellwheel.transport.ClientEntry;
import wellwheel.transport.Links;

/** Binds the edge node to sockets and ends it gracefully. */
public final class EdgeDaemon {
  private static final System.Logger LOG = System.getLogger("edge");
  private static final long CLOSE_AFTER_US = 2_400_000;
  private static final long END_MARGIN_US = 1_200_000;
  private static final int OTHER_FILES = 600;
  private final NodeRuntime nodeRuntime;
  private final EdgeNode node;
  private final ClientEntry entry;
  private final GracefulShutdown departure = new GracefulShutdown();
  private boolean leaving;
  private long leftUs;

  public EdgeDaemon(NodeRuntime nodeRuntime) throws InterruptedException {
    this.nodeRuntime = nodeRuntime;
    var options = nodeRuntime.options();
    var links =
        new Links(options.ip(), options.innerPort(), nodeRuntime.loop(), nodeRuntime.clock());
    node = new EdgeNode(options, nodeRuntime.clock(), links, new SecureRandom().nextLong());
    entry =
        new ClientEntry(
            nodeRuntime.loop(),
            nodeRuntime.clock(),
            options,
            OTHER_FILES,
            () -> node.clusterLease().configuration().caps(),
            node::onExchange,
            node::ready);
    links.open(node);
    entry.open();
    nodeRuntime.loop().execute(() -> LoopClock.guarded(node::tick));
    nodeRuntime.onSeeds(node.clusterLease()::seedsAre);
    nodeRuntime.onTerm(this::leave);
    LOG.log(System.Logger.Level.INFO, "edge node " + options.node() + " is up");
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
    entry.clients().drain();
    node.close();
    nodeRuntime.clock().every(50_000, this::mayEnd);
  }

  private void mayEnd() {
    entry.clients().closeIdle();
    var late =
        nodeRuntime.clock().steadyUs() - leftUs > nodeRuntime.options().graceUs() - END_MARGIN_US;
    if (late) {
      node.flush();
      nodeRuntime.clock().after(50_000, nodeRuntime::end);
      return;
    }
    switch (departure.step(node.idle() && entry.clients().connections() == 0)) {
      case FLUSH -> node.flush();
      case END -> nodeRuntime.end();
      default -> {}
    }
  }
}
