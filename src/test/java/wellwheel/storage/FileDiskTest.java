package wellwheel.storage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

@Isolated
class FileDiskTest {
  private static final int SEEDS = Integer.getInteger("disk.seeds", 4_000);

  private static final class Stopped extends IOException {}

  private record Piece(int at, byte[] bytes) {}

  private static final class Inode {
    private byte[] synced = {};
    private byte[] now = {};
    private final List<Piece> unsynced = new ArrayList<>();

    void change(Piece piece) {
      unsynced.add(piece);
      now = applied(now, piece);
    }

    void sync() {
      synced = now;
      unsynced.clear();
    }

    private static byte[] applied(byte[] to, Piece piece) {
      var out = Arrays.copyOf(to, Math.max(to.length, piece.at() + piece.bytes().length));
      System.arraycopy(piece.bytes(), 0, out, piece.at(), piece.bytes().length);
      return out;
    }

    void losePower(Random random, boolean allGone) {
      for (var piece : unsynced) {
        switch (allGone ? 2 : random.nextInt(3)) {
          case 0 -> synced = applied(synced, piece);
          case 1 ->
              synced =
                  applied(
                      synced,
                      new Piece(
                          piece.at(),
                          Arrays.copyOf(piece.bytes(), random.nextInt(piece.bytes().length + 1))));
          default -> {}
        }
      }
      now = synced;
      unsynced.clear();
    }
  }

  private record Change(String name, Inode inode, Optional<String> gone) {}

  private static final class Model implements Volume {
    private final Random random;
    private Map<String, Inode> names = new HashMap<>();
    private final Map<String, Inode> lasting = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private int stepsLeft = Integer.MAX_VALUE;

    Model(Random random) {
      this.random = random;
    }

    private void step() throws Stopped {
      if (stepsLeft-- <= 0) {
        throw new Stopped();
      }
    }

    @Override
    public boolean exists(String name) {
      return names.containsKey(name);
    }

    @Override
    public byte[] read(String name) throws IOException {
      step();
      return names.get(name).now.clone();
    }

    @Override
    public Handle appending(String name) throws IOException {
      step();
      return new Opened(opened(name));
    }

    @Override
    public Handle fresh(String name) throws IOException {
      step();
      if (names.remove(name) != null) {
        changes.add(new Change("", new Inode(), Optional.of(name)));
      }
      step();
      return new Opened(opened(name));
    }

    private Inode opened(String name) {
      if (!names.containsKey(name)) {
        var inode = new Inode();
        names.put(name, inode);
        changes.add(new Change(name, inode, Optional.empty()));
      }
      return names.get(name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
      step();
      names.put(to, names.remove(from));
      changes.add(new Change(to, names.get(to), Optional.of(from)));
    }

    @Override
    public void syncNames() throws IOException {
      step();
      changes.forEach(change -> keep(change, true));
      changes.clear();
    }

    private void keep(Change change, boolean goneToo) {
      if (!change.name().isEmpty()) {
        lasting.put(change.name(), change.inode());
      }
      change.gone().filter(name -> goneToo).ifPresent(lasting::remove);
    }

    void losePower() {
      var allGone = random.nextInt(4) == 0;
      changes.stream()
          .filter(change -> random.nextBoolean())
          .forEach(change -> keep(change, random.nextBoolean()));
      changes.clear();
      lasting.values().forEach(inode -> inode.losePower(random, allGone));
      names = new HashMap<>(lasting);
    }

    private final class Opened implements Handle {
      private final Inode inode;

      Opened(Inode inode) {
        this.inode = inode;
      }

      @Override
      public void write(ByteBuffer bytes) throws IOException {
        var all = new byte[bytes.remaining()];
        bytes.get(all);
        if (stepsLeft == 0) {
          inode.change(
              new Piece(inode.now.length, Arrays.copyOf(all, random.nextInt(all.length + 1))));
        }
        step();
        inode.change(new Piece(inode.now.length, all));
      }

      @Override
      public void sync(boolean sizeToo) throws IOException {
        step();
        inode.sync();
      }

      @Override
      public void close() {}
    }
  }

