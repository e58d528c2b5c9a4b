package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Every end of a job that was taken comes again, at once or up to 20 s later, through any edge
 * node, and another end under the same lease as well. The checker of the scenario judges each
 * answer.
 */
class SettlementTest {
  private static final long SECOND = Scenario.SECOND;

  static LongStream seeds() {
    var span = System.getProperty("settlement.seeds", "501-506").split("-");
    return LongStream.rangeClosed(Long.parseLong(span[0]), Long.parseLong(span[1]));
  }

  private static void expectMany(Scenario play) {
    play.checker.clean();
    assertThat(play.endsRepeated).isGreaterThan(40);
    assertThat(play.endsAltered).isGreaterThan(20);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void endsAreAnsweredAlikeUnderAnyAllowedLoss(long seed) {
    var days = new FaultyDays(seed, seed % 2 == 0 ? World.Shape.four() : World.Shape.three());
    days.play.repeatedEnds = 1;
    days.play.failsOneIn = 4;
    for (var round = 0; round < 6; round++) {
      days.round();
    }
    days.stopWork();
    days.play.run(25 * SECOND);
    expectMany(days.play);
    assertThat(days.copies.faults).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {521, 522, 523})
  void endsOutliveAllPowerBeingLost(long seed) {
    var play = new Scenario(seed, World.Shape.three()).up();
    play.repeatedEnds = 1;
    play.failsOneIn = 4;
    play.load(14 * SECOND);
    play.run(6 * SECOND);
    play.powerLost = true;
    play.world.hosts("storage").forEach(host -> play.world.powerOff(host, SECOND));
    play.world.hosts("control").forEach(host -> play.world.powerOff(host, SECOND));
    play.run(40 * SECOND);
    expectMany(play);
  }
}
