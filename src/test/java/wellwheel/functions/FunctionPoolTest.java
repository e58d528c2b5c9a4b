package wellwheel.functions;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import wellwheel.runtime.EventQueue;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;
import wellwheel.transport.PooledHttpClient;
import wellwheel.transport.PooledHttpClient.Fate;

class FunctionPoolTest {
  private record Sent(String instance, FunctionCall call, Consumer<PooledHttpClient.Answer> done) {}

  private final EventQueue time = new EventQueue();
  private final List<Sent> sent = new ArrayList<>();
  private final List<String> ends = new ArrayList<>();
  private final List<CallCheck> checks = new ArrayList<>();
  private long delayUs;
  private int budget = 100;
  private boolean leaves;

  private final FunctionPool pool =
      new FunctionPool(
          "f",
          time.clock(() -> true),
          new InstanceClient() {
            @Override
            public void send(
                String address,
                String instanceId,
                FunctionCall call,
                int connections,
                Consumer<PooledHttpClient.Answer> done) {
              sent.add(new Sent(instanceId, call, done));
            }

            @Override
            public void forget(String address) {}
          },
          new FunctionPool.Host() {
            @Override
            public boolean retry() {
              return budget-- > 0;
            }

            @Override
            public boolean leaves() {
              return leaves;
            }

            @Override
            public void report() {}

            @Override
            public void check(String frontIp, CallCheck check) {
              checks.add(check);
            }

            @Override
            public void run(Runnable task) {
              task.run();
            }
          });

  private static Frame instance(String id, boolean proven) {
    return new Frame().with("i", id).with("a", id + ":80").with("y", proven);
  }

  private static FunctionPool.CallKey key(String id) {
    return new FunctionPool.CallKey("10.0.0.7", id.hashCode());
  }

  private void submit(String id, int rank, boolean repeatable, int tries, long leftUs) {
    var call =
        new FunctionCall(
            "f",
            id,
            "POST",
            "/x",
            List.of(),
            new byte[0],
            rank,
            repeatable,
            tries,
            false,
            leftUs,
            1);
    pool.submit(key(id), call, time.nowUs - delayUs, outcome -> ends.add(id + " " + text(outcome)));
  }

  private void submit(String id) {
    submit(id, 1, false, 1, 5_000_000);
  }

