package wellwheel.functions;

/** What an owner of a function has told of its calls, smoothed over its reports. */
final class OwnerDemand {
  private static final double SMOOTHING_US = 1_500_000;

  /** An owner without work reports so often at least; one that says nothing has none. */
  private static final long REPORTED_US = 1_200_000;

  final String ip;
  final String zone;
  int waiting;
  int running;
  private double perS;
  private double runUs;
  private long heardUs;

  OwnerDemand(String ip, String zone, long nowUs) {
    this.ip = ip;
    this.zone = zone;
    this.heardUs = nowUs;
  }

  /** Takes in a report: arrivals and runs that ended since the one before. */
  void hear(int nowWaiting, int nowRunning, long arrivals, long finished, long busyUs, long nowUs) {
    var spanUs = Math.max(1, nowUs - heardUs);
    var weight = 1 - Math.exp(-spanUs / SMOOTHING_US);
    perS += (arrivals * 1e6 / spanUs - perS) * weight;
    if (finished > 0) {
      var mean = (double) busyUs / finished;
      runUs = runUs == 0 ? mean : runUs + (mean - runUs) * Math.min(1, 0.1 * finished);
    }
    waiting = nowWaiting;
    running = nowRunning;
    heardUs = nowUs;
  }

  /** Arrivals a second, fading while nothing is heard. */
  double perS(long nowUs) {
    var silentUs = Math.max(0, nowUs - heardUs - REPORTED_US);
    return perS * Math.exp(-silentUs / SMOOTHING_US);
  }

  /** Whether nothing has been heard for longer than an owner that lives stays silent. */
  boolean silent(long nowUs) {
    return nowUs - heardUs > 2 * REPORTED_US;
  }

  ScalingPolicy.Demand figures(long nowUs) {
    var silent = silent(nowUs);
    return new ScalingPolicy.Demand(silent ? 0 : waiting, silent ? 0 : running, perS(nowUs), runUs);
  }
}
