package wellwheel.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A message between nodes or a record in a journal: named fields, packed as MessagePack. A frame
 * keeps its packed form until it is changed, so that what is passed on is not packed again.
 */
public final class Frame {
  private static final byte[] NO_BYTES = {};
  private static final int DEPTH_MOST = 8;
  private static final int FEW_FIELDS = 8;
  private static final int LIST_ROOM_MOST = 1024;
  private static final int PACKER_BYTES = 4096;
  private static final int PACKER_KEPT_MOST = 256 << 10;
  private static final ThreadLocal<MessageBufferPacker> PACKER =
      ThreadLocal.withInitial(Frame::newPacker);

  private String[] names = new String[FEW_FIELDS];
  private Object[] values = new Object[FEW_FIELDS];
  private int size;
  private byte[] packedIn = NO_BYTES;
  private int packedFrom;
  private int packedTo;
  private boolean delayKnown;
  private long delayUs;

  private static MessageBufferPacker newPacker() {
    return new MessagePack.PackerConfig().withBufferSize(PACKER_BYTES).newBufferPacker();
  }

  public static Frame of(String kind) {
    return new Frame().with("k", kind);
  }

  /** Sets a field, named by a literal. A whole number is kept as a long. */
  public Frame with(String field, Object value) {
    packedTo = packedFrom;
    packedIn = NO_BYTES;
    put(field, value instanceof Integer i ? Long.valueOf(i) : value);
    return this;
  }

  private void put(String field, Object value) {
    var at = indexOf(field);
    if (at >= 0) {
      values[at] = value;
      return;
    }
    if (size == names.length) {
      names = Arrays.copyOf(names, 2 * size);
      values = Arrays.copyOf(values, 2 * size);
    }
    names[size] = field;
    values[size++] = value;
  }

  /** Names are interned: they are literals, or come from {@link FieldNames}. */
  private int indexOf(String field) {
    assert field == field.intern() : "the name of a field is no literal: " + field;
    for (var at = 0; at < size; at++) {
      if (names[at] == field) {
        return at;
      }
    }
    return -1;
  }

  private Object value(String field) {
    var at = indexOf(field);
    return at < 0 ? null : values[at];
  }

  public String kind() {
    return text("k");
  }

  public boolean has(String field) {
    return indexOf(field) >= 0;
  }

  public String text(String field) {
    return value(field) instanceof String s ? s : "";
  }

  public long number(String field) {
    return value(field) instanceof Long n ? n : 0L;
  }

  public int small(String field) {
    return (int) number(field);
  }

  public boolean flag(String field) {
    return value(field) instanceof Boolean b && b;
  }

  public byte[] bytes(String field) {
    return value(field) instanceof byte[] b ? b : NO_BYTES;
  }

  public double part(String field) {
    return value(field) instanceof Double d ? d : 0;
  }

  public List<Long> numbers(String field) {
    return all(field, Long.class);
  }

  public Frame inner(String field) {
    return value(field) instanceof Frame f ? f : new Frame();
  }

  public List<Frame> frames(String field) {
    return all(field, Frame.class);
  }

  public List<?> list(String field) {
    return value(field) instanceof List<?> list ? list : List.of();
  }

  public List<String> texts(String field) {
    return all(field, String.class);
  }

  private <T> List<T> all(String field, Class<T> type) {
    var items = list(field);
    var found = new ArrayList<T>(items.size());
    for (var item : items) {
      if (type.isInstance(item)) {
        found.add(type.cast(item));
      }
    }
    return found;
  }

  /** Notes how long the frame was on its way. This is not packed. */
  public Frame delayedBy(long newDelayUs) {
    delayKnown = true;
    delayUs = newDelayUs;
    return this;
  }

  /** Whether it is known how long the frame was on its way. */
  public boolean delayKnown() {
    return delayKnown;
  }

  /**
   * How much longer the frame was on its way than the fastest one of its connection, in
   * microseconds; 0 where that is not known.
   */
  public long delayUs() {
    return delayUs;
  }

  /** What is left now of a time that was left when the frame was sent, in microseconds. */
  public long remainingUs(long leftUs) {
    return leftUs - delayUs;
  }

