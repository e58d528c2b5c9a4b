package wellwheel.control;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import wellwheel.storage.Disk;

/** A disk with one worker that writes in order, a batch to a sync, as FileDisk does. */
final class ModelDisk {
  interface Host {
    void after(long waitUs, Runnable task);

    void call(int life, Runnable task);
  }

  /**
   * A write that waits; what was confirmed as synced when it was begun is proven by its record.
   *
   * @param confirmed bytes of the file that were confirmed as synced when the write was begun
   */
  private record Work(
      String name, byte[] bytes, boolean whole, Runnable synced, int life, int confirmed) {}

  private static final class Content {
    ByteArrayOutputStream synced = new ByteArrayOutputStream();
    final List<byte[]> loose = new ArrayList<>();

    /** So many bytes this life of the process was told are synced. */
    int confirmed;

    /** So many bytes were synced and confirmed before a later write that is synced was begun. */
    int proven;

    byte[] whole() {
      var out = new ByteArrayOutputStream();
      out.writeBytes(synced.toByteArray());
      loose.forEach(out::writeBytes);
      return out.toByteArray();
    }

    void sync() {
      loose.forEach(synced::writeBytes);
      loose.clear();
    }

    void become(byte[] bytes) {
      loose.clear();
      synced = new ByteArrayOutputStream();
      synced.writeBytes(bytes);
      confirmed = 0;
      proven = 0;
    }
  }

  private final Host host;
  private final Random random;
  private final long syncUs;
  private final Map<String, Content> files = new HashMap<>();
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private final List<Work> batch = new ArrayList<>();
  private int starts;
  private long times = 1;
  private double bytesPerUs = 400;
  private long written;

  ModelDisk(Host host, Random random, long syncUs) {
    this.host = host;
    this.random = random;
    this.syncUs = syncUs;
  }

  void slow(long newTimes, double newBytesPerUs) {
    times = newTimes;
    bytesPerUs = newBytesPerUs;
  }

  long written() {
    return written;
  }

  private Content file(String name) {
    return files.computeIfAbsent(name, n -> new Content());
  }

  Disk bind(int life) {
    files.values().forEach(file -> file.confirmed = 0);
    return new Disk() {
      @Override
      public byte[] load(String name) {
        return file(name).whole();
      }

      @Override
      public void append(String name, byte[] bytes, Runnable synced) {
        enqueue(new Work(name, bytes, false, synced, life, file(name).confirmed));
      }

      @Override
      public void rewrite(String name, byte[] whole, Runnable synced) {
        enqueue(new Work(name, whole, true, synced, life, 0));
      }
    };
  }

  private void enqueue(Work work) {
    queue.add(work);
    written += work.bytes().length;
    if (batch.isEmpty()) {
      begin();
    }
  }

  private void begin() {
    batch.addAll(queue);
    queue.clear();
    var bytes = batch.stream().mapToLong(work -> work.bytes().length).sum();
    var mine = ++starts;
    host.after(
        syncUs * times + (long) (bytes / bytesPerUs),
        () -> {
          if (mine == starts) {
            finish();
          }
        });
  }

  private void finish() {
    var done = List.copyOf(batch);
    batch.clear();
    done.forEach(this::write);
    done.forEach(work -> file(work.name()).sync());
    done.stream().filter(work -> !work.whole()).forEach(this::proves);
    done.forEach(this::confirm);
    if (!queue.isEmpty() && batch.isEmpty()) {
      begin();
    }
  }

  private void confirm(Work work) {
    var file = file(work.name());
    var length = file.synced.size();
    host.call(
        work.life(),
        () -> {
          file.confirmed = Math.max(file.confirmed, length);
          work.synced().run();
        });
  }

  private void proves(Work work) {
    var file = file(work.name());
    file.proven = Math.max(file.proven, Math.min(work.confirmed(), file.synced.size()));
  }

  private void write(Work work) {
    if (work.whole()) {
      file(work.name()).become(work.bytes());
    } else {
      file(work.name()).loose.add(work.bytes());
    }
  }

  void processDies() {
    var reached = random.nextInt(batch.size() + 1);
    batch.subList(0, reached).forEach(this::write);
    if (reached < batch.size() && !batch.get(reached).whole() && random.nextBoolean()) {
      var torn = batch.get(reached);
      file(torn.name()).loose.add(Arrays.copyOf(torn.bytes(), random.nextInt(torn.bytes().length)));
    }
    stop();
  }

  void powerDies() {
    processDies();
    files.values().forEach(this::tear);
  }

  void wipe() {
    stop();
    files.clear();
  }

  /**
   * One byte is another, somewhere in what a later record proves to have been synced: damage behind
   * that cannot be told from a torn tail. Where nothing is proven the disk is lost whole.
   */
  void damage() {
    if (files.values().stream().anyMatch(file -> file.proven == 0 && file.synced.size() > 0)) {
      wipe();
      return;
    }
    for (var file : files.values()) {
      var proven = file.proven;
      if (proven > 0) {
        var bytes = file.synced.toByteArray();
        bytes[random.nextInt(proven)] ^= (byte) (1 << random.nextInt(8));
        file.become(bytes);
        file.proven = proven;
      }
    }
  }

  private void stop() {
    starts++;
    batch.clear();
    queue.clear();
  }

  private void tear(Content file) {
    var out = new ByteArrayOutputStream();
    var sound = 0;
    for (var bytes : file.loose) {
      switch (random.nextInt(3)) {
        case 0 -> {
          out.writeBytes(bytes);
          sound = out.size();
        }
        case 1 -> {
          var there = random.nextInt(bytes.length + 1);
          out.writeBytes(Arrays.copyOf(Arrays.copyOf(bytes, there), bytes.length));
          sound = there == 0 ? sound : out.size() - bytes.length + there;
        }
        default -> out.writeBytes(new byte[bytes.length]);
      }
    }
    file.loose.clear();
    var kept = random.nextBoolean() ? out.toByteArray() : Arrays.copyOf(out.toByteArray(), sound);
    file.synced.writeBytes(kept);
  }
}
