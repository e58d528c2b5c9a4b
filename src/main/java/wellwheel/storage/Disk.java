package wellwheel.storage;

public interface Disk {
  byte[] load(String name);

  void append(String name, byte[] bytes, Runnable synced);

  void rewrite(String name, byte[] whole, Runnable synced);
}
