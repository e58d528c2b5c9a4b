package wellwheel.functions;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.transport.ModelLinks;

/** Seeded days of functions: fronts die and leave, leaders change, instances crash and drain. */
class FunctionsModelTest {
  private static final long SECOND = FunctionsWorld.SECOND;

  private static void settleAndCheck(FunctionsWorld world) {
    world.time.runFor(30 * SECOND);
    for (var call : world.calls) {
      var runs = world.platform.runs.getOrDefault(call.id, 0);
      assertWithMessage("answers of " + call.id).that(call.answers).isAtMost(1);
      if (!call.safe) {
        assertWithMessage("runs of " + call.id).that(runs).isAtMost(1);
      }
      if (call.status == 503) {
        assertWithMessage("runs of the refused " + call.id).that(runs).isEqualTo(0);
      }
      if (call.status == 200) {
        assertThat(call.seal).isEqualTo(call.id);
      }
    }
    assertWithMessage("instances that nobody needs")
        .that(world.platform.alive().stream().filter(each -> !each.draining).toList())
        .isEmpty();
  }

  private static double served(FunctionsWorld world) {
    return (double) world.calls.stream().filter(call -> call.status == 200).count()
        / world.calls.size();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aCalmDayServesEveryCallAndKeepsEverySlot(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.time.runFor(2 * SECOND);
    world.call(80, 15 * SECOND);
    settleAndCheck(world);
    assertThat(served(world)).isEqualTo(1.0);
    assertThat(world.unanswered()).isEqualTo(0);
    assertThat(world.platform.overLimit).isEqualTo(0);
    assertThat(world.platform.started).isAtMost(120);
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void frontsThatDieAndComeBackRunNothingUnsafeTwice(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.time.runFor(2 * SECOND);
    world.call(80, 20 * SECOND);
    for (var round = 0; round < 5; round++) {
      world.time.runFor(3 * SECOND);
      var ips = world.frontIps();
      var ip = ips.get(world.random.nextInt(ips.size()));
      world.kill(ip);
      world.time.runFor(800_000);
      world.boot(ip);
    }
    settleAndCheck(world);
    assertThat(served(world)).isGreaterThan(0.93);
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24, 25, 26})
  void changesOfLeaderOrphanNothingAndStartNothingTwice(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.time.runFor(2 * SECOND);
    world.call(80, 20 * SECOND);
    for (var round = 0; round < 5; round++) {
      world.time.runFor(2 * SECOND + world.random.nextInt(2_000_000));
      world.changeLeader();
    }
    settleAndCheck(world);
    assertThat(served(world)).isGreaterThan(0.99);
    assertThat(world.platform.overLimit).isAtMost(5);
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void frontsStoppedInTurnLoseNoCall(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.time.runFor(2 * SECOND);
    world.call(80, 24 * SECOND);
    for (var ip : world.frontIps()) {
      world.term(ip);
      world.time.runFor(4 * SECOND);
      world.boot(ip);
    }
    settleAndCheck(world);
    assertThat(world.unanswered()).isEqualTo(0);
    assertThat(served(world)).isAtLeast(0.995);
    assertThat(world.platform.overLimit).isAtMost(5);
  }

  @ParameterizedTest
  @ValueSource(longs = {41, 42, 43, 44, 45, 46})
  void crashesDrainsAndLostAnswersTogetherBreakNoPromise(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.platform.lostAnswers = 0.2;
    world.time.runFor(2 * SECOND);
    world.call(80, 20 * SECOND);
    for (var round = 0; round < 10; round++) {
      world.time.runFor(1_500_000);
      var alive = world.platform.alive();
      if (!alive.isEmpty()) {
        var instance = alive.get(world.random.nextInt(alive.size()));
        if (world.random.nextBoolean()) {
          world.platform.crash(instance);
        } else {
          world.platform.drain(instance);
        }
      }
      if (round % 4 == 3) {
        world.changeLeader();
      }
    }
    settleAndCheck(world);
    assertThat(served(world)).isGreaterThan(0.95);
  }

  /** Guards against fronts that end with calls unanswered that wait for an instance. */
  @ParameterizedTest
  @ValueSource(longs = {51, 52, 53, 54, 55, 56})
  void whatWaitsInAFrontThatStopsIsAnswered(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.time.runFor(2 * SECOND);
    world.call(80, 24 * SECOND);
    world.time.runFor(3 * SECOND);
    world.platform.full = true;
    for (var ip : world.frontIps()) {
      world.platform.alive().stream()
          .filter(each -> world.random.nextInt(3) == 0)
          .toList()
          .forEach(world.platform::crash);
      world.stop(ip, 3 * SECOND);
      world.time.runFor(1_500_000 + world.random.nextInt(1_800_000));
    }
    world.time.runFor(3 * SECOND);
    world.platform.full = false;
    for (var ip : world.frontIps()) {
      world.boot(ip);
    }
    settleAndCheck(world);
    assertThat(world.unanswered()).isEqualTo(0);
    assertThat(world.calls.stream().filter(call -> call.status == 503).count()).isAtLeast(20);
  }

  /** Guards against calls that are at work at more instances than their route's Tries. */
  @ParameterizedTest
  @ValueSource(longs = {71, 72, 73, 74, 75, 76, 77, 78})
  void noCallRunsOftenerThanItsTriesWhileLinksFail(long seed) throws Exception {
    var tries = 1 + (int) (seed % 2);
    var world = new FunctionsWorld(seed, 6);
    world.configure(
        FunctionsWorld.configurationJson().replace("\"Tries\":3", "\"Tries\":" + tries));
    world.time.runFor(2 * SECOND);
    world.call(120, 30 * SECOND);
    for (var round = 0; round < 60; round++) {
      var ips = world.frontIps();
      var from = ips.get(world.random.nextInt(ips.size()));
      var to = ips.get(world.random.nextInt(ips.size()));
      var faults = ModelLinks.Fault.values();
      if (!from.equals(to)) {
        var fault = faults[world.random.nextInt(faults.length)];
        world.failLink(from, to, fault, 500_000 + world.random.nextInt(3_000_000));
      }
      world.time.runFor(500_000);
    }
    settleAndCheck(world);
    for (var call : world.calls) {
      assertWithMessage("runs of " + call.id)
          .that(world.platform.runs.getOrDefault(call.id, 0))
          .isAtMost(tries);
    }
    assertThat(world.unanswered()).isEqualTo(0);
    assertThat(served(world)).isGreaterThan(0.8);
  }

  /** Guards against calls that run with too much time when a link that held them opens. */
  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108})
  void whatALinkHeldIsGivenNoMoreTimeThanRemains(long seed) throws Exception {
    assertThat(playHeldLinks(seed).checker.givenTooLong).isEmpty();
  }

