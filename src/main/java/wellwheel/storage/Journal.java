package wellwheel.storage;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
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

  private final Disk disk;
  private final String name;
  private final String owner;
  private long bytesLong;
  private long synced;
  private long generation;
  private boolean formatted;
  private boolean lost;

  public Journal(Disk disk, String name) {
    this(disk, name, "");
  }

  public Journal(Disk disk, String name, String owner) {
    this.disk = disk;
    this.name = name;
    this.owner = owner;
  }

  public synchronized long bytesLong() {
    return bytesLong;
  }

  public synchronized Replay replay(Consumer<byte[]> reader) {
    var whole = disk.load(name);
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
              + whole.length
              + " in what had been synced; the disk counts as lost");
      return new Replay(0, true, true);
    }
    found.each(reader);
    bytesLong = found.soundEnd();
    formatted = found.formatted();
    if (found.cut()) {
      LOG.log(
          System.Logger.Level.WARNING,
          "code="
              + ResultCode.JOURNAL_CUT.number()
              + " journal "
              + name
              + " cut at byte "
              + bytesLong
              + " of "
              + whole.length);
      replace(Arrays.copyOf(whole, found.soundEnd()), () -> {});
    }
    return new Replay(found.records(), found.cut(), false);
  }

  public synchronized void append(byte[] record, Runnable whenSynced) {
    if (lost) {
      rewrite(List.of(record), whenSynced);
      return;
    }
    var framed = next(record);
    var end = bytesLong;
    var atGeneration = generation;
    disk.append(
        name,
        framed,
        () -> {
          reached(end, atGeneration);
          whenSynced.run();
        });
  }

  private byte[] next(byte[] record) {
    var head = formatted ? new byte[0] : JournalReader.format(owner);
    var framed =
        JournalReader.sealed(
            bytesLong + head.length, Math.min(synced, bytesLong + head.length), record);
    formatted = true;
    bytesLong += head.length + framed.length;
    return head.length == 0 ? framed : joined(head, framed);
  }

  private static byte[] joined(byte[] one, byte[] other) {
    var both = Arrays.copyOf(one, one.length + other.length);
    System.arraycopy(other, 0, both, one.length, other.length);
    return both;
  }

  private synchronized void reached(long end, long atGeneration) {
    if (atGeneration == generation) {
      synced = Math.max(synced, end);
    }
  }

  public synchronized void rewrite(List<byte[]> records, Runnable whenSynced) {
    lost = false;
    formatted = false;
    bytesLong = 0;
    synced = Long.MAX_VALUE;
    var out = new ByteArrayOutputStream();
    records.forEach(record -> out.writeBytes(next(record)));
    replace(out.toByteArray(), whenSynced);
  }

  private void replace(byte[] whole, Runnable whenSynced) {
    generation++;
    synced = whole.length;
    disk.rewrite(name, whole, whenSynced);
  }
}
