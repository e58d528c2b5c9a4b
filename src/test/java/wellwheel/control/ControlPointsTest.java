package wellwheel.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.control.ControlWorld.Machine;
import wellwheel.control.ControlWorld.Order;
import wellwheel.control.ControlWorld.Shape;
import wellwheel.control.ControlWorld.Ways;
import wellwheel.runtime.ResultCode;

/** One schedule made for each way in which the control side could go wrong on its worst days. */
class ControlPointsTest {
  private static final long SECOND = ControlWorld.SECOND;

  /** A snapshot, the longest log beside it, and a fifth for heads and what is sent again. */
  private static final long MOST_TO_CATCH_UP = ((8 << 20) + 400_000) * 6L / 5;

  private static final long MOST_IN_A_FRAME = 160 << 10;

  static LongStream few() {
    return LongStream.rangeClosed(1, 6);
  }

  private static void sound(ControlScenario play) {
    assertWithMessage("%s", play.story()).that(play.verdict()).isEmpty();
  }

  private static OrderHistory.Order changed(ControlScenario play) {
    var change = play.change(5 * SECOND);
    assertThat(play.faults()).isEmpty();
    assertWithMessage("a proper order is confirmed; %s", play.standing())
        .that(change.isPresent())
        .isTrue();
    return change.get();
  }

  private static Machine leader(ControlScenario play) {
    return play.world.leader().orElseThrow();
  }

  private static List<Machine> others(ControlScenario play, Machine machine) {
    return play.world.members().stream().filter(each -> each != machine && each.up).toList();
  }

  /** Answers of the followers are under way, and in a moment the leader hears nothing any more. */
  private static Machine leaderAmidARound(ControlScenario play) {
    changed(play);
    var leader = leader(play);
    for (var i = 0; i < 6; i++) {
      play.world.after(
          i * 200L,
          () ->
              play.operators.call(
                  Optional.of(play.operators.proper(play.orders.confirmedNumber())), leader.ip));
    }
    play.world.runFor(1_400 + play.world.random.nextInt(1_200));
    return leader;
  }

  private static void askAllKinds(ControlScenario play, Machine machine) {
    var known = play.orders.confirmedNumber();
    play.operators.call(Optional.empty(), machine.ip);
    play.operators.call(Optional.of(play.operators.proper(known)), machine.ip);
    play.operators.call(Optional.of(play.operators.proper(1)), machine.ip);
    play.orders
        .newestOrder()
        .ifPresent(order -> play.operators.call(Optional.of(order), machine.ip));
  }

  @ParameterizedTest
  @EnumSource(Order.class)
  void aFrozenLeaderTellsNothingOldWhenItThaws(Order order) {
    for (var seed = 1; seed <= 24; seed++) {
      var play = ControlScenario.still(Shape.three(), seed, 0);
      var old = leaderAmidARound(play);
      play.world.freeze(old, 20 * SECOND, order);
      play.world.runFor(2 * SECOND);
      changed(play);
      play.world.runFor(17_700_000);
      for (var i = 0; i < 40; i++) {
        play.world.after(i * 10_000L, () -> askAllKinds(play, old));
      }
      play.world.runFor(2 * SECOND);
      sound(play);
    }
  }

  @ParameterizedTest
  @EnumSource(Ways.class)
  void aLeaderThatIsCutOffTellsNothingOld(Ways ways) {
    for (var seed = 1; seed <= 12; seed++) {
      var play = ControlScenario.still(Shape.three(), seed, 0);
      var old = leaderAmidARound(play);
      var cut = play.world.cut(List.of(old), ways, seed % 2 == 0, 20 * SECOND);
      askOften(play, old, 2 * SECOND);
      pressOn(play, others(play, old), 2 * SECOND);
      play.world.runFor(18 * SECOND);
      play.world.join(cut);
      askOften(play, old, SECOND / 2);
      play.world.runFor(SECOND);
      sound(play);
    }
  }

  private static void askOften(ControlScenario play, Machine machine, long spanUs) {
    for (var atUs = 0L; atUs < spanUs; atUs += 15_000) {
      play.world.after(atUs, () -> askAllKinds(play, machine));
    }
  }

