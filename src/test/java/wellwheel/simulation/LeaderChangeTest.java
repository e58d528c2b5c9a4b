package wellwheel.simulation;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaderChangeTest {
  private static final long SECOND = Scenario.SECOND;
  private static final long HELD_MOST_US = 700_000;

  @ParameterizedTest
  @ValueSource(longs = {701, 702, 703, 704, 705, 706})
  void aChangeOfLeaderHoldsNoHandInUp(long seed) {
    var play =
        Scenario.trouble(
            seed,
            8 * SECOND,
            each -> each.world.leader().ifPresent(leader -> each.world.freeze(leader, 5 * SECOND)));
    var held =
        play.checker.entries.values().stream()
            .filter(
                entry ->
                    entry.acceptedUs < Long.MAX_VALUE
                        && entry.acceptedUs - entry.sentUs > HELD_MOST_US)
            .map(
                entry ->
                    entry.id
                        + " "
                        + entry.service
                        + " "
                        + (entry.acceptedUs - entry.sentUs) / 1000
                        + " ms")
            .toList();
    var never =
        play.checker.entries.values().stream()
            .filter(entry -> entry.acceptedUs == Long.MAX_VALUE)
            .count();
    var most =
        play.checker.entries.values().stream()
            .filter(entry -> entry.acceptedUs < Long.MAX_VALUE)
            .mapToLong(entry -> entry.acceptedUs - entry.sentUs)
            .max()
            .getAsLong();
    assertWithMessage(
            never
                + " never accepted of "
                + play.checker.entries.size()
                + ", most "
                + most
                + " held up")
        .that(held.isEmpty() && never == 0)
        .isTrue();
  }

  @ParameterizedTest
  @ValueSource(longs = {711, 712, 713, 714})
  void aDiskThatIsSurelyGoneIsReplacedBeforeTheNewLeaderHasSettled(long seed) {
    var play = new Scenario(seed).up();
    play.load(8 * SECOND);
    play.run(2 * SECOND);
    play.powerLost = true;
    var wiped = play.world.hosts("storage").get((int) seed % 3);
    var gone = wiped.storage().id();
    List.of("control", "storage", "edge")
        .forEach(
            role ->
                play.world
                    .hosts(role)
                    .forEach(
                        host -> {
                          if (host == wiped) {
                            play.world.wipe(host, SECOND);
                          } else {
                            play.world.powerOff(host, SECOND);
                          }
                        }));
    while (play.world.leader().isEmpty()) {
      play.run(10_000);
    }
    play.run(SECOND);
    var lines = play.world.leader().orElseThrow().control().partitions().values();
    assertWithMessage("lines with the lost disk")
        .that(lines.stream().filter(line -> line.has(gone)).count())
        .isEqualTo(0);
    play.run(8 * SECOND);
    play.settle();
  }
}