  private static final class Version {
    private final byte[] whole;
    private final List<byte[]> appended = new ArrayList<>();
    private int sure;

    Version(byte[] whole) {
      this.whole = whole;
    }

    private byte[] with(int count) {
      var out = whole;
      for (var more : appended.subList(0, count)) {
        out = Arrays.copyOf(out, out.length + more.length);
        System.arraycopy(more, 0, out, out.length - more.length, more.length);
      }
      return out;
    }

    boolean fits(byte[] found, boolean powerLost) {
      var least = with(sure);
      var most = with(appended.size());
      return found.length >= least.length
          && found.length <= most.length
          && Arrays.equals(least, Arrays.copyOf(found, least.length))
          && (powerLost || Arrays.equals(found, Arrays.copyOf(most, found.length)));
    }
  }

  private static final class Expected {
    private final List<Version> versions = new ArrayList<>(List.of(new Version(new byte[0])));

    Version last() {
      return versions.get(versions.size() - 1);
    }

    void restart(byte[] found) {
      versions.clear();
      versions.add(new Version(found));
    }

    void rewritten(Version version) {
      versions.subList(0, versions.indexOf(version)).clear();
    }
  }

  private static byte[] random(Random random) {
    var bytes = new byte[1 + random.nextInt(40)];
    random.nextBytes(bytes);
    return bytes;
  }

  private static void work(FileDisk disk, Expected expected, Random random) throws IOException {
    for (var round = 0; round < 12; round++) {
      var bytes = random(random);
      if (random.nextInt(5) == 0) {
        var version = new Version(bytes);
        expected.versions.add(version);
        disk.rewrite("a", bytes, () -> expected.rewritten(version));
      } else {
        var version = expected.last();
        version.appended.add(bytes);
        disk.append("a", bytes, () -> version.sure++);
      }
      if (random.nextInt(3) > 0) {
        disk.writeQueued();
      }
    }
    disk.writeQueued();
  }

  @Test
  void whatWasAcknowledgedIsThereWhereverPowerGoesOrTheProcessDies() {
    for (var seed = 0; seed < SEEDS; seed++) {
      var random = new Random(seed);
      var volume = new Model(random);
      var expected = new Expected();
      var powerLost = false;
      for (var life = 0; life < 6; life++) {
        volume.stepsLeft = random.nextInt(45);
        var disk = new FileDisk(volume, Runnable::run);
        try {
          var found = disk.load("a");
          var lost = powerLost;
          assertWithMessage("seed %s life %s", seed, life)
              .that(expected.versions.stream().anyMatch(version -> version.fits(found, lost)))
              .isTrue();
          expected.restart(found);
          powerLost = false;
          work(disk, expected, random);
        } catch (IOException | UncheckedIOException stopped) {
          assertThat(volume.stepsLeft).isLessThan(0);
        }
        if (random.nextInt(3) > 0) {
          volume.losePower();
          powerLost = true;
        }
      }
    }
  }

  private static List<Integer> replayed(Journal journal, String seed) {
    var found = new ArrayList<Integer>();
    var replay = journal.replay(record -> found.add(ByteBuffer.wrap(record).getInt()));
    assertWithMessage(seed).that(replay.syncedDamaged()).isFalse();
    return found;
  }

  private interface Life {
    int live(Model volume, Random random, List<Integer> all, int sure, String seed)
        throws IOException;
  }

  /**
   * Lives of a process under each seed, each stopped at a step of its own, with losses of power.
   */
  private static void livesOf(Life life, int stepsMost) throws IOException {
    for (var seed = 0; seed < SEEDS; seed++) {
      var random = new Random(seed);
      var volume = new Model(random);
      var all = new ArrayList<Integer>();
      var sure = 0;
      for (var number = 0; number < 6; number++) {
        volume.stepsLeft = random.nextInt(stepsMost);
        try {
          sure = life.live(volume, random, all, sure, "seed " + seed + " life " + number);
        } catch (UncheckedIOException stopped) {
          assertThat(volume.stepsLeft).isLessThan(0);
        }
        if (random.nextInt(3) > 0) {
          volume.losePower();
        }
      }
    }
  }

