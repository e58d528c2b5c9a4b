package wellwheel.queue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wellwheel.transport.Frame;

/** Finds tenants that are held back and workers that are slower than their peers. */
final class StragglerDetector {
  private static final long FADE_US = 1_000_000;
  private static final long REPORT_US = 100_000;
  private static final double FADE = 0.85;
  private static final double EARLY = 0.25;
  private static final double SLOW = 2;
  private static final double STUCK = 4;
  private static final int LEGS_MOST = 8192;
  private static final int WORKERS_MOST = 512;
  private static final int ROWS_MOST = 256;
  private static final int KNOWN = 8;

  private record Attempt(String service, String worker, String path, long sinceUs) {}

  private static final class Typical {
    double us;
    int samples;

    void add(long tookUs) {
      samples++;
      if (samples <= KNOWN) {
        us += (tookUs - us) / samples;
      } else {
        us += Math.signum(tookUs - us) * us * 0.05;
      }
    }
  }

  private static final class Worker {
    double attempts;
    double ratios;
    final long seenUs;

    Worker(long seenUs) {
      this.seenUs = seenUs;
    }
  }

  private static <V> Map<String, V> bounded(int most) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > most;
      }
    };
  }

  private final Map<String, Attempt> running = bounded(LEGS_MOST);
  private final Map<String, Typical> typical = bounded(WORKERS_MOST);
  private final Map<String, Worker> workers = bounded(WORKERS_MOST);
  private long fadedUs;
  private long reportedUs;
  private boolean told;

  void begins(String service, String worker, String path, String lease, long nowUs) {
    if (!worker.isEmpty()) {
      workers.computeIfAbsent(service + "\n" + worker, key -> new Worker(nowUs));
      running.put(lease, new Attempt(service, worker, path, nowUs));
    }
  }

  void ends(String lease, boolean done, long nowUs) {
    var attempt = running.remove(lease);
    if (attempt == null || !done) {
      return;
    }
    var usual = typical.computeIfAbsent(attempt.path(), path -> new Typical());
    var tookUs = Math.max(1, nowUs - attempt.sinceUs());
    if (usual.samples >= KNOWN) {
      var worker =
          workers.computeIfAbsent(
              attempt.service() + "\n" + attempt.worker(), key -> new Worker(attempt.sinceUs()));
      worker.attempts++;
      worker.ratios += tookUs / Math.max(1_000, usual.us);
    }
    usual.add(tookUs);
  }

  Optional<Frame> report(Map<String, Dispatcher> dispatchers, long nowUs) {
    if (nowUs - fadedUs > FADE_US) {
      fadedUs = nowUs;
      dispatchers.values().forEach(dispatcher -> dispatcher.fade(FADE));
      workers
          .values()
          .forEach(
              worker -> {
                worker.attempts *= FADE;
                worker.ratios *= FADE;
              });
    }
    if (nowUs - reportedUs < REPORT_US) {
      return Optional.empty();
    }
    var services = new ArrayList<String>();
    dispatchers.values().stream()
        .filter(dispatcher -> dispatcher.latestPart(nowUs) > EARLY)
        .forEach(dispatcher -> services.add(dispatcher.service));
    longest(nowUs)
        .forEach(
            (key, ratio) -> {
              var worker = workers.get(key);
              if (ratio >= STUCK
                  || worker != null
                      && worker.attempts >= 3
                      && worker.ratios / worker.attempts >= SLOW) {
                services.add(key.substring(0, key.indexOf('\n')));
              }
            });
    if (services.isEmpty() && !told) {
      return Optional.empty();
    }
    reportedUs = nowUs;
    told = !services.isEmpty();
    return Optional.of(rows(dispatchers, services, nowUs));
  }

  Frame rows(Map<String, Dispatcher> dispatchers, List<String> services, long nowUs) {
    var tenants = new ArrayList<Object>();
    services.stream()
        .distinct()
        .filter(dispatchers::containsKey)
        .forEach(service -> tenants.addAll(dispatchers.get(service).tenantRows(nowUs)));
    var slow = longest(nowUs);
    var rows = new ArrayList<Object>();
    workers.forEach(
        (key, worker) -> {
          var cut = key.indexOf('\n');
          if (services.contains(key.substring(0, cut))) {
            rows.add(
                new Frame()
                    .with("s", key.substring(0, cut))
                    .with("w", key.substring(cut + 1))
                    .with("n", Math.round(worker.attempts * 100))
                    .with("r", Math.round(worker.ratios * 100))
                    .with("l", Math.round(slow.getOrDefault(key, 0.0) * 100))
                    .with("a", nowUs - worker.seenUs));
          }
        });
    return Frame.of("watch")
        .with("services", List.<Object>copyOf(services.stream().distinct().toList()))
        .with("tenants", tenants.subList(0, Math.min(ROWS_MOST, tenants.size())))
        .with("workers", rows.subList(0, Math.min(ROWS_MOST, rows.size())));
  }

  private Map<String, Double> longest(long nowUs) {
    var found = new LinkedHashMap<String, Double>();
    workers.forEach((key, worker) -> found.put(key, 0.0));
    running
        .values()
        .forEach(
            attempt -> {
              var usual = typical.get(attempt.path());
              if (usual != null && usual.samples >= KNOWN) {
                found.merge(
                    attempt.service() + "\n" + attempt.worker(),
                    (nowUs - attempt.sinceUs()) / Math.max(1_000, usual.us),
                    Math::max);
              }
            });
    return found;
  }
}
