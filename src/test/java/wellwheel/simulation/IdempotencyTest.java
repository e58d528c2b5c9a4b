package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.ResultCode;

/** Keys are accepted once in the fleet while storage, control and edge nodes fail. */
class IdempotencyTest {
  private static final long SECOND = Scenario.SECOND;

  static LongStream seeds() {
    var span = System.getProperty("receipts.seeds", "1-10").split("-");
    return LongStream.rangeClosed(Long.parseLong(span[0]), Long.parseLong(span[1]));
  }

  private static World.Shape shape(long seed) {
    return seed % 2 == 0 ? World.Shape.four() : World.Shape.three();
  }

  private static void judge(KeyedOperations keyed) {
    assertWithMessage("keys").that(keyed.judge()).isEmpty();
    keyed.play.checker.clean();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void aKeyRunsOnceAndIsAnsweredAlikeUnderAnyAllowedLoss(long seed) {
    var days = new FaultyDays(seed, shape(seed));
    days.play.repeatedEnds = 0.2;
    var keyed = new KeyedOperations(days.play);
    keyed.load(200 * SECOND);
    for (var round = 0; round < 8; round++) {
      days.round();
      killAnEdge(days.play);
    }
    days.stopWork();
    keyed.stop();
    days.play.run(20 * SECOND);
    judge(keyed);
    assertThat(days.copies.faults).isEmpty();
    assertThat(keyed.accepted()).isGreaterThan(keyed.operations.size() / 2L);
    assertThat(keyed.replays).isGreaterThan(20);
    assertThat(keyed.reuseRefused).isGreaterThan(5);
    assertThat(days.play.endsRepeated).isGreaterThan(5);
    assertThat(days.play.endsAltered).isGreaterThan(0);
    everythingAcceptedEnds(keyed);
  }

  private static void killAnEdge(Scenario play) {
    var edges = play.world.upHosts("edge");
    if (play.world.random().nextInt(3) == 0 && edges.size() > 1) {
      play.world.kill(edges.get(play.world.random().nextInt(edges.size())));
    }
  }

  private static void everythingAcceptedEnds(KeyedOperations keyed) {
    var states = keyed.play.states();
    keyed.operations.stream()
        .filter(KeyedOperations.Operation::accepted)
        .forEach(
            operation ->
                assertWithMessage(operation.key)
                    .that(states.getOrDefault(operation.entry.id, "lost"))
                    .containsMatch("finished|failed|waiting"));
  }

  @ParameterizedTest
  @ValueSource(longs = {291, 292, 293, 294})
  void onACalmDayEverythingAcceptedUnderAKeyEndsSoon(long seed) {
    var play = new Scenario(seed, shape(seed)).up();
    play.repeatedEnds = 0.2;
    var keyed = new KeyedOperations(play);
    keyed.load(20 * SECOND);
    play.run(32 * SECOND);
    judge(keyed);
    var open =
        keyed.operations.stream()
            .filter(KeyedOperations.Operation::accepted)
            .filter(operation -> operation.entry.successes == 0 && operation.entry.fails < 4)
            .map(operation -> operation.key + " " + operation.service + " " + operation.names)
            .toList();
    assertThat(open).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {301, 302, 303, 304})
  void keysOutliveAllPowerBeingLost(long seed) {
    var play = new Scenario(seed, shape(seed)).up();
    var keyed = new KeyedOperations(play);
    keyed.load(16 * SECOND);
    play.run(6 * SECOND + play.world.random().nextInt(500_000));
    play.powerLost = true;
    play.world.hosts("storage").forEach(host -> play.world.powerOff(host, SECOND));
    play.world.hosts("control").forEach(host -> play.world.powerOff(host, SECOND));
    play.run(40 * SECOND);
    judge(keyed);
    assertThat(keyed.accepted()).isGreaterThan(keyed.operations.size() / 2L);
    assertThat(keyed.replays).isGreaterThan(20);
    assertThat(keyed.reuseRefused).isGreaterThan(5);
  }

  @ParameterizedTest
  @ValueSource(longs = {311, 312, 313, 314})
  void keysOutliveConfigurationsThatPlaceTheirWorkElsewhere(long seed) {
    var play = new Scenario(seed, shape(seed)).up();
    var keyed = new KeyedOperations(play);
    keyed.orderKeysEverywhere = true;
    keyed.load(20 * SECOND);
    for (var change = 0; change < 8; change++) {
      play.run(2 * SECOND);
      configure(play, change + 2, change % 2 == 0);
    }
    play.run(30 * SECOND);
    judge(keyed);
    assertThat(keyed.accepted()).isGreaterThan(keyed.operations.size() * 3L / 4);
    assertThat(keyed.replays).isGreaterThan(20);
    assertThat(keyed.reuseRefused).isGreaterThan(5);
  }

  /** Quotes come in order, and notices are paced, or neither; the target of a quote moves too. */
  private static void configure(Scenario play, long revision, boolean moved) {
    var plain = HistoryChecker.config(revision, play.key, 4);
    var text = moved ? inOrderAndPaced(plain) : plain;
    var taken = new ArrayList<ResultCode>();
    play.world.configure(
        text.getBytes(StandardCharsets.UTF_8), revision - 1, reply -> taken.add(reply.code()));
    play.run(SECOND / 2);
    assertThat(taken).isEqualTo(List.of(ResultCode.FINE));
  }

  private static String inOrderAndPaced(String plain) {
    var quotes = plain.indexOf("\"Name\":\"r-quote\"");
    var order = plain.indexOf("\"InOrder\":false", quotes);
    var changed =
        plain.substring(0, order)
            + "\"InOrder\":true"
            + plain.substring(order + "\"InOrder\":false".length());
    return changed.replace(
        "{\"Name\":\"notice\",\"MaxConns\":100,\"RatePerS\":0.0",
        "{\"Name\":\"notice\",\"MaxConns\":100,\"RatePerS\":400.0");
  }
}
