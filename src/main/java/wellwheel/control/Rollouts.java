package wellwheel.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import wellwheel.cluster.Rollout;
import wellwheel.transport.Frame;

/** The replicated rollouts of all services and the tallies that move them on or back. */
final class Rollouts {
  private static final int SERVICES_MOST = 256;
  private static final int THIN_STEPS = 4;
  private final Map<String, Rollout> rollouts = new TreeMap<>();
  private final Map<String, Map<String, Rollout.Tally>> tallies = new HashMap<>();
  private final Map<String, Set<String>> seen = new HashMap<>();
  private final Map<String, Long> stepSinceUs = new HashMap<>();
  private final Map<String, Long> legsAtStep = new HashMap<>();

  void forgetMemory() {
    tallies.clear();
    seen.clear();
    stepSinceUs.clear();
    legsAtStep.clear();
  }

  Optional<Rollout> of(String service) {
    return Optional.ofNullable(rollouts.get(service));
  }

  boolean full() {
    return rollouts.size() >= SERVICES_MOST;
  }

  Collection<Rollout> all() {
    return rollouts.values();
  }

  boolean apply(Rollout rollout) {
    var old = of(rollout.service());
    if (rollout.epoch() != old.map(Rollout::epoch).orElse(0L) + 1) {
      return false;
    }
    rollouts.put(rollout.service(), rollout);
    stepSinceUs.remove(rollout.service());
    if (old.map(Rollout::run).orElse(-1L) != rollout.run()) {
      tallies.remove(rollout.service());
    }
    return true;
  }

  void restore(List<Rollout> all) {
    rollouts.clear();
    all.forEach(rollout -> rollouts.put(rollout.service(), rollout));
    forgetMemory();
  }

  void hear(String node, List<Frame> rows) {
    for (var row : rows) {
      var rollout = of(row.text("s"));
      if (rollout.isEmpty()) {
        continue;
      }
      seen.computeIfAbsent(row.text("s"), each -> new HashSet<>()).addAll(row.texts("seen"));
      if (row.number("run") == rollout.get().run()) {
        tallies
            .computeIfAbsent(row.text("s"), each -> new HashMap<>())
            .put(node, Rollout.Tally.read(row));
      }
    }
  }

  Rollout.Tally tally(String service) {
    return tallies.getOrDefault(service, Map.of()).values().stream()
        .reduce(Rollout.Tally.NONE, Rollout.Tally::and);
  }

  List<Rollout> due(Map<String, Set<String>> listed, long nowUs) {
    var found = new ArrayList<Rollout>();
    rollouts
        .values()
        .forEach(
            rollout ->
                next(rollout, listed.getOrDefault(rollout.service(), Set.of()), nowUs)
                    .ifPresent(found::add));
    return found;
  }

  private Optional<Rollout> next(Rollout rollout, Set<String> listed, long nowUs) {
    if (rollout.phase() == Rollout.Phase.IDLE) {
      var versions = new java.util.TreeSet<>(listed);
      versions.addAll(seen.getOrDefault(rollout.service(), Set.of()));
      return versions.stream()
          .filter(
              each ->
                  !each.isEmpty()
                      && !rollout.trusted().contains(each)
                      && !rollout.reverted().contains(each))
          .findFirst()
          .map(rollout::started);
    }
    var tally = tally(rollout.service());
    if (rollout.over(tally)) {
      return Optional.of(rollout.takenBack());
    }
    if (stepSinceUs.putIfAbsent(rollout.service(), nowUs) == null) {
      legsAtStep.put(rollout.service(), tally.newLegs());
    }
    var ageUs = nowUs - stepSinceUs.get(rollout.service());
    var attempts = tally.newLegs() - legsAtStep.get(rollout.service());
    var ripe =
        ageUs >= rollout.stepUs() && attempts >= rollout.legsPerStep()
            || ageUs >= THIN_STEPS * rollout.stepUs();
    return rollout.phase() == Rollout.Phase.SHIFTING && ripe
        ? Optional.of(rollout.onward())
        : Optional.empty();
  }
}
