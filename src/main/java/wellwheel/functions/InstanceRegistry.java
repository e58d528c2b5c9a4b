package wellwheel.functions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The instances of all functions as the control leader knows them: from its own starts, from the
 * platform's list, which lags, and from the reports of their owners.
 */
final class InstanceRegistry {
  /** A start may be away from the list for so long after it should be up. */
  private static final long UNLISTED_US = 4_000_000;

  /** What was stopped may stand on the platform's list for so long. */
  private static final long STOPPED_LISTED_US = 10_000_000;

  private final Map<String, Map<String, ManagedInstance>> byService = new HashMap<>();
  private final Map<String, Long> stoppedUs = new HashMap<>();

  /** Instances that were on their way to another owner when last looked at. */
  private final Set<ManagedInstance> moving = new LinkedHashSet<>();

  void clear() {
    byService.clear();
    moving.clear();
  }

  /** An instance is to go to another owner once its owner has let it go. */
  void move(ManagedInstance instance, String nextOwner) {
    instance.nextOwner = nextOwner;
    moving.add(instance);
  }

  /** The instances that an owner is to let go. */
  List<ManagedInstance> movingFrom(String owner) {
    moving.removeIf(each -> !each.moves() || of(each.service).get(each.id) != each);
    return moving.stream().filter(each -> each.owner.equals(owner)).toList();
  }

  /** The instances of a function, by identifier. */
  Map<String, ManagedInstance> of(String service) {
    return byService.computeIfAbsent(service, key -> new LinkedHashMap<>());
  }

  /** The instances of a function that an owner may use. */
  List<ManagedInstance> of(String service, String owner) {
    var found = new ArrayList<ManagedInstance>();
    for (var each : byService.getOrDefault(service, Map.of()).values()) {
      if (each.owner.equals(owner) && !each.moves()) {
        found.add(each);
      }
    }
    return found;
  }

  /** How many instances of a function an owner gets once their owners have let them go. */
  long awaited(String service, String owner) {
    return byService.getOrDefault(service, Map.of()).values().stream()
        .filter(each -> each.nextOwner.equals(owner))
        .count();
  }

  /** All instances, copied. */
  Collection<ManagedInstance> all() {
    var found = new ArrayList<ManagedInstance>();
    byService.values().forEach(instances -> found.addAll(instances.values()));
    return found;
  }

  /** Forgets an instance that is about to be stopped, and does not take it up from the list. */
  void stopped(ManagedInstance instance, long nowUs) {
    of(instance.service).remove(instance.id);
    stoppedUs.put(instance.id, nowUs);
  }

  /**
   * Takes in the platform's list.
   *
   * @param drains told of each instance that an owner had and that is leaving now; it has been
   *     taken from its owner, whose name comes with it
   */
  void take(List<Platform.Listed> list, long nowUs, Consumer<Drained> drains) {
    Set<String> seen = new HashSet<>();
    list.forEach(each -> seen.add(each.id()));
    byService.values().forEach(all -> all.values().removeIf(each -> gone(each, seen, nowUs)));
    stoppedUs.values().removeIf(atUs -> nowUs - atUs > STOPPED_LISTED_US);
    for (var each : list) {
      if (!stoppedUs.containsKey(each.id())) {
        takeUp(each, nowUs, drains);
      }
    }
  }

  /** An instance that leaves, and who owned it. */
  record Drained(String service, String owner) {}

  private static boolean gone(ManagedInstance each, Set<String> seen, long nowUs) {
    return !seen.contains(each.id)
        && (each.state != ManagedInstance.State.STARTING || nowUs > each.upUs + UNLISTED_US);
  }

  private void takeUp(Platform.Listed found, long nowUs, Consumer<Drained> drains) {
    var known =
        of(found.service())
            .computeIfAbsent(
                found.id(),
                id ->
                    new ManagedInstance(
                        id,
                        found.service(),
                        found.address(),
                        ManagedInstance.State.READY,
                        nowUs,
                        nowUs));
    known.proven = true;
    known.state = found.draining() ? ManagedInstance.State.DRAINING : ManagedInstance.State.READY;
    if (found.draining() && !known.owner.isEmpty()) {
      var owner = known.owner;
      known.owner = "";
      known.nextOwner = "";
      drains.accept(new Drained(found.service(), owner));
    }
  }
}
