package wellwheel.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** A message between nodes or a record in a journal: named fields, packed as MessagePack. */
public final class Frame {
  private static final byte[] NO_BYTES = {};
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(1024);
  private final Map<String, Object> fields = new LinkedHashMap<>(8);

  public static Frame of(String kind) {
    return new Frame().with("k", kind);
  }

  public Frame with(String field, Object value) {
    fields.put(field, value instanceof Integer i ? Long.valueOf(i) : value);
    return this;
  }

  public String kind() {
    return text("k");
  }

  public boolean has(String field) {
    return fields.containsKey(field);
  }

  public String text(String field) {
    return fields.get(field) instanceof String s ? s : "";
  }

  public long number(String field) {
    return fields.get(field) instanceof Long n ? n : 0L;
  }

  public int small(String field) {
    return (int) number(field);
  }

  public boolean flag(String field) {
    return fields.get(field) instanceof Boolean b && b;
  }

  public byte[] bytes(String field) {
    return fields.get(field) instanceof byte[] b ? b : NO_BYTES;
  }

  public double part(String field) {
    return fields.get(field) instanceof Double d ? d : 0;
  }

  public List<Long> numbers(String field) {
    return fields.get(field) instanceof List<?> list
        ? list.stream().filter(Long.class::isInstance).map(Long.class::cast).toList()
        : List.of();
  }

  public Frame inner(String field) {
    return fields.get(field) instanceof Frame f ? f : new Frame();
  }

  public List<Frame> frames(String field) {
    var found = new ArrayList<Frame>();
    if (fields.get(field) instanceof List<?> list) {
      list.forEach(
          item -> {
            if (item instanceof Frame f) {
              found.add(f);
            }
          });
    }
    return found;
  }

  public List<?> list(String field) {
    return fields.get(field) instanceof List<?> list ? list : List.of();
  }

  public List<String> texts(String field) {
    var found = new ArrayList<String>();
    if (fields.get(field) instanceof List<?> list) {
      list.forEach(
          item -> {
            if (item instanceof String s) {
              found.add(s);
            }
          });
    }
    return found;
  }

  public byte[] pack() {
    try (var packer = PACKER.newBufferPacker()) {
      packValue(packer, this);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public static Frame unpack(byte[] bytes) {
    try (var unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpackValue(unpacker, 0) instanceof Frame f ? f : new Frame();
    } catch (IOException | RuntimeException e) {
      throw new IllegalArgumentException("unreadable frame", e);
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
      packer.packMapHeader(f.tellingFields());
      for (var entry : f.fields.entrySet()) {
        if (telling(entry.getValue())) {
          packer.packString(entry.getKey());
          packValue(packer, entry.getValue());
        }
      }
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
    for (var value : fields.values()) {
      count += telling(value) ? 1 : 0;
    }
    return count;
  }

  private static boolean telling(Object value) {
    return !(value.equals("")
        || value.equals(0L)
        || value.equals(false)
        || value instanceof byte[] b && b.length == 0);
  }

  private static Object unpackValue(MessageUnpacker unpacker, int depth) throws IOException {
    if (depth > 8) {
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
        var size = unpacker.unpackArrayHeader();
        var list = new ArrayList<>(Math.min(size, 1024));
        for (var i = 0; i < size; i++) {
          list.add(unpackValue(unpacker, depth + 1));
        }
        return list;
      case MAP:
        var count = unpacker.unpackMapHeader();
        var frame = new Frame();
        for (var i = 0; i < count; i++) {
          var key = unpacker.unpackString();
          frame.fields.put(key, unpackValue(unpacker, depth + 1));
        }
        return frame;
      default:
        unpacker.skipValue();
        return Boolean.FALSE;
    }
  }
}
