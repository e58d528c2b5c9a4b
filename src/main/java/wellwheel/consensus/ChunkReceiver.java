package wellwheel.consensus;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.zip.CRC32;
import wellwheel.transport.Frame;

/** Puts a record that came in chunks together again. */
final class ChunkReceiver {
  static final int WHOLE_MOST = 64 << 20;

  record Taken(boolean answers, long have, Optional<byte[]> whole) {}

  private String sender = "";
  private long term;
  private long id;
  private long total;
  private long sum;
  private boolean done;
  private ByteArrayOutputStream parts = new ByteArrayOutputStream();
  private long refused;

  long refused() {
    return refused;
  }

  Taken take(String from, Frame chunk) {
    var same = from.equals(sender) && chunk.number("term") == term;
    if (!sound(chunk)
        || same && chunk.number("id") < id
        || same
            && chunk.number("id") == id
            && (done || chunk.number("total") != total || chunk.number("sum") != sum)) {
      refused++;
      return new Taken(false, 0, Optional.empty());
    }
    if (!same || chunk.number("id") != id) {
      begin(from, chunk);
    }
    if (chunk.number("offset") == parts.size()) {
      parts.writeBytes(chunk.bytes("bytes"));
    }
    return parts.size() == total ? whole() : new Taken(true, parts.size(), Optional.empty());
  }

  private static boolean sound(Frame chunk) {
    var offset = chunk.number("offset");
    var length = chunk.bytes("bytes").length;
    var total = chunk.number("total");
    return chunk.number("id") > 0
        && offset >= 0
        && length > 0
        && length <= ChunkSender.CHUNK
        && total > 0
        && total <= WHOLE_MOST
        && offset + length <= total;
  }

  private void begin(String from, Frame chunk) {
    sender = from;
    term = chunk.number("term");
    id = chunk.number("id");
    total = chunk.number("total");
    sum = chunk.number("sum");
    done = false;
    parts = new ByteArrayOutputStream();
  }

  private Taken whole() {
    var bytes = parts.toByteArray();
    parts = new ByteArrayOutputStream();
    if (sumOf(bytes) != sum) {
      refused++;
      return new Taken(true, 0, Optional.empty());
    }
    done = true;
    return new Taken(false, total, Optional.of(bytes));
  }

  static long sumOf(byte[] bytes) {
    var crc = new CRC32();
    crc.update(bytes);
    return crc.getValue();
  }
}
