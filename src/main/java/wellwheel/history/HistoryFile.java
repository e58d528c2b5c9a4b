package wellwheel.history;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import wellwheel.storage.Disk;
import wellwheel.storage.JournalReader;
import wellwheel.transport.Frame;

/** The file that queue history is kept in. */
final class HistoryFile {
  private static final int HEAD = 8;
  private final Disk disk;
  private final String name;
  private long bytesLong;

  HistoryFile(Disk disk, String name) {
    this.disk = disk;
    this.name = name;
  }

  long bytesLong() {
    return bytesLong;
  }

  int open(Consumer<Frame> reader) {
    bytesLong = disk.load(name).length;
    return read(reader);
  }

  int read(Consumer<Frame> reader) {
    var buffer = ByteBuffer.wrap(disk.load(name));
    var damaged = 0;
    var searching = false;
    while (buffer.hasRemaining()) {
      var length = soundLength(buffer);
      if (length == 0) {
        damaged += searching ? 0 : 1;
        searching = true;
        buffer.get();
        continue;
      }
      searching = false;
      damaged +=
          deliver(
                  Arrays.copyOfRange(
                      buffer.array(), buffer.position() + HEAD, buffer.position() + HEAD + length),
                  reader)
              ? 0
              : 1;
      buffer.position(buffer.position() + HEAD + length);
    }
    return damaged;
  }

  private static boolean deliver(byte[] record, Consumer<Frame> reader) {
    try {
      reader.accept(Frame.unpack(record));
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static int soundLength(ByteBuffer buffer) {
    var at = buffer.position();
    if (buffer.remaining() <= HEAD + 3) {
      return 0;
    }
    var length = buffer.getInt(at);
    var likely =
        (buffer.get(at + HEAD) & 0xF0) == 0x80
            && buffer.get(at + HEAD + 1) == (byte) 0xA1
            && buffer.get(at + HEAD + 2) == 'k';
    if (!likely || length <= 0 || length > buffer.remaining() - HEAD) {
      return 0;
    }
    var sum = new CRC32();
    sum.update(buffer.array(), at + HEAD, length);
    return (int) sum.getValue() == buffer.getInt(at + 4) ? length : 0;
  }

  void append(byte[] record) {
    var framed = JournalReader.plain(record);
    bytesLong += framed.length;
    disk.append(name, framed, () -> {});
  }

  void rewrite(List<byte[]> records, Runnable synced) {
    var out = new ByteArrayOutputStream();
    records.forEach(record -> out.writeBytes(JournalReader.plain(record)));
    bytesLong = out.size();
    disk.rewrite(name, out.toByteArray(), synced);
  }
}
