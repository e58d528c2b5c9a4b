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

  private record Work(String name, byte[] bytes, boolean whole, Runnable synced, int life) {}

  private static final class Content {
    ByteArrayOutputStream synced = new ByteArrayOutputStream();
    final List<byte[]> loose = new ArrayList<>();

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
    return new Disk() {
      @Override
      public byte[] load(String name) {
        return file(name).whole();
      }

      @Override
      public void append(String name, byte[] bytes, Runnable synced) {
        enqueue(new Work(name, bytes, false, synced, life));
      }

      @Override
      public void rewrite(String name, byte[] whole, Runnable synced) {
        enqueue(new Work(name, whole, true, synced, life));
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
    done.forEach(work -> host.call(work.life(), work.synced()));
    if (!queue.isEmpty() && batch.isEmpty()) {
      begin();
    }
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

  /** One byte of what had been synced is another, before its last quarter. */
  void damage() {
    for (var file : files.values()) {
      var bytes = file.synced.toByteArray();
      if (bytes.length > 0) {
        bytes[random.nextInt(1 + bytes.length * 3 / 4)] ^= (byte) (1 << random.nextInt(8));
        file.become(bytes);
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
