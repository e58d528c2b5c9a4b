package wellwheel.storage;

/**
 * A node's disk as its state machine sees it: files that are appended to and rewritten, with a call
 * once they are synced.
 */
public interface Disk {
  byte[] load(String name);

  void append(String name, byte[] bytes, Runnable synced);

  void rewrite(String name, byte[] whole, Runnable synced);
}
