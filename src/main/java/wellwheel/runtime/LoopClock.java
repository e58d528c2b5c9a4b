package wellwheel.runtime;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** The clock of an event loop. */
public final class LoopClock implements Clock {
  private static final System.Logger LOG = System.getLogger("clock");
  private final EventLoop loop;

  public LoopClock(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public long steadyUs() {
    return System.nanoTime() / 1000;
  }

  @Override
  public long wallUs() {
    return System.currentTimeMillis() * 1000;
  }

  @Override
  public Schedule after(long waitUs, Runnable task) {
    var future = loop.schedule(() -> guarded(task), waitUs, TimeUnit.MICROSECONDS);
    return () -> future.cancel(false);
  }

  public void every(long periodUs, Runnable task) {
    loop.scheduleAtFixedRate(() -> guarded(task), periodUs, periodUs, TimeUnit.MICROSECONDS);
  }

  /** Runs a task of the loop: an exception is logged and the loop goes on, an Error is fatal. */
  public static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | AssertionError e) {
      LOG.log(System.Logger.Level.ERROR, "code=" + ResultCode.INNER.number(), e);
    } catch (Error e) {
      FatalErrors.check(e);
    }
  }
}
