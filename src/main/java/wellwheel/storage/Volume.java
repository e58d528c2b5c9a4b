package wellwheel.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The file operations that a disk needs. */
interface Volume {
  boolean exists(String name) throws IOException;

  byte[] read(String name) throws IOException;

  /** The contents of a file, to be closed by the caller. */
  default ByteSource open(String name) throws IOException {
    return ByteSource.of(read(name));
  }

  Handle appending(String name) throws IOException;

  Handle fresh(String name) throws IOException;

  void rename(String from, String to) throws IOException;

  void syncNames() throws IOException;

  interface Handle extends Closeable {
    void write(ByteBuffer bytes) throws IOException;

    void sync(boolean sizeToo) throws IOException;
  }

  static Volume in(Path folder) throws IOException {
    Files.createDirectories(folder);
    return new Folder(folder);
  }

  record Folder(Path folder) implements Volume {
    @Override
    public boolean exists(String name) {
      return Files.exists(folder.resolve(name));
    }

    @Override
    public byte[] read(String name) throws IOException {
      return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public ByteSource open(String name) throws IOException {
      return ByteSource.of(FileChannel.open(folder.resolve(name), StandardOpenOption.READ));
    }

    @Override
    public Handle appending(String name) throws IOException {
      return new Open(
          FileChannel.open(
              folder.resolve(name),
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.APPEND));
    }

    @Override
    public Handle fresh(String name) throws IOException {
      Files.deleteIfExists(folder.resolve(name));
      return new Open(
          FileChannel.open(
              folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
      Files.move(
          folder.resolve(from),
          folder.resolve(to),
          StandardCopyOption.ATOMIC_MOVE,
          StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void syncNames() throws IOException {
      try (var names = FileChannel.open(folder, StandardOpenOption.READ)) {
        names.force(true);
      }
    }
  }

  record Open(FileChannel file) implements Handle {
    @Override
    public void write(ByteBuffer bytes) throws IOException {
      while (bytes.hasRemaining()) {
        file.write(bytes);
      }
    }

    @Override
    public void sync(boolean sizeToo) throws IOException {
      file.force(sizeToo);
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
