package wellwheel.functions;

import java.security.SecureRandom;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.NodeRuntime;
import wellwheel.transport.ClientEntry;
import wellwheel.transport.GracefulShutdown;
import wellwheel.transport.Links;
import wellwheel.transport.PooledHttpClient;

/** Binds a front to sockets and ends it gracefully. */
public final class FrontDaemon {
  private static final System.Logger LOG = System.getLogger("front");
  private static final int OTHER_FILES = 1200;

  public FrontDaemon(NodeRuntime nodeRuntime) throws InterruptedException {
    var options = nodeRuntime.options();
    var loop = nodeRuntime.loop();
    var clock = nodeRuntime.clock();
    var links = new Links(options.ip(), options.innerPort(), loop, clock);
    var instances = new HttpInstanceClient(new PooledHttpClient(loop, clock));
    var node = new FrontNode(options, clock, links, instances, new SecureRandom().nextLong());
    var entry =
        new ClientEntry(
            loop,
            clock,
            options,
            OTHER_FILES,
            () -> node.clusterLease().configuration().caps(),
            node::onExchange,
            node::ready);
    links.open(node);
    entry.open();
    loop.execute(() -> LoopClock.guarded(node::tick));
    nodeRuntime.onSeeds(node.clusterLease()::seedsAre);
    var shutdown =
        new GracefulShutdown(clock, options.graceUs(), entry.clients(), node, nodeRuntime::end);
    nodeRuntime.onTerm(shutdown::begin);
    LOG.log(System.Logger.Level.INFO, "front " + options.node() + " is up");
  }
}
