package wellwheel.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import wellwheel.runtime.ResultCode;

/** Reads the records of a journal and tells a torn tail from damage inside what had been synced. */
public final class JournalReader {
  static final int VERSION = 2;
  private static final byte MARK = (byte) 0xC1;
  private static final int PLAIN_HEAD = 8;
  private static final int SUM_BYTES = 4;
  private static final int NUMBER_MOST = 5;
  private static final long SEARCH_MOST = 1L << 28;

  private final ByteSource bytes;
  private final String name;
  private final String owner;
  private long at;
  private long number;
  private long body;
  private int length;
  private long back;
  private long soundEnd;
  private int records;
  private boolean formatted;

  JournalReader(ByteSource bytes, String name, String owner) {
    this.bytes = bytes;
    this.name = name;
    this.owner = owner;
    readSound();
  }

  static byte[] sealed(long position, long synced, byte[] record) {
    var distance = (int) (position - synced);
    var out =
        ByteBuffer.allocate(1 + width(record.length) + width(distance) + SUM_BYTES + record.length)
            .put(MARK);
    putNumber(out, record.length);
    putNumber(out, distance);
    var sum = sumOf(out.array(), 0, out.position(), record, 0, record.length);
    return out.putInt(sum ^ scrambled(position)).put(record).array();
  }

  static byte[] format(String owner) {
    var text = owner.getBytes(StandardCharsets.UTF_8);
    return plain(
        ByteBuffer.allocate(2 + text.length).put(MARK).put((byte) VERSION).put(text).array());
  }

  public static byte[] plain(byte[] record) {
    return ByteBuffer.allocate(PLAIN_HEAD + record.length)
        .putInt(record.length)
        .putInt(sumOf(record, 0, 0, record, 0, record.length))
        .put(record)
        .array();
  }

  private static int sumOf(byte[] head, int from, int count, byte[] record, int start, int size) {
    var sum = new CRC32();
    sum.update(head, from, count);
    sum.update(record, start, size);
    return (int) sum.getValue();
  }

  private static int scrambled(long position) {
    return (int) (position * 0x9E3779B97F4A7C15L >>> 32);
  }

  private static int width(int value) {
    return Math.max(1, (38 - Integer.numberOfLeadingZeros(value)) / 7);
  }

  private static void putNumber(ByteBuffer out, int value) {
    var left = value;
    while (left >>> 7 != 0) {
      out.put((byte) (left | 0x80));
      left >>>= 7;
    }
    out.put((byte) left);
  }

  long soundEnd() {
    return soundEnd;
  }

  int records() {
    return records;
  }

  boolean formatted() {
    return formatted;
  }

  boolean cut() {
    return soundEnd < bytes.length();
  }

  void each(Consumer<byte[]> reader) {
    at = 0;
    while (at < soundEnd) {
      if (bytes.at(at) == MARK) {
        frameSealed();
      } else {
        framePlain();
      }
      if (bytes.at(at) == MARK || !isFormat()) {
        reader.accept(bytes.copy(body, length));
      }
      at = body + length;
    }
  }

  boolean syncedDamaged() {
    var searched = 0L;
    for (at = soundEnd + 1; at < bytes.length(); at++) {
      if (bytes.at(at) != MARK || !frameSealed()) {
        continue;
      }
      searched += length;
      if (searched > SEARCH_MOST) {
        return true;
      }
      if (soundSealed()) {
        if (at - back > soundEnd) {
          return true;
        }
        at = body + length - 1;
      }
    }
    return false;
  }

  private void readSound() {
    var sealedOnly = false;
    while (at < bytes.length()) {
      var sealed = bytes.at(at) == MARK;
      if (sealed
          ? !frameSealed() || !soundSealed()
          : sealedOnly || !framePlain() || !soundPlain()) {
        return;
      }
      at = body + length;
      if (!sealed && isFormat()) {
        checkFormat();
        sealedOnly = true;
        continue;
      }
      records++;
      soundEnd = at;
      formatted = sealedOnly;
    }
  }

  private boolean isFormat() {
    return bytes.at(body) == MARK;
  }

  private void checkFormat() {
    var version = length > 1 ? bytes.at(body + 1) : 0;
    if (version != VERSION) {
      throw new Journal.Unreadable(
          ResultCode.BAD_STATE,
          name + " is of version " + version + ", this program reads up to " + VERSION);
    }
    var found = new String(bytes.copy(body + 2, length - 2), StandardCharsets.UTF_8);
    if (!found.isEmpty() && !owner.isEmpty() && !found.equals(owner)) {
      throw new Journal.Unreadable(
          ResultCode.JOURNAL_FOREIGN,
          name + " was written by " + found + ", this is " + owner + "; move it away");
    }
  }

  private boolean framePlain() {
    if (bytes.length() - at < PLAIN_HEAD) {
      return false;
    }
    length = intAt(at);
    body = at + PLAIN_HEAD;
    return length > 0 && length <= bytes.length() - body;
  }

  private boolean soundPlain() {
    return intAt(at + SUM_BYTES) == sumOf(at, 0, body, length);
  }

  private boolean frameSealed() {
    var next = readNumber(at + 1);
    var size = number;
    next = readNumber(next);
    if (size <= 0 || number < 0 || number > at || next + SUM_BYTES + size > bytes.length()) {
      return false;
    }
    length = (int) size;
    back = number;
    body = next + SUM_BYTES;
    return true;
  }

  private boolean soundSealed() {
    var head = body - SUM_BYTES;
    return intAt(head) == (sumOf(at, (int) (head - at), body, length) ^ scrambled(at));
  }

  private int intAt(long position) {
    var value = 0;
    for (var step = 0; step < Integer.BYTES; step++) {
      value = value << Byte.SIZE | bytes.at(position + step) & 0xff;
    }
    return value;
  }

  private int sumOf(long from, int count, long start, int size) {
    var sum = new CRC32();
    bytes.addTo(sum, from, count);
    bytes.addTo(sum, start, size);
    return (int) sum.getValue();
  }

  private long readNumber(long from) {
    number = 0;
    for (var step = 0; step < NUMBER_MOST && from + step < bytes.length(); step++) {
      var each = bytes.at(from + step);
      number |= (each & 0x7FL) << 7 * step;
      if (each >= 0) {
        return from + step + 1;
      }
    }
    number = -1;
    return bytes.length();
  }
}