  private static int life(Model volume, Random random, List<Integer> all, int sure, String seed)
      throws IOException {
    var disk = new FileDisk(volume, Runnable::run);
    var journal = new Journal(disk, "a", "me");
    var found = replayed(journal, seed);
    assertWithMessage(seed).that(found.size()).isAtLeast(sure);
    assertWithMessage(seed).that(found).isEqualTo(all.subList(0, found.size()));
    all.subList(found.size(), all.size()).clear();
    var surely = new int[] {found.size()};
    try {
      for (var round = 0; round < 14; round++) {
        all.add(random.nextInt());
        var count = all.size();
        journal.append(
            packed(all.get(count - 1), random), () -> surely[0] = Math.max(surely[0], count));
        if (random.nextInt(6) == 0) {
          journal.rewrite(
              all.stream().map(each -> packed(each, random)).toList(),
              () -> surely[0] = Math.max(surely[0], count));
        }
        if (random.nextInt(3) > 0) {
          disk.writeQueued();
        }
      }
      disk.writeQueued();
    } catch (Stopped stopped) {
      assertThat(volume.stepsLeft).isLessThan(0);
    }
    return surely[0];
  }

  private static byte[] packed(int number, Random random) {
    return ByteBuffer.allocate(4 + random.nextInt(30)).putInt(number).array();
  }

  @Test
  void aJournalHoldsItsAcknowledgedRecordsAndNeverCallsALossOfPowerDamage() throws IOException {
    livesOf(FileDiskTest::life, 60);
  }

  /** Every record is kept by the compaction or appended beside it, at whatever step it stops. */
  private static int compactingLife(
      Model volume, Random random, List<Integer> all, int sure, String seed) throws IOException {
    var disk = new FileDisk(volume, Runnable::run);
    var journal = new Journal(disk, "a", "me");
    var found = replayed(journal, seed);
    assertWithMessage(seed).that(found).containsAtLeastElementsIn(all.subList(0, sure));
    all.retainAll(found);
    var surely = new int[] {all.size()};
    try {
      var kept = List.copyOf(all).iterator();
      var compaction = journal.compact();
      for (var round = 0; round < 14; round++) {
        if (kept.hasNext() && random.nextBoolean()) {
          compaction.keep(packed(kept.next(), random));
        }
        all.add(random.nextInt());
        var count = all.size();
        journal.append(
            packed(all.get(count - 1), random), () -> surely[0] = Math.max(surely[0], count));
        if (random.nextInt(3) > 0) {
          disk.writeQueued();
        }
      }
      while (kept.hasNext()) {
        compaction.keep(packed(kept.next(), random));
      }
      compaction.finish(() -> {});
      all.add(random.nextInt());
      journal.append(packed(all.get(all.size() - 1), random), () -> surely[0] = all.size());
      disk.writeQueued();
      assertThat(journal.unsyncedBytes()).isEqualTo(0);
    } catch (Stopped stopped) {
      assertThat(volume.stepsLeft).isLessThan(0);
    }
    return surely[0];
  }

  @Test
  void aJournalThatIsCompactedPieceByPieceLosesNothingWhereverItStops() throws IOException {
    livesOf(FileDiskTest::compactingLife, 120);
  }

