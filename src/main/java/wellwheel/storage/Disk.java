package wellwheel.storage;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/**
 * A node's disk as its state machine sees it: files that are appended to and rewritten, with a call
 * once they are synced.
 */
public interface Disk {
  /** The new contents of a file, written piece by piece while the old ones stay in force. */
  interface Rewrite {
    /** Adds a piece; the task runs once it has been written, not synced. */
    void append(byte[] bytes, Runnable written);

    /** Puts the new contents in the place of the old ones; the task runs once that is synced. */
    void finish(Runnable synced);
  }

  byte[] load(String name);

  void append(String name, byte[] bytes, Runnable synced);

  void rewrite(String name, byte[] whole, Runnable synced);

  /** The contents of a file, to be read before anything is written; the caller closes it. */
  default ByteSource open(String name) {
    return ByteSource.of(load(name));
  }

  /** Cuts off what a file holds beyond a length. */
  default void cut(String name, long length, Runnable synced) {
    rewrite(name, Arrays.copyOf(load(name), Math.toIntExact(length)), synced);
  }

  /** Begins to rewrite a file. One that was begun before and not finished is dropped. */
  default Rewrite startRewrite(String name) {
    var pieces = new ByteArrayOutputStream();
    return new Rewrite() {
      @Override
      public void append(byte[] bytes, Runnable written) {
        pieces.writeBytes(bytes);
        written.run();
      }

      @Override
      public void finish(Runnable synced) {
        rewrite(name, pieces.toByteArray(), synced);
      }
    };
  }
}
