package wellwheel.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import wellwheel.runtime.Clock;

/** Messages that wait for others to end, and those that ask to be told of an end. */
final class StepDependencies {
  enum Ended {
    NOT_YET,
    WELL,
    FAILED,
    FORGOTTEN
  }

  private static final long ASK_US = 500_000;
  private static final int STEPS_MOST = 65_536;
  private static final int SUBSCRIBERS_MOST = 1_024;

  private final Clock clock;
  private final Consumer<String> ask;
  private final Map<String, Set<Message>> waiting = new LinkedHashMap<>();
  private final Map<String, Long> askedUs = new HashMap<>();
  private final Map<String, Set<String>> subscribers =
      new LinkedHashMap<>(16, 0.75f, false) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Set<String>> eldest) {
          return size() > STEPS_MOST;
        }
      };

  StepDependencies(Clock clock, Consumer<String> ask) {
    this.clock = clock;
    this.ask = ask;
  }

  static String name(Message message) {
    return message.partition + "-" + message.id;
  }

  static Optional<Integer> partitionOf(String step) {
    var dash = step.indexOf('-');
    return dash > 0 && dash < 3 && step.substring(0, dash).matches("[0-9]+")
        ? Optional.of(Integer.parseInt(step.substring(0, dash)))
        : Optional.empty();
  }

  static String idOf(String step) {
    return step.substring(step.indexOf('-') + 1);
  }

  void await(Message message) {
    for (var step : message.after) {
      waiting.computeIfAbsent(step, each -> new LinkedHashSet<>()).add(message);
      if (!askedUs.containsKey(step)) {
        askedUs.put(step, clock.steadyUs());
        ask.accept(step);
      }
    }
  }

  void tick(Predicate<Message> waits) {
    if (waiting.isEmpty()) {
      return;
    }
    waiting.values().forEach(messages -> messages.removeIf(message -> !waits.test(message)));
    waiting.values().removeIf(Set::isEmpty);
    askedUs.keySet().retainAll(waiting.keySet());
    var nowUs = clock.steadyUs();
    for (var step : waiting.keySet()) {
      if (nowUs - askedUs.getOrDefault(step, 0L) >= ASK_US) {
        askedUs.put(step, nowUs);
        ask.accept(step);
      }
    }
  }

  List<Message> take(String step) {
    askedUs.remove(step);
    var found = waiting.remove(step);
    return found == null ? List.of() : new ArrayList<>(found);
  }

  void subscribe(String step, String ip) {
    var ips = subscribers.computeIfAbsent(step, each -> new HashSet<>());
    if (ips.size() < SUBSCRIBERS_MOST) {
      ips.add(ip);
    }
  }

  Set<String> unsubscribeAll(String step) {
    if (subscribers.isEmpty()) {
      return Set.of();
    }
    var found = subscribers.remove(step);
    return found == null ? Set.of() : found;
  }

  boolean none() {
    return subscribers.isEmpty() && waiting.isEmpty();
  }

  boolean relied(String step) {
    return subscribers.containsKey(step) || waiting.containsKey(step);
  }
}
