package wellwheel.history;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.ResultCode;
import wellwheel.storage.Disk;
import wellwheel.transport.Frame;

/**
 * Counts what the queues go through by interval, tenant and service, and keeps it over restarts.
 */
public final class QueueHistory {
  private static final System.Logger LOG = System.getLogger("history");
  private static final String FILE = "history.journal";
  private static final int VERSION = 1;
  private static final int CELLS_MOST = 4096;
  private static final int ROWS_MOST = 100_000;
  private static final long FILE_MOST = 24L << 20;
  private static final long FILE_LONG = 1L << 20;
  public static final String REST = "(rest)";

  /** A history file that this program cannot read. */
  public static final class Unreadable extends RuntimeException {
    Unreadable(String why) {
      super(why);
    }
  }

  private record Key(long startUs, String tenant, String service) {}

  private static final class Cell {
    long offered;
    long refused;
    long started;
    long late;
    long attempts;
    long slotUs;
    long finished;
    long failed;
    long waiting;
    long slots;
    long coveredUs;
    final long[] waits = new long[HistoryRow.WAITS];

    HistoryRow.Counts counts() {
      var used = 0;
      for (var at = 0; at < waits.length; at++) {
        used = waits[at] > 0 ? at + 1 : used;
      }
      var list = new ArrayList<Long>();
      for (var at = 0; at < used; at++) {
        list.add(waits[at]);
      }
      return new HistoryRow.Counts(
          offered,
          refused,
          started,
          late,
          attempts,
          slotUs,
          finished,
          failed,
          waiting,
          slots,
          coveredUs,
          List.copyOf(list));
    }
  }

  private final String node;
  private final String life;
  private final boolean enabled;
  private final long intervalUs;
  private final long flushUs;
  private final LongSupplier coreUs;
  private final Optional<Disk> disk;
  private final Optional<HistoryFile> file;
  private final Map<Key, Cell> live = new LinkedHashMap<>();
  private long tickedUs;
  private long flushedUs;
  private long rewrittenBytes;
  private boolean rewriting;
  private int damaged;

  public QueueHistory(NodeOptions options, String life, Optional<Disk> disk, LongSupplier coreUs) {
    this.node = options.node();
    this.life = life;
    this.enabled = options.history().enabled();
    this.intervalUs = options.history().intervalUs();
    this.flushUs = options.history().flushUs();
    this.coreUs = coreUs;
    this.disk = disk.filter(each -> enabled);
    this.file = this.disk.map(each -> new HistoryFile(each, FILE));
    file.ifPresent(this::open);
  }

  private void open(HistoryFile file) {
    var versions = new ArrayList<Integer>();
    damaged =
        file.open(
            record -> {
              if (record.kind().equals("history")) {
                versions.add(record.small("version"));
              }
            });
    if (versions.isEmpty()) {
      file.append(head());
    } else if (versions.stream().anyMatch(version -> version != VERSION)) {
      throw new Unreadable(
          "the queue history on disk is of version "
              + versions.get(0)
              + ", this program reads "
              + VERSION
              + "; move "
              + FILE
              + " away");
    }
    if (damaged > 0) {
      LOG.log(
          System.Logger.Level.WARNING,
          "code="
              + ResultCode.HISTORY_DAMAGED.number()
              + " damaged records of queue history skipped: "
              + damaged);
    }
  }

  private static byte[] head() {
    return Frame.of("history").with("version", VERSION).pack();
  }

  public boolean enabled() {
    return enabled;
  }

  public int damaged() {
    return damaged;
  }

  private Cell cell(long atUs, String tenant, String service) {
    var startUs = Math.floorDiv(atUs, intervalUs) * intervalUs;
    var key = new Key(startUs, tenant, service);
    var found = live.get(key);
    if (found == null) {
      if (file.isEmpty() && live.size() >= CELLS_MOST) {
        live.remove(live.keySet().iterator().next());
      }
      key = live.size() < CELLS_MOST || tenant.isEmpty() ? key : new Key(startUs, REST, service);
      found = live.computeIfAbsent(key, each -> new Cell());
    }
    return found;
  }

  public void arrived(String tenant, String service, long dueUs) {
    if (enabled) {
      cell(dueUs, tenant, service).offered++;
    }
  }

  public void refused(String tenant, String service) {
    if (enabled) {
      cell(coreUs.getAsLong(), tenant, service).refused++;
    }
  }

  public void starts(String tenant, String service, long waitUs, long aimUs, boolean first) {
    if (!enabled) {
      return;
    }
    var cell = cell(coreUs.getAsLong(), tenant, service);
    cell.attempts++;
    if (first) {
      cell.started++;
      cell.late += waitUs > aimUs ? 1 : 0;
      cell.waits[HistoryRow.waitBucket(waitUs)]++;
    }
  }

  public void legEnds(String tenant, String service, long slotUs) {
    if (enabled) {
      cell(coreUs.getAsLong(), tenant, service).slotUs += Math.max(0, slotUs);
    }
  }

