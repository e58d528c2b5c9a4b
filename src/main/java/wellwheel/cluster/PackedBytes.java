package wellwheel.cluster;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Bytes as they go over the wire: long ones are deflated, behind a mark of one byte. */
public final class PackedBytes {
  private static final int SHORT = 16 << 10;
  private static final int LENGTH_MOST = 64 << 20;
  private static final int BUFFER = 8 << 10;
  private static final byte DEFLATED = 'z';

  private PackedBytes() {}

  /** The form for the wire: short bytes and such as begin with no mark stay as they are. */
  public static byte[] pack(byte[] bytes) {
    if (bytes.length < SHORT) {
      return bytes;
    }
    var deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      var out = new ByteArrayOutputStream(bytes.length / 4);
      out.write(DEFLATED);
      var buffer = new byte[BUFFER];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * What {@link #pack} was given.
   *
   * @throws IllegalArgumentException if the bytes are damaged or would be over 64 MB
   */
  public static byte[] unpack(byte[] packed) {
    if (packed.length == 0 || packed[0] != DEFLATED) {
      return packed;
    }
    var inflater = new Inflater();
    try {
      inflater.setInput(packed, 1, packed.length - 1);
      var out = new ByteArrayOutputStream(packed.length * 4);
      var buffer = new byte[BUFFER];
      while (!inflater.finished()) {
        var count = inflater.inflate(buffer);
        if (count == 0 || out.size() + count > LENGTH_MOST) {
          throw new IllegalArgumentException("deflated bytes that end early or are too long");
        }
        out.write(buffer, 0, count);
      }
      return out.toByteArray();
    } catch (DataFormatException e) {
      throw new IllegalArgumentException("damaged deflated bytes", e);
    } finally {
      inflater.end();
    }
  }
}