  @Test
  void callbacksComeInOrderFromRealFilesWhileBothThreadsWork(@TempDir Path folder)
      throws Exception {
    var loop = new DefaultEventLoop();
    var disk = new FileDisk(folder, loop);
    var random = new Random(9);
    var rounds = 3_000;
    var done = new ArrayList<Integer>();
    var torn = new ArrayList<Integer>();
    var all = new CountDownLatch(rounds);
    for (var round = 0; round < rounds; round++) {
      var number = round;
      Runnable synced =
          () -> {
            done.add(number);
            all.countDown();
          };
      var bytes = new byte[64 * (1 + random.nextInt(40))];
      Arrays.fill(bytes, (byte) (round % 100));
      if (random.nextInt(200) == 0) {
        disk.rewrite("a", bytes, synced);
      } else {
        disk.append("a", bytes, synced);
      }
      if (round % 10 == 0 && disk.load("a").length % 64 != 0) {
        torn.add(round);
      }
    }
    assertThat(all.await(20, TimeUnit.SECONDS)).isTrue();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    assertThat(done).isEqualTo(IntStream.range(0, rounds).boxed().toList());
    assertThat(torn).isEmpty();
    try (var left = Files.list(folder)) {
      assertThat(left.map(path -> path.getFileName().toString()).toList()).containsExactly("a");
    }
  }

  @Test
  void aJournalWrittenOnOneThreadAndSyncedOnAnotherIsReadBackWhole(@TempDir Path folder)
      throws Exception {
    var loop = new DefaultEventLoop();
    var journal = new Journal(new FileDisk(folder, loop), "a", "me");
    var random = new Random(4);
    var all = new ArrayList<Integer>();
    var done = new CountDownLatch(2_000);
    for (var round = 0; round < 2_000; round++) {
      all.add(random.nextInt());
      if (random.nextInt(150) == 0) {
        journal.rewrite(all.stream().map(each -> packed(each, random)).toList(), done::countDown);
      } else {
        journal.append(packed(all.get(round), random), done::countDown);
      }
    }
    assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    var found = new ArrayList<Integer>();
    var replay =
        new Journal(new FileDisk(folder, loop), "a", "me")
            .replay(record -> found.add(ByteBuffer.wrap(record).getInt()));
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    assertThat(replay).isEqualTo(new Journal.Replay(all.size(), false, false));
    assertThat(found).isEqualTo(all);
    assertThat(journal.bytesLong()).isEqualTo(Files.size(folder.resolve("a")));
  }

  private record Halting(Volume real, Runnable halfway) implements Volume {
    @Override
    public boolean exists(String name) throws IOException {
      return real.exists(name);
    }

    @Override
    public byte[] read(String name) throws IOException {
      return real.read(name);
    }

    @Override
    public Handle appending(String name) throws IOException {
      var handle = real.appending(name);
      return new Handle() {
        @Override
        public void write(ByteBuffer bytes) throws IOException {
          var half = bytes.remaining() / 2;
          handle.write(bytes.slice(0, half));
          halfway.run();
          handle.write(bytes.slice(half, bytes.remaining() - half));
        }

        @Override
        public void sync(boolean sizeToo) throws IOException {
          handle.sync(sizeToo);
        }

        @Override
        public void close() throws IOException {
          handle.close();
        }
      };
    }

    @Override
    public Handle fresh(String name) throws IOException {
      return real.fresh(name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
      real.rename(from, to);
    }

    @Override
    public void syncNames() throws IOException {
      real.syncNames();
    }
  }

  @Test
  void aReadNeverSeesHalfOfAWrite(@TempDir Path folder) throws Exception {
    var reader = Thread.currentThread();
    var halfway = new CountDownLatch(1);
    var read = new AtomicBoolean();
    var disk =
        new FileDisk(
            new Halting(
                Volume.in(folder),
                () -> {
                  halfway.countDown();
                  while (reader.getState() != Thread.State.BLOCKED && !read.get()) {
                    Thread.onSpinWait();
                  }
                }),
            Runnable::run);
    disk.append("a", new byte[100], () -> {});
    var writer = new Thread(() -> assertDoesNotThrow(disk::writeQueued));
    writer.start();
    assertThat(halfway.await(20, TimeUnit.SECONDS)).isTrue();
    var length = disk.load("a").length;
    read.set(true);
    writer.join();
    assertThat(length).isEqualTo(100);
  }
}
