package wellwheel.transport;

/**
 * How many bytes of request bodies a server may hold at once, from their arrival until their
 * requests are answered. Used by one event loop.
 */
final class BodyBudget {
  /** The part of the heap that bodies may take: they are copied once more on their way. */
  private static final int HEAP_PARTS = 4;

  private final long bytesMost;
  private long bytes;

  BodyBudget(long bytesMost) {
    this.bytesMost = bytesMost;
  }

  /** The budget of a process with a heap of this size. */
  static BodyBudget ofHeap(long heapBytes) {
    return new BodyBudget(heapBytes / HEAP_PARTS);
  }

  /** Takes so many bytes, if they fit; whatever its size, a single body always does. */
  boolean take(long count, boolean alone) {
    if (bytes + count > bytesMost && !alone) {
      return false;
    }
    bytes += count;
    return true;
  }

  void giveBack(long count) {
    bytes -= count;
  }

  long bytes() {
    return bytes;
  }
}
