package wellwheel.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import wellwheel.config.Configuration;
import wellwheel.consensus.Raft;
import wellwheel.transport.Frame;

/** What was confirmed, who led, who could be elected, and what each applied state looks like. */
final class LogHistory {
  record Taken(long base, long number, String digest, long atUs) {}

  private record Entry(long term, String digest, String by, long atUs) {}

  private record Seen(int life, Raft.View view) {}

  private static final int STATE_OFTEN = 32 << 10;
  private final Faults faults;
  private final TreeMap<Long, Entry> confirmed = new TreeMap<>();
  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<String, Seen> seen = new LinkedHashMap<>();
  private final Map<Long, String> states = new HashMap<>();
  private final List<Taken> chain = new ArrayList<>();
  private List<String> voters = List.of();
  private long revision;
  private int restores;

  LogHistory(Faults faults) {
    this.faults = faults;
  }

  static String digest(byte[] bytes) {
    var sum = new java.util.zip.CRC32C();
    sum.update(bytes);
    return Long.toHexString(sum.getValue()) + "/" + bytes.length;
  }

  List<Taken> chain() {
    return List.copyOf(chain);
  }

  long lastConfirmed() {
    return confirmed.isEmpty() ? 0 : confirmed.lastKey();
  }

  int restores() {
    return restores;
  }

  void observe(long nowUs, ControlWorld world, ControlWorld.Machine machine) {
    var raft = machine.raft();
    var view = raft.view();
    var before =
        Optional.ofNullable(seen.get(machine.ip))
            .filter(each -> each.life() == machine.life)
            .map(Seen::view);
    if (before.isPresent() && before.get().equals(view)) {
      return;
    }
    seen.put(machine.ip, new Seen(machine.life, view));
    confirm(nowUs, machine, before);
    if (view.leads()
        && !before.map(each -> each.leads() && each.term() == view.term()).orElse(false)) {
      onLead(nowUs, machine, view);
    }
    state(nowUs, machine, view, before);
    electable(nowUs, world);
  }

  private void confirm(long nowUs, ControlWorld.Machine machine, Optional<Raft.View> before) {
    var view = machine.raft().view();
    var from = Math.max(view.snapIndex(), before.map(Raft.View::commit).orElse(0L));
    for (var index = from + 1; index <= view.commit(); index++) {
      var bytes = machine.raft().entryAt(index);
      var entry = Frame.unpack(bytes);
      var fresh = new Entry(entry.number("term"), digest(bytes), machine.ip, nowUs);
      var known = Optional.ofNullable(confirmed.putIfAbsent(index, fresh));
      if (known.isEmpty()) {
        take(entry.bytes("command"), nowUs);
        change(entry.texts("voters"), nowUs);
      } else if (!known.get().digest().equals(fresh.digest())) {
        faults.add(
            nowUs,
            "log: two entries at one index",
            index
                + " of "
                + machine.ip
                + " is of term "
                + fresh.term()
                + ", "
                + known.get().by()
                + " confirmed another of term "
                + known.get().term());
      }
    }
  }

  private void change(List<String> next, long nowUs) {
    if (next.isEmpty()) {
      return;
    }
    if (!voters.isEmpty() && couldSplit(voters, next)) {
      faults.add(nowUs, "voters: two lists without a common majority", voters + " and " + next);
    }
    voters = next;
  }

  private static boolean couldSplit(List<String> one, List<String> other) {
    var common = one.stream().filter(other::contains).count();
    var fromOne = Math.max(0, one.size() / 2 + 1 - (one.size() - common));
    var fromOther = Math.max(0, other.size() / 2 + 1 - (other.size() - common));
    return fromOne + fromOther <= common;
  }

  private void take(byte[] command, long nowUs) {
    if (command.length == 0) {
      return;
    }
    var frame = Frame.unpack(command);
    if (!frame.kind().equals("config") || frame.number("base") != revision) {
      return;
    }
    try {
      var next = Configuration.read(frame.bytes("bytes")).revision();
      if (next > revision) {
        chain.add(new Taken(revision, next, digest(frame.bytes("bytes")), nowUs));
        revision = next;
      }
    } catch (Configuration.Invalid e) {
      faults.add(nowUs, "log: an invalid configuration was taken", e.getMessage());
    }
  }

