package wellwheel.receipts;

import java.util.List;
import wellwheel.cluster.PartitionHash;

/** The client's name for an operation: all tries that carry it count as one. */
public final class IdempotencyKey {
  /** The request header that carries the key. */
  public static final String HEADER = "Operation-Key";

  private static final int LENGTH_MOST = 256;
  private static final char FIRST_PRINTABLE = '!';
  private static final char LAST_PRINTABLE = '~';

  private IdempotencyKey() {}

  /** Whether the values of the header, none of them included, are ones that can be served. */
  public static boolean valid(List<String> values) {
    return values.isEmpty() || values.size() == 1 && printable(values.get(0));
  }

  private static boolean printable(String key) {
    return !key.isEmpty()
        && key.length() <= LENGTH_MOST
        && key.chars().allMatch(each -> each >= FIRST_PRINTABLE && each <= LAST_PRINTABLE);
  }

  /**
   * The partition that decides about a key. It follows from tenant and key alone, so neither the
   * configuration nor the edge node that a try came through can lead two tries to two partitions.
   */
  public static int homePartition(String tenant, String key) {
    return PartitionHash.partitionOf("receipt\n" + tenant + "\n" + key);
  }

  /** The name under which everything known about a key of a tenant is found in its partition. */
  public static String scope(String tenant, String key) {
    return tenant + "\n" + key;
  }
}
