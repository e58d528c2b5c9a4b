package wellwheel.replication;

import wellwheel.transport.Frame;

/**
 * A record that a partition keeps on each of its copies. The primary numbers every change; a newer
 * partition epoch wins over any revision of an older one, and inside one epoch the higher revision
 * wins, so late and repeated transfers never undo a newer change.
 */
public abstract class ReplicatedRecord {
  /** Epoch of the partition whose primary wrote the newest change. */
  public long epoch;

  /** Number of the newest change inside {@link #epoch}. */
  public long revision;

  /** Position of the newest change in the partition's replication stream. */
  public long sequence;

  /** The identifier of the record, unique in its partition. */
  public abstract String id();

  /** The whole record, for a copy that has nothing of it. */
  public abstract Frame whole();

  /** Text that differs between two copies exactly if their contents differ. */
  public abstract String version();

  /**
   * What a copy is sent that lacks the newest change.
   *
   * @param absent the copy has no such record
   * @param bodiless the copy has the record without its body
   */
  public abstract Frame transfer(boolean absent, boolean bodiless);

  /** Bytes of the body that a transfer may carry. */
  public int bodyBytes() {
    return 0;
  }

  /** Whether a copy of the same version may still lack what was replicated without a sync. */
  public boolean mayLag() {
    return false;
  }

  /** Whether the record in the frame is at least as new as this one. */
  public final boolean olderThan(Frame record) {
    return epoch < record.number("ep")
        || epoch == record.number("ep") && revision <= record.number("v");
  }
}
