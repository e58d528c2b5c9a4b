package wellwheel.storage;

import java.io.ByteArrayOutputStream;

public final class MemoryDisk implements Disk {
  public byte[] bytes = {};

  @Override
  public byte[] load(String name) {
    return bytes;
  }

  @Override
  public void append(String name, byte[] more, Runnable synced) {
    var out = new ByteArrayOutputStream();
    out.writeBytes(bytes);
    out.writeBytes(more);
    bytes = out.toByteArray();
    synced.run();
  }

  @Override
  public void rewrite(String name, byte[] whole, Runnable synced) {
    bytes = whole;
    synced.run();
  }
}
