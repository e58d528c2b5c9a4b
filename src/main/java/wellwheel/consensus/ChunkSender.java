package wellwheel.consensus;

import java.util.Arrays;
import java.util.function.Consumer;
import wellwheel.transport.Frame;

/** Sends a record that is too long for one frame in chunks, a few of them unacknowledged. */
final class ChunkSender {
  static final int CHUNK = 64 << 10;
  static final int WINDOW = 4 * CHUNK;
  private final long id;
  private final byte[] whole;
  private final long sum;
  private int acked;
  private int sent;

  ChunkSender(long id, byte[] whole) {
    this.id = id;
    this.whole = whole;
    this.sum = ChunkReceiver.sumOf(whole);
  }

  long id() {
    return id;
  }

  void rewind() {
    sent = acked;
  }

  boolean acknowledged(long have) {
    if (have < 0 || have > whole.length) {
      return false;
    }
    var moved = have > acked;
    if (have < acked) {
      sent = (int) have;
    }
    acked = (int) have;
    sent = Math.max(sent, acked);
    return moved;
  }

  void pump(Consumer<Frame> out) {
    while (sent < whole.length && sent - acked < WINDOW) {
      var end = Math.min(whole.length, sent + CHUNK);
      out.accept(
          Frame.of("raft.chunk")
              .with("id", id)
              .with("offset", (long) sent)
              .with("total", (long) whole.length)
              .with("sum", sum)
              .with("bytes", Arrays.copyOfRange(whole, sent, end)));
      sent = end;
    }
  }
}
