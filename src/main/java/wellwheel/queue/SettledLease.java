package wellwheel.queue;

import java.util.ArrayList;
import java.util.List;

/**
 * The receipt of a lease that its worker has ended: the same end is answered alike whenever it
 * comes again, another end under the lease is refused.
 *
 * @param epoch epoch of the partition that granted the lease
 * @param attempt number of the attempt that the lease was for
 * @param result the status that the worker told
 * @param sealHash hash of the seal that the worker told
 */
record SettledLease(long epoch, long attempt, int result, int sealHash) {
  /** How many receipts a message keeps; the oldest go first. */
  static final int KEPT_MOST = 8;

  private static final int FIELDS = 4;

  static SettledLease of(String lease, int result, String seal) {
    return new SettledLease(
        Message.epochOf(lease), Message.attemptOf(lease), result, seal.hashCode());
  }

  boolean sameLease(SettledLease other) {
    return epoch == other.epoch && attempt == other.attempt;
  }

  static List<Object> pack(List<SettledLease> leases) {
    var numbers = new ArrayList<Object>(leases.size() * FIELDS);
    for (var lease : leases) {
      numbers.add(lease.epoch);
      numbers.add(lease.attempt);
      numbers.add((long) lease.result);
      numbers.add((long) lease.sealHash);
    }
    return numbers;
  }

  static List<SettledLease> unpack(List<Long> numbers) {
    var leases = new ArrayList<SettledLease>();
    for (var at = 0; at + FIELDS <= numbers.size(); at += FIELDS) {
      leases.add(
          new SettledLease(
              numbers.get(at),
              numbers.get(at + 1),
              numbers.get(at + 2).intValue(),
              numbers.get(at + 3).intValue()));
    }
    return List.copyOf(leases);
  }
}