  static LongStream goneOnSeeds() {
    var span = System.getProperty("gone.seeds", "111-118").split("-");
    return LongStream.rangeClosed(Long.parseLong(span[0]), Long.parseLong(span[1]));
  }

  /** Guards against calls that begin long after their front has answered their clients. */
  @ParameterizedTest
  @MethodSource("goneOnSeeds")
  void whatItsFrontHasGoneOnWithoutDoesNotBegin(long seed) throws Exception {
    assertThat(playHeldLinks(seed).checker.begunTooLate).isEmpty();
  }

  private static FunctionsWorld playHeldLinks(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.time.runFor(2 * SECOND);
    world.call(150, 30 * SECOND);
    for (var round = 0; round < 20; round++) {
      var ips = world.frontIps();
      var from = ips.get(world.random.nextInt(ips.size()));
      var to = ips.get(world.random.nextInt(ips.size()));
      if (from.equals(to)) {
        world.freeze(from, 500_000 + world.random.nextInt(5_000_000));
      } else {
        holdInSeries(world, from, to);
      }
      if (round % 5 == 4) {
        world.kill(from);
        world.time.after(800_000, () -> world.startAnew(from));
      }
      world.time.runFor(1_500_000);
    }
    settleAndCheck(world);
    assertThat(served(world)).isGreaterThan(0.8);
    return world;
  }

