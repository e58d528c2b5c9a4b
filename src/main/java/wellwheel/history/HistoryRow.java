package wellwheel.history;

import java.util.ArrayList;
import java.util.List;
import wellwheel.transport.Frame;

/** What one tenant and service went through in one interval. */
public record HistoryRow(
    String node,
    String life,
    long startUs,
    long spanUs,
    String tenant,
    String service,
    Counts counts) {
  public static final int WAITS = 24;

  /** The counters of one row; they only grow and merge by maximum. */
  public record Counts(
      long offered,
      long refused,
      long started,
      long late,
      long attempts,
      long slotUs,
      long finished,
      long failed,
      long waiting,
      long slots,
      long coveredUs,
      List<Long> waits) {
    public static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, List.of());

    public Counts plus(Counts other) {
      return new Counts(
          offered + other.offered,
          refused + other.refused,
          started + other.started,
          late + other.late,
          attempts + other.attempts,
          slotUs + other.slotUs,
          finished + other.finished,
          failed + other.failed,
          waiting + other.waiting,
          slots + other.slots,
          coveredUs + other.coveredUs,
          sums(waits, other.waits));
    }

    public Counts most(Counts other) {
      return new Counts(
          Math.max(offered, other.offered),
          Math.max(refused, other.refused),
          Math.max(started, other.started),
          Math.max(late, other.late),
          Math.max(attempts, other.attempts),
          Math.max(slotUs, other.slotUs),
          Math.max(finished, other.finished),
          Math.max(failed, other.failed),
          Math.max(waiting, other.waiting),
          Math.max(slots, other.slots),
          Math.max(coveredUs, other.coveredUs),
          highest(waits, other.waits));
    }

    private static List<Long> sums(List<Long> one, List<Long> other) {
      var all = new ArrayList<Long>();
      for (var at = 0; at < Math.max(one.size(), other.size()); at++) {
        all.add(at(one, at) + at(other, at));
      }
      return List.copyOf(all);
    }

    private static List<Long> highest(List<Long> one, List<Long> other) {
      var all = new ArrayList<Long>();
      for (var at = 0; at < Math.max(one.size(), other.size()); at++) {
        all.add(Math.max(at(one, at), at(other, at)));
      }
      return List.copyOf(all);
    }

    private static long at(List<Long> list, int index) {
      return index < list.size() ? list.get(index) : 0;
    }
  }

  public static int waitBucket(long waitUs) {
    return Math.max(
        0, Math.min(WAITS - 1, 64 - Long.numberOfLeadingZeros(Math.max(0, waitUs) / 1000)));
  }

  public String key() {
    return String.join(
        "\n", node, life, Long.toString(startUs), Long.toString(spanUs), tenant, service);
  }

  public Frame frame() {
    return new Frame()
        .with("n", node)
        .with("i", life)
        .with("s", startUs)
        .with("p", spanUs)
        .with("t", tenant)
        .with("v", service)
        .with(
            "c",
            List.<Object>of(
                counts.offered,
                counts.refused,
                counts.started,
                counts.late,
                counts.attempts,
                counts.slotUs,
                counts.finished,
                counts.failed,
                counts.waiting,
                counts.slots,
                counts.coveredUs))
        .with("w", List.<Object>copyOf(counts.waits));
  }

  public static HistoryRow read(Frame frame) {
    var cells = frame.numbers("c");
    if (cells.size() != 11
        || cells.stream().anyMatch(cell -> cell < 0)
        || frame.number("p") <= 0
        || frame.text("n").isEmpty()) {
      throw new IllegalArgumentException("a row of history that cannot be read whole");
    }
    return new HistoryRow(
        frame.text("n"),
        frame.text("i"),
        frame.number("s"),
        frame.number("p"),
        frame.text("t"),
        frame.text("v"),
        new Counts(
            cells.get(0),
            cells.get(1),
            cells.get(2),
            cells.get(3),
            cells.get(4),
            cells.get(5),
            cells.get(6),
            cells.get(7),
            cells.get(8),
            cells.get(9),
            cells.get(10),
            frame.numbers("w")));
  }
}
