package wellwheel.queue;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import wellwheel.transport.Frame;

/** A record on its way to the copies of a partition. */
final class PendingRecord {
  final long sequence;
  final Supplier<Frame> record;

  /** Whether a copy acknowledges it only once it is on its disk. */
  final boolean sync;

  /** Nodes that have not acknowledged it. */
  final Set<String> owing = new HashSet<>();

  /** Runs once, when nobody owes an acknowledgement. */
  final Runnable then;

  final long sinceUs;
  long sentUs;

  /** Whether this node's own disk has it, or need not have it. */
  boolean local;

  PendingRecord(long sequence, Supplier<Frame> record, boolean sync, Runnable then, long nowUs) {
    this.sequence = sequence;
    this.record = record;
    this.sync = sync;
    this.then = then;
    this.sinceUs = nowUs;
    this.sentUs = nowUs;
  }
}
