package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Messages keep every promise while links hold what is sent and deliver it later. */
class HeldLinksTest {
  private static final long SECOND = Scenario.SECOND;
  private static final long LONG_US = 5_500_000;
  private static final long SHORT_US = 900_000;
  private static final long BETWEEN_US = 1_200_000;

  static LongStream seeds() {
    var span = System.getProperty("held.seeds", "701-704").split("-");
    return LongStream.rangeClosed(Long.parseLong(span[0]), Long.parseLong(span[1]));
  }

  /** Guards against frames that come to life seconds after their sender has given them up. */
  @ParameterizedTest
  @MethodSource("seeds")
  void messagesKeepTheirPromisesWhileLinksHoldAndDeliver(long seed) {
    var play = new Scenario(seed, seed % 2 == 0 ? World.Shape.four() : World.Shape.three()).up();
    play.failsOneIn = 3;
    play.pullWaitMs = 9_000;
    play.load(24 * SECOND);
    for (var round = 0; round < 12; round++) {
      holdSome(play);
      if (play.world.random().nextInt(4) == 0) {
        play.world.freeze(any(play, "storage"), SECOND + play.world.random().nextInt(3_000_000));
      }
      play.run(2 * SECOND);
    }
    play.run(10 * SECOND);
    assertThat(play.checker.entries.size()).isGreaterThan(1_000);
    play.settle();
    assertThat(play.staleLeases).isEmpty();
  }

  /** One link holds for long or in a short series, one way or both. */
  private static void holdSome(Scenario play) {
    var ends = new ArrayList<>(List.of(any(play, "storage"), any(play, other(play))));
    Collections.shuffle(ends, play.world.random());
    var series = play.world.random().nextBoolean();
    var both = play.world.random().nextBoolean();
    for (var turn = 0; turn < (series ? 6 : 1); turn++) {
      play.world.after(
          turn * BETWEEN_US,
          () -> {
            play.world.hold(ends.get(0), ends.get(1), series ? SHORT_US : LONG_US);
            if (both) {
              play.world.hold(ends.get(1), ends.get(0), series ? SHORT_US : LONG_US);
            }
          });
    }
  }

  private static String other(Scenario play) {
    return List.of("edge", "edge", "storage", "control").get(play.world.random().nextInt(4));
  }

  private static World.Host any(Scenario play, String role) {
    var hosts = play.world.hosts(role);
    return hosts.get(play.world.random().nextInt(hosts.size()));
  }
}
