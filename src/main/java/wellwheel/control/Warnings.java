package wellwheel.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;

/** Judges reports of storage nodes and names tenants that are held back and workers that lag. */
final class Warnings {
  private static final System.Logger LOG = System.getLogger("warnings");
  private static final long FRESH_US = 700_000;
  private static final long SURE_US = 80_000;
  private static final long CALM_US = 1_500_000;
  private static final long COLD_US = 3_000_000;
  private static final double ROOM = 0.4;
  private static final double FAR = 3;
  private static final double OVERTAKEN = 0.7;
  private static final double STANDS = 0.85;
  private static final long NEVER_US = Long.MAX_VALUE / 4;
  private static final double FLOOD = 4;
  private static final double LAG = 2;
  private static final double SPREAD = 4;
  private static final double STUCK = 5;
  private static final int KEPT_MOST = 256;

  enum Kind {
    UNFAIR,
    LAGGARD
  }

  record Warning(
      Kind kind,
      String service,
      String subject,
      int rank,
      Set<String> nodes,
      Set<Long> partitions,
      long valueUs,
      long peersUs,
      long sinceUs,
      long lastUs,
      String cause) {
    JsonObject json() {
      var root = new JsonObject();
      root.addProperty("Kind", kind == Kind.UNFAIR ? "tenant-held-back" : "laggard-worker");
      root.addProperty("Service", service);
      root.addProperty(kind == Kind.UNFAIR ? "Tenant" : "Worker", subject);
      if (kind == Kind.UNFAIR) {
        root.addProperty("Rank", rank);
        root.addProperty("WaitUs", valueUs);
        root.addProperty("PeersWaitUs", peersUs);
      } else {
        root.addProperty("TimesUsual", valueUs / 100.0);
        root.addProperty("PeersTimesUsual", peersUs / 100.0);
      }
      root.addProperty("SinceUs", sinceUs);
      root.addProperty("Cause", cause);
      root.add("Nodes", array(nodes));
      root.add("Lines", array(partitions));
      return root;
    }

    private static JsonArray array(Collection<?> items) {
      var list = new JsonArray();
      items.forEach(item -> list.add(item.toString()));
      return list;
    }
  }

  private record Digest(Frame frame, long heardUs) {}

  private static final class Tenant {
    double arrivals;
    long frontUs = NEVER_US;
    long frontWaitUs;
    long waiting;
    long oldestUs;
    long aimUs;
    boolean backlog;
    final Set<String> nodes = new TreeSet<>();
    final Set<Long> partitions = new TreeSet<>();
  }

  private static final class Worker {
    double attempts;
    double ratios;
    double longest;
    long ageUs;
    final Set<String> nodes = new TreeSet<>();

    double mean() {
      return attempts > 0 ? ratios / attempts : 0;
    }
  }

  private final Map<String, Digest> digests = new LinkedHashMap<>();
  private final Map<String, Warning> open = new LinkedHashMap<>();

  private final Map<String, Long> doubted = new LinkedHashMap<>();
  private final Map<String, Long> doubtedUs = new LinkedHashMap<>();

  void clear() {
    digests.clear();
    open.clear();
    doubted.clear();
    doubtedUs.clear();
  }

  void hear(String node, Frame frame, long nowUs) {
    if (digests.size() < KEPT_MOST || digests.containsKey(node)) {
      digests.put(node, new Digest(frame, nowUs));
    }
  }

  List<Warning> all() {
    return List.copyOf(open.values());
  }

  void judge(long nowUs) {
    digests.values().removeIf(digest -> nowUs - digest.heardUs() > FRESH_US);
    doubtedUs.values().removeIf(lastUs -> nowUs - lastUs > FRESH_US);
    doubted.keySet().retainAll(doubtedUs.keySet());
    if (!digests.isEmpty()) {
      judgeTenants(nowUs);
      judgeWorkers(nowUs);
    }
    open.values()
        .removeIf(
            warning -> {
              var over = nowUs - warning.lastUs() > CALM_US;
              if (over) {
                LOG.log(
                    System.Logger.Level.INFO,
                    "code=" + ResultCode.WARNING_ENDS.number() + " " + warning.json());
              }
              return over;
            });
  }

  private void judgeTenants(long nowUs) {
    var partitions = new TreeMap<String, Map<String, Tenant>>();
    digests.forEach(
        (node, digest) ->
            digest
                .frame()
                .frames("tenants")
                .forEach(
                    row -> {
                      var tenant =
                          partitions
                              .computeIfAbsent(
                                  row.text("s") + "\n" + row.small("k"), key -> new TreeMap<>())
                              .computeIfAbsent(row.text("t"), key -> new Tenant());
                      tenant.backlog |= row.number("b") > 1;
                      tenant.arrivals += row.number("a") / 100.0;
                      if (row.has("f") && row.number("f") < tenant.frontUs) {
                        tenant.frontUs = row.number("f");
                        tenant.frontWaitUs = row.number("w");
                      }
                      tenant.waiting += row.number("n");
                      tenant.aimUs = Math.max(tenant.aimUs, row.number("m"));
                      if (row.number("n") > 0) {
                        tenant.oldestUs = Math.max(tenant.oldestUs, row.number("o"));
                        tenant.nodes.add(node);
                        tenant.partitions.add(row.number("l") - 1);
                      }
                    }));
    partitions.forEach(
        (key, tenants) ->
            tenants.forEach((name, tenant) -> judge(key, name, tenant, tenants, nowUs)));
  }

