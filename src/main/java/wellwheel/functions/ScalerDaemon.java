package wellwheel.functions;

import wellwheel.runtime.NodeRuntime;
import wellwheel.transport.Network;
import wellwheel.transport.PooledHttpClient;

/** Binds the scaler to the platform. */
public final class ScalerDaemon {
  private ScalerDaemon() {}

  /** Runs a scaler in the process of a control node. */
  public static Scaler start(
      NodeRuntime nodeRuntime, Network network, Scaler.Leadership leadership) {
    var options = nodeRuntime.options();
    var clock = nodeRuntime.clock();
    var platform =
        new HttpPlatform(
            new PooledHttpClient(nodeRuntime.loop(), clock),
            clock,
            options.platform(),
            options.node(),
            options.platformPerS());
    var scaler =
        new Scaler(
            clock,
            network,
            platform,
            leadership,
            options.node(),
            options.functions().keepAliveUs(),
            options.functions().startsPerS());
    clock.every(Scaler.tickUs(), scaler::tick);
    return scaler;
  }
}
