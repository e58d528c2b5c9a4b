package wellwheel.transport;

/**
 * How much longer the frames of one connection were on their way than its fastest frame was. The
 * clocks of two nodes share no origin, so the sender stamps frames with the time since its greeting
 * and the receiver compares how far apart they were sent with how far apart they came. A frame that
 * lay on a link, or in a process that stood still, shows by that. Stamps wrap after some days.
 */
public final class TransitDelay {
  private static final long UNIT_US = 128;

  /** Two clocks drift apart by at most one part in so many, also while they are slewed. */
  private static final long DRIFT_PARTS = 1_000;

  /** When the fastest frame would have come, had it been sent with the greeting. */
  private long originUs;

  private long driftCountedUs;
  private int stamp;

  /** Begins with the greeting, which has just come. */
  public TransitDelay(long nowUs) {
    originUs = nowUs;
    driftCountedUs = nowUs;
  }

  /** The stamp of a frame that is sent so long after the greeting, or before it if negative. */
  public static int stampOf(long sinceGreetingUs) {
    return (int) (sinceGreetingUs / UNIT_US);
  }

  /** The delay, in microseconds, of a frame that comes now and was sent at the stamp. */
  public long delayUs(int newStamp, long nowUs) {
    stamp = newStamp;
    return delayUs(nowUs);
  }

  /** The delay of a frame that comes now and goes with the stamp of the one before. */
  public long delayUs(long nowUs) {
    allowForDrift(nowUs);
    var units = (int) ((nowUs - originUs) / UNIT_US) - stamp;
    var delayUs = units * UNIT_US;
    if (delayUs < 0) {
      originUs += delayUs;
      return 0;
    }
    return delayUs;
  }

  private void allowForDrift(long nowUs) {
    var driftUs = (nowUs - driftCountedUs) / DRIFT_PARTS;
    originUs += driftUs;
    driftCountedUs += driftUs * DRIFT_PARTS;
  }
}
