package wellwheel.runtime;

import java.util.PriorityQueue;

/** Simulated time: tasks run in the order of their times, those of one time in turn. */
public final class EventQueue {
  private record Event(long atUs, long number, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atUs() == b.atUs()
                  ? Long.compare(a.number(), b.number())
                  : Long.compare(a.atUs(), b.atUs()));
  private long number;
  public long nowUs = 10_000_000;

  public void after(long waitUs, Runnable task) {
    events.add(new Event(nowUs + Math.max(0, waitUs), number++, task));
  }

  public void runFor(long spanUs) {
    var untilUs = nowUs + spanUs;
    while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
      var event = events.poll();
      nowUs = event.atUs();
      event.task().run();
    }
    nowUs = untilUs;
  }

  /** A clock whose timers fire only while the process that it belongs to lives. */
  public Clock clock(java.util.function.BooleanSupplier lives) {
    return new Clock() {
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
        boolean[] cancelled = {false};
        EventQueue.this.after(
            waitUs,
            () -> {
              if (!cancelled[0] && lives.getAsBoolean()) {
                task.run();
              }
            });
        return () -> cancelled[0] = true;
      }
    };
  }
}