  private static String text(CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Moved) {
      return "moved";
    }
    if (outcome instanceof CallOutcome.Tried tried) {
      return tried.mayHaveRun() ? "tried, may have run" : "tried";
    }
    return outcome instanceof CallOutcome.Answered answered
        ? Integer.toString(answered.answer().status())
        : ((CallOutcome.Ended) outcome).code().name();
  }

  private void answer(int index, int status, String... headers) {
    var map = new java.util.HashMap<String, String>();
    for (var i = 0; i + 1 < headers.length; i += 2) {
      map.put(headers[i], headers[i + 1]);
    }
    sent.get(index)
        .done()
        .accept(
            new PooledHttpClient.Answer(Fate.ANSWERED, status, map, new byte[0], List.of(headers)));
  }

  private void ends(int index, Fate fate) {
    sent.get(index)
        .done()
        .accept(new PooledHttpClient.Answer(fate, 0, Map.of(), new byte[0], List.of()));
  }

  @Test
  void noInstanceGetsMoreCallsThanSlots() {
    pool.bounds(2, 10);
    pool.assign(List.of(instance("a", true), instance("b", true)));
    for (var number = 0; number < 6; number++) {
      submit("c" + number);
    }
    assertThat(sent.stream().map(Sent::instance).toList()).containsExactly("a", "b", "a", "b");
    answer(0, 200);
    assertThat(sent).hasSize(5);
    assertThat(sent.get(4).instance()).isEqualTo("a");
    assertThat(ends).containsExactly("c0 200");
  }

  @Test
  void anInstanceThatHasNotAnsweredGetsOneCallAtATime() {
    pool.bounds(4, 10);
    pool.assign(List.of(instance("a", false)));
    submit("c0");
    submit("c1");
    assertThat(sent).hasSize(1);
    answer(0, 200);
    assertThat(sent).hasSize(2);
  }

  @Test
  void theMoreUrgentGoFirst() {
    pool.bounds(1, 10);
    submit("late", 2, true, 2, 5_000_000);
    submit("urgent", 0, true, 2, 5_000_000);
    pool.assign(List.of(instance("a", true)));
    assertThat(sent.get(0).call().attemptId()).isEqualTo("urgent");
  }

  @Test
  void anUnsafeCallThatMayHaveRunIsNeverSentAgain() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true), instance("b", true)));
    submit("once", 1, false, 5, 5_000_000);
    ends(0, Fate.UNKNOWN);
    time.runFor(1_000_000);
    assertThat(sent).hasSize(1);
    assertThat(ends).containsExactly("once " + ResultCode.RUN_UNKNOWN);
  }

  /** Guards against an owner that tries more instances than the call may be sent to. */
  @Test
  void anOwnerSendsACallToOneInstanceAndLeavesTheNextTryToTheFront() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true), instance("b", true)));
    submit("again", 1, true, 2, 5_000_000);
    ends(0, Fate.UNKNOWN);
    assertThat(sent).hasSize(1);
    assertThat(ends).containsExactly("again tried, may have run");
    submit("again", 1, true, 1, 5_000_000);
    assertThat(sent).hasSize(2);
    ends(1, Fate.UNKNOWN);
    assertThat(ends).containsExactly("again tried, may have run", "again RUN_UNKNOWN").inOrder();
  }

  @Test
  void aFurtherTryNeedsTheBudget() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true), instance("b", true)));
    budget = 1;
    submit("first", 1, true, 2, 5_000_000);
    submit("second", 1, true, 2, 5_000_000);
    ends(0, Fate.UNKNOWN);
    answer(1, 503, "not-run", "1");
    assertThat(ends).containsExactly("first tried, may have run", "second NO_INSTANCE");
    assertThat(sent).hasSize(2);
  }

  @Test
  void aCallIsOpenUntilItsOutcome() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true)));
    submit("runs");
    submit("waits");
    assertThat(pool.isOpen(key("runs"))).isTrue();
    assertThat(pool.isOpen(key("waits"))).isTrue();
    answer(0, 200);
    assertThat(pool.isOpen(key("runs"))).isFalse();
    pool.withdraw(key("waits"));
    answer(1, 200);
    assertThat(pool.isOpen(key("waits"))).isFalse();
  }

  @Test
  void aRefusalThatSaysNotRunIsAPromiseToTheClient() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true)));
    submit("full", 1, false, 1, 5_000_000);
    answer(0, 503, "not-run", "1");
    assertThat(ends).containsExactly("full " + ResultCode.NO_INSTANCE);
  }

  @Test
  void aStartingInstanceIsTriedAgainAndCostsNoTry() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", false)));
    submit("waits", 1, false, 1, 5_000_000);
    for (var time = 0; time < 5; time++) {
      ends(sent.size() - 1, Fate.NOT_SENT);
      this.time.runFor(30_000);
    }
    assertThat(sent).hasSize(6);
    answer(5, 200);
    assertThat(ends).containsExactly("waits 200");
  }

  @Test
  void anInstanceThatWasTakenAwayGetsNoMoreCalls() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true)));
    submit("runs");
    pool.assign(List.of());
    submit("waits");
    answer(0, 200);
    assertThat(sent).hasSize(1);
    pool.assign(List.of(instance("b", true)));
    assertThat(sent.get(1).instance()).isEqualTo("b");
  }

  @Test
  void whatCannotBeSentInItsTimeIsRefusedAsNotRun() {
    submit("late", 1, false, 1, 300_000);
    time.runFor(1_000_000);
    assertThat(ends).containsExactly("late " + ResultCode.NO_INSTANCE);
  }

  @Test
  void aNodeThatLeavesHandsBackWhatItCannotSend() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true)));
    submit("runs");
    submit("waits");
    leaves = true;
    pool.pump();
    assertThat(ends).containsExactly("waits moved");
    answer(0, 200);
    assertThat(ends).containsExactly("waits moved", "runs 200");
  }

  /** Guards against a refusal of a call that runs, when its front stops. */
  @Test
  void onlyACallThatWaitsCanBeWithdrawn() {
    pool.bounds(1, 10);
    pool.assign(List.of(instance("a", true)));
    submit("runs");
    submit("waits");
    pool.withdraw(key("runs"));
    pool.withdraw(key("waits"));
    pool.withdraw(key("unknown"));
    assertThat(ends).containsExactly("waits NO_INSTANCE");
    answer(0, 200);
    assertThat(ends).containsExactly("waits NO_INSTANCE", "runs 200").inOrder();
    assertThat(sent).hasSize(1);
  }

  private void confirm(List<String> wanted, List<String> unwanted) {
    pool.confirm(
        "10.0.0.7",
        new CallCheck.Answer(
            "f",
            wanted.stream().map(id -> key(id).number()).toList(),
            unwanted.stream().map(id -> key(id).number()).toList()),
        time.nowUs);
  }

  private static CallCheck check(String... ids) {
    return new CallCheck("f", Arrays.stream(ids).map(id -> key(id).number()).toList());
  }

  private List<String> begun() {
    return sent.stream().map(each -> each.call().attemptId()).toList();
  }

  /** Guards against calls that begin though their front has long gone on without this owner. */
  @Test
  void aCallThatWasHeldOnItsWayBeginsOnlyIfItsFrontStillWantsIt() {
    pool.bounds(4, 10);
    pool.assign(List.of(instance("a", true)));
    delayUs = 600_000;
    submit("wanted");
    submit("unwanted");
    delayUs = 0;
    submit("prompt");
    assertThat(begun()).containsExactly("prompt");
    assertThat(checks).containsExactly(check("wanted"), check("unwanted"));
    confirm(List.of("wanted"), List.of("unwanted"));
    assertThat(begun()).containsExactly("prompt", "wanted").inOrder();
    assertThat(ends).containsExactly("unwanted " + ResultCode.NO_INSTANCE);
  }

  @Test
  void aCallThatHasWaitedLongForAnInstanceIsCheckedBeforeItBegins() {
    pool.bounds(4, 10);
    submit("first");
    submit("second");
    time.runFor(700_000);
    assertThat(checks).isEmpty();
    pool.assign(List.of(instance("a", true)));
    assertThat(checks).containsExactly(check("first", "second"));
    confirm(List.of("first", "second"), List.of());
    assertThat(begun()).containsExactly("first", "second").inOrder();
  }

  @Test
  void aFrontThatSaysNothingIsAskedAgainUntilTheCallIsOutOfTime() {
    pool.bounds(4, 10);
    pool.assign(List.of(instance("a", true)));
    delayUs = 600_000;
    submit("held", 1, true, 2, 2_000_000);
    time.runFor(1_900_000);
    assertThat(checks.size()).isAtLeast(7);
    assertThat(ends).isEmpty();
    time.runFor(500_000);
    assertThat(begun()).isEmpty();
    assertThat(ends).containsExactly("held " + ResultCode.NO_INSTANCE);
  }

  @Test
  void aWordOfLongAgoConfirmsNothing() {
    pool.bounds(4, 10);
    pool.assign(List.of(instance("a", true)));
    delayUs = 600_000;
    submit("held");
    pool.confirm(
        "10.0.0.7",
        new CallCheck.Answer("f", List.of(key("held").number()), List.of()),
        time.nowUs - 600_000);
    assertThat(begun()).isEmpty();
  }
}