  private static void pressOn(ControlScenario play, List<Machine> machines, long spanUs) {
    for (var atUs = 0L; atUs < spanUs; atUs += 10_000) {
      play.world.after(
          atUs,
          () ->
              machines.forEach(
                  each ->
                      play.operators.call(
                          Optional.of(play.operators.proper(play.orders.confirmedNumber())),
                          each.ip)));
    }
  }

  /**
   * Answers are held up for a while, come in just before the leader gives up, and it is cut off
   * again.
   */
  @ParameterizedTest
  @ValueSource(longs = {450_000, 540_000, 580_000})
  void heldUpAnswersRenewNothing(long heldUs) {
    for (var seed = 1; seed <= 12; seed++) {
      var play = ControlScenario.still(Shape.three(), seed, 0);
      var old = leaderAmidARound(play);
      var first = play.world.cut(List.of(old), Ways.BOTH, true, heldUs);
      play.world.runFor(heldUs - 5_000);
      var out = play.world.cut(List.of(old), Ways.OUT, false, 0);
      play.world.join(first);
      play.world.runFor(5_000 + 60_000);
      var then = play.world.cut(List.of(old), Ways.BOTH, false, 0);
      play.world.join(out);
      askOften(play, old, 2 * SECOND);
      pressOn(play, others(play, old), 2 * SECOND);
      play.world.runFor(4 * SECOND);
      play.world.join(then);
      sound(play);
    }
  }

  /**
   * Voters that start again have forgotten whom they heard, and elect at once; the old leader is
   * still within its lease.
   */
  @ParameterizedTest
  @EnumSource(Ways.class)
  void aLeaderIsNotBelievedWhileItsVotersStartAgain(Ways ways) {
    for (var seed = 1; seed <= 12; seed++) {
      var play = ControlScenario.still(Shape.three(), seed, 0);
      changed(play);
      var old = leader(play);
      var rest = others(play, old);
      var cut = play.world.cut(List.of(old), ways, seed % 2 == 0, 0);
      rest.forEach(each -> play.world.killAndRestart(each, 1_000));
      askOften(play, old, SECOND);
      pressOn(play, rest, SECOND);
      play.world.runFor(3 * SECOND);
      play.world.join(cut);
      sound(play);
    }
  }

  @ParameterizedTest
  @MethodSource("few")
  void aTakenOrderIsNeverRefusedHoweverManyChangesLater(long seed) {
    var play = ControlScenario.still(Shape.three(), seed, 0);
    var early = new ArrayList<OrderHistory.Order>();
    for (var i = 0; i < 300; i++) {
      var order = changed(play);
      if (i % 37 == 0) {
        early.add(order);
      }
      if (i == 150) {
        play.world.killAndRestart(leader(play), SECOND);
      }
    }
    var answers = new ArrayList<ResultCode>();
    early.forEach(
        order ->
            play.operators.order(order, code -> answers.add(code.orElse(ResultCode.NO_LEADER))));
    play.world.runFor(3 * SECOND);
    assertThat(answers).hasSize(early.size());
    assertThat(answers).containsNoneOf(ResultCode.OTHER_BASE, ResultCode.BAD_CONFIG);
    sound(play);
  }

  @ParameterizedTest
  @MethodSource("few")
  void ofTwoRivalsThroughTwoLeadersOneIsTaken(long seed) {
    var play = ControlScenario.still(Shape.three(), seed, 0);
    changed(play);
    var old = leader(play);
    var base = play.orders.confirmedNumber();
    var one = play.operators.proper(base);
    var other = play.operators.proper(base);
    var cut = play.world.cut(List.of(old), seed % 2 == 0 ? Ways.OUT : Ways.IN, true, 20 * SECOND);
    for (var i = 0; i < 8; i++) {
      play.operators.call(Optional.of(one), old.ip);
    }
    play.world.runFor(SECOND / 2);
    for (var i = 0; i < 8; i++) {
      play.operators.order(other, code -> {});
    }
    play.world.runFor(3 * SECOND);
    play.world.join(cut);
    for (var i = 0; i < 30; i++) {
      play.world.after(
          i * 20_000L,
          () ->
              play.world
                  .members()
                  .forEach(
                      each -> {
                        play.operators.call(Optional.of(one), each.ip);
                        play.operators.call(Optional.of(other), each.ip);
                      }));
    }
    play.world.runFor(3 * SECOND);
    sound(play);
    assertThat(play.world.log.chain().stream().filter(each -> each.base() == base).count())
        .isEqualTo(1);
  }

