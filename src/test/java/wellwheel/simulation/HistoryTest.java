package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.ResultCode;

class HistoryTest {
  private static final long SECOND = Scenario.SECOND;

  private static Scenario play(long seed) {
    var play = new Scenario(seed);
    play.world.withHistory();
    return play.up();
  }

  private static JsonObject read(Scenario play) {
    for (var wait = 0; wait < 20 && play.world.leader().isEmpty(); wait++) {
      play.run(SECOND / 2);
    }
    var found = new ArrayList<JsonObject>();
    var nowUs = play.world.nowUs() + 1_700_000_000_000_000L;
    play.world
        .leader()
        .orElseThrow()
        .control()
        .history(
            nowUs - 3_600 * SECOND,
            nowUs + 3_600 * SECOND,
            reply -> {
              assertThat(reply.code()).isEqualTo(ResultCode.FINE);
              found.add(
                  JsonParser.parseString(new String(reply.body(), StandardCharsets.UTF_8))
                      .getAsJsonObject());
            });
    play.run(4 * SECOND);
    assertThat(found).hasSize(1);
    return found.get(0);
  }

  private static long sum(JsonObject history, String service, String field) {
    var total = 0L;
    for (var each : history.getAsJsonArray("Rows")) {
      total +=
          each.getAsJsonObject().get("Service").getAsString().equals(service)
              ? each.getAsJsonObject().get(field).getAsLong()
              : 0;
    }
    return total;
  }

  private static long accepted(Scenario play, String service) {
    return play.checker.entries.values().stream()
        .filter(entry -> entry.service.equals(service) && entry.acceptedUs < Long.MAX_VALUE)
        .count();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void everyMessageIsCountedOnceWhateverIsAsked(long seed) {
    var play = play(seed);
    play.load(10 * SECOND);
    play.run(13 * SECOND);
    for (var hit = 0; hit < 200; hit++) {
      play.handIn(play.anyEdge(), "quote", "", "hot", "hot-key", 0);
    }
    play.run(8 * SECOND);
    var first = read(play);
    var again = read(play);
    for (var service : List.of("quote", "book", "carrier", "notice")) {
      assertThat(sum(first, service, "Offered")).isEqualTo(accepted(play, service));
      assertThat(sum(again, service, "Offered")).isEqualTo(accepted(play, service));
      assertThat(sum(first, service, "Started")).isEqualTo(accepted(play, service));
      assertThat(sum(first, service, "Finished") + sum(first, service, "Failed"))
          .isEqualTo(accepted(play, service));
      assertThat(sum(first, service, "SlotUs")).isGreaterThan(0L);
    }
    assertThat(sum(first, "quote", "Refused"))
        .isEqualTo(
            play.checker.entries.values().stream().filter(entry -> entry.promisedNotToRun).count());
    assertThat(sum(first, "quote", "Refused")).isAtLeast(5L);
    assertThat(first.getAsJsonArray("Silent")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {3, 4})
  void movedLinesAndALostDiskNeitherDoubleNorLoseCounts(long seed) {
    var play = play(seed);
    play.load(20 * SECOND);
    play.run(8 * SECOND);
    var before = read(play);
    play.world.wipe(play.world.hosts("storage").get(1), SECOND);
    play.run(25 * SECOND);
    var after = read(play);
    for (var service : List.of("quote", "book", "notice")) {
      assertThat(sum(after, service, "Offered")).isAtLeast(sum(before, service, "Offered"));
      assertThat(sum(after, service, "Offered")).isAtMost(accepted(play, service) + 6);
      assertThat(sum(after, service, "Offered")).isAtLeast(accepted(play, service) * 85 / 100);
      assertThat(sum(after, service, "Started")).isAtMost(accepted(play, service) + 2);
    }
    var covered =
        after.getAsJsonArray("Intervals").asList().stream()
            .map(each -> each.getAsJsonObject().get("Coverage").getAsDouble())
            .filter(share -> share < 0.95)
            .toList();
    assertThat(covered).isNotEmpty();
  }

  @Test
  void aNodeThatIsAwayIsNamedAndCountedOnItsReturn() {
    var play = play(5);
    play.load(8 * SECOND);
    play.run(12 * SECOND);
    var whole = read(play);
    var away = play.world.hosts("storage").get(2);
    play.world.freeze(away, 700_000);
    var soon = read(play);
    assertThat(soon.getAsJsonArray("Silent")).isEmpty();
    assertThat(sum(soon, "notice", "Offered")).isEqualTo(sum(whole, "notice", "Offered"));
    play.world.cutOff(away, 4 * SECOND);
    var without = read(play);
    assertThat(sum(without, "notice", "Offered")).isEqualTo(sum(whole, "notice", "Offered"));
    play.run(6 * SECOND);
    assertThat(sum(read(play), "notice", "Offered")).isEqualTo(sum(whole, "notice", "Offered"));
  }

  @Test
  void aRangeThatIsNoneIsRefused() {
    var play = play(6);
    var codes = new ArrayList<ResultCode>();
    play.world.leader().orElseThrow().control().history(5, 5, reply -> codes.add(reply.code()));
    play.world
        .leader()
        .orElseThrow()
        .control()
        .history(0, 500L * 86_400_000_000L, reply -> codes.add(reply.code()));
    assertThat(codes).containsExactly(ResultCode.BAD_RANGE, ResultCode.BAD_RANGE);
  }
}
