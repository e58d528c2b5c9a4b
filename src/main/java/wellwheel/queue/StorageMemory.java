package wellwheel.queue;

/**
 * How the heap of a storage node is divided. What the node holds of messages is bounded when they
 * are accepted; everything else has a part of its own that it cannot exceed.
 */
final class StorageMemory {
  /** Bodies of messages; bounds the journal on disk as well. */
  static final long BODY_BYTES_MOST = 64L << 20;

  /** Messages, ended ones that can still be asked for included. */
  static final int RECORDS_MOST = 150_000;

  /** What a message takes beside its body: its fields and its places in tables. */
  static final int RECORD_BYTES = 704;

  /** Bodies, records and what waits for the disk, together. */
  static final long HELD_BYTES_MOST = 104L << 20;

  /** Bodies of records that are handed over to joining copies and not acknowledged yet. */
  static final long HANDED_OVER_BYTES_MOST = 8L << 20;

  /** Classes, connections, tables, and frames that are being read or packed. */
  private static final long PROCESS_BYTES = 32L << 20;

  /** What waits for one peer that does not read: the bound of a link. */
  private static final long LINK_BYTES = 32L << 20;

  private final long heldBytesMost;
  private final long bodyBytesMost;

  private StorageMemory(long heldBytesMost) {
    this.heldBytesMost = heldBytesMost;
    this.bodyBytesMost = Math.min(BODY_BYTES_MOST, heldBytesMost);
  }

  /** The division of a heap of this size; a small one holds less. */
  static StorageMemory ofHeap(long heapBytes) {
    var forMessages = Math.max(0, heapBytes - otherBytes());
    return new StorageMemory(Math.min(HELD_BYTES_MOST, heldBeforeALoss(forMessages)));
  }

  private static long otherBytes() {
    return PROCESS_BYTES + LINK_BYTES + JournalCompaction.PIECE_BYTES;
  }

  /** When one of three storage nodes is lost, the two others hold half as much again. */
  private static long heldBeforeALoss(long heldAfterwards) {
    return heldAfterwards / 3 * 2;
  }

  long heldBytesMost() {
    return heldBytesMost;
  }

  /** Whether more messages may be accepted. */
  boolean hasRoom(long bodyBytes, int records, long unsyncedBytes) {
    return bodyBytes <= bodyBytesMost
        && records <= RECORDS_MOST
        && bodyBytes + (long) records * RECORD_BYTES + unsyncedBytes <= heldBytesMost;
  }
}
