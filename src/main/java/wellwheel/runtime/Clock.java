package wellwheel.runtime;

/**
 * Time and timers, so that state machines run under a simulated clock as well. Times are in
 * microseconds.
 */
public interface Clock {
  long steadyUs();

  long wallUs();

  Schedule after(long waitUs, Runnable task);

  /** A timer that has not fired yet. */
  interface Schedule {
    void cancel();
  }
}
