package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.ResultCode;

class RolloutTest {
  private static final long SECOND = Scenario.SECOND;
  private static final String POLICY =
      "{\"Steps\":[5,25,50,100],\"LegsPerStep\":5,\"SecondsPerStep\":0.5,\"Tolerance\":0.1,\"LeastErrors\":3,\"Current\":\"v1\"}";

  private static List<ResultCode> order(
      Scenario play, String call, String service, Optional<Long> base, String body) {
    var codes = new ArrayList<ResultCode>();
    play.world
        .leader()
        .orElseThrow()
        .control()
        .rollout(
            call,
            service,
            base,
            body.getBytes(StandardCharsets.UTF_8),
            reply -> codes.add(reply.code()));
    play.run(SECOND / 5);
    return codes;
  }

  private static String state(Scenario play, String service) {
    for (var wait = 0; wait < 20 && play.world.leader().isEmpty(); wait++) {
      play.run(SECOND / 2);
    }
    return new String(
        play.world.leader().orElseThrow().control().shiftState(service).body(),
        StandardCharsets.UTF_8);
  }

  private static void released(Scenario play, List<String> services, String how) {
    services.forEach(
        service ->
            assertThat(order(play, "Set", service, Optional.empty(), POLICY))
                .containsExactly(ResultCode.FINE));
    play.checker.newHow = how;
    play.checker.newListed = true;
    play.newWorkers = true;
  }

  @ParameterizedTest
  @CsvSource({"1,fails", "2,silent", "3,fails", "4,refuses-to-say", "5,silent", "6,fails"})
  void faultyVersionIsLeftByItselfAndEveryMessageComesBackIntact(long seed, String how) {
    var play = new Scenario(seed);
    play.trouble(
        16 * SECOND,
        each -> {
          released(each, List.of("book", "notice", "quote"), how);
          each.run(2 * SECOND);
          switch ((int) seed % 4) {
            case 0 -> each.world.kill(each.world.hosts("storage").get(1));
            case 1 -> each.world.leader().ifPresent(each.world::kill);
            case 2 -> each.world.cutOff(each.world.hosts("storage").get(2), 2 * SECOND);
            default -> {}
          }
          each.run(12 * SECOND);
          for (var service : List.of("book", "notice", "quote")) {
            assertWithMessage(service).that(state(each, service)).contains("\"Reverted\":[\"v2\"]");
          }
          each.checker.newAfterRevert = 0;
          each.checker.countNew = true;
        });
    assertThat(play.checker.newAfterRevert).isEqualTo(0);
    assertThat(play.checker.twiceOnNew).isEmpty();
    play.checker.entries.values().stream()
        .filter(entry -> entry.acceptedUs < Long.MAX_VALUE && entry.successes == 0)
        .forEach(entry -> assertWithMessage(entry.id).that(entry.fails).isAtLeast(4));
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void goodVersionReachesAllNodesThroughAChangeOfLeader(long seed) {
    var play = new Scenario(seed);
    play.trouble(
        30 * SECOND,
        each -> {
          released(each, List.of("book", "notice", "quote"), "well");
          each.run(3 * SECOND);
          each.world.leader().ifPresent(each.world::kill);
          each.run(20 * SECOND);
          for (var service : List.of("book", "notice", "quote")) {
            assertThat(state(each, service)).contains("\"Phase\":\"idle\",\"Current\":\"v2\"");
          }
        });
    assertThat(play.checker.newLegs).isGreaterThan(100);
  }

  @Test
  void ordersThatDoNotFitAreRefusedWhole() {
    var play = new Scenario(21).up();
    assertThat(order(play, "Set", "nobody", Optional.empty(), POLICY))
        .containsExactly(ResultCode.NO_SERVICE);
    assertThat(order(play, "Start", "book", Optional.empty(), "v2"))
        .containsExactly(ResultCode.NO_SERVICE);
    for (var bad :
        List.of(
            "{",
            "{}",
            "[]",
            POLICY.replace("[5,25", "[25,5"),
            POLICY.replace("100]", "101]"),
            POLICY.replace("100]", "99]"),
            POLICY.replace(":0.1", ":1.5"),
            POLICY.replace(":0.1", ":-1"),
            POLICY.replace("[5,", "[0.5,"))) {
      assertWithMessage(bad)
          .that(order(play, "Set", "book", Optional.empty(), bad))
          .containsExactly(ResultCode.BAD_POLICY);
    }
    assertThat(order(play, "Set", "book", Optional.of(0L), POLICY))
        .containsExactly(ResultCode.FINE);
    assertThat(order(play, "Set", "book", Optional.of(0L), POLICY))
        .containsExactly(ResultCode.OTHER_BASE);
    assertThat(order(play, "Hold", "book", Optional.empty(), ""))
        .containsExactly(ResultCode.OTHER_SHIFT);
    assertThat(order(play, "Start", "book", Optional.empty(), "v1"))
        .containsExactly(ResultCode.BAD_POLICY);
    assertThat(order(play, "Start", "book", Optional.empty(), "v7"))
        .containsExactly(ResultCode.FINE);
    assertThat(order(play, "Start", "book", Optional.empty(), "v8"))
        .containsExactly(ResultCode.OTHER_SHIFT);
    assertThat(order(play, "Set", "book", Optional.empty(), POLICY))
        .containsExactly(ResultCode.OTHER_SHIFT);
    assertThat(order(play, "Hold", "book", Optional.empty(), "")).containsExactly(ResultCode.FINE);
    play.world.hosts("control").forEach(host -> play.world.powerOff(host, SECOND));
    play.run(5 * SECOND);
    assertThat(state(play, "book"))
        .contains("\"Phase\":\"held\",\"Current\":\"v1\",\"Next\":\"v7\"");
    assertThat(order(play, "Revert", "book", Optional.empty(), ""))
        .containsExactly(ResultCode.FINE);
    assertThat(state(play, "book")).contains("\"Reverted\":[\"v7\"]");
  }
}
