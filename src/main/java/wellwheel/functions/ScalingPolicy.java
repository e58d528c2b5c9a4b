package wellwheel.functions;

/**
 * Decides how many instances an owner of a function should have. Only figures go in and come out,
 * so that the decisions of a day can be computed again.
 *
 * <p>An owner needs as many slots as calls run at once on average, by arrivals and run time
 * (Little's law), and some more for the variance of the arrivals. What waits beyond that gets new
 * instances only if it would wait longer for a slot to become free than for a start.
 */
final class ScalingPolicy {
  /** Standard deviations of a Poisson number of running calls that are provided for. */
  private static final double HEADROOM = 1.0;

  /** Part of an instance's slots that may be short before one more is started. */
  private static final double SPARED_PART = 0.2;

  /** The run time assumed of a function that has not run yet, in microseconds. */
  private static final double FIRST_RUN_US = 150_000;

  /**
   * What is known of an owner's calls.
   *
   * @param waiting calls without a slot
   * @param running calls that have one
   * @param perS arrivals a second, smoothed
   * @param runUs mean run time, 0 if nothing has run yet
   */
  record Demand(int waiting, int running, double perS, double runUs) {}

  /**
   * What one instance is.
   *
   * @param slots calls at once
   * @param startupUs time of a start
   */
  record Shape(int slots, long startupUs) {}

  private ScalingPolicy() {}

  /** How many instances the flow of calls needs, without what has piled up. */
  static int steady(Demand demand, Shape shape) {
    return (int) Math.ceil(steadySlots(demand) / shape.slots() - SPARED_PART);
  }

  private static double steadySlots(Demand demand) {
    var busy = demand.perS() * runUs(demand) / 1e6;
    return busy + HEADROOM * Math.sqrt(busy);
  }

  private static double runUs(Demand demand) {
    return demand.runUs() > 0 ? demand.runUs() : FIRST_RUN_US;
  }

  /**
   * How many instances the owner should have now, those that are starting among them: the steady
   * ones and as many as work off what waits within the time of one start, but no more than there
   * are calls.
   *
   * @param has how many it has
   */
  static int wanted(Demand demand, Shape shape, int has) {
    var steady = steady(demand, shape);
    var all = demand.waiting() + demand.running();
    if (all == 0) {
      return Math.min(has, steady);
    }
    if (demand.waiting() == 0) {
      return Math.max(steady, Math.min(has, 1));
    }
    var drainUs = Math.max(shape.startupUs(), FIRST_RUN_US);
    var backlog = demand.waiting() * runUs(demand) / (shape.slots() * drainUs);
    var flow = steadySlots(demand) / shape.slots();
    var forAll = (int) Math.ceil((double) all / shape.slots());
    var wanted = Math.min(Math.max(1, forAll), (int) Math.ceil(flow + backlog - SPARED_PART));
    return Math.max(1, Math.max(steady, wanted));
  }
}
