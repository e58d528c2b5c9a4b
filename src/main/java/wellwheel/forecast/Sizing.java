package wellwheel.forecast;

/** Slots needed so that few starts wait longer than the aim, by the formula of Erlang. */
public final class Sizing {
  public static final double LATE_PART = 0.05;
  public static final long STARTS_LEAST = 10;
  private static final int SLOTS_MOST = 1_000_000;

  private Sizing() {}

  static double lateShare(double load, long slots, double legS, double aimS) {
    if (load <= 0 || slots <= 0) {
      return load <= 0 ? 0 : 1;
    }
    if (load >= slots) {
      return 1;
    }
    var blocked = 1.0;
    for (var servers = 1; servers <= slots; servers++) {
      blocked = load * blocked / (servers + load * blocked);
    }
    var waits = slots * blocked / (slots - load * (1 - blocked));
    return waits * Math.exp(-(slots - load) * aimS / Math.max(1e-9, legS));
  }

  public static long slotsNeeded(double load, double legS, double aimS) {
    if (load <= 0) {
      return 0;
    }
    var low = (long) Math.floor(load) + 1;
    var high = low;
    while (high < SLOTS_MOST && lateShare(load, high, legS, aimS) > LATE_PART) {
      high = high + Math.max(1, high / 8);
    }
    while (low < high) {
      var middle = (low + high) / 2;
      if (lateShare(load, middle, legS, aimS) > LATE_PART) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