  static LongStream heldSeeds() {
    var span = System.getProperty("held.seeds", "131-136").split("-");
    return LongStream.rangeClosed(Long.parseLong(span[0]), Long.parseLong(span[1]));
  }

  /** Guards against instances that two owners use, as a list of instances was held on its way. */
  @ParameterizedTest
  @MethodSource("heldSeeds")
  void listsAndReportsThatWereHeldGiveNoSlotTwice(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 6);
    world.time.runFor(2 * SECOND);
    world.call(150, 30 * SECOND);
    for (var round = 0; round < 20; round++) {
      var ips = world.frontIps();
      var front = ips.get(world.random.nextInt(ips.size()));
      switch (world.random.nextInt(3)) {
        case 0 -> holdInSeries(world, "10.1.0.1", front);
        case 1 -> holdInSeries(world, front, "10.1.0.1");
        default -> world.failLink(front, "10.1.0.1", ModelLinks.Fault.SILENT, 900_000);
      }
      world.time.runFor(1_500_000);
    }
    settleAndCheck(world);
    assertThat(world.platform.overLimit).isAtMost(5);
  }

  /** Links hold what is sent, once for long or in a short series, one way or both. */
  private static void holdInSeries(FunctionsWorld world, String from, String to) {
    var series = world.random.nextBoolean();
    var both = world.random.nextBoolean();
    for (var turn = 0; turn < (series ? 6 : 1); turn++) {
      var spanUs = series ? 900_000 : 5_500_000;
      world.time.after(
          turn * 1_200_000L,
          () -> {
            world.failLink(from, to, ModelLinks.Fault.HELD, spanUs);
            if (both) {
              world.failLink(to, from, ModelLinks.Fault.HELD, spanUs);
            }
          });
    }
  }

  /** Guards against calls that are passed on, after the loss of an owner, beyond the budget. */
  @ParameterizedTest
  @ValueSource(longs = {121, 122, 123, 124, 125, 126})
  void callsOfLostOwnersAreSentAgainWithinTheBudgetOfAllNodes(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 12);
    world.platform.workUs = 1_200_000;
    world.time.runFor(2 * SECOND);
    world.call(150, 30 * SECOND);
    world.time.runFor(4 * SECOND);
    for (var round = 0; round < 6; round++) {
      var ips = new ArrayList<>(world.frontIps());
      Collections.shuffle(ips, world.random);
      var lost = ips.subList(0, 4);
      lost.forEach(world::kill);
      world.time.runFor(1_500_000);
      for (var ip : lost) {
        world.boot(ip);
      }
      world.time.runFor(2 * SECOND);
    }
    settleAndCheck(world);
    assertThat(world.checker.sentAgain()).isAtLeast(40);
    world.checker.assertWithinBudget(
        FunctionsWorld.RETRY_RATIO, FunctionsWorld.EXTRA_RETRIES, FunctionsWorld.RETRY_WINDOW_US);
  }

  /** Guards against calls that run though their clients have closed while they waited. */
  @ParameterizedTest
  @ValueSource(longs = {91, 92, 93, 94})
  void whatItsClientHasGivenUpDoesNotBegin(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 4);
    world.time.runFor(2 * SECOND);
    var ips = world.frontIps();
    for (var number = 0; number < 40; number++) {
      world.callAt(ips.get(number % ips.size()), "");
    }
    world.time.runFor(100_000);
    for (var number = 0; number < 40; number += 2) {
      world.calls.get(number).close();
    }
    world.time.runFor(10 * SECOND);
    for (var call : world.calls) {
      var runs = world.platform.runs.getOrDefault(call.id, 0);
      assertWithMessage("runs of " + call.id).that(runs).isEqualTo(call.closed ? 0 : 1);
      assertThat(call.answers).isEqualTo(call.closed ? 0 : 1);
    }
  }
}
