package wellwheel.runtime;

public interface Clock {
  long steadyUs();

  long wallUs();

  Schedule after(long waitUs, Runnable task);

  interface Schedule {
    void cancel();
  }
}
