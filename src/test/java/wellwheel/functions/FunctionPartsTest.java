package wellwheel.functions;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wellwheel.cluster.ClusterView;

class FunctionPartsTest {
  private static List<ClusterView.Member> members(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            number ->
                new ClusterView.Member(
                    "edge-" + number + "#1", "edge", "10.0.0." + number, "z" + number % 3))
        .toList();
  }

  @Test
  void aLeaverMovesOnlyWhatItOwned() {
    var all = new OwnerTable(1, members(30), Map.of());
    var fewer = new OwnerTable(2, members(29), Map.of());
    var owned = new HashMap<String, Integer>();
    for (var number = 0; number < 3000; number++) {
      var service = "f" + number;
      var before = all.ownerOf(service, "z0", number, ip -> true);
      var after = fewer.ownerOf(service, "z0", number, ip -> true);
      owned.merge(before, 1, Integer::sum);
      if (!before.equals("10.0.0.29")) {
        assertThat(after).isEqualTo(before);
      }
    }
    owned
        .values()
        .forEach(count -> assertThat(count).isIn(com.google.common.collect.Range.closed(50, 160)));
  }

  @Test
  void aHotFunctionIsOwnedInTheZoneOfTheCallerUnlessNobodyThereCanBeReached() {
    var table = OwnerTable.read(new OwnerTable(7, members(9), Map.of("hot", 2)).toFrame());
    assertThat(table.version()).isEqualTo(7);
    for (var turn = 0; turn < 20; turn++) {
      var ip = table.ownerOf("hot", "z1", turn, each -> true);
      assertThat(ip).isIn(List.of("10.0.0.1", "10.0.0.4", "10.0.0.7"));
    }
    var far = table.ownerOf("hot", "z1", 0, ip -> ip.equals("10.0.0.0"));
    assertThat(far).isEqualTo("10.0.0.0");
    assertThat(table.ownerOf("hot", "z1", 0, ip -> false)).isEmpty();
  }

  @Test
  void retriesOfAllNodesTogetherStayWithinTheBudget() {
    var random = new Random(4);
    var nodes = 12;
    var budgets =
        IntStream.range(0, nodes).mapToObj(node -> new RetryBudget(10_000_000, 0.2, 30)).toList();
    var taken = 0;
    var calls = 0;
    for (var step = 0; step < 5000; step++) {
      var budget = budgets.get(random.nextInt(nodes));
      budget.called(step * 1_900L);
      calls++;
      taken += budget.take(step * 1_900L, nodes) ? 1 : 0;
    }
    assertThat(taken).isAtMost((int) (0.2 * calls + 30));
    assertThat(taken).isAtLeast((int) (0.2 * calls));
  }

  /** Guards against retries that are forgotten while a part of their second is in the window. */
  @Test
  void noWindowSeesTheBudgetTwice() {
    var budget = new RetryBudget(10_000_000, 0.2, 30);
    var early = takeAll(budget, 990_000);
    var late = takeAll(budget, 10_010_000);
    assertThat(early).isEqualTo(30);
    assertThat(late).isEqualTo(0);
    assertThat(takeAll(budget, 12_000_000)).isEqualTo(30);
  }

  private static int takeAll(RetryBudget budget, long nowUs) {
    var taken = 0;
    while (budget.take(nowUs, 1)) {
      taken++;
    }
    return taken;
  }

  @Test
  void onePieceOfWorkGetsOneInstanceAndNoneStaysForNobody() {
    var shape = new ScalingPolicy.Shape(1, 300_000);
    assertThat(ScalingPolicy.wanted(new ScalingPolicy.Demand(1, 0, 0, 0), shape, 0)).isEqualTo(1);
    assertThat(ScalingPolicy.wanted(new ScalingPolicy.Demand(0, 0, 0, 0), shape, 3)).isEqualTo(0);
    assertThat(ScalingPolicy.steady(new ScalingPolicy.Demand(0, 0, 0.1, 100_000), shape))
        .isEqualTo(0);
  }

  @Test
  void aSteadyFlowGetsItsSlotsAndSomeMore() {
    var shape = new ScalingPolicy.Shape(4, 450_000);
    var demand = new ScalingPolicy.Demand(0, 20, 200, 110_000);
    assertThat(ScalingPolicy.steady(demand, shape)).isIn(List.of(6, 7, 8));
    var backlog = new ScalingPolicy.Demand(60, 20, 200, 110_000);
    assertThat(ScalingPolicy.wanted(backlog, shape, 6))
        .isGreaterThan(ScalingPolicy.steady(demand, shape));
    assertThat(ScalingPolicy.wanted(backlog, shape, 6)).isAtMost(20);
  }

  @Test
  void startsAndStopsStayUnderTheRate() {
    var rate = new StartRate(50);
    var taken = 0;
    for (var us = 0L; us < 4_000_000; us += 1_000) {
      taken += rate.take(us) ? 1 : 0;
    }
    assertThat(taken).isAtMost(4 * 50);
    assertThat(taken).isAtLeast(4 * 35);
  }

  @Test
  void aWorkerWithoutRoomIsPassedOverAndTheZoneGoesFirst() {
    var workers = new Workers();
    workers.list(
        List.of(
            new Platform.Worker("near", "z1", 300, true),
            new Platform.Worker("far", "z2", 4000, true),
            new Platform.Worker("leaving", "z1", 9000, false)));
    assertThat(workers.pick(256, "z1").map(Platform.Worker::name)).isEqualTo(Optional.of("near"));
    assertThat(workers.pick(256, "z1").map(Platform.Worker::name)).isEqualTo(Optional.of("far"));
    workers.refused("far");
    assertThat(workers.pick(256, "z1")).isEqualTo(Optional.empty());
  }

  @Test
  void fieldsOfAConnectionAndKeysStayBehind() {
    var kept =
        HeaderFields.ofRequest(
            List.of(
                "Host",
                "h",
                "Connection",
                "close, X-Hop",
                "X-Hop",
                "1",
                "X-Own",
                "2",
                "Authorization",
                "Bearer k",
                "customer",
                "someone",
                "Time-Left-Ms",
                "9",
                "Attempt-Id",
                "a",
                "Content-Length",
                "3"));
    assertThat(kept).containsExactly("Host", "h", "X-Own", "2", "Attempt-Id", "a").inOrder();
    assertThat(HeaderFields.ofAnswer(List.of("Server-Seal", "s", "Keep-Alive", "timeout=4")))
        .containsExactly("Server-Seal", "s");
  }
}
