package wellwheel.edge;

import java.security.SecureRandom;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.NodeRuntime;
import wellwheel.transport.ClientEntry;
import wellwheel.transport.GracefulShutdown;
import wellwheel.transport.Links;

/** Binds the edge node to sockets and ends it gracefully. */
public final class EdgeDaemon {
  private static final System.Logger LOG = System.getLogger("edge");
  private static final int OTHER_FILES = 600;

  public EdgeDaemon(NodeRuntime nodeRuntime) throws InterruptedException {
    var options = nodeRuntime.options();
    var links =
        new Links(options.ip(), options.innerPort(), nodeRuntime.loop(), nodeRuntime.clock());
    var node = new EdgeNode(options, nodeRuntime.clock(), links, new SecureRandom().nextLong());
    var entry =
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
    var shutdown =
        new GracefulShutdown(
            nodeRuntime.clock(), options.graceUs(), entry.clients(), node, nodeRuntime::end);
    nodeRuntime.onTerm(shutdown::begin);
    LOG.log(System.Logger.Level.INFO, "edge node " + options.node() + " is up");
  }
}
