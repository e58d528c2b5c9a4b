package wellwheel.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import wellwheel.transport.Frame;

/**
 * Replicated counters of admitted requests, after ADR-0013: a local increment decides, deltas
 * follow.
 */
public final class RateLimiter {
  static final long SCALE_US = 200_000;
  private static final int KEYS_MOST = 4096;
  private static final int SENDERS_MOST = 4096;
  private static final int SWEEP_EVERY = 64;
  private static final int RATE_WINDOWS = 5;
  private static final double UNSEEN_S = 0.5;

  /** A rate by the second and the burst above it. */
  public record Limit(double perS, double burst) {}

  /** Whether a request is admitted; if not, when to come again and which limit refused it. */
  public record Verdict(boolean admitted, long retryAfterUs, double limit, long scaleUs) {}

  private static final class Ring {
    final int[] window;
    final int[] count;

    Ring(int size) {
      window = new int[size];
      count = new int[size];
    }

    int at(long which) {
      var slot = (int) (which % window.length);
      return window[slot] == (int) which ? count[slot] : 0;
    }

    void add(long which, long hits) {
      var slot = (int) (which % window.length);
      if (window[slot] - (int) which > 0 && window[slot] != 0) {
        return;
      }
      if (window[slot] != (int) which) {
        window[slot] = (int) which;
        count[slot] = 0;
      }
      count[slot] += (int) hits;
    }

    boolean liveSince(long oldest) {
      for (var slot = 0; slot < window.length; slot++) {
        if (count[slot] != 0 && window[slot] - (int) oldest >= 0) {
          return true;
        }
      }
      return false;
    }

    long sum(long first, long last) {
      var total = 0L;
      for (var which = first; which <= last; which++) {
        total += at(which);
      }
      return total;
    }
  }

  private static final class Counter {
    final Ring total;
    final Map<String, Ring> bySender = new HashMap<>();

    Counter(int size) {
      total = new Ring(size);
    }
  }

  private static final class Sender {
    long batch = -1;
  }

