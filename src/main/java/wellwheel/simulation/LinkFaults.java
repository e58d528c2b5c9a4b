package wellwheel.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/** Which links of a simulated cluster are cut, and which hold what is sent on them. */
final class LinkFaults {
  /** When a peer that does not answer is given up: the wait for a ping and for its answer. */
  private static final long SILENCE_US = 950_000;

  private final BiConsumer<Long, Runnable> after;
  private final LongSupplier nowUs;
  private final Set<String> cuts = new HashSet<>();
  private final Map<String, Long> heldUntilUs = new HashMap<>();
  private final Set<String> givenUp = new HashSet<>();

  LinkFaults(BiConsumer<Long, Runnable> after, LongSupplier nowUs) {
    this.after = after;
    this.nowUs = nowUs;
  }

  void cutOff(String ip, long spanUs) {
    cut(ip, spanUs);
  }

  void cutPair(String one, String other, long spanUs) {
    cut(one + "|" + other, spanUs);
  }

  private void cut(String what, long spanUs) {
    cuts.add(what);
    after.accept(spanUs, () -> cuts.remove(what));
  }

  boolean isCut(String one, String other) {
    return !one.equals(other)
        && (cuts.contains(one + "|" + other)
            || cuts.contains(other + "|" + one)
            || cuts.contains(one)
            || cuts.contains(other));
  }

  /** What is sent from one node to another lies on the link until it opens. */
  void hold(String from, String to, long spanUs) {
    var link = from + ">" + to;
    var untilUs = nowUs.getAsLong() + spanUs;
    heldUntilUs.merge(link, untilUs, Math::max);
    after.accept(
        spanUs,
        () -> {
          if (!isHeld(from, to)) {
            givenUp.remove(link);
            givenUp.remove(to + ">" + from);
          }
        });
  }

  long heldUntilUs(String from, String to) {
    return heldUntilUs.getOrDefault(from + ">" + to, 0L);
  }

  private boolean isHeld(String from, String to) {
    return nowUs.getAsLong() < heldUntilUs(from, to);
  }

  /** Whether no connection to a node comes up, as its greeting or the answer to it is held. */
  boolean isGivenUp(String from, String to) {
    return givenUp.contains(from + ">" + to);
  }

  /** A frame is sent: if the answer to it is held for too long, the node is given up. */
  void awaitAnswer(String from, String to, Runnable onDown) {
    if (!isHeld(from, to) && !isHeld(to, from)) {
      return;
    }
    after.accept(
        SILENCE_US,
        () -> {
          if ((isHeld(from, to) || isHeld(to, from)) && givenUp.add(from + ">" + to)) {
            onDown.run();
          }
        });
  }
}
