package wellwheel.queue;

import java.util.HashMap;
import java.util.Map;
import wellwheel.runtime.Clock;

/**
 * Which storage nodes have said that they have no room. A primary takes nothing new for a partition
 * with a copy on one of them, as that copy holds all that the primary accepts.
 */
final class CopyPressure {
  /** A node counts as full for so long after it said so; the next hand-in then asks it again. */
  static final long FULL_US = 1_000_000;

  private final Clock clock;
  private final Map<String, Long> fullSinceUs = new HashMap<>();

  CopyPressure(Clock clock) {
    this.clock = clock;
  }

  /** Notes what the node at this address said with an acknowledgement. */
  void told(String ip, boolean full) {
    if (full) {
      fullSinceUs.values().removeIf(sinceUs -> clock.steadyUs() - sinceUs >= FULL_US);
      fullSinceUs.put(ip, clock.steadyUs());
    } else {
      fullSinceUs.remove(ip);
    }
  }

  boolean isFull(String ip) {
    var sinceUs = fullSinceUs.get(ip);
    return sinceUs != null && clock.steadyUs() - sinceUs < FULL_US;
  }
}
