package wellwheel.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import wellwheel.cluster.ClusterView;
import wellwheel.transport.Frame;

/** The due messages of one service and the processors and pulls that can take them. */
final class Dispatcher {
  private static final int LATE_TURN = 4;
  private static final int SHARES_MOST = 1024;
  private static final int LATE_LOOKED_AT = 64;

  record Demand(
      String edgeIp, long token, long expiresUs, boolean near, String worker, String version) {}

  private static final class Share {
    double arrivals;
    long youngestUs;
    long youngestWaitUs;
  }

  static final class Target {
    final String address;
    ClusterView.Processor processor;
    int running;
    double most;
    int load;
    int slots;
    long restUntilUs;
    long restUs;
    boolean listed = true;

    Target(String address, ClusterView.Processor processor, double most) {
      this.address = address;
      this.processor = processor;
      this.most = most;
    }

    double weight() {
      return (running + Math.max(0, load - running) * 0.5) / Math.max(1, slots);
    }

    void well(double ceiling) {
      restUs = 0;
      restUntilUs = 0;
      most = Math.min(ceiling, most + 0.5);
    }

    void unwell(long nowUs, double factor) {
      restUs = Math.min(1_000_000, Math.max(50_000, restUs * 2));
      restUntilUs = nowUs + restUs;
      most = Math.max(1, most * factor);
    }
  }

  final String service;
  final ArrayDeque<Demand> demands = new ArrayDeque<>();
  final Map<String, Target> targets = new LinkedHashMap<>();
  private final TreeMap<Integer, LinkedHashMap<String, ArrayDeque<Message>>> fresh =
      new TreeMap<>();
  private final ArrayDeque<Message> late = new ArrayDeque<>();
  private int turn;
  private final Map<String, Share> shares =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Share> eldest) {
          return size() > SHARES_MOST;
        }
      };
  int waiting;
  double tokens;
  long tokensAtUs;
  boolean asked;

  Dispatcher(String service) {
    this.service = service;
  }

  void offer(Message message, int rank, long nowUs) {
    message.offeredUs = nowUs;
    message.rank = rank;
    if (message.fails == 0 && message.bounces == 0) {
      share(message).arrivals++;
    }
    queue(message, rank);
  }

  private Share share(Message message) {
    return shares.computeIfAbsent(message.rank + "\n" + message.tenant, key -> new Share());
  }

  void putBack(List<Message> messages) {
    for (var index = messages.size() - 1; index >= 0; index--) {
      var message = messages.get(index);
      message.queued = true;
      waiting++;
      fresh
          .computeIfAbsent(message.rank, r -> new LinkedHashMap<>())
          .computeIfAbsent(message.tenant, t -> new ArrayDeque<>())
          .addFirst(message);
    }
  }

  void fade(double factor) {
    shares
        .values()
        .forEach(
            share -> {
              share.arrivals *= factor;
            });
  }

  double latestPart(long nowUs) {
    var most = 0.0;
    for (var tenants : fresh.values()) {
      for (var queue : tenants.values()) {
        var head = queue.peekFirst();
        most =
            Math.max(
                most,
                head == null ? 0 : (double) (nowUs - head.offeredUs) / Math.max(1, head.aimUs));
      }
    }
    return most;
  }

  List<Frame> tenantRows(long nowUs) {
    var rows = new ArrayList<Frame>();
    var lateTenants =
        late.stream().limit(LATE_LOOKED_AT).map(message -> message.tenant).distinct().count();
    shares.forEach(
        (key, share) -> {
          var cut = key.indexOf('\n');
          var rank = Integer.parseInt(key.substring(0, cut));
          var tenant = key.substring(cut + 1);
          var queue =
              fresh
                  .getOrDefault(rank, new LinkedHashMap<>())
                  .getOrDefault(tenant, new ArrayDeque<>());
          var row =
              new Frame()
                  .with("s", service)
                  .with("k", rank)
                  .with("t", tenant)
                  .with("b", lateTenants)
                  .with("n", queue.size())
                  .with("a", Math.round(share.arrivals * 100));
          if (share.youngestUs > 0) {
            row.with("f", Math.max(1, nowUs - share.youngestUs)).with("w", share.youngestWaitUs);
          }
          if (!queue.isEmpty()) {
            row.with("o", nowUs - queue.peekFirst().offeredUs)
                .with("m", queue.peekFirst().aimUs)
                .with("l", queue.peekFirst().partition + 1);
          }
          if (share.arrivals > 0.05 || !queue.isEmpty()) {
            rows.add(row);
          }
        });
    return rows;
  }

  private void queue(Message message, int rank) {
    message.queued = true;
    waiting++;
    fresh
        .computeIfAbsent(rank, r -> new LinkedHashMap<>())
        .computeIfAbsent(message.tenant, t -> new ArrayDeque<>())
        .addLast(message);
  }

  boolean empty() {
    return waiting == 0;
  }

  Optional<Message> next(long nowUs) {
    turn++;
    if (turn % LATE_TURN == 0 && !late.isEmpty()) {
      return Optional.of(taken(late.pollFirst()));
    }
    for (var tenants : fresh.values()) {
      var found = nextFresh(tenants, nowUs);
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.ofNullable(late.pollFirst()).map(this::taken);
  }

  private Optional<Message> nextFresh(
      LinkedHashMap<String, ArrayDeque<Message>> tenants, long nowUs) {
    while (!tenants.isEmpty()) {
      var tenant = tenants.keySet().iterator().next();
      var queue = tenants.remove(tenant);
      while (!queue.isEmpty()) {
        var message = queue.pollFirst();
        if (nowUs - message.dueUs > message.aimUs) {
          late.addLast(message);
          continue;
        }
        if (!queue.isEmpty()) {
          tenants.put(tenant, queue);
        }
        var share = share(message);
        if (message.offeredUs >= share.youngestUs) {
          share.youngestUs = message.offeredUs;
          share.youngestWaitUs = nowUs - message.offeredUs;
        }
        return Optional.of(taken(message));
      }
    }
    return Optional.empty();
  }

  private Message taken(Message message) {
    waiting--;
    message.queued = false;
    return message;
  }

  void removeIf(Predicate<Message> gone) {
    fresh
        .values()
        .forEach(
            tenants ->
                tenants
                    .values()
                    .forEach(queue -> queue.removeIf(message -> dropped(message, gone))));
    late.removeIf(message -> dropped(message, gone));
  }

  private boolean dropped(Message message, Predicate<Message> gone) {
    if (!gone.test(message)) {
      return false;
    }
    taken(message);
    return true;
  }

  Map<String, Target> targetsOf(Collection<ClusterView.Processor> processors, double share) {
    var seen = new HashMap<String, ClusterView.Processor>();
    processors.stream()
        .filter(p -> p.service().equals(service) && !p.draining())
        .forEach(p -> seen.put(p.address(), p));
    targets
        .values()
        .forEach(
            target ->
                target.listed =
                    seen.containsKey(target.address)
                        && seen.get(target.address).id().equals(target.processor.id()));
    targets.values().removeIf(target -> !target.listed);
    seen.forEach(
        (address, processor) ->
            targets.computeIfAbsent(
                address,
                a -> {
                  var target =
                      new Target(address, processor, Math.ceil(processor.capacity() * share) + 1);
                  target.slots = processor.capacity();
                  return target;
                }));
    return targets;
  }
}
