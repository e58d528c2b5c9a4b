package wellwheel.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import wellwheel.runtime.ResultCode;

class JournalTest {
  private static List<String> replayed(MemoryDisk disk) {
    var found = new ArrayList<String>();
    new Journal(disk, "j").replay(record -> found.add(new String(record)));
    return found;
  }

  @Test
  void everyTornTailIsCutAtTheLastWholeRecord() {
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "j");
    var ends = new ArrayList<Integer>();
    for (var number = 0; number < 20; number++) {
      journal.append(("record " + number).getBytes(), () -> {});
      ends.add(disk.bytes.length);
    }
    var whole = disk.bytes;
    for (var length = 0; length <= whole.length; length++) {
      disk.bytes = Arrays.copyOf(whole, length);
      var limit = length;
      var expected = (int) ends.stream().filter(end -> end <= limit).count();
      assertThat(replayed(disk)).hasSize(expected);
      assertThat(disk.bytes.length).isEqualTo(expected == 0 ? 0 : ends.get(expected - 1));
    }
  }

  @Test
  void noFlippedBitIsReadAsARecord() {
    var random = new Random(7);
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "j");
    for (var number = 0; number < 20; number++) {
      journal.append(("record " + number).getBytes(), () -> {});
    }
    var whole = disk.bytes;
    for (var round = 0; round < 500; round++) {
      disk.bytes = whole.clone();
      disk.bytes[random.nextInt(whole.length)] ^= (byte) (1 << random.nextInt(8));
      var found = replayed(disk);
      for (var number = 0; number < found.size(); number++) {
        assertThat(found.get(number)).isEqualTo("record " + number);
      }
      assertThat(found.size()).isLessThan(20);
    }
  }

  @Test
  void aRewrittenJournalHoldsTheRewriteAndWhatFollows() {
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "j");
    journal.append("old".getBytes(), () -> {});
    journal.rewrite(List.of("kept".getBytes()), () -> {});
    journal.append("new".getBytes(), () -> {});
    assertThat(replayed(disk)).containsExactly("kept", "new").inOrder();
    assertThat(journal.bytesLong()).isEqualTo(disk.bytes.length);
  }

  @Test
  void aCompactedJournalHoldsWhatWasKeptAndWhatCameMeanwhile() {
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "j", "me");
    journal.append("gone".getBytes(), () -> {});
    var compaction = journal.compact();
    compaction.keep("kept 1".getBytes());
    journal.append("meanwhile".getBytes(), () -> {});
    assertThat(replayed(disk)).containsExactly("gone", "meanwhile").inOrder();
    compaction.keep("kept 2".getBytes());
    compaction.finish(() -> {});
    journal.append("after".getBytes(), () -> {});
    assertThat(replayed(disk)).containsExactly("kept 1", "meanwhile", "kept 2", "after").inOrder();
    assertThat(journal.bytesLong()).isEqualTo(disk.bytes.length);
    journal.compact();
    assertThrows(IllegalStateException.class, journal::compact);
  }

  private static final class Late implements Disk {
    private final ByteArrayOutputStream file = new ByteArrayOutputStream();
    private final List<Integer> ends = new ArrayList<>();
    private final List<Runnable> owed = new ArrayList<>();
    private int syncedBytes;

    @Override
    public byte[] load(String name) {
      return file.toByteArray();
    }

    @Override
    public void append(String name, byte[] more, Runnable synced) {
      file.writeBytes(more);
      ends.add(file.size());
      owed.add(synced);
    }

    @Override
    public void rewrite(String name, byte[] whole, Runnable synced) {
      file.reset();
      ends.clear();
      syncedBytes = whole.length;
      append(name, whole, synced);
    }

    void sync() {
      syncedBytes = file.size();
      List.copyOf(owed).forEach(Runnable::run);
      owed.clear();
    }
  }

  private static MemoryDisk holding(byte[] bytes) {
    var disk = new MemoryDisk();
    disk.bytes = bytes;
    return disk;
  }

  private static Journal.Replay replay(byte[] bytes, List<String> found) {
    return new Journal(holding(bytes), "j", "me").replay(record -> found.add(new String(record)));
  }

  private static byte[] record(int number, Random random) {
    return Arrays.copyOf(
        ("record " + number).getBytes(), 10 + random.nextInt(random.nextInt(20) == 0 ? 5_000 : 90));
  }

  private static Late grown(Random random, int rewriteAt) {
    var disk = new Late();
    var journal = new Journal(disk, "j", "me");
    for (var number = 0; number < 40; number++) {
      journal.append(record(number, random), () -> {});
      if (random.nextInt(4) == 0) {
        disk.sync();
      }
      if (number == rewriteAt) {
        journal.rewrite(
            List.of(record(100, random), record(101, random), record(102, random)), () -> {});
      }
    }
    return disk;
  }

  @Test
  void whateverUnsyncedWritesArePresentMissingOrTornNothingSyncedIsCalledDamaged() {
    for (var seed = 0; seed < 400; seed++) {
      var random = new Random(seed);
      var disk = grown(random, random.nextInt(80));
      var bytes = disk.file.toByteArray();
      var from = disk.syncedBytes;
      for (var end : disk.ends) {
        if (end > from) {
          var kept =
              from + List.of(0, random.nextInt(end - from + 1), end - from).get(random.nextInt(3));
          Arrays.fill(bytes, kept, end, (byte) 0);
          from = end;
        }
      }
      var found = new ArrayList<String>();
      var result =
          replay(
              random.nextBoolean()
                  ? bytes
                  : Arrays.copyOf(
                      bytes,
                      disk.syncedBytes + random.nextInt(bytes.length - disk.syncedBytes + 1)),
              found);
      assertThat(result.syncedDamaged()).isFalse();
      assertThat(result.records()).isEqualTo(found.size());
      assertThat(found.size())
          .isAtLeast((int) disk.ends.stream().filter(end -> end <= disk.syncedBytes).count());
    }
  }

  @Test
  void damageBeforeASoundRecordThatKnewOfTheSyncIsALostDisk() {
    for (var seed = 0; seed < 400; seed++) {
      var random = new Random(seed);
      var disk = grown(random, random.nextInt(80));
      disk.sync();
      var journal = new Journal(disk, "j", "me");
      journal.replay(record -> {});
      journal.append("a mark".getBytes(), () -> {});
      disk.sync();
      journal.append("another".getBytes(), () -> {});
      var bytes = disk.file.toByteArray();
      var at = random.nextInt(disk.ends.get(disk.ends.size() - 2));
      var count = 1 + random.nextInt(Math.min(600, disk.ends.get(disk.ends.size() - 2) - at));
      for (var each = at; each < at + count; each++) {
        bytes[each] = (byte) (random.nextInt(3) == 0 ? 0 : bytes[each] ^ (1 + random.nextInt(255)));
      }
      if (Arrays.equals(bytes, disk.file.toByteArray())) {
        continue;
      }
      var found = new ArrayList<String>();
      var result = replay(bytes, found);
      assertThat(result.syncedDamaged()).isTrue();
      assertThat(found).isEmpty();
    }
  }

  @Test
  void theFirstRecordAfterALostDiskReplacesTheWholeFile() {
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "j", "me");
    for (var number = 0; number < 5; number++) {
      journal.append(("record " + number).getBytes(), () -> {});
    }
    disk.bytes[disk.bytes.length / 2] ^= 1;
    var again = new Journal(disk, "j", "me");
    var before = disk.bytes;
    assertThat(again.replay(record -> {}).syncedDamaged()).isTrue();
    assertThat(disk.bytes).isEqualTo(before);
    again.append("anew".getBytes(), () -> {});
    again.append("more".getBytes(), () -> {});
    assertThat(replayed(disk)).containsExactly("anew", "more").inOrder();
  }

  @Test
  void aJournalOfTheFormerFormatIsReadAndGrows() {
    var disk = new MemoryDisk();
    var old = new ByteArrayOutputStream();
    List.of("old 1", "old 2").forEach(text -> old.writeBytes(JournalReader.plain(text.getBytes())));
    old.writeBytes(new byte[] {0, 0, 0, 9, 1, 2});
    disk.bytes = old.toByteArray();
    var journal = new Journal(disk, "j", "me");
    var found = new ArrayList<String>();
    var result = journal.replay(record -> found.add(new String(record)));
    assertThat(found).containsExactly("old 1", "old 2").inOrder();
    assertThat(result).isEqualTo(new Journal.Replay(2, true, false));
    journal.append("new 1".getBytes(), () -> {});
    journal.append("new 2".getBytes(), () -> {});
    assertThat(replayed(disk)).containsExactly("old 1", "old 2", "new 1", "new 2").inOrder();
    disk.bytes[9] ^= 1;
    assertThat(new Journal(disk, "j", "me").replay(record -> {}).syncedDamaged()).isTrue();
  }

  @Test
  void aNewerFormatOrAnotherNodesJournalIsRefused() {
    var newer = JournalReader.plain(new byte[] {(byte) 0xC1, 3, 'm', 'e'});
    assertThat(
            assertThrows(Journal.Unreadable.class, () -> replay(newer, new ArrayList<>())).code())
        .isEqualTo(ResultCode.BAD_STATE);
    var disk = new MemoryDisk();
    new Journal(disk, "j", "other").append("a vote".getBytes(), () -> {});
    var before = disk.bytes.clone();
    var refusal =
        assertThrows(Journal.Unreadable.class, () -> replay(disk.bytes, new ArrayList<>()));
    assertThat(refusal.code()).isEqualTo(ResultCode.JOURNAL_FOREIGN);
    assertThat(refusal.getMessage()).isEqualTo("j was written by other, this is me; move it away");
    assertThat(disk.bytes).isEqualTo(before);
  }

  @Test
  void garbageIsReadAsNothingQuicklyAndWithoutGreatAllocations() {
    var lengths = List.of(Integer.MAX_VALUE, Integer.MIN_VALUE, -1, 0, 1 << 30);
    for (var length : lengths) {
      assertThat(replay(ByteBuffer.allocate(40).putInt(length).array(), new ArrayList<>()))
          .isEqualTo(new Journal.Replay(0, true, false));
    }
    var random = new Random(5);
    for (var size : List.of(1, 7, 8, 9, 300, 1 << 21)) {
      var bytes = new byte[size];
      random.nextBytes(bytes);
      bytes[0] = (byte) 0xC1;
      assertThat(replay(bytes, new ArrayList<>()).records()).isEqualTo(0);
    }
    assertThat(replay(new byte[0], new ArrayList<>()))
        .isEqualTo(new Journal.Replay(0, false, false));
  }

  @Test
  void aRecordMovedToAnotherPlaceOrFoundInsideABodyProvesNothing() {
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "j", "me");
    journal.append("first".getBytes(), () -> {});
    var torn = disk.bytes.clone();
    var bodied = JournalReader.sealed(400, 400, "a body that looks like a record".getBytes());
    var out = new ByteArrayOutputStream();
    out.writeBytes(torn);
    out.writeBytes(new byte[20]);
    out.writeBytes(bodied);
    assertThat(replay(out.toByteArray(), new ArrayList<>()))
        .isEqualTo(new Journal.Replay(1, true, false));
  }

  @Test
  void aRecordCostsNoMoreThanItDid() {
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "j", "me");
    journal.append(new byte[300], () -> {});
    var before = disk.bytes.length;
    for (var number = 0; number < 100; number++) {
      journal.append(new byte[300], () -> {});
    }
    assertThat(disk.bytes.length - before).isAtMost(100 * (300 + 9));
  }
}
