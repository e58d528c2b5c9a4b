package wellwheel.transport;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The names of fields, each as one string of the process and as the bytes that stand for it on the
 * wire. Names are few and come with every frame, so they are neither decoded nor encoded anew.
 */
final class FieldNames {
  private static final int SLOTS = 2048;
  private static final int SHORT_STRING_MOST = 31;
  private static final int SHORT_STRING_PREFIX = 0xa0;
  private static final int STRING_8_PREFIX = 0xd9;
  private static final int NAME_MOST = 255;

  private record Name(String text, byte[] bytes, byte[] packed) {}

  private static final Name[] BY_BYTES = new Name[SLOTS];
  private static final Name[] BY_TEXT = new Name[SLOTS];

  private FieldNames() {}

  /** The name that these bytes spell: the same object each time. */
  static String of(byte[] bytes) {
    var slot = Arrays.hashCode(bytes) & (SLOTS - 1);
    var name = BY_BYTES[slot];
    if (name == null || !Arrays.equals(name.bytes(), bytes)) {
      name = named(new String(bytes, StandardCharsets.UTF_8).intern());
      BY_BYTES[slot] = name;
    }
    return name.text();
  }

  /** The name as a packed string, its head included. */
  static byte[] packed(String text) {
    var slot = text.hashCode() & (SLOTS - 1);
    var name = BY_TEXT[slot];
    if (name == null || !name.text().equals(text)) {
      name = named(text.intern());
      BY_TEXT[slot] = name;
    }
    return name.packed();
  }

  private static Name named(String text) {
    var bytes = text.getBytes(StandardCharsets.UTF_8);
    return new Name(text, bytes, pack(bytes));
  }

  private static byte[] pack(byte[] bytes) {
    if (bytes.length > NAME_MOST) {
      throw new IllegalArgumentException("the name of a field is too long");
    }
    var head =
        bytes.length <= SHORT_STRING_MOST
            ? new byte[] {(byte) (SHORT_STRING_PREFIX | bytes.length)}
            : new byte[] {(byte) STRING_8_PREFIX, (byte) bytes.length};
    var packed = Arrays.copyOf(head, head.length + bytes.length);
    System.arraycopy(bytes, 0, packed, head.length, bytes.length);
    return packed;
  }
}
