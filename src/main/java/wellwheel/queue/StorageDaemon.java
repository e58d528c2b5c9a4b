package wellwheel.queue;

import java.nio.file.Path;
import java.security.SecureRandom;
import wellwheel.runtime.NodeRuntime;
import wellwheel.storage.FileDisk;
import wellwheel.transport.Links;
import wellwheel.transport.PooledHttpClient;

/** Binds the storage node to sockets, disk and processors. */
public final class StorageDaemon {
  private static final System.Logger LOG = System.getLogger("storage");
  private static final long TICK_US = 50_000;
  private static final long END_MARGIN_US = 500_000;
  private final NodeRuntime nodeRuntime;
  private final StorageNode node;
  private boolean leaving;
  private long leftUs;

  public StorageDaemon(NodeRuntime nodeRuntime) throws InterruptedException {
    this.nodeRuntime = nodeRuntime;
    var options = nodeRuntime.options();
    var links =
        new Links(options.ip(), options.innerPort(), nodeRuntime.loop(), nodeRuntime.clock());
    var disk =
        new FileDisk(Path.of(nodeRuntime.dataDir().orElse("/tmp/wellwheel")), nodeRuntime.loop());
    var deliveryClient =
        new HttpDeliveryClient(new PooledHttpClient(nodeRuntime.loop(), nodeRuntime.clock()));
    node =
        new StorageNode(
            options,
            nodeRuntime.clock(),
            links,
            disk,
            deliveryClient,
            new SecureRandom().nextLong());
    links.open(node);
    nodeRuntime.clock().every(TICK_US, node::tick);
    nodeRuntime.onSeeds(node.clusterLease()::seedsAre);
    nodeRuntime.onTerm(this::leave);
    LOG.log(
        System.Logger.Level.INFO,
        "storage node " + node.id() + " is up with " + node.liveMessages() + " messages");
  }

  private void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    leftUs = nodeRuntime.clock().steadyUs();
    LOG.log(System.Logger.Level.INFO, "leaving");
    node.leave();
    nodeRuntime.clock().every(50_000, this::mayEnd);
  }

  private void mayEnd() {
    var late =
        nodeRuntime.clock().steadyUs() - leftUs > nodeRuntime.options().graceUs() - END_MARGIN_US;
    if (late || node.mayLeave()) {
      LOG.log(
          System.Logger.Level.INFO,
          (late ? "out of grace" : "handed over")
              + " after us="
              + (nodeRuntime.clock().steadyUs() - leftUs));
      nodeRuntime.clock().after(30_000, nodeRuntime::end);
    }
  }
}