  public void ended(String tenant, String service, boolean finished) {
    if (enabled) {
      var cell = cell(coreUs.getAsLong(), tenant, service);
      cell.finished += finished ? 1 : 0;
      cell.failed += finished ? 0 : 1;
    }
  }

  public void slots(String service, long seen) {
    if (enabled) {
      var cell = cell(coreUs.getAsLong(), "", service);
      cell.slots = Math.max(cell.slots, seen);
    }
  }

  public void waits(String tenant, String service, long count) {
    if (enabled) {
      cell(coreUs.getAsLong(), tenant, service).waiting = count;
    }
  }

  public boolean flushDue() {
    return enabled && coreUs.getAsLong() - flushedUs >= flushUs;
  }

  public void tick() {
    if (!enabled) {
      return;
    }
    var nowUs = coreUs.getAsLong();
    var sinceUs = Math.max(tickedUs, Math.floorDiv(nowUs, intervalUs) * intervalUs);
    if (tickedUs > 0 && nowUs > sinceUs && nowUs - tickedUs < flushUs) {
      cell(nowUs, "", "").coveredUs += nowUs - sinceUs;
    }
    tickedUs = nowUs;
  }

  public Optional<Frame> flush() {
    flushedUs = coreUs.getAsLong();
    var rows = liveRows();
    var oldUs = flushedUs - intervalUs - flushUs;
    live.keySet().removeIf(key -> key.startUs() + intervalUs < oldUs);
    if (rows.isEmpty()) {
      return Optional.empty();
    }
    var frame = rowsFrame("history.keep", rows);
    file.ifPresent(
        each -> {
          each.append(frame.pack());
          compact(each);
        });
    return Optional.of(frame);
  }

  private List<HistoryRow> liveRows() {
    var rows = new ArrayList<HistoryRow>();
    live.forEach(
        (key, cell) ->
            rows.add(
                new HistoryRow(
                    node,
                    life,
                    key.startUs(),
                    intervalUs,
                    key.tenant(),
                    key.service(),
                    cell.counts())));
    return rows;
  }

  private static Frame rowsFrame(String kind, List<HistoryRow> rows) {
    return Frame.of(kind).with("rows", rows.stream().map(HistoryRow::frame).toList());
  }

  public void keep(Frame frame) {
    file.ifPresent(each -> each.append(frame.pack()));
  }

  public Map<String, HistoryRow> rows(long fromUs, long toUs) {
    var found = new LinkedHashMap<String, HistoryRow>();
    file.ifPresent(each -> damaged = each.read(record -> take(record, found, fromUs, toUs)));
    liveRows().stream()
        .filter(row -> row.startUs() + row.spanUs() > fromUs && row.startUs() < toUs)
        .forEach(row -> merge(found, row));
    return found;
  }

  private static void take(Frame record, Map<String, HistoryRow> found, long fromUs, long toUs) {
    if (!record.kind().equals("history.keep")) {
      return;
    }
    for (var each : record.frames("rows")) {
      try {
        var row = HistoryRow.read(each);
        if (row.startUs() + row.spanUs() > fromUs
            && row.startUs() < toUs
            && found.size() < ROWS_MOST) {
          merge(found, row);
        }
      } catch (IllegalArgumentException e) {
        LOG.log(
            System.Logger.Level.WARNING,
            "code=" + ResultCode.HISTORY_DAMAGED.number() + " " + e.getMessage());
      }
    }
  }

  public static void merge(Map<String, HistoryRow> into, HistoryRow row) {
    into.merge(
        row.key(),
        row,
        (one, other) ->
            new HistoryRow(
                one.node(),
                one.life(),
                one.startUs(),
                one.spanUs(),
                one.tenant(),
                one.service(),
                one.counts().most(other.counts())));
  }

  public Frame answer(Frame ask) {
    var rows = rows(ask.number("from"), ask.number("to"));
    return rowsFrame("history.rows", List.copyOf(rows.values()))
        .with("rid", ask.number("rid"))
        .with("node", node)
        .with("damaged", damaged);
  }

  private void compact(HistoryFile file) {
    if (rewriting || file.bytesLong() < Math.max(FILE_LONG, 2 * rewrittenBytes)) {
      return;
    }
    rewriting = true;
    var rows = new ArrayList<>(rows(Long.MIN_VALUE / 2, Long.MAX_VALUE / 2).values());
    rows.sort((a, b) -> Long.compare(b.startUs(), a.startUs()));
    var records = new ArrayList<byte[]>();
    records.add(head());
    var bytes = 0L;
    for (var row : rows) {
      var record = rowsFrame("history.keep", List.of(row)).pack();
      bytes += record.length;
      if (bytes > FILE_MOST) {
        LOG.log(
            System.Logger.Level.INFO,
            "queue history is full; what is older than us=" + row.startUs() + " goes");
        break;
      }
      records.add(record);
    }
    rewrittenBytes = bytes;
    file.rewrite(records, () -> rewriting = false);
  }
}
