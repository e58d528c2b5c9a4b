package wellwheel.lantern;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

public final class FileDisk implements Disk {
    private static final System.Logger LOG = System.getLogger("disk");
    private static final int BATCH = 512;

    private record Work(String name, byte[] bytes, boolean whole, Runnable synced) { }

    private final Path folder;
    private final EventLoop loop;
    private final MpscBlockingConsumerArrayQueue<Work> queue = new MpscBlockingConsumerArrayQueue<>(1 << 16);
    private final Map<String, FileChannel> files = new HashMap<>();

    public FileDisk(Path folder, EventLoop loop) {
        this.folder = folder;
        this.loop = loop;
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        var thread = new Thread(null, this::work, "disk", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public byte[] load(String name) {
        try {
            var path = folder.resolve(name);
            return Files.exists(path) ? Files.readAllBytes(path) : new byte[0];
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
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
        var batch = new ArrayList<Work>();
        try {
            while (true) {
                batch.add(queue.take());
                queue.drain(batch::add, BATCH);
                write(batch);
                var done = List.copyOf(batch);
                batch.clear();
                loop.execute(() -> done.forEach(work -> LoopClock.guarded(work.synced())));
            }
        } catch (IOException e) {
            fail(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void fail(IOException e) {
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
            files.get(name).force(false);
        }
    }

    private void append(Work work) throws IOException {
        var file = files.get(work.name());
        if (file == null) {
            file = FileChannel.open(folder.resolve(work.name()), StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
            files.put(work.name(), file);
            file.force(true);
            syncFolder();
        }
        var buffer = ByteBuffer.wrap(work.bytes());
        while (buffer.hasRemaining()) {
            file.write(buffer);
        }
    }

    private void replace(Work work) throws IOException {
        var fresh = folder.resolve(work.name() + ".new");
        try (var file = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            var buffer = ByteBuffer.wrap(work.bytes());
            while (buffer.hasRemaining()) {
                file.write(buffer);
            }
            file.force(true);
        }
        var old = files.remove(work.name());
        if (old != null) {
            old.close();
        }
        Files.move(fresh, folder.resolve(work.name()), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder();
    }

    private void syncFolder() throws IOException {
        try (var dir = FileChannel.open(folder, StandardOpenOption.READ)) {
            dir.force(true);
        }
    }
}
