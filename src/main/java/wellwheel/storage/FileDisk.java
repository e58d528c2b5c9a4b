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

  private static final int COPY_BYTES = 64 << 10;
  private static final byte[] NOTHING = {};

  private enum Kind {
    APPEND(false),
    START_REWRITE(false),
    EXTEND_REWRITE(false),
    FINISH_REWRITE(true),
    REPLACE(true),
    CUT(true);

    /** Whether new contents take the place of the old ones. */
    private final boolean putsInPlace;

    Kind(boolean putsInPlace) {
      this.putsInPlace = putsInPlace;
    }
  }

  /** A step for the writing thread; the length matters to a cut alone. */
  private record Work(String name, Kind kind, byte[] bytes, long length, Runnable done) {}

  private final Volume volume;
  private final Executor loop;
  private final MpscBlockingConsumerArrayQueue<Work> queue =
      new MpscBlockingConsumerArrayQueue<>(1 << 16);
  private final Map<String, Volume.Handle> files = new HashMap<>();
  private final Map<String, Volume.Handle> rewrites = new HashMap<>();
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
        return exists(name) ? volume.read(name) : NOTHING;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public ByteSource open(String name) {
    try {
      synchronized (writing) {
        return exists(name) ? volume.open(name) : ByteSource.of(NOTHING);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Whether there is such a file; what it holds is made lasting before it is first read. */
  private boolean exists(String name) throws IOException {
    if (!volume.exists(name)) {
      return false;
    }
    if (loaded.add(name) && !files.containsKey(name)) {
      makeLasting(name);
    }
    return true;
  }

  private void makeLasting(String name) throws IOException {
    try (var file = volume.appending(name)) {
      file.sync(true);
    }
    volume.syncNames();
  }

  @Override
  public void append(String name, byte[] bytes, Runnable synced) {
    enqueue(new Work(name, Kind.APPEND, bytes, 0, synced));
  }

  @Override
  public void rewrite(String name, byte[] whole, Runnable synced) {
    enqueue(new Work(name, Kind.REPLACE, whole, 0, synced));
  }

  @Override
  public void cut(String name, long length, Runnable synced) {
    enqueue(new Work(name, Kind.CUT, NOTHING, length, synced));
  }

  @Override
  public Rewrite startRewrite(String name) {
    enqueue(new Work(name, Kind.START_REWRITE, NOTHING, 0, () -> {}));
    return new Rewrite() {
      @Override
      public void append(byte[] bytes, Runnable written) {
        enqueue(new Work(name, Kind.EXTEND_REWRITE, bytes, 0, written));
      }

      @Override
      public void finish(Runnable synced) {
        enqueue(new Work(name, Kind.FINISH_REWRITE, NOTHING, 0, synced));
      }
    };
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
    loop.execute(() -> batch.forEach(work -> LoopClock.guarded(work.done())));
  }

  private static void fail(Throwable e) {
    LOG.log(System.Logger.Level.ERROR, "the disk fails; the process ends", e);
    Runtime.getRuntime().halt(74);
  }

  private void write(List<Work> batch) throws IOException {
    var appended = new HashSet<String>();
    var extended = new HashSet<String>();
    for (var work : batch) {
      write(work, appended, extended);
    }
    for (var name : appended) {
      files.get(name).sync(false);
    }
    for (var name : extended) {
      rewrites.get(name).sync(false);
    }
  }

  /**
   * Does one step, and notes the names whose files or rewrites are to be synced after the batch.
   */
  private void write(Work work, Set<String> appended, Set<String> extended) throws IOException {
    var name = work.name();
    switch (work.kind()) {
      case APPEND -> {
        append(work);
        appended.add(name);
      }
      case START_REWRITE -> startRewriting(name);
      case EXTEND_REWRITE -> {
        rewrites.get(name).write(ByteBuffer.wrap(work.bytes()));
        extended.add(name);
      }
      case REPLACE -> startRewriting(name).write(ByteBuffer.wrap(work.bytes()));
      case CUT -> copyPrefix(name, work.length());
      case FINISH_REWRITE -> {}
    }
    if (work.kind().putsInPlace) {
      finishRewriting(name);
      appended.remove(name);
      extended.remove(name);
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

  private Volume.Handle startRewriting(String name) throws IOException {
    var unfinished = rewrites.remove(name);
    if (unfinished != null) {
      unfinished.close();
    }
    var fresh = volume.fresh(rewriteOf(name));
    rewrites.put(name, fresh);
    return fresh;
  }

  private static String rewriteOf(String name) {
    return name + ".new";
  }

  private void copyPrefix(String name, long length) throws IOException {
    var fresh = startRewriting(name);
    try (var old = volume.open(name)) {
      for (var done = 0L; done < length; done += COPY_BYTES) {
        fresh.write(ByteBuffer.wrap(old.copy(done, (int) Math.min(COPY_BYTES, length - done))));
      }
    }
  }

  private void finishRewriting(String name) throws IOException {
    try (var fresh = rewrites.remove(name)) {
      fresh.sync(true);
    }
    synchronized (writing) {
      var old = files.remove(name);
      if (old != null) {
        old.close();
      }
      volume.rename(rewriteOf(name), name);
    }
    volume.syncNames();
  }
}
