package wellwheel.queue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import wellwheel.replication.ReplicatedRecord;
import wellwheel.storage.Journal;

/**
 * Rewrites a storage node's journal when much of it is out of date. It goes on a piece at a time,
 * beside the appends, so that no more than a piece of it is in memory.
 */
final class JournalCompaction {
  /** Bytes out of date, or not compacted yet, from which on the journal is rewritten. */
  static final long GARBAGE_MOST = 48L << 20;

  /** Bytes that may wait for the disk at once. */
  static final long PIECE_BYTES = 2L << 20;

  private record Held(Partition partition, ReplicatedRecord record) {}

  private final Journal journal;
  private Optional<Journal.Compaction> running = Optional.empty();
  private Iterator<Held> rest = List.<Held>of().iterator();
  private boolean finishing;
  private long compactedBytes;

  JournalCompaction(Journal journal) {
    this.journal = journal;
  }

  boolean due() {
    return running.isEmpty() && !finishing && journal.bytesLong() >= compactedBytes + GARBAGE_MOST;
  }

  /** Begins with a record that is no partition's, to be followed by those of the partitions. */
  void start(byte[] first, Iterable<Partition> partitions) {
    var held = new ArrayList<Held>();
    for (var partition : partitions) {
      partition.records().forEach(record -> held.add(new Held(partition, record)));
    }
    rest = held.iterator();
    running = Optional.of(journal.compact());
    running.get().keep(first);
  }

  /** Goes on with the next piece, if the disk has written the one before. */
  void step() {
    running.ifPresent(this::step);
  }

  private void step(Journal.Compaction compaction) {
    while (rest.hasNext() && compaction.unwrittenBytes() < PIECE_BYTES) {
      var next = rest.next();
      if (next.partition().holds(next.record())) {
        compaction.keep(next.record().whole().pack());
      }
    }
    if (!rest.hasNext()) {
      finish(compaction);
    }
  }

  private void finish(Journal.Compaction compaction) {
    compactedBytes = compaction.bytesLong();
    running = Optional.empty();
    rest = List.<Held>of().iterator();
    finishing = true;
    compaction.finish(() -> finishing = false);
  }
}
