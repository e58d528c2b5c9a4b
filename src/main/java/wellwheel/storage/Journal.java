package wellwheel.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import wellwheel.runtime.ResultCode;

/** An append-only file of checksummed records that is rewritten when it is long. */
public final class Journal {
  private static final System.Logger LOG = System.getLogger("journal");

  /** What reading a journal found. */
  public record Replay(int records, boolean cut, boolean syncedDamaged) {}

  /** A journal that must not be used, with its result code. */
  public static final class Unreadable extends RuntimeException {
    private final ResultCode code;

    Unreadable(ResultCode code, String why) {
      super(why);
      this.code = code;
    }

    public ResultCode code() {
      return code;
    }
  }

  /** The end of a file: how long it is and how much of it is known to be synced. */
  private static final class Tail {
    private static final long ALL = Long.MAX_VALUE;

    private final String owner;
    private long end;
    private long synced;
    private boolean formatted;

    Tail(String owner, long synced) {
      this.owner = owner;
      this.synced = synced;
    }

    /** The record as it is to be written at the end, with the file's head before the first one. */
    byte[] next(byte[] record) {
      var head = formatted ? new byte[0] : JournalReader.format(owner);
      var position = end + head.length;
      var framed = JournalReader.sealed(position, Math.min(synced, position), record);
      formatted = true;
      end = position + framed.length;
      return head.length == 0 ? framed : joined(head, framed);
    }

    private static byte[] joined(byte[] one, byte[] other) {
      var both = Arrays.copyOf(one, one.length + other.length);
      System.arraycopy(other, 0, both, one.length, other.length);
      return both;
    }
  }

  /**
   * A rewrite under way. What is appended to the journal meanwhile goes into the old file, which
   * stays in force, and into the new one too, so that each is whole by itself.
   */
  public final class Compaction {
    private final Tail newTail = new Tail(owner, Tail.ALL);
    private final Disk.Rewrite rewrite = disk.startRewrite(name);
    private long unwrittenBytes;

    private Compaction() {}

    /** Adds a record that is to stay, as it is now. */
    public void keep(byte[] record) {
      synchronized (Journal.this) {
        var framed = newTail.next(record);
        unwrittenBytes += framed.length;
        rewrite.append(framed, () -> written(framed.length));
      }
    }

    private void written(int count) {
      synchronized (Journal.this) {
        unwrittenBytes -= count;
      }
    }

    /** Bytes that wait in memory for the disk. */
    public long unwrittenBytes() {
      synchronized (Journal.this) {
        return unwrittenBytes;
      }
    }

    /** How long the new file is. */
    public long bytesLong() {
      synchronized (Journal.this) {
        return newTail.end;
      }
    }

    /** Makes the new file the journal; the task runs once that is synced. */
    public void finish(Runnable whenSynced) {
      synchronized (Journal.this) {
        compaction = Optional.empty();
        inForce(newTail);
        rewrite.finish(whenSynced);
      }
    }
  }

  private final Disk disk;
  private final String name;
  private final String owner;
  private Tail tail;
  private long generation;
  private boolean lost;
  private long unsyncedBytes;
  private Optional<Compaction> compaction = Optional.empty();

  public Journal(Disk disk, String name) {
    this(disk, name, "");
  }

  public Journal(Disk disk, String name, String owner) {
    this.disk = disk;
    this.name = name;
    this.owner = owner;
    tail = new Tail(owner, 0);
  }

  public synchronized long bytesLong() {
    return tail.end;
  }

  /** Bytes that were appended and are in memory until the disk has synced them. */
  public synchronized long unsyncedBytes() {
    return unsyncedBytes + compaction.map(Compaction::unwrittenBytes).orElse(0L);
  }

  /** Reads all records. Nothing may be written meanwhile; at most one record is in memory. */
  public synchronized Replay replay(Consumer<byte[]> reader) {
    try (var whole = disk.open(name)) {
      return replay(whole, reader);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Replay replay(ByteSource whole, Consumer<byte[]> reader) {
    var found = new JournalReader(whole, name, owner);
    lost = found.cut() && found.syncedDamaged();
    if (lost) {
      LOG.log(
          System.Logger.Level.ERROR,
          "code="
              + ResultCode.JOURNAL_DAMAGED.number()
              + " "
              + name
              + " is damaged at byte "
              + found.soundEnd()
              + " of "
              + whole.length()
              + " in what had been synced; the disk counts as lost");
      return new Replay(0, true, true);
    }
    found.each(reader);
    tail.end = found.soundEnd();
    tail.formatted = found.formatted();
    if (found.cut()) {
      LOG.log(
          System.Logger.Level.WARNING,
          "code="
              + ResultCode.JOURNAL_CUT.number()
              + " journal "
              + name
              + " cut at byte "
              + tail.end
              + " of "
              + whole.length());
      inForce(tail);
      disk.cut(name, tail.end, () -> {});
    }
    return new Replay(found.records(), found.cut(), false);
  }

  public synchronized void append(byte[] record, Runnable whenSynced) {
    if (lost) {
      rewrite(List.of(record), whenSynced);
      return;
    }
    var framed = tail.next(record);
    var end = tail.end;
    var atGeneration = generation;
    unsyncedBytes += framed.length;
    disk.append(
        name,
        framed,
        () -> {
          reached(end, atGeneration, framed.length);
          whenSynced.run();
        });
    compaction.ifPresent(each -> each.keep(record));
  }

  private synchronized void reached(long end, long atGeneration, int count) {
    unsyncedBytes -= count;
    if (atGeneration == generation) {
      tail.synced = Math.max(tail.synced, end);
    }
  }

  /** Begins to rewrite the journal piece by piece; there is one rewrite at a time. */
  public synchronized Compaction compact() {
    refuseWhileCompacting();
    var fresh = new Compaction();
    compaction = Optional.of(fresh);
    return fresh;
  }

  private void refuseWhileCompacting() {
    if (compaction.isPresent()) {
      throw new IllegalStateException("the journal is being compacted");
    }
  }

  /** Rewrites a journal that fits in memory. */
  public synchronized void rewrite(List<byte[]> records, Runnable whenSynced) {
    refuseWhileCompacting();
    lost = false;
    var fresh = new Tail(owner, Tail.ALL);
    var out = new ByteArrayOutputStream();
    records.forEach(record -> out.writeBytes(fresh.next(record)));
    inForce(fresh);
    disk.rewrite(name, out.toByteArray(), whenSynced);
  }

  /** What the new tail stands for takes the place of the old contents at once and as a whole. */
  private void inForce(Tail fresh) {
    generation++;
    tail = fresh;
    tail.synced = tail.end;
  }
}
