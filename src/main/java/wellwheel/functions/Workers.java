package wellwheel.functions;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The worker machines and what memory is left on them, less what was started since they told. */
final class Workers {
  private List<Platform.Worker> listed = List.of();
  private final Map<String, Integer> takenMb = new HashMap<>();
  private final Set<String> full = new HashSet<>();

  void list(List<Platform.Worker> fresh) {
    listed = List.copyOf(fresh);
    takenMb.clear();
    full.clear();
  }

  /** The worker refused an instance: it gets no more until the next list. */
  void refused(String worker) {
    full.add(worker);
  }

  /** Picks the worker with the most memory left, in the zone if one there has room. */
  Optional<Platform.Worker> pick(int memoryMb, String zone) {
    var near = most(memoryMb, zone);
    var found = near.isPresent() ? near : most(memoryMb, "");
    found.ifPresent(worker -> takenMb.merge(worker.name(), memoryMb, Integer::sum));
    return found;
  }

  private Optional<Platform.Worker> most(int memoryMb, String zone) {
    Platform.Worker best = null;
    for (var worker : listed) {
      var fits =
          worker.ready()
              && !full.contains(worker.name())
              && leftMb(worker) >= memoryMb
              && (zone.isEmpty() || worker.zone().equals(zone));
      if (fits && (best == null || leftMb(worker) > leftMb(best))) {
        best = worker;
      }
    }
    return Optional.ofNullable(best);
  }

  private int leftMb(Platform.Worker worker) {
    return worker.freeMb() - takenMb.getOrDefault(worker.name(), 0);
  }
}
