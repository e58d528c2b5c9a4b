package wellwheel.transport;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * The body of a request as it arrives. Once it does not fit the server's budget it is only counted,
 * so that the request can be read to its end and refused with an answer.
 */
final class IncomingBody {
  private static final int FIRST_BYTES = 256;

  private final BodyBudget budget;
  private byte[] buffer = new byte[0];
  private int kept;
  private long received;
  private boolean refused;

  IncomingBody(BodyBudget budget) {
    this.budget = budget;
  }

  void add(ByteBuf more) {
    var count = more.readableBytes();
    received += count;
    if (refused || !budget.take(count, budget.bytes() == kept)) {
      refuse();
      return;
    }
    if (kept + count > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(kept + count, 2 * Math.max(kept, FIRST_BYTES)));
    }
    more.readBytes(buffer, kept, count);
    kept += count;
  }

  private void refuse() {
    refused = true;
    release();
  }

  /** How many bytes came, whether they were kept or not. */
  long received() {
    return received;
  }

  boolean refused() {
    return refused;
  }

  /** The whole body; empty if it was refused. */
  byte[] bytes() {
    buffer = kept == buffer.length ? buffer : Arrays.copyOf(buffer, kept);
    return buffer;
  }

  /** Gives its part of the budget back; what calls this twice does no harm. */
  void release() {
    budget.giveBack(kept);
    kept = 0;
    buffer = new byte[0];
  }
}
