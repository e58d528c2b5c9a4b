package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.ResultCode;

class SurviveTest {
  private static final long SECOND = Scenario.SECOND;

  private static Scenario four(long seed) {
    return new Scenario(seed, World.Shape.four());
  }

  private static List<World.Host> drawn(Scenario play, String role, int count) {
    var all = new ArrayList<>(play.world.hosts(role));
    Collections.shuffle(all, play.world.random());
    return all.subList(0, count);
  }

  private static void darken(Scenario play, List<World.Host> wiped) {
    List.of("control", "storage", "edge")
        .forEach(
            role ->
                play.world
                    .hosts(role)
                    .forEach(
                        host -> {
                          if (wiped.contains(host)) {
                            play.world.wipe(host, SECOND);
                          } else {
                            play.world.powerOff(host, SECOND);
                          }
                        }));
  }

  private static void readsBack(Scenario play, String config) {
    assertThat(play.readBack()).isEqualTo(config);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void twoStorageDisksLostWhileAllElseLosesPower(long seed) {
    four(seed)
        .trouble(
            8 * SECOND,
            play -> {
              play.run(2 * SECOND + play.world.random().nextInt(1_000_000));
              play.powerLost = true;
              darken(play, drawn(play, "storage", 2));
            });
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void twoControlDisksLostRightAfterAnAcknowledgement(long seed) {
    var play = four(seed).up();
    var newest = HistoryChecker.config(2, "key-two", 4);
    var lost = drawn(play, "control", 2);
    var taken = new ArrayList<ResultCode>();
    play.world.configure(
        newest.getBytes(StandardCharsets.UTF_8),
        1,
        reply -> {
          taken.add(reply.code());
          darken(play, lost);
        });
    play.run(10 * SECOND);
    assertThat(taken).containsExactly(ResultCode.FINE);
    readsBack(play, newest);
    assertThat(play.world.leader().orElseThrow().control().raft().voters()).hasSize(5);
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22})
  void twoStorageNodesDarkAtOnceStopNothingForLong(long seed) {
    var play =
        four(seed)
            .trouble(
                12 * SECOND,
                each ->
                    drawn(each, "storage", 2)
                        .forEach(host -> each.world.powerOff(host, 4 * SECOND)));
    assertThat(play.accepted()).isGreaterThan(play.checker.entries.size() * 3 / 4);
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void aCoreMachineReplacedByAnEmptyOneElsewhereVotesInItsPlace(long seed) {
    var play = new Scenario(seed, seed % 2 == 0 ? World.Shape.four() : World.Shape.three()).up();
    var count = play.world.hosts("control").size();
    var gone = drawn(play, "control", 1).get(0);
    play.world.remove(gone);
    var fresh = play.world.join("core-9", "control", gone.zone);
    play.run(10 * SECOND);
    var voters = play.world.leader().orElseThrow().control().raft().voters();
    assertThat(voters).hasSize(count);
    assertThat(voters).contains(fresh.ip);
    assertThat(voters).doesNotContain(gone.ip);
    var newest = HistoryChecker.config(2, "key-two", 4);
    play.world.configure(
        newest.getBytes(StandardCharsets.UTF_8),
        1,
        reply -> darken(play, List.of(play.world.leader().orElseThrow())));
    play.run(6 * SECOND);
    readsBack(play, newest);
    var term = play.world.leader().orElseThrow().control().raft().term();
    play.world.comeBack(gone);
    play.run(6 * SECOND);
    assertThat(play.world.leader().orElseThrow().control().raft().term()).isEqualTo(term);
    assertThat(play.world.leader().orElseThrow().control().raft().voters()).doesNotContain(gone.ip);
  }

  @ParameterizedTest
  @ValueSource(longs = {41, 42, 43, 44})
  void frozenAndThawedNodesActOnNothingOld(long seed) {
    new Scenario(seed, seed % 2 == 0 ? World.Shape.four() : World.Shape.three())
        .trouble(
            24 * SECOND,
            play -> {
              for (var round = 0; round < 4; round++) {
                var role = List.of("storage", "control", "storage", "edge").get(round);
                drawn(play, role, 1)
                    .forEach(
                        host ->
                            play.world.freeze(
                                host, SECOND / 2 + play.world.random().nextInt(4_000_000)));
                play.run(6 * SECOND);
              }
            });
  }

  @ParameterizedTest
  @ValueSource(longs = {51, 52, 53})
  void randomFaultsWithTwoLossesToBear(long seed) {
    four(seed)
        .trouble(
            30 * SECOND,
            play -> {
              for (var round = 0; round < 5; round++) {
                var two = drawn(play, "storage", 2);
                switch (play.world.random().nextInt(6)) {
                  case 0 -> two.forEach(play.world::kill);
                  case 1 -> two.forEach(host -> play.world.wipe(host, SECOND / 2));
                  case 2 -> two.forEach(host -> play.world.cutOff(host, 2 * SECOND));
                  case 3 ->
                      two.forEach(
                          host ->
                              play.world.freeze(
                                  host, SECOND + play.world.random().nextInt(2_000_000)));
                  case 4 -> play.world.term(two.get(0));
                  default ->
                      drawn(play, "control", 2).forEach(host -> play.world.wipe(host, SECOND / 2));
                }
                play.run(7 * SECOND);
              }
            });
  }
}