  @ParameterizedTest
  @MethodSource("few")
  void aRepeatMeetsALeaderThatHasNotAppliedItYet(long seed) {
    var play = ControlScenario.still(Shape.three(), seed, 0);
    changed(play);
    var old = leader(play);
    var order = play.operators.proper(play.orders.confirmedNumber());
    play.operators.call(Optional.of(order), old.ip);
    play.world.runFor(1_000 + 300 * seed);
    play.world.powerOff(old);
    for (var i = 0; i < 600; i++) {
      play.world.after(
          i * 5_000L,
          () ->
              others(play, old).forEach(each -> play.operators.call(Optional.of(order), each.ip)));
    }
    play.world.runFor(4 * SECOND);
    play.world.startAgain(old);
    play.operators.order(order, code -> {});
    play.world.runFor(2 * SECOND);
    sound(play);
  }

  /** The old leader dies as its answer arrives; the new one holds the entry, and disks are slow. */
  @ParameterizedTest
  @MethodSource("few")
  void aNewLeaderAnswersNothingBeforeAllIsApplied(long seed) {
    for (var round = 0; round < 6; round++) {
      var play = ControlScenario.still(Shape.three(), seed * 10 + round, 0);
      changed(play);
      var old = leader(play);
      var rest = others(play, old);
      play.world.members().forEach(each -> each.disk.slow(30, 400));
      play.operators.call(
          Optional.of(play.operators.proper(play.orders.confirmedNumber())), old.ip);
      play.operators.onAcknowledged(() -> play.world.powerOff(old));
      play.world.runFor(SECOND / 2);
      for (var i = 0; i < 600; i++) {
        play.world.after(i * 2_000L, () -> rest.forEach(each -> askAllKinds(play, each)));
      }
      play.world.runFor(3 * SECOND);
      play.world.startAgain(old);
      sound(play);
    }
  }

  private static Machine drawn(ControlScenario play, List<Machine> from) {
    return from.get(play.world.random.nextInt(from.size()));
  }

  private static void lose(ControlScenario play, Machine machine, long kind) {
    switch ((int) kind % 3) {
      case 0 -> play.world.powerOff(machine);
      case 1 -> play.world.freeze(machine, 20 * SECOND, Order.MIXED);
      default -> play.world.cut(List.of(machine), Ways.BOTH, true, 20 * SECOND);
    }
  }

  /** Whoever is lost next, a majority is left the moment the one before has stopped to count. */
  @ParameterizedTest
  @ValueSource(longs = {0, 300_000, 900_000, 2_000_000, 4_000_000, 8_000_000})
  void aLossRightAfterAReplacementLeavesAMajority(long goneUs) {
    for (var seed = 1; seed <= 12; seed++) {
      var play = ControlScenario.still(seed % 3 == 0 ? Shape.five() : Shape.three(), seed, 0);
      changed(play);
      var gone = seed % 2 == 0 ? leader(play) : drawn(play, play.world.members());
      play.world.removeForGood(gone);
      play.world.runFor(goneUs);
      var fresh = play.world.startEmpty("control");
      play.world.runFor(FaultInjection.CATCH_UP_US);
      lose(play, drawn(play, others(play, seed % 4 == 0 ? fresh : gone)), seed);
      play.world.runFor(4 * SECOND);
      changed(play);
      sound(play);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 10_000, 200_000, 1_000_000})
  void aLossRightAfterAPlannedReplacementLeavesAMajority(long laterUs) {
    for (var seed = 1; seed <= 12; seed++) {
      var play = ControlScenario.still(seed % 3 == 0 ? Shape.five() : Shape.three(), seed, 0);
      changed(play);
      var old = seed % 2 == 0 ? leader(play) : drawn(play, play.world.members());
      play.world.startEmpty("control");
      play.world.runFor(FaultInjection.CATCH_UP_US);
      var ended = new boolean[1];
      play.world.terminate(old, () -> ended[0] = true);
      while (!ended[0]) {
        play.world.runFor(1_000);
      }
      play.world.runFor(laterUs);
      lose(play, drawn(play, others(play, old)), seed);
      play.world.runFor(4 * SECOND);
      changed(play);
      sound(play);
    }
  }