  private final String self;
  private final LongSupplier coreUs;
  private final long windowUs;
  private final int size;
  private final int horizon;
  private final Map<String, Counter> counters = new LinkedHashMap<>(64, 0.75f, true);
  private final Map<String, Map<Long, Long>> pending = new HashMap<>();
  private final Map<String, Sender> senders =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Sender> eldest) {
          return size() > SENDERS_MOST;
        }
      };
  private int taken;
  private long batch;
  private boolean urgent;

  public RateLimiter(String self, long windowUs, LongSupplier coreUs) {
    this.self = self;
    this.windowUs = windowUs;
    this.coreUs = coreUs;
    this.horizon = (int) (windowUs / SCALE_US);
    this.size = (int) (windowUs / SCALE_US) + 4;
  }

  public Verdict hit(String key, Limit limit, double share) {
    var nowUs = coreUs.getAsLong();
    var window = Math.floorDiv(nowUs, SCALE_US);
    var counter = counter(key);
    var perScale = limit.perS() * share * SCALE_US / 1e6;
    var allowed =
        limit.burst() * share + limit.perS() * share * Math.floorMod(nowUs, SCALE_US) / 1e6;
    var sum = 0L;
    var unseen = UNSEEN_S * counter.total.sum(window - RATE_WINDOWS, window);
    for (var back = 0; back <= horizon; back++) {
      sum += counter.total.at(window - back);
      if (sum + 1 > allowed) {
        return new Verdict(
            false,
            Math.max(
                SCALE_US,
                (long) ((sum + 1 - allowed) / Math.max(0.01, limit.perS() * share) * 1e6)),
            allowed,
            (back + 1) * SCALE_US);
      }
      urgent |= sum + 1 + unseen > allowed;
      allowed += perScale;
    }
    count(key, window, 1);
    return new Verdict(true, 0, allowed, windowUs);
  }

  public void giveBack(String key) {
    count(key, Math.floorDiv(coreUs.getAsLong(), SCALE_US), -1);
  }

  private void count(String key, long window, long hits) {
    var counter = counter(key);
    counter.total.add(window, hits);
    ring(counter, self).add(window, hits);
    pending.computeIfAbsent(key, k -> new HashMap<>()).merge(window, hits, Long::sum);
  }

  private Counter counter(String key) {
    var counter = counters.get(key);
    if (counter == null) {
      if (counters.size() >= KEYS_MOST) {
        var coldest = counters.keySet().iterator().next();
        counters.remove(coldest);
        pending.remove(coldest);
      }
      counter = new Counter(size);
      counters.put(key, counter);
    }
    return counter;
  }

  private Ring ring(Counter counter, String sender) {
    return counter.bySender.computeIfAbsent(sender, s -> new Ring(size));
  }

  public boolean urgent() {
    return urgent && !pending.isEmpty();
  }

  public boolean idle() {
    return pending.isEmpty();
  }

  public Frame drain() {
    urgent = false;
    var oldest = oldest();
    var rows = new ArrayList<Object>();
    pending.forEach(
        (key, windows) ->
            windows.forEach(
                (window, hits) -> {
                  if (window >= oldest && hits != 0) {
                    rows.addAll(List.of(key, window - oldest, hits));
                  }
                }));
    pending.clear();
    batch += rows.isEmpty() ? 0 : 1;
    return Frame.of("hits").with("s", self).with("n", batch).with("o", oldest).with("rows", rows);
  }

  private long oldest() {
    return Math.floorDiv(coreUs.getAsLong() - windowUs, SCALE_US) - 1;
  }

  public boolean take(Frame frame) {
    var name = frame.text("s");
    if (name.equals(self)) {
      return true;
    }
    sweep();
    var sender = senders.computeIfAbsent(name, s -> new Sender());
    if (frame.number("n") <= sender.batch) {
      return true;
    }
    if (frame.list("rows").isEmpty()
        ? frame.number("n") != 0
        : frame.number("n") != sender.batch + 1 && frame.number("n") != 1) {
      return false;
    }
    sender.batch = frame.number("n");
    var oldest = oldest();
    rows(frame)
        .forEach(
            row -> {
              if (row.window() >= oldest) {
                add(row.key(), name, row.window(), row.hits());
              }
            });
    return true;
  }

  private void sweep() {
    if (++taken % (SWEEP_EVERY * Math.max(1, senders.size())) == 0) {
      var oldest = oldest();
      counters
          .values()
          .forEach(counter -> counter.bySender.values().removeIf(ring -> !ring.liveSince(oldest)));
    }
  }

  private void add(String key, String sender, long window, long hits) {
    var counter = counter(key);
    counter.total.add(window, hits);
    ring(counter, sender).add(window, hits);
  }

  private record Row(String key, long window, long hits) {}

  private static List<Row> rows(Frame frame) {
    var found = new ArrayList<Row>();
    var cells = frame.list("rows");
    var oldest = frame.number("o");
    for (var at = 0; at + 2 < cells.size(); at += 3) {
      if (cells.get(at) instanceof String key
          && cells.get(at + 1) instanceof Long later
          && cells.get(at + 2) instanceof Long hits
          && later >= 0
          && oldest >= 0) {
        found.add(new Row(key, oldest + later, hits));
      }
    }
    return found;
  }

  public Frame totals(String sender) {
    var oldest = oldest();
    var rows = new ArrayList<Object>();
    counters.forEach(
        (key, counter) -> {
          var ring = counter.bySender.get(sender);
          for (var window = oldest; ring != null && window < oldest + size; window++) {
            if (ring.at(window) != 0) {
              rows.addAll(List.of(key, window - oldest, (long) ring.at(window)));
            }
          }
        });
    var number =
        sender.equals(self) ? batch : senders.containsKey(sender) ? senders.get(sender).batch : 0;
    return Frame.of("hits.totals")
        .with("s", sender)
        .with("n", number)
        .with("o", oldest)
        .with("rows", rows);
  }

  public List<Frame> everything() {
    var names = new HashSet<String>();
    counters.values().forEach(counter -> names.addAll(counter.bySender.keySet()));
    names.add(self);
    return names.stream().map(this::totals).toList();
  }

  public void takeTotals(Frame frame) {
    var name = frame.text("s");
    if (name.equals(self)) {
      return;
    }
    var sender = senders.computeIfAbsent(name, s -> new Sender());
    if (frame.number("n") < sender.batch) {
      return;
    }
    sender.batch = frame.number("n");
    var oldest = oldest();
    for (var row : rows(frame)) {
      if (row.window() < oldest) {
        continue;
      }
      var have = ring(counter(row.key()), name).at(row.window());
      add(row.key(), name, row.window(), row.hits() - have);
    }
  }

  public long sum(String key) {
    var nowUs = coreUs.getAsLong();
    return counters.containsKey(key)
        ? counters
            .get(key)
            .total
            .sum(Math.floorDiv(nowUs - windowUs, SCALE_US), Math.floorDiv(nowUs, SCALE_US))
        : 0;
  }

  public int keys() {
    return counters.size();
  }
}
