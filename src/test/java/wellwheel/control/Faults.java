package wellwheel.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The first fault against each rule. */
final class Faults {
  private final Map<String, String> first = new LinkedHashMap<>();

  void add(long atUs, String rule, String what) {
    first.putIfAbsent(rule, String.format("%.3f s: %s: %s", atUs / 1e6, rule, what));
  }

  boolean none() {
    return first.isEmpty();
  }

  List<String> all() {
    return List.copyOf(first.values());
  }
}
