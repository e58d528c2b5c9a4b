package wellwheel.runtime;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import sun.misc.Signal;
import wellwheel.config.NodeOptions;

/** The event loop, clock, options and signals of a daemon's process. */
public final class NodeRuntime {
  private static final System.Logger LOG = System.getLogger("runtime");
  public static final int BAD_OPTIONS_STATUS = 78;
  private static final long OPTIONS_CHECK_US = 5_000_000;

  private final EventLoop loop;
  private final LoopClock clock;
  private final NodeOptions options;
  private Consumer<List<String>> seedTaker = seeds -> {};

  private NodeRuntime(NodeOptions options) {
    this.options = options;
    var group = new NioEventLoopGroup(1, (ThreadFactory) NodeRuntime::loopThread);
    loop = group.next();
    clock = new LoopClock(loop);
  }

  private static Thread loopThread(Runnable task) {
    var thread = new Thread(null, task, "loop", 512 * 1024);
    thread.setDaemon(false);
    return thread;
  }

  public static NodeRuntime start() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    System.setProperty("io.netty.allocator.type", "unpooled");
    System.setProperty("io.netty.noPreferDirect", "false");
    System.setProperty("io.netty.recycler.maxCapacityPerThread", "0");
    System.setProperty("io.netty.leakDetection.level", "disabled");
    System.setProperty("io.netty.noUnsafe", "false");
    System.setProperty("io.netty.processId", "1");
    System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
    try {
      return new NodeRuntime(NodeOptions.load());
    } catch (NodeOptions.Unusable e) {
      LOG.log(
          System.Logger.Level.ERROR,
          "code=" + ResultCode.BAD_OPTIONS.number() + " " + e.getMessage());
      System.exit(BAD_OPTIONS_STATUS);
      throw new IllegalStateException(e);
    }
  }

  public static NodeRuntime with(NodeOptions options) {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    return new NodeRuntime(options);
  }

  public NodeOptions options() {
    return options;
  }

  public EventLoop loop() {
    return loop;
  }

  public LoopClock clock() {
    return clock;
  }

  /** The taker gets the seeds of the options file whenever that has changed, signalled or not. */
  public void onSeeds(Consumer<List<String>> taker) {
    seedTaker = taker;
    var change = new FileChange(NodeOptions.path());
    clock.every(
        OPTIONS_CHECK_US,
        () -> {
          if (change.happened()) {
            reread();
          }
        });
  }

  public void onTerm(Runnable leave) {
    Signal.handle(new Signal("TERM"), signal -> loop.execute(() -> LoopClock.guarded(leave)));
    Signal.handle(new Signal("INT"), signal -> loop.execute(() -> LoopClock.guarded(leave)));
    Signal.handle(new Signal("HUP"), signal -> loop.execute(() -> LoopClock.guarded(this::reread)));
  }

  private void reread() {
    try {
      var fresh = NodeOptions.load();
      seedTaker.accept(fresh.seeds().stream().map(NodeOptions::hostOf).toList());
      LOG.log(
          System.Logger.Level.INFO,
          fresh.equals(options)
              ? "options read again, unchanged"
              : "options changed: new seeds are taken now, the rest at the next start");
    } catch (NodeOptions.Unusable e) {
      LOG.log(
          System.Logger.Level.ERROR,
          "code=" + ResultCode.BAD_OPTIONS.number() + " kept the old options: " + e.getMessage());
    }
  }

  public void end() {
    LOG.log(System.Logger.Level.INFO, "ends");
    System.out.flush();
    Runtime.getRuntime().halt(0);
  }

  public Optional<String> dataDir() {
    return options.dataDir().isEmpty() ? Optional.empty() : Optional.of(options.dataDir());
  }
}
