package wellwheel.runtime;

/** Runs a task at the earliest of the times that it was asked for. */
public final class WakeUpTimer {
  private final Clock clock;
  private final Runnable task;
  private Clock.Schedule armed = () -> {};
  private long atUs = Long.MAX_VALUE;

  public WakeUpTimer(Clock clock, Runnable task) {
    this.clock = clock;
    this.task = task;
  }

  public void within(long waitUs) {
    by(clock.steadyUs() + waitUs);
  }

  public synchronized void by(long dueUs) {
    if (dueUs >= atUs) {
      return;
    }
    armed.cancel();
    atUs = dueUs;
    armed = clock.after(Math.max(500, dueUs - clock.steadyUs()), this::fire);
  }

  private void fire() {
    synchronized (this) {
      atUs = Long.MAX_VALUE;
    }
    task.run();
  }
}
