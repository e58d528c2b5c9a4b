package wellwheel.gallery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import wellwheel.lantern.Frame;

public final class Limiter {
    static final long SCALE_US = 200_000;
    private static final int KEYS_MOST = 4096;
    private static final int SENDERS_MOST = 256;
    private static final double NEAR = 0.7;

    public record Limit(double perS, double burst) { }

    public record Verdict(boolean admitted, long retryAfterUs, double limit, long scaleUs) { }

    private static final class Ring {
        final long[] window;
        final long[] count;

        Ring(int size) {
            window = new long[size];
            count = new long[size];
        }

        long at(long which) {
            var slot = (int) (which % window.length);
            return window[slot] == which ? count[slot] : 0;
        }

        void add(long which, long hits) {
            var slot = (int) (which % window.length);
            if (window[slot] > which) {
                return;
            }
            if (window[slot] != which) {
                window[slot] = which;
                count[slot] = 0;
            }
            count[slot] += hits;
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
    private final Map<String, Sender> senders = new HashMap<>();
    private long batch;
    private boolean urgent;

    public Limiter(String self, long windowUs, LongSupplier coreUs) {
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
        var allowed = limit.burst() * share + limit.perS() * share * Math.floorMod(nowUs, SCALE_US) / 1e6;
        var sum = 0L;
        for (var back = 0; back <= horizon; back++) {
            sum += counter.total.at(window - back);
            if (sum + 1 > allowed) {
                return new Verdict(false, Math.max(SCALE_US, (long) ((sum + 1 - allowed) / Math.max(0.01, limit.perS() * share) * 1e6)), allowed, (back + 1) * SCALE_US);
            }
            urgent |= sum + 1 > allowed * NEAR;
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
        pending.forEach((key, windows) -> windows.forEach((window, hits) -> {
            if (window >= oldest && hits != 0) {
                rows.add(List.<Object>of(key, window, hits));
            }
        }));
        pending.clear();
        return Frame.of("hits").with("s", self).with("n", ++batch).with("rows", rows);
    }

    private long oldest() {
        return Math.floorDiv(coreUs.getAsLong() - windowUs, SCALE_US) - 1;
    }

    public boolean take(Frame frame) {
        var name = frame.text("s");
        if (name.equals(self) || senders.size() >= SENDERS_MOST && !senders.containsKey(name)) {
            return true;
        }
        var sender = senders.computeIfAbsent(name, s -> new Sender());
        if (frame.number("n") <= sender.batch) {
            return true;
        }
        if (frame.number("n") != sender.batch + 1 && frame.number("n") != 1) {
            return false;
        }
        sender.batch = frame.number("n");
        var oldest = oldest();
        rows(frame).forEach(row -> {
            if (row.window() >= oldest) {
                add(row.key(), name, row.window(), row.hits());
            }
        });
        return true;
    }

    private void add(String key, String sender, long window, long hits) {
        var counter = counter(key);
        counter.total.add(window, hits);
        ring(counter, sender).add(window, hits);
    }

    private record Row(String key, long window, long hits) { }

    private static List<Row> rows(Frame frame) {
        var found = new ArrayList<Row>();
        frame.lists("rows").forEach(row -> {
            if (row.size() == 3 && row.get(0) instanceof String key && row.get(1) instanceof Long window && row.get(2) instanceof Long hits && window >= 0) {
                found.add(new Row(key, window, hits));
            }
        });
        return found;
    }

    public Frame totals(String sender) {
        var oldest = oldest();
        var rows = new ArrayList<Object>();
        counters.forEach((key, counter) -> {
            var ring = counter.bySender.get(sender);
            for (var slot = 0; ring != null && slot < ring.window.length; slot++) {
                if (ring.window[slot] >= oldest && ring.count[slot] != 0) {
                    rows.add(List.<Object>of(key, ring.window[slot], ring.count[slot]));
                }
            }
        });
        var number = sender.equals(self) ? batch : senders.containsKey(sender) ? senders.get(sender).batch : 0;
        return Frame.of("hits.totals").with("s", sender).with("n", number).with("rows", rows);
    }

    public List<Frame> everything() {
        var names = new HashSet<String>();
        counters.values().forEach(counter -> names.addAll(counter.bySender.keySet()));
        names.add(self);
        return names.stream().map(this::totals).toList();
    }

    public void takeTotals(Frame frame) {
        var name = frame.text("s");
        if (name.equals(self) || senders.size() >= SENDERS_MOST && !senders.containsKey(name)) {
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
        return counters.containsKey(key) ? counters.get(key).total.sum(Math.floorDiv(nowUs - windowUs, SCALE_US), Math.floorDiv(nowUs, SCALE_US)) : 0;
    }

    public int keys() {
        return counters.size();
    }
}
