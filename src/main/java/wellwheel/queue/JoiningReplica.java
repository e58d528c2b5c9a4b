package wellwheel.queue;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import wellwheel.replication.ReplicatedRecord;

/** What a primary knows of a copy that it compares with its own and fills. */
final class JoiningReplica {
  final String node;

  /** Epoch of the partition table that made it a copy. */
  final long epoch;

  /** Steady time in microseconds since when it is being filled. */
  final long sinceUs;

  final Set<ReplicatedRecord> missing = new LinkedHashSet<>();
  final Set<String> absent = new HashSet<>();
  final Set<String> bodiless = new HashSet<>();
  boolean asked;
  long askedUs;

  /** It has told what it has. */
  boolean spoken;

  /** It has all that the primary has. */
  boolean level;

  /** Records that it has not acknowledged yet. */
  int owed;

  /** Bytes of the bodies among them. */
  long owedBytes;

  JoiningReplica(String node, long epoch, long nowUs) {
    this.node = node;
    this.epoch = epoch;
    this.sinceUs = nowUs;
  }
}