  private void judge(String key, String name, Tenant tenant, Map<String, Tenant> all, long nowUs) {
    var others =
        all.entrySet().stream()
            .filter(e -> !e.getKey().equals(name))
            .map(Map.Entry::getValue)
            .toList();
    var floods =
        tenant.arrivals
            > FLOOD * Math.max(1, median(others.stream().map(each -> each.arrivals).toList()));
    var standsStill = floods || tenant.frontUs >= STANDS * tenant.oldestUs;
    if (tenant.waiting == 0
        || tenant.aimUs == 0
        || tenant.oldestUs < tenant.aimUs * ROOM
        || !standsStill
        || all.values().stream().anyMatch(each -> each.backlog)) {
      return;
    }
    var peers =
        others.stream().filter(each -> each.waiting > 0 || each.frontUs < tenant.oldestUs).toList();
    var overtook =
        peers.stream()
            .filter(
                peer ->
                    peer.frontUs < OVERTAKEN * tenant.oldestUs
                        && peer.frontWaitUs * FAR < tenant.oldestUs)
            .toList();
    if (overtook.size() * 2 < peers.size() + (floods ? 0 : 1)) {
      return;
    }
    var peersUs = median(overtook.stream().map(peer -> (double) peer.frontWaitUs).toList());
    var cause =
        floods
            ? "its own backlog: it sends far more than its peers"
            : tenant.nodes.size() == 1
                ? "held back at one storage node"
                : "held back at several storage nodes";
    var cut = key.indexOf('\n');
    raise(
        new Warning(
            Kind.UNFAIR,
            key.substring(0, cut),
            name,
            Integer.parseInt(key.substring(cut + 1)),
            tenant.nodes,
            tenant.partitions,
            tenant.oldestUs,
            (long) peersUs,
            nowUs,
            nowUs,
            cause));
  }

  private void judgeWorkers(long nowUs) {
    var services = new TreeMap<String, Map<String, Worker>>();
    digests.forEach(
        (node, digest) ->
            digest
                .frame()
                .frames("workers")
                .forEach(
                    row -> {
                      var worker =
                          services
                              .computeIfAbsent(row.text("s"), key -> new TreeMap<>())
                              .computeIfAbsent(row.text("w"), key -> new Worker());
                      worker.attempts += row.number("n") / 100.0;
                      worker.ratios += row.number("r") / 100.0;
                      worker.longest = Math.max(worker.longest, row.number("l") / 100.0);
                      worker.ageUs = Math.max(worker.ageUs, row.number("a"));
                      worker.nodes.add(node);
                    }));
    services.forEach(
        (service, workers) ->
            workers.forEach((name, worker) -> judge(service, name, worker, workers, nowUs)));
  }

  private void judge(
      String service, String name, Worker worker, Map<String, Worker> all, long nowUs) {
    var peers =
        all.entrySet().stream()
            .filter(e -> !e.getKey().equals(name) && e.getValue().attempts >= 3)
            .map(Map.Entry::getValue)
            .toList();
    if (worker.ageUs < COLD_US || peers.size() < 2) {
      return;
    }
    var usual = median(peers.stream().map(Worker::mean).toList());
    var spread = median(peers.stream().map(peer -> Math.abs(peer.mean() - usual)).toList());
    var peersLongest = median(peers.stream().map(peer -> peer.longest).toList());
    var slow =
        worker.attempts >= 4
            && worker.mean() > LAG * usual * (1 + 1 / Math.sqrt(worker.attempts))
            && worker.mean() > usual + SPREAD * Math.max(spread, 0.1 * usual);
    var stuck =
        worker.longest > STUCK * Math.max(1, usual)
            && worker.longest > 3 * Math.max(1, peersLongest);
    if (slow || stuck) {
      var value = Math.round(100 * (stuck ? worker.longest : worker.mean()));
      raise(
          new Warning(
              Kind.LAGGARD,
              service,
              name,
              0,
              worker.nodes,
              Set.of(),
              value,
              Math.round(usual * 100),
              nowUs,
              nowUs,
              stuck ? "an attempt does not end" : "its attempts take longer on the same paths"));
    }
  }

  private void raise(Warning warning) {
    var key =
        warning.kind()
            + "\n"
            + warning.service()
            + "\n"
            + warning.rank()
            + "\n"
            + warning.subject();
    var old = open.get(key);
    if (old == null
        && warning.lastUs() - doubted.computeIfAbsent(key, each -> warning.lastUs()) < SURE_US) {
      doubtedUs.put(key, warning.lastUs());
      return;
    }
    if (old == null) {
      if (open.size() >= KEPT_MOST) {
        return;
      }
      open.put(key, warning);
      LOG.log(
          System.Logger.Level.WARNING,
          "code="
              + (warning.kind() == Kind.UNFAIR ? ResultCode.HELD_BACK : ResultCode.LAGGARD).number()
              + " "
              + warning.json());
      return;
    }
    var nodes = new TreeSet<>(old.nodes());
    nodes.addAll(warning.nodes());
    var partitions = new TreeSet<>(old.partitions());
    partitions.addAll(warning.partitions());
    open.put(
        key,
        new Warning(
            old.kind(),
            old.service(),
            old.subject(),
            old.rank(),
            nodes,
            partitions,
            Math.max(old.valueUs(), warning.valueUs()),
            warning.peersUs(),
            old.sinceUs(),
            warning.lastUs(),
            warning.cause()));
  }

  private static double median(Collection<Double> values) {
    var sorted = new ArrayList<>(values);
    sorted.sort(Double::compare);
    return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
  }

  Set<String> services() {
    var found = new TreeSet<String>();
    digests.values().forEach(digest -> found.addAll(digest.frame().texts("services")));
    return found;
  }
}
