package wellwheel.runtime;

public final class ManualClock implements Clock {
  public long nowUs = 10_000_000;

  @Override
  public long steadyUs() {
    return nowUs;
  }

  @Override
  public long wallUs() {
    return nowUs;
  }

  @Override
  public Schedule after(long waitUs, Runnable task) {
    return () -> {};
  }
}
