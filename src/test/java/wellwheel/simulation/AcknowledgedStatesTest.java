package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What was acknowledged stays shown as it was, whichever machines restart. */
class AcknowledgedStatesTest {
  private static final long SECOND = Scenario.SECOND;

  static LongStream seeds() {
    var span = System.getProperty("states.seeds", "601-608").split("-");
    return LongStream.rangeClosed(Long.parseLong(span[0]), Long.parseLong(span[1]));
  }

  /** Guards against finished messages shown as waiting after a restart long after their end. */
  @ParameterizedTest
  @ValueSource(longs = {591, 592, 593})
  void endsOfAQuietSystemStayShownWhenAllMachinesAreKilled(long seed) {
    var play = new Scenario(seed).up();
    play.load(SECOND);
    play.run(8 * SECOND);
    var watch = StateWatch.of(play);
    play.run(SECOND);
    killAll(play, List.of("control", "storage"));
    play.run(12 * SECOND);
    assertThat(watch.endedChecked).isGreaterThan(100);
    play.settle();
  }

  /** Guards against older states while restarted machines still compare their copies. */
  @ParameterizedTest
  @MethodSource("seeds")
  void statesStayAsShownWhenAllMachinesRestartUnderLoad(long seed) {
    var play = new Scenario(seed, shape(seed)).up();
    play.failsOneIn = 3;
    play.load(20 * SECOND);
    var watch = StateWatch.of(play);
    for (var round = 0; round < 4; round++) {
      play.run(2 * SECOND + play.world.random().nextInt(2_000_000));
      strikeAll(play, round);
    }
    play.run(8 * SECOND);
    assertThat(watch.endedChecked).isGreaterThan(200);
    assertThat(watch.openChecked).isGreaterThan(20);
    play.settle();
  }

  /** Guards against states of copies that are stale, cut off or were primaries before. */
  @ParameterizedTest
  @MethodSource("seeds")
  void statesStayAsShownUnderAnyAllowedLoss(long seed) {
    var days = new FaultyDays(seed, shape(seed));
    var watch = StateWatch.of(days.play);
    for (var round = 0; round < 6; round++) {
      days.round();
    }
    days.stopWork();
    days.play.run(10 * SECOND);
    days.play.checker.clean();
    assertThat(days.copies.faults).isEmpty();
    assertThat(watch.endedChecked).isGreaterThan(200);
  }

  /**
   * Guards against states told by a primary that another one has replaced without its knowledge.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void statesStayAsShownWhenMachinesAreCutIntoHalves(long seed) {
    var play = new Scenario(seed, shape(seed)).up();
    play.failsOneIn = 3;
    play.load(24 * SECOND);
    var watch = StateWatch.of(play);
    for (var round = 0; round < 4; round++) {
      play.run(2 * SECOND);
      cutIntoHalves(play, 3 * SECOND);
      play.run(3 * SECOND);
    }
    play.run(10 * SECOND);
    assertThat(watch.endedChecked).isGreaterThan(400);
    play.settle();
  }

  /** Cuts a storage node, and at times an edge and a control node, off from the other machines. */
  private static void cutIntoHalves(Scenario play, long spanUs) {
    var minority = new ArrayList<World.Host>();
    for (var role : List.of("storage", "edge", "control")) {
      if (role.equals("storage") || play.world.random().nextBoolean()) {
        var hosts = play.world.hosts(role);
        minority.add(hosts.get(play.world.random().nextInt(hosts.size())));
      }
    }
    var edgesReachBoth = minority.size() == 1;
    for (var role : List.of("storage", "edge", "control")) {
      for (var other : play.world.hosts(role)) {
        if (!minority.contains(other) && !(edgesReachBoth && role.equals("edge"))) {
          minority.forEach(host -> play.world.cutPair(host, other, spanUs));
        }
      }
    }
  }

  private static World.Shape shape(long seed) {
    return seed % 2 == 0 ? World.Shape.four() : World.Shape.three();
  }

  private static void strikeAll(Scenario play, int round) {
    play.powerLost = true;
    if (round % 2 == 0) {
      killAll(play, List.of("control", "storage"));
    } else {
      List.of("control", "storage", "edge")
          .forEach(
              role ->
                  play.world.hosts(role).forEach(host -> play.world.powerOff(host, SECOND / 2)));
    }
  }

  private static void killAll(Scenario play, List<String> roles) {
    roles.forEach(role -> play.world.hosts(role).forEach(play.world::kill));
  }
}
