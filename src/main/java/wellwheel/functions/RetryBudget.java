package wellwheel.functions;

/**
 * This node's part of the retries that all nodes together may make: a ratio of its own calls, and
 * an equal part of the slack, in each window. The parts add up to no more than the whole.
 */
final class RetryBudget {
  private static final int STEPS = 10;

  /** The window begins inside a step, which is remembered as a whole. */
  private static final int KEPT = STEPS + 1;

  private final long stepUs;
  private final double ratio;
  private final double slack;
  private final long[] calls = new long[KEPT];
  private final long[] retries = new long[KEPT];
  private long step;

  RetryBudget(long windowUs, double ratio, double slack) {
    this.stepUs = Math.max(1, windowUs / STEPS);
    this.ratio = ratio;
    this.slack = slack;
  }

  void called(long nowUs) {
    advance(nowUs);
    calls[at(step)]++;
  }

  /** Takes one retry, if the budget has one left. */
  boolean take(long nowUs, int nodes) {
    advance(nowUs);
    var called = sum(calls) - calls[at(step - STEPS)];
    if (sum(retries) + 1 > ratio * called + slack / Math.max(1, nodes)) {
      return false;
    }
    retries[at(step)]++;
    return true;
  }

  private static int at(long step) {
    return Math.floorMod(step, KEPT);
  }

  private static long sum(long[] counts) {
    var total = 0L;
    for (var count : counts) {
      total += count;
    }
    return total;
  }

  private void advance(long nowUs) {
    var now = nowUs / stepUs;
    if (now - step > KEPT) {
      step = now - KEPT;
    }
    while (step < now) {
      step++;
      calls[at(step)] = 0;
      retries[at(step)] = 0;
    }
  }
}
