package wellwheel.simulation;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import wellwheel.cluster.ClusterView;
import wellwheel.storage.Disk;
import wellwheel.storage.Journal;
import wellwheel.transport.Frame;

final class CopyChecker implements World.DiskListener {
  static final long CATCH_UP_US = 4_100_000;
  private static final byte SEALED = (byte) 0xC1;

  private static final class Held {
    String diskId = "";
    final Map<Integer, Set<String>> partitions = new HashMap<>();
  }

  private final Scenario play;
  private final int survive;
  private final Map<String, Held> disks = new HashMap<>();
  private final Map<String, Long> lostUntilUs = new HashMap<>();
  private final Map<Integer, ClusterView.Partition> table = new TreeMap<>();
  private final Map<Integer, List<HistoryChecker.Entry>> owed = new HashMap<>();
  final Set<String> faults = new LinkedHashSet<>();
  int checked;

  CopyChecker(Scenario play, int survive) {
    this.play = play;
    this.survive = survive;
    play.world.onDisk(this);
  }

  @Override
  public void kept(World.Host host, String file, boolean anew, byte[] bytes) {
    if (!file.equals("keeper.journal")) {
      return;
    }
    if (anew) {
      disks.remove(host.name);
    }
    var held = disks.computeIfAbsent(host.name, name -> new Held());
    if (anew) {
      new Journal(new Whole(bytes), file).replay(record -> take(held, Frame.unpack(record)));
    } else {
      appended(ByteBuffer.wrap(bytes)).forEach(record -> take(held, Frame.unpack(record)));
    }
  }

  private record Whole(byte[] bytes) implements Disk {
    @Override
    public byte[] load(String name) {
      return bytes;
    }

    @Override
    public void append(String name, byte[] more, Runnable synced) {}

    @Override
    public void rewrite(String name, byte[] whole, Runnable synced) {}
  }

  private static List<byte[]> appended(ByteBuffer buffer) {
    var records = new ArrayList<byte[]>();
    while (buffer.hasRemaining()) {
      var sealed = buffer.get(buffer.position()) == SEALED;
      var record = new byte[sealed ? sealedLength(buffer) : buffer.getInt()];
      buffer.getInt();
      buffer.get(record);
      if (sealed) {
        records.add(record);
      }
    }
    return records;
  }

  private static int sealedLength(ByteBuffer buffer) {
    buffer.get();
    var length = number(buffer);
    number(buffer);
    return length;
  }

  private static int number(ByteBuffer buffer) {
    var value = 0;
    for (var bits = 0; ; bits += 7) {
      var next = buffer.get();
      value |= (next & 0x7F) << bits;
      if (next >= 0) {
        return value;
      }
    }
  }

  private static void take(Held held, Frame record) {
    switch (record.kind()) {
      case "disk" -> held.diskId = record.text("id");
      case "m" ->
          held.partitions
              .computeIfAbsent(record.small("l"), partition -> new HashSet<>())
              .add(record.text("i"));
      case "f" -> held.partitions.remove(record.small("line"));
      case "x" ->
          held.partitions
              .getOrDefault(record.small("line"), new HashSet<>())
              .remove(record.text("id"));
      default -> {}
    }
  }

  void loses(World.Host host, long spanUs) {
    lostUntilUs.merge(host.name, play.world.nowUs() + spanUs + CATCH_UP_US, Math::max);
  }

  Set<String> lost() {
    var found = new HashSet<String>();
    lostUntilUs.forEach(
        (name, untilUs) -> {
          if (untilUs > play.world.nowUs()) {
            found.add(name);
          }
        });
    return found;
  }

  int room() {
    return survive - lost().size();
  }

  void check() {
    play.oneActs();
    play.world
        .upHosts("control")
        .forEach(
            host ->
                host.control()
                    .partitions()
                    .forEach(
                        (number, partition) ->
                            table.merge(
                                number, partition, (a, b) -> a.epoch() >= b.epoch() ? a : b)));
    if (checked++ % 10 == 0) {
      owed.clear();
      play.checker.entries.values().stream()
          .filter(CopyChecker::unended)
          .forEach(
              entry ->
                  owed.computeIfAbsent(partitionOf(entry), partition -> new ArrayList<>())
                      .add(entry));
    }
    var lost = lost();
    owed.forEach((number, entries) -> check(table.get(number), entries, lost));
  }

  private static boolean unended(HistoryChecker.Entry entry) {
    return entry.acceptedUs < Long.MAX_VALUE && entry.successes == 0 && entry.fails == 0;
  }

  private static int partitionOf(HistoryChecker.Entry entry) {
    return Integer.parseInt(entry.name.substring(0, entry.name.indexOf('-')));
  }

  private void check(
      ClusterView.Partition partition, List<HistoryChecker.Entry> entries, Set<String> lost) {
    var safe = new int[entries.size()];
    for (var id : partition.copies()) {
      var node = id.substring(0, id.indexOf('#'));
      var held =
          Optional.ofNullable(disks.get(node))
              .filter(disk -> id.endsWith("#" + disk.diskId))
              .map(disk -> disk.partitions.getOrDefault(partition.number(), Set.of()));
      for (var at = 0; held.isPresent() && at < safe.length; at++) {
        var entry = entries.get(at);
        if (!held.get().contains(entry.keptId()) && unended(entry)) {
          fault("HOLLOW " + partition + ": " + id + " counts as a copy and lacks " + entry.id);
        }
        safe[at] += held.get().contains(entry.keptId()) && !lost.contains(node) ? 1 : 0;
      }
    }
    var least = Math.max(1, survive - lost.size() + 1);
    for (var at = 0; at < safe.length; at++) {
      if (safe[at] < least && unended(entries.get(at))) {
        fault(
            "THIN "
                + partition
                + ": "
                + safe[at]
                + " of "
                + least
                + " copies of "
                + entries.get(at).id
                + ", lost "
                + lost);
      }
    }
  }

  private void fault(String what) {
    if (faults.size() < 5) {
      faults.add(what + " at us=" + play.world.nowUs());
    }
  }

  void run(long spanUs) {
    play.world.runFor(spanUs, this::check);
  }
}
