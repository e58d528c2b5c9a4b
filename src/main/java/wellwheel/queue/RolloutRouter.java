package wellwheel.queue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32;
import wellwheel.cluster.Rollout;

/** Decides which version of a service a message may run at while a rollout is under way. */
final class RolloutRouter {
  static final int NEVER = 3;
  private static final int SEEN_MOST = 16;
  private static final long OLD_GONE_US = 5_000_000;
  private final Map<String, Rollout> rollouts = new HashMap<>();
  private final Map<String, Rollout.Tally> tallies = new HashMap<>();
  private final Map<String, Set<String>> seen = new HashMap<>();
  private final Map<String, Long> oldSeenUs = new HashMap<>();

  void take(List<Rollout> fresh, long nowUs) {
    for (var rollout : fresh) {
      var old = Optional.ofNullable(rollouts.get(rollout.service()));
      if (old.map(Rollout::epoch).orElse(0L) >= rollout.epoch()) {
        continue;
      }
      rollouts.put(rollout.service(), rollout);
      oldSeenUs.putIfAbsent(rollout.service(), nowUs);
      if (old.map(Rollout::run).orElse(-1L) != rollout.run()) {
        tallies.put(rollout.service(), Rollout.Tally.NONE);
      }
    }
  }

  Optional<Rollout> of(String service) {
    return Optional.ofNullable(rollouts.get(service));
  }

  void sees(String service, String version, long nowUs) {
    of(service)
        .ifPresent(
            rollout -> {
              if (rollout.trusted().contains(version)) {
                oldSeenUs.put(service, nowUs);
              } else if (!version.isEmpty()) {
                var all = seen.computeIfAbsent(service, each -> new TreeSet<>());
                if (all.size() < SEEN_MOST) {
                  all.add(version);
                }
              }
            });
  }

  boolean braked(Rollout rollout) {
    return rollout.over(tallies.getOrDefault(rollout.service(), Rollout.Tally.NONE));
  }

  private boolean wantsNew(Rollout rollout, Message message, int tries) {
    var last = message.fails >= tries - 1;
    return rollout.share() > 0
        && !braked(rollout)
        && !message.spentOnNew
        && !last
        && bucket(rollout, message) < rollout.share();
  }

  private static int bucket(Rollout rollout, Message message) {
    var sum = new CRC32();
    sum.update(
        (rollout.run() + "\n" + (message.orderKey.isEmpty() ? message.id : message.orderName()))
            .getBytes(StandardCharsets.UTF_8));
    return (int) (sum.getValue() % 100);
  }

  int order(Rollout rollout, Message message, int tries, String version, long nowUs) {
    var fresh = wantsNew(rollout, message, tries);
    if (version.equals(rollout.next()) && !version.isEmpty()) {
      return fresh ? 0 : oldGone(rollout, nowUs) ? 2 : NEVER;
    }
    if (version.equals(rollout.current())) {
      return fresh ? 1 : 0;
    }
    return rollout.trusted().contains(version)
        ? 2
        : oldGone(rollout, nowUs) && !rollout.reverted().contains(version) ? 2 : NEVER;
  }

  private boolean oldGone(Rollout rollout, long nowUs) {
    return nowUs - oldSeenUs.getOrDefault(rollout.service(), nowUs) > OLD_GONE_US;
  }

  boolean outcome(String service, String version, boolean bad) {
    var rollout = of(service).filter(each -> !each.next().isEmpty());
    if (rollout.isEmpty()) {
      return false;
    }
    var before = braked(rollout.get());
    tallies.merge(
        service,
        Rollout.Tally.NONE.with(version.equals(rollout.get().next()), bad),
        Rollout.Tally::and);
    return !before && braked(rollout.get());
  }

  List<Object> rows() {
    var rows = new ArrayList<Object>();
    rollouts.forEach(
        (service, rollout) -> {
          var versions = seen.getOrDefault(service, Set.of());
          if (!rollout.next().isEmpty() || !versions.isEmpty()) {
            rows.add(
                tallies
                    .getOrDefault(service, Rollout.Tally.NONE)
                    .frame()
                    .with("s", service)
                    .with("run", rollout.run())
                    .with("seen", List.<Object>copyOf(versions)));
          }
        });
    return rows;
  }
}