  /** The packed form. The frame remembers it: packing it again, also inside another, is a copy. */
  public byte[] pack() {
    if (packedTo == packedFrom) {
      packedIn = packAll();
      packedFrom = 0;
      packedTo = packedIn.length;
    }
    return Arrays.copyOfRange(packedIn, packedFrom, packedTo);
  }

  private byte[] packAll() {
    var packer = PACKER.get();
    packer.clear();
    try {
      packFields(packer);
      var bytes = packer.toByteArray();
      if (bytes.length > PACKER_KEPT_MOST) {
        PACKER.remove();
      }
      return bytes;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public static Frame unpack(byte[] bytes) {
    try (var unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpackValue(unpacker, bytes, 0) instanceof Frame f ? f : new Frame();
    } catch (IOException | RuntimeException e) {
      throw new IllegalArgumentException("unreadable frame", e);
    }
  }

  private void packFields(MessagePacker packer) throws IOException {
    if (packedTo > packedFrom) {
      packer.writePayload(packedIn, packedFrom, packedTo - packedFrom);
      return;
    }
    packer.packMapHeader(tellingFields());
    for (var at = 0; at < size; at++) {
      if (telling(values[at])) {
        packer.writePayload(FieldNames.packed(names[at]));
        packValue(packer, values[at]);
      }
    }
  }

  private static void packValue(MessagePacker packer, Object value) throws IOException {
    if (value instanceof String s) {
      packer.packString(s);
    } else if (value instanceof Long n) {
      packer.packLong(n);
    } else if (value instanceof Boolean b) {
      packer.packBoolean(b);
    } else if (value instanceof Double d) {
      packer.packDouble(d);
    } else if (value instanceof byte[] b) {
      packer.packBinaryHeader(b.length);
      packer.writePayload(b);
    } else if (value instanceof Frame f) {
      f.packFields(packer);
    } else if (value instanceof List<?> list) {
      packer.packArrayHeader(list.size());
      for (var item : list) {
        packValue(packer, item);
      }
    } else {
      throw new IllegalArgumentException("unpackable " + value);
    }
  }

  private int tellingFields() {
    var count = 0;
    for (var at = 0; at < size; at++) {
      if (telling(values[at])) {
        count++;
      }
    }
    return count;
  }

  /** Whether the value differs from what a missing field reads as. */
  private static boolean telling(Object value) {
    if (value instanceof String s) {
      return !s.isEmpty();
    }
    if (value instanceof Long n) {
      return n != 0;
    }
    if (value instanceof Boolean b) {
      return b;
    }
    return !(value instanceof byte[] b) || b.length > 0;
  }

  private static Object unpackValue(MessageUnpacker unpacker, byte[] source, int depth)
      throws IOException {
    if (depth > DEPTH_MOST) {
      throw new IOException("too deep");
    }
    switch (unpacker.getNextFormat().getValueType()) {
      case STRING:
        return unpacker.unpackString();
      case INTEGER:
        return unpacker.unpackLong();
      case BOOLEAN:
        return unpacker.unpackBoolean();
      case FLOAT:
        return unpacker.unpackDouble();
      case BINARY:
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
      case ARRAY:
        return unpackList(unpacker, source, depth);
      case MAP:
        return unpackFields(unpacker, source, depth);
      default:
        unpacker.skipValue();
        return Boolean.FALSE;
    }
  }

  private static List<Object> unpackList(MessageUnpacker unpacker, byte[] source, int depth)
      throws IOException {
    var size = unpacker.unpackArrayHeader();
    var list = new ArrayList<>(Math.min(size, LIST_ROOM_MOST));
    for (var i = 0; i < size; i++) {
      list.add(unpackValue(unpacker, source, depth + 1));
    }
    return list;
  }

  private static Frame unpackFields(MessageUnpacker unpacker, byte[] source, int depth)
      throws IOException {
    var from = (int) unpacker.getTotalReadBytes();
    var count = unpacker.unpackMapHeader();
    var frame = new Frame();
    for (var i = 0; i < count; i++) {
      var field = FieldNames.of(unpacker.readPayload(unpacker.unpackRawStringHeader()));
      frame.put(field, unpackValue(unpacker, source, depth + 1));
    }
    frame.packedIn = source;
    frame.packedFrom = from;
    frame.packedTo = (int) unpacker.getTotalReadBytes();
    return frame;
  }
}
