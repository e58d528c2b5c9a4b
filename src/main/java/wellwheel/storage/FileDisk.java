package wellwheel.storage;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import wellwheel.runtime.LoopClock;

/** A disk in a folder; a thread of its own writes and syncs in groups. */
public final class FileDisk implements Disk {
  private static final System.Logger LOG = System.getLogger("disk");
  private static final int BATCH = 512;

  private record Work(String name, byte[] bytes, boolean whole, Runnable synced) {}

  private final Volume volume;
  private final Executor loop;
  private final MpscBlockingConsumerArrayQueue<Work> queue =
      new MpscBlockingConsumerArrayQueue<>(1 << 16);
  private final Map<String, Volume.Handle> files = new HashMap<>();
  private final Set<String> loaded = new HashSet<>();
  private final Object writing = new Object();

  public FileDisk(Path folder, EventLoop loop) {
    this(volumeIn(folder), loop);
    var thread = new Thread(null, this::work, "disk", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  FileDisk(Volume volume, Executor loop) {
    this.volume = volume;
    this.loop = loop;
  }

  private static Volume volumeIn(Path folder) {
    try {
      return Volume.in(folder);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public byte[] load(String name) {
    try {
      synchronized (writing) {
        if (!volume.exists(name)) {
          return new byte[0];
        }
        if (loaded.add(name) && !files.containsKey(name)) {
          makeLasting(name);
        }
        return volume.read(name);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void makeLasting(String name) throws IOException {
    try (var file = volume.appending(name)) {
      file.sync(true);
    }
    volume.syncNames();
  }

  @Override
  public void append(String name, byte[] bytes, Runnable synced) {
    enqueue(new Work(name, bytes, false, synced));
  }

  @Override
  public void rewrite(String name, byte[] whole, Runnable synced) {
    enqueue(new Work(name, whole, true, synced));
  }

  private void enqueue(Work work) {
    if (!queue.offer(work)) {
      fail(new IOException("too many writes wait for the disk"));
    }
  }

  private void work() {
    try {
      while (true) {
        writeBatch(queue.take());
      }
    } catch (IOException | RuntimeException | Error e) {
      fail(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void writeQueued() throws IOException {
    for (var first = queue.poll(); first != null; first = queue.poll()) {
      writeBatch(first);
    }
  }

  private void writeBatch(Work first) throws IOException {
    var batch = new ArrayList<Work>();
    batch.add(first);
    queue.drain(batch::add, BATCH);
    write(batch);
    loop.execute(() -> batch.forEach(work -> LoopClock.guarded(work.synced())));
  }

  private static void fail(Throwable e) {
    LOG.log(System.Logger.Level.ERROR, "the disk fails; the process ends", e);
    Runtime.getRuntime().halt(74);
  }

  private void write(List<Work> batch) throws IOException {
    var dirty = new HashSet<String>();
    for (var work : batch) {
      if (work.whole()) {
        replace(work);
        dirty.remove(work.name());
      } else {
        append(work);
        dirty.add(work.name());
      }
    }
    for (var name : dirty) {
      files.get(name).sync(false);
    }
  }

  private void append(Work work) throws IOException {
    var file = files.get(work.name());
    if (file == null) {
      file = create(work.name());
    }
    synchronized (writing) {
      file.write(ByteBuffer.wrap(work.bytes()));
    }
  }

  private Volume.Handle create(String name) throws IOException {
    var file = volume.appending(name);
    synchronized (writing) {
      files.put(name, file);
    }
    file.sync(true);
    volume.syncNames();
    return file;
  }

  private void replace(Work work) throws IOException {
    var fresh = work.name() + ".new";
    try (var file = volume.fresh(fresh)) {
      file.write(ByteBuffer.wrap(work.bytes()));
      file.sync(true);
    }
    synchronized (writing) {
      var old = files.remove(work.name());
      if (old != null) {
        old.close();
      }
      volume.rename(fresh, work.name());
    }
    volume.syncNames();
  }
}
