package wellwheel.functions;

/** Keeps the starts and stops under what the platform takes a second. */
final class StartRate {
  private static final double BURST_S = 0.25;
  private static final double PART = 0.8;
  private final double perS;
  private double tokens;
  private long atUs = Long.MIN_VALUE;

  StartRate(double perS) {
    this.perS = Math.max(1, perS * PART);
    tokens = 1;
  }

  boolean take(long nowUs) {
    if (atUs != Long.MIN_VALUE) {
      tokens = Math.min(Math.max(1, perS * BURST_S), tokens + (nowUs - atUs) * perS / 1e6);
    }
    atUs = nowUs;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
