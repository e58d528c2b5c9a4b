package wellwheel.storage;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32;

/** The bytes of a file, read where they are wanted, so that a long file need not fit in memory. */
public interface ByteSource extends Closeable {
  /** How many bytes there are. */
  long length();

  byte at(long position);

  /** Copies bytes that lie inside the source. */
  byte[] copy(long from, int count);

  /** Adds bytes that lie inside the source to a checksum. */
  default void addTo(CRC32 sum, long from, int count) {
    sum.update(copy(from, count));
  }

  @Override
  default void close() throws IOException {}

  /** Bytes that are in memory. */
  static ByteSource of(byte[] bytes) {
    return new InMemory(bytes);
  }

  /** The bytes that a file holds now; what is appended later is not seen. */
  static ByteSource of(FileChannel file) throws IOException {
    return new InFile(file, file.size());
  }

  /** See {@link #of(byte[])}. */
  record InMemory(byte[] bytes) implements ByteSource {
    @Override
    public long length() {
      return bytes.length;
    }

    @Override
    public byte at(long position) {
      return bytes[Math.toIntExact(position)];
    }

    @Override
    public byte[] copy(long from, int count) {
      var out = new byte[count];
      System.arraycopy(bytes, Math.toIntExact(from), out, 0, count);
      return out;
    }

    @Override
    public void addTo(CRC32 sum, long from, int count) {
      sum.update(bytes, Math.toIntExact(from), count);
    }
  }

  /** A file that is read through a window. */
  final class InFile implements ByteSource {
    private static final int WINDOW_BYTES = 64 << 10;

    private final FileChannel file;
    private final long length;
    private final ByteBuffer window = ByteBuffer.allocate(WINDOW_BYTES).limit(0);
    private long windowFrom;

    private InFile(FileChannel file, long length) {
      this.file = file;
      this.length = length;
    }

    @Override
    public long length() {
      return length;
    }

    @Override
    public byte at(long position) {
      slideTo(position, 1);
      return window.get((int) (position - windowFrom));
    }

    private void slideTo(long from, int count) {
      if (from < windowFrom || from + count > windowFrom + window.limit()) {
        fill(from);
      }
    }

    private void fill(long from) {
      window.clear().limit((int) Math.min(WINDOW_BYTES, length - from));
      read(window, from);
      window.flip();
      windowFrom = from;
    }

    private void read(ByteBuffer into, long from) {
      try {
        while (into.hasRemaining()) {
          if (file.read(into, from + into.position()) < 0) {
            throw new EOFException("the file is shorter than it was");
          }
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    @Override
    public byte[] copy(long from, int count) {
      var out = new byte[count];
      if (count > WINDOW_BYTES) {
        read(ByteBuffer.wrap(out), from);
      } else if (count > 0) {
        slideTo(from, count);
        window.get((int) (from - windowFrom), out);
      }
      return out;
    }

    @Override
    public void addTo(CRC32 sum, long from, int count) {
      for (var done = 0; done < count; done += WINDOW_BYTES) {
        sum.update(copy(from + done, Math.min(WINDOW_BYTES, count - done)));
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
