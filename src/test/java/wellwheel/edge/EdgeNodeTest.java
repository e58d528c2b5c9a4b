package wellwheel.edge;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wellwheel.cluster.ClusterView;
import wellwheel.config.NodeOptions;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.runtime.ManualClock;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;

class EdgeNodeTest {
  private static final String CONTROL = "10.0.0.1";
  private static final String STORAGE = "10.0.0.2";
  private static final String OTHER = "10.0.0.3";
  private static final String CONFIG =
      "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"h\",\"PathStart\":\"/\",\"Type\":\"background\",\"GiveUpMs\":500,\"TargetMs\":100,\"Rank\":1,"
          + "\"Backend\":\"s\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":90,\"StartTargetMs\":500,\"Public\":false}],\"Backends\":[{\"Name\":\"s\",\"MaxConns\":4,\"RatePerS\":0.0,\"DropsRepeats\":false,"
          + "\"WorkerPull\":true,\"Endpoint\":null}],\"Customers\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"],\"RatePerS\":90,\"Burst\":90}]}";

  private record Sent(String ip, Frame frame) {}

  private final List<Sent> sent = new ArrayList<>();
  private final ManualClock clock = new ManualClock();

  private static final class Client implements Exchange {
    private final String method;
    private final String target;
    private final Map<String, String> headers;
    private final List<Answer> answers = new ArrayList<>();

    Client(String method, String target, Map<String, String> headers) {
      this.method = method;
      this.target = target;
      this.headers = headers;
    }

    @Override
    public String method() {
      return method;
    }

    @Override
    public String target() {
      return target;
    }

    @Override
    public Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name));
    }

    @Override
    public byte[] body() {
      return new byte[0];
    }

    @Override
    public void answer(Answer answer) {
      answers.add(answer);
    }

    @Override
    public boolean open() {
      return answers.isEmpty();
    }

    @Override
    public void onClose(Runnable task) {}

    List<Integer> statuses() {
      return answers.stream().map(each -> each.code().status()).toList();
    }
  }

  private EdgeNode edge(long incarnation) throws Exception {
    var options =
        NodeOptions.read(
            "{\"NodeName\":\"me\",\"Ip\":\"10.0.0.9\",\"Zone\":\"z\",\"ListenOn\":{},\"InternalPorts\":[7100,7115],\"SeedNodes\":[\""
                + CONTROL
                + ":1\"],\"FirstBoot\":true,\"Survive\":{\"Machines\":1}}");
    var node =
        new EdgeNode(
            options,
            clock,
            (ip, frame) -> sent.add(new Sent(ip, Frame.unpack(frame.pack()))),
            incarnation);
    node.tick();
    var members =
        List.of(
            new ClusterView.Member("k#1", "storage", STORAGE, "z"),
            new ClusterView.Member("o#1", "storage", OTHER, "z"));
    var partitions =
        List.of(
            new ClusterView.Partition(0, 1, List.of("k#1", "o#1"), "", 2, 1).frame(),
            new ClusterView.Partition(1, 1, List.of("o#1", "k#1"), "", 2, 1).frame());
    var frame =
        Frame.of("claim.ok")
            .with("sent", clock.nowUs)
            .with("core", clock.nowUs)
            .with("voters", List.<Object>of(CONTROL))
            .with("rev", 1)
            .with("config", CONFIG.getBytes(StandardCharsets.UTF_8))
            .with("mem", 1)
            .with("members", members.stream().map(ClusterView.Member::frame).toList())
            .with("lines", partitions);
    node.onFrame(CONTROL, Frame.unpack(frame.pack()));
    return node;
  }

  private Client get(EdgeNode node, String name) {
    var client =
        new Client("GET", "/message/" + name, Map.of("Host", "h", "Authorization", "Bearer k"));
    node.onExchange(client);
    return client;
  }

  private Client handIn(EdgeNode node, String id) {
    var client =
        new Client(
            "POST", "/x", Map.of("Host", "h", "Authorization", "Bearer k", "Attempt-Id", id));
    node.onExchange(client);
    return client;
  }

  private static final String KEY =
      IntStream.range(0, 10_000)
          .mapToObj(number -> "key-" + number)
          .filter(key -> IdempotencyKey.homePartition("t", key) == 0)
          .findFirst()
          .orElseThrow();

  private Client keyed(EdgeNode node, String id, String key) {
    var headers =
        Map.of("Host", "h", "Authorization", "Bearer k", "Attempt-Id", id, "Operation-Key", key);
    var client = new Client("POST", "/x", headers);
    node.onExchange(client);
    return client;
  }

  private void answer(EdgeNode node, Sent put, String result, String keptId) {
    var answer =
        Frame.of("put.ok")
            .with("rid", put.frame().number("rid"))
            .with("r", result)
            .with("l", 7)
            .with("i", keptId);
    node.onFrame(put.ip(), answer);
  }

  @Test
  void aRepeatIsToldTheNameOfTheFirstTryAndDoesNotCountAgainstTheLimit() throws Exception {
    var node = edge(1);
    for (var number = 0; number < 150; number++) {
      var client = keyed(node, "try-" + number, KEY);
      var put = asked("put").get(number);
      assertThat(put.frame().number("l")).isEqualTo(0);
      answer(node, put, "kept", "first");
      assertThat(client.statuses()).containsExactly(202);
      assertThat(client.answers.get(0).headers()).containsExactly("Message-Name", "7-first");
    }
  }

  @Test
  void runsCountAgainstTheLimit() throws Exception {
    var node = edge(1);
    var refused = 0;
    for (var number = 0; number < 150; number++) {
      var client = keyed(node, "try-" + number, KEY);
      if (client.statuses().equals(List.of(429))) {
        refused++;
      } else {
        answer(node, asked("put").get(number - refused), "kept", "try-" + number);
      }
    }
    assertThat(refused).isGreaterThan(30);
  }

  @Test
  void anotherRequestUnderAKeyIsRefusedForGood() throws Exception {
    var node = edge(1);
    var client = keyed(node, "m1", KEY);
    answer(node, asked("put").get(0), "reused", "");
    assertThat(client.statuses()).containsExactly(409);
  }

  @Test
  void aKeyThatCannotBeServedReservesNothing() throws Exception {
    var node = edge(1);
    for (var bad : List.of("", "two words", "k".repeat(257))) {
      assertThat(keyed(node, "m1", bad).statuses()).containsExactly(400);
    }
    assertThat(asked("put")).isEmpty();
  }

  @Test
  void theWaitIsBoundedFromArrivalAndNotDispatchedMeansRefused() throws Exception {
    var node = edge(1);
    var dispatched = keyed(node, "m1", KEY);
    var homeless =
        IntStream.range(0, 10_000)
            .mapToObj(number -> "key-" + number)
            .filter(key -> IdempotencyKey.homePartition("t", key) == 5)
            .findFirst()
            .orElseThrow();
    var undispatched = keyed(node, "m2", homeless);
    for (var step = 0; step < 30; step++) {
      clock.nowUs += 100_000;
      node.onFrame(
          CONTROL, Frame.of("claim.ok").with("sent", clock.nowUs).with("core", clock.nowUs));
      node.tick();
    }
    assertThat(dispatched.statuses()).containsExactly(504);
    assertThat(undispatched.statuses()).containsExactly(503);
  }

  private List<Sent> asked(String kind) {
    return sent.stream().filter(each -> each.frame().kind().equals(kind)).toList();
  }

  private static Frame missing(long rid) {
    return Frame.of("look.ok").with("rid", rid).with("sure", true);
  }

  @Test
  void aLateAnswerAboutOneLineIsNotTakenForOneAboutAll() throws Exception {
    var node = edge(1);
    var client = get(node, "0-m1");
    var first = asked("look").get(0).frame().number("rid");
    node.onFrame(STORAGE, missing(first));
    var wide = asked("look").get(1).frame().number("rid");
    node.onFrame(STORAGE, missing(first));
    node.onFrame(OTHER, missing(wide));
    assertThat(client.answers).isEmpty();
    node.onFrame(
        STORAGE,
        Frame.of("look.ok")
            .with("rid", wide)
            .with("sure", true)
            .with("found", true)
            .with("authority", true));
    assertThat(client.statuses()).containsExactly(200);
  }

  @Test
  void requestsOfTwoLivesHaveNoNumberInCommon() throws Exception {
    var former = edge(0x1111_2222_3333_4444L);
    handIn(former, "m1");
    var number = asked("put").get(0).frame().number("rid");
    sent.clear();
    var node = edge(0x1111_2222_3333_4445L);
    var client = handIn(node, "m2");
    node.onFrame(STORAGE, Frame.of("put.ok").with("rid", number).with("r", "kept"));
    assertThat(client.answers).isEmpty();
    node.onFrame(
        STORAGE,
        Frame.of("put.ok")
            .with("rid", asked("put").get(0).frame().number("rid"))
            .with("r", "kept"));
    assertThat(client.statuses()).containsExactly(202);
  }

  @Test
  void aHandInThatMayHaveArrivedGoesToNoOtherLineAndIsNotRefused() throws Exception {
    var node = edge(1);
    var client = handIn(node, "m1");
    var first = asked("put").get(0);
    node.onDown(first.ip());
    node.onUnsent(first.ip(), first.frame());
    clock.nowUs += 60_000;
    node.tick();
    node.onFrame(
        first.ip(), Frame.of("put.ok").with("rid", first.frame().number("rid")).with("r", "no"));
    clock.nowUs += 60_000;
    node.tick();
    assertThat(asked("put").stream().map(each -> each.frame().number("l")).distinct().toList())
        .containsExactly(first.frame().number("l"));
    clock.nowUs += 2_100_000;
    node.onFrame(CONTROL, Frame.of("claim.ok").with("sent", clock.nowUs).with("core", clock.nowUs));
    node.tick();
    assertThat(client.statuses()).containsExactly(504);
  }

  @Test
  void aHandInThatSurelyDidNotLeaveGoesToAnotherLine() throws Exception {
    var node = edge(1);
    var client = handIn(node, "m1");
    var first = asked("put").get(0);
    node.onUnsent(first.ip(), first.frame());
    var second = asked("put").get(1);
    assertThat(second.frame().number("l")).isNotEqualTo(first.frame().number("l"));
    node.onFrame(
        second.ip(),
        Frame.of("put.ok").with("rid", second.frame().number("rid")).with("r", "kept"));
    assertThat(client.statuses()).containsExactly(202);
  }

  /** Guards against hand-ins, questions and ends that are cut as the process ends. */
  @Test
  void whatWaitsWhenTheProcessEndsIsAnsweredAndRefusedOnlyIfItWasNeverSent() throws Exception {
    var node = edge(1);
    var sentOn = keyed(node, "sent", KEY);
    node.onDown(STORAGE);
    var waits = keyed(node, "waits", KEY);
    assertThat(asked("put")).hasSize(1);
    var question =
        new Client("GET", "/message/0-m", Map.of("Host", "h", "Authorization", "Bearer k"));
    node.onExchange(question);
    var end = new Client("POST", "/job-end/m", Map.of("Lease", "0.1.1", "Job-Result", "200"));
    node.onExchange(end);
    node.leave();
    assertThat(waits.answers).isEmpty();
    node.refuseWaiting();
    assertThat(waits.statuses()).containsExactly(503);
    assertThat(sentOn.answers).isEmpty();
    node.answerRest();
    assertThat(sentOn.statuses()).containsExactly(504);
    assertThat(question.statuses()).containsExactly(503);
    assertThat(end.statuses()).containsExactly(503);
    assertThat(node.idle()).isTrue();
  }

  private Client pull(EdgeNode node) {
    var client = new Client("POST", "/pull/s", Map.of("Wait-Ms", "9000", "Server-Id", "w"));
    node.onExchange(client);
    return client;
  }

  private static Frame job(Frame demand) {
    return Frame.of("job")
        .with("token", demand.frames("tokens").get(0).number("t"))
        .with("line", 1)
        .with("id", "m1")
        .with("lease", "1.1.1")
        .with("method", "POST")
        .with("target", "/x");
  }

  /** Guards against workers that begin a job whose lease is nearly over, as a link held it. */
  @Test
  void aJobThatWasHeldForMostOfItsLeaseIsGivenBackAndThePullAsksAgain() throws Exception {
    var node = edge(1);
    var worker = pull(node);
    var demand = asked("demand").get(0);
    node.onFrame(demand.ip(), job(demand.frame()).delayedBy(2_900_000));
    assertThat(worker.answers).isEmpty();
    assertThat(asked("giveback").get(0).frame().text("lease")).isEqualTo("1.1.1");
    assertThat(asked("demand")).hasSize(2);
    node.onFrame(demand.ip(), job(demand.frame()).delayedBy(30_000));
    assertThat(worker.statuses()).containsExactly(200);
  }
}
