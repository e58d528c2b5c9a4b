package wellwheel.cluster;

import java.nio.charset.StandardCharsets;

/** Spreads names evenly over the partitions, alike on every node. */
public final class PartitionHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

  private PartitionHash() {}

  /** The number of the partition that the text belongs to. */
  public static int partitionOf(String text) {
    var hash = FNV_OFFSET;
    for (var b : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b) * FNV_PRIME;
    }
    hash ^= hash >>> 32;
    return (int) Math.floorMod(hash * GOLDEN_RATIO >>> 20, (long) ClusterView.PARTITIONS);
  }
}
