package wellwheel.receipts;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

/**
 * The first 128 bits of SHA-256 over what a request asks for. The idempotency key, the name of the
 * try, credentials and timing fields (delay, time left) are left out, so every try of one request
 * has the same digest (MHS-002, PROTO-036).
 */
public record RequestDigest(long high, long low) {
  /** Length of {@link #toBytes()}. */
  public static final int BYTES = 16;

  private static final int HEAD_BYTES = 256;

  /** The digest of no request: what records of requests without a key hold. */
  public static final RequestDigest NONE = new RequestDigest(0, 0);

  /**
   * Computes the digest over the canonical form: each field as its length in four bytes followed by
   * its bytes, in this order.
   */
  public static RequestDigest of(
      String method,
      String host,
      String target,
      String orderKey,
      List<String> runsAfter,
      byte[] body) {
    try {
      var canonical = new ByteArrayOutputStream(HEAD_BYTES + body.length);
      add(canonical, method.getBytes(StandardCharsets.UTF_8));
      add(canonical, host.getBytes(StandardCharsets.UTF_8));
      add(canonical, target.getBytes(StandardCharsets.UTF_8));
      add(canonical, orderKey.getBytes(StandardCharsets.UTF_8));
      add(canonical, String.join(",", runsAfter).getBytes(StandardCharsets.UTF_8));
      add(canonical, body);
      return read(MessageDigest.getInstance("SHA-256").digest(canonical.toByteArray()));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }

  private static void add(ByteArrayOutputStream canonical, byte[] field) {
    canonical.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
    canonical.writeBytes(field);
  }

  /** Reads what {@link #toBytes()} wrote; {@link #NONE} if there are too few bytes. */
  public static RequestDigest read(byte[] bytes) {
    if (bytes.length < BYTES) {
      return NONE;
    }
    var buffer = ByteBuffer.wrap(bytes);
    return new RequestDigest(buffer.getLong(), buffer.getLong());
  }

  /** The digest as an operator sees it: 32 hexadecimal digits. */
  public String toText() {
    return String.format("%016x%016x", high, low);
  }

  /** The digest as 16 bytes. */
  public byte[] toBytes() {
    return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
  }
}