  private void onLead(long nowUs, ControlWorld.Machine machine, Raft.View view) {
    var name = machine.ip + " life " + machine.life;
    var other =
        Optional.ofNullable(leaders.putIfAbsent(view.term(), name))
            .filter(each -> !each.equals(name));
    other.ifPresent(
        each ->
            faults.add(
                nowUs,
                "log: two leaders of one term",
                name + " and " + each + " lead term " + view.term()));
    var missing = missing(machine, view);
    if (missing.isPresent()) {
      faults.add(
          nowUs,
          "log: a leader without a confirmed entry",
          name
              + " leads term "
              + view.term()
              + " without confirmed entry "
              + missing.get()
              + " of "
              + confirmed.size());
    }
  }

  private Optional<Long> missing(ControlWorld.Machine machine, Raft.View view) {
    if (confirmed.isEmpty()) {
      return Optional.empty();
    }
    if (view.last() < confirmed.lastKey()) {
      return Optional.of(view.last() + 1);
    }
    for (var each : confirmed.descendingMap().entrySet()) {
      if (each.getKey() <= Math.max(view.snapIndex(), view.commit())) {
        return Optional.empty();
      }
      if (!digest(machine.raft().entryAt(each.getKey())).equals(each.getValue().digest())) {
        return Optional.of(each.getKey());
      }
    }
    return Optional.empty();
  }

  private void state(
      long nowUs, ControlWorld.Machine machine, Raft.View view, Optional<Raft.View> before) {
    var restored =
        view.snapIndex() > 0 && before.map(Raft.View::snapIndex).orElse(0L) != view.snapIndex();
    if (restored) {
      alike(nowUs, machine, view.snapIndex(), machine.raft().snapshotNow(), "snapshot");
    }
    restores += restored ? 1 : 0;
    if (before.isPresent() && before.get().applied() == view.applied()) {
      return;
    }
    var sure = restored || view.applied() % 32 == 0;
    if (sure || lastState < STATE_OFTEN) {
      var bytes = machine.node.orElseThrow().snapshot();
      lastState = bytes.length;
      alike(nowUs, machine, view.applied(), bytes, "state");
    }
  }

  private long lastState;

  private void alike(
      long nowUs, ControlWorld.Machine machine, long index, byte[] bytes, String what) {
    var mark = digest(bytes);
    var known = Optional.ofNullable(states.putIfAbsent(index, mark)).orElse(mark);
    if (index > 0 && !known.equals(mark)) {
      faults.add(
          nowUs,
          "state: not alike",
          what + " at " + index + " of " + machine.ip + " is not that of the others");
    }
  }

  /**
   * Whoever could be elected by those that are up, whatever the schedule, must hold all that was
   * confirmed.
   */
  private void electable(long nowUs, ControlWorld world) {
    if (confirmed.isEmpty()) {
      return;
    }
    var up =
        world.machines("control").stream()
            .filter(each -> each.up && each.node.isPresent())
            .toList();
    for (var runner : up) {
      var view = runner.raft().view();
      if (view.last() >= confirmed.lastKey() || !view.mayVote()) {
        continue;
      }
      var granters =
          new HashSet<>(
              up.stream()
                  .filter(each -> grants(each.raft().view(), view))
                  .map(each -> each.ip)
                  .toList());
      if (view.quorums().stream()
          .allMatch(
              list ->
                  list.contains(runner.ip)
                      && list.stream().filter(granters::contains).count() * 2 > list.size())) {
        faults.add(
            nowUs,
            "voters: a majority without a confirmed entry",
            runner.ip
                + " with log to "
                + view.last()
                + " could be elected by "
                + granters
                + " of "
                + view.quorums()
                + " without confirmed entry "
                + confirmed.lastKey());
      }
    }
  }

  private static boolean grants(Raft.View voter, Raft.View runner) {
    return voter.mayVote()
        && (runner.lastTerm() > voter.lastTerm()
            || runner.lastTerm() == voter.lastTerm() && runner.last() >= voter.last());
  }
}
