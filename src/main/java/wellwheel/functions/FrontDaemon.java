package wellwheel.functions;

import java.security.SecureRandom;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.NodeRuntime;
import wellwheel.transport.ClientEntry;
import wellwheel.transport.Links;
import wellwheel.transport.PooledHttpClient;

/** Binds a front to sockets and ends it gracefully. */
public final class FrontDaemon {
  private static final System.Logger LOG = System.getLogger("front");
  private static final long CLOSE_AFTER_US = 2_400_000;
  private static final long END_MARGIN_US = 300_000;
  private static final long LOOK_AGAIN_US = 50_000;
  private static final int OTHER_FILES = 1200;
  private final NodeRuntime nodeRuntime;
  private final FrontNode node;
  private final ClientEntry entry;
  private boolean leaving;
  private boolean ending;
  private long leftUs;

  public FrontDaemon(NodeRuntime nodeRuntime) throws InterruptedException {
    this.nodeRuntime = nodeRuntime;
    var options = nodeRuntime.options();
    var loop = nodeRuntime.loop();
    var clock = nodeRuntime.clock();
    var links = new Links(options.ip(), options.innerPort(), loop, clock);
    var instances = new HttpInstanceClient(new PooledHttpClient(loop, clock));
    node = new FrontNode(options, clock, links, instances, new SecureRandom().nextLong());
    entry =
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
    nodeRuntime.onTerm(this::leave);
    LOG.log(System.Logger.Level.INFO, "front " + options.node() + " is up");
  }

  private void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    leftUs = nodeRuntime.clock().steadyUs();
    node.leave();
    nodeRuntime
        .clock()
        .after(
            CLOSE_AFTER_US,
            () -> {
              entry.clients().drain();
              nodeRuntime.clock().every(LOOK_AGAIN_US, this::mayEnd);
            });
  }

  private void mayEnd() {
    entry.clients().closeIdle();
    var late =
        nodeRuntime.clock().steadyUs() - leftUs > nodeRuntime.options().graceUs() - END_MARGIN_US;
    if (!ending && (late || node.idle() && entry.clients().connections() == 0)) {
      ending = true;
      nodeRuntime.clock().after(LOOK_AGAIN_US, nodeRuntime::end);
    }
  }
}