  @ParameterizedTest
  @MethodSource("few")
  void severalReplacementsAtOnceLeaveAMajority(long seed) {
    var play = ControlScenario.still(Shape.five(), seed, 0);
    for (var round = 0; round < 3; round++) {
      changed(play);
      var one = drawn(play, play.world.members());
      play.world.removeForGood(one);
      var two = drawn(play, others(play, one));
      play.world.after(500_000 * seed, () -> play.world.removeForGood(two));
      play.world.after(500_000 * seed + 200_000, () -> play.world.startEmpty("control"));
      play.world.after(500_000 * seed + 900_000, () -> play.world.startEmpty("control"));
      play.world.runFor(500_000 * seed + 900_000 + FaultInjection.CATCH_UP_US);
    }
    lose(play, drawn(play, others(play, leader(play))), seed);
    lose(play, leader(play), seed + 1);
    play.world.runFor(4 * SECOND);
    changed(play);
    sound(play);
  }

  @ParameterizedTest
  @MethodSource("few")
  void aLearnerThatIsWipedWhileItCatchesUpCountsForNothing(long seed) {
    var play = ControlScenario.still(Shape.three(), seed, 100_000);
    for (var i = 0; i < 20; i++) {
      changed(play);
    }
    var gone = drawn(play, play.world.members());
    play.world.removeForGood(gone);
    var fresh = play.world.startEmpty("control");
    for (var i = 0; i < 4; i++) {
      play.world.runFor(200_000 * seed);
      play.world.wipe(fresh);
      play.world.startAgain(fresh);
    }
    play.world.runFor(FaultInjection.CATCH_UP_US);
    lose(play, drawn(play, others(play, fresh)), seed);
    play.world.runFor(4 * SECOND);
    changed(play);
    sound(play);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 250_000})
  void aMemberThatHasSyncedNothingIsNoVoter(int padding) {
    var play = ControlScenario.still(Shape.three(), 3, padding);
    for (var i = 0; i < 120 && (i < 5 || padding > 0 && !endsWithASnapshot(play)); i++) {
      changed(play);
      play.world.runFor(100_000);
    }
    assertThat(endsWithASnapshot(play)).isEqualTo(padding > 0);
    play.world.removeForGood(others(play, leader(play)).get(0));
    var fresh = play.world.startEmpty("control");
    fresh.disk.slow(20_000, 400);
    play.world.runFor(10 * SECOND);
    assertThat(leader(play).raft().voters()).doesNotContain(fresh.ip);
    fresh.disk.slow(1, 400);
    play.world.runFor(50 * SECOND);
    assertThat(leader(play).raft().voters()).contains(fresh.ip);
    sound(play);
  }

  private static boolean endsWithASnapshot(ControlScenario play) {
    var view = leader(play).raft().view();
    return view.snapIndex() > 0 && view.snapIndex() == view.last();
  }

  /**
   * An order that only a bare majority holds is confirmed; at once all power goes and n of those
   * that hold it lose their disks.
   */
  @ParameterizedTest
  @MethodSource("few")
  void disksLostRightAfterAnAcknowledgementTakeNothingWithThem(long seed) {
    for (var round = 0; round < 12; round++) {
      var play =
          ControlScenario.still(
              round % 2 == 0 ? Shape.five() : Shape.three(), seed * 100 + round, 0);
      changed(play);
      var old = leader(play);
      var damages = round % 4 > 1;
      var rest = new ArrayList<>(others(play, old));
      Collections.shuffle(rest, play.world.random);
      var lacking = rest.subList(0, play.world.shape.survive());
      var holding = new ArrayList<>(rest.subList(play.world.shape.survive(), rest.size()));
      holding.add(old);
      Collections.shuffle(holding, play.world.random);
      var cut = play.world.cut(lacking, Ways.BOTH, false, 0);
      play.operators.call(
          Optional.of(play.operators.proper(play.orders.confirmedNumber())), old.ip);
      play.operators.onAcknowledged(
          () -> {
            play.world.members().stream().filter(each -> each.up).forEach(play.world::powerOff);
            holding
                .subList(0, play.world.shape.survive())
                .forEach(damages ? each -> each.disk.damage() : each -> each.disk.wipe());
            play.world
                .members()
                .forEach(
                    each ->
                        play.world.after(
                            400_000 + play.world.random.nextInt(600_000),
                            () -> play.world.startAgain(each)));
          });
      play.world.runFor(SECOND / 5);
      play.world.join(cut);
      play.world.runFor(8 * SECOND);
      changed(play);
      sound(play);
    }
  }

  /** Its own address may stand among the seeds of a machine that comes back empty. */
  @ParameterizedTest
  @MethodSource("few")
  void anEmptyMachineThatWasVotedOutComesBackIn(long seed) {
    var play = ControlScenario.still(Shape.three(), seed, 0);
    changed(play);
    var wiped = drawn(play, play.world.members());
    play.world.wipe(wiped);
    var spare = play.world.startEmpty("control");
    play.world.runFor(8 * SECOND);
    play.world.startAgain(wiped);
    play.world.runFor(FaultInjection.CATCH_UP_US);
    play.world.removeForGood(spare);
    play.world.runFor(4 * SECOND);
    changed(play);
    sound(play);
  }

  /**
   * What a killed process wrote but never synced is not on the disk: it must not be counted after
   * the restart.
   */
  @ParameterizedTest
  @MethodSource("few")
  void whatWasNeverSyncedIsNotCountedAfterARestart(long seed) {
    for (var round = 0; round < 20; round++) {
      var play = ControlScenario.still(Shape.three(), seed * 100 + round, 0);
      changed(play);
      var old = leader(play);
      var off = others(play, old).get(0);
      var killed = others(play, old).get(1);
      play.world.powerOff(off);
      play.operators.call(
          Optional.of(play.operators.proper(play.orders.confirmedNumber())), old.ip);
      play.world.runFor(1_000 + play.world.random.nextInt(1_400));
      play.world.kill(killed);
      play.world.startAgain(killed);
      play.world.runFor(160_000 + play.world.random.nextInt(200_000));
      List.of(old, killed).forEach(play.world::powerOff);
      play.world.runFor(SECOND);
      List.of(off, old, killed).forEach(play.world::startAgain);
      play.world.runFor(6 * SECOND);
      changed(play);
      sound(play);
    }
  }

  private static void awayThroughThreeHundred(ControlScenario play, Machine away) {
    play.world.powerOff(away);
    for (var i = 0; i < 300; i++) {
      changed(play);
    }
  }

  private static double levelAfterS(ControlScenario play, Machine machine, long mostS) {
    var sinceUs = play.world.nowUs();
    while (machine.raft().view().commit() < play.world.log.lastConfirmed()
        && play.world.nowUs() - sinceUs < mostS * SECOND) {
      play.world.runFor(20_000);
    }
    return (play.world.nowUs() - sinceUs) / 1e6;
  }

  /** 300 changes of 200 kB while it was away, one a second while it catches up. */
  @ParameterizedTest
  @ValueSource(strings = {"fast", "slow link", "slow disk"})
  void aMemberAwayThroughHundredsOfChangesIsLevelSoon(String road) {
    var play = ControlScenario.still(Shape.three(), 5, 200_000);
    changed(play);
    var away = others(play, leader(play)).get(0);
    awayThroughThreeHundred(play, away);
    if (road.equals("slow link")) {
      play.world.slowLinks(away, 1, true);
    } else if (road.equals("slow disk")) {
      away.disk.slow(20, 1);
    }
    var before = play.world.bytesTo(away);
    play.world.startAgain(away);
    var tookS = levelAfterS(play, away, 60);
    var bytes = play.world.bytesTo(away) - before;
    System.out.println(
        road
            + ": level after "
            + tookS
            + " s and "
            + bytes
            + " bytes, biggest frame "
            + play.world.biggestFrame());
    assertThat(bytes).isLessThan(MOST_TO_CATCH_UP);
    assertThat(tookS).isLessThan(2.0 + MOST_TO_CATCH_UP / 1e6);
    assertThat(play.world.biggestFrame()).isLessThan(MOST_IN_A_FRAME);
    changed(play);
    sound(play);
  }
}
