package wellwheel.queue;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.receipts.ReceiptMessage;
import wellwheel.receipts.RequestDigest;
import wellwheel.transport.Frame;

class StorageNodeTest extends StorageNodeFixture {

  private static final String FOREIGN_KEY =
      IntStream.range(0, 10_000)
          .mapToObj(number -> "key-" + number)
          .filter(key -> IdempotencyKey.homePartition("t", key) != 0)
          .findFirst()
          .orElseThrow();

  private Frame ask(long number) {
    return new ReceiptMessage.OwnershipQuestion(
            0, 9, number, "t", "s", FOREIGN_KEY, new RequestDigest(1, 2))
        .toFrame();
  }

  @Test
  void aPrimaryDeniesAKeyOnlyOnceEveryCopyStillFollowsIt() throws Exception {
    node.onFrame(OTHER, ask(5));
    assertThat(other("receipt.told")).isEmpty();
    var barrier = other("rep").get(0);
    assertThat(barrier.inner("c").kind()).isEqualTo("b");
    node.onFrame(OTHER, Frame.of("ok").with("l", 0).with("s", barrier.number("s")));
    var told = (ReceiptMessage.OwnershipAnswer) ReceiptMessage.read(other("receipt.told").get(0));
    assertThat(told.number()).isEqualTo(5);
    assertThat(told.messageId()).isEmpty();
  }

  @Test
  void aKeyThatComesWhileTheCopiesAreAskedIsNotDenied() {
    node.onFrame(OTHER, ask(5));
    var barrier = other("rep").get(0);
    node.onFrame("10.0.0.9", keyedHandIn("m2"));
    other("rep")
        .forEach(
            each -> node.onFrame(OTHER, Frame.of("ok").with("l", 0).with("s", each.number("s"))));
    assertThat(barrier.inner("c").kind()).isEqualTo("b");
    assertThat(other("receipt.told")).isEmpty();
  }

  private static Frame keyedHandIn(String id) {
    return Frame.of("put")
        .with("l", 0)
        .with("rid", 2)
        .with("i", id)
        .with("t", "t")
        .with("h", "h")
        .with("m", "POST")
        .with("p", "/x")
        .with("ik", FOREIGN_KEY)
        .with("sv", "s")
        .with("dg", new RequestDigest(1, 2).toBytes())
        .with("keep", 90_000_000L)
        .with("b", "the body".getBytes(StandardCharsets.UTF_8));
  }

  private void rejoin(String version, int state, boolean bodiless) {
    news(partition(2, List.of(node.id()), "other#1", 1, 2));
    assertThat(other("join.ask")).hasSize(1);
    var row =
        new Frame()
            .with("id", "m1")
            .with("v", version)
            .with("state", state)
            .with("w", true)
            .with("nb", bodiless);
    node.onFrame(
        OTHER,
        Frame.unpack(
            Frame.of("join.have")
                .with("line", 0)
                .with("epoch", 2)
                .with("have", List.of(row))
                .with("from", "other#1")
                .pack()));
  }

  @Test
  void aCopyThatHasEverythingIsSentNothing() {
    rejoin("0.0.1." + (1L << 20), 0, false);
    assertThat(other("rep")).isEmpty();
    assertThat(sentToControl.stream().map(Frame::kind).toList()).contains("line.level");
  }

  @Test
  void aCopyThatShedTheBodyOfWaitingWorkGetsItAgain() {
    rejoin("0.0.1." + ((1L << 20) + 1), 0, true);
    assertThat(other("rep")).hasSize(1);
    var record = other("rep").get(0).inner("c");
    assertThat(record.kind()).isEqualTo("m");
    assertThat(new String(record.bytes("b"), StandardCharsets.UTF_8)).isEqualTo("the body");
  }

  @Test
  void aCopyThatMayShedTheBodyBeforeItIsToldOtherwiseGetsItWhole() {
    rejoin("1.0.1." + ((1L << 20) + 1), 1, false);
    assertThat(other("rep")).hasSize(1);
    assertThat(other("rep").get(0).inner("c").kind()).isEqualTo("m");
  }

  @Test
  void whatANewEpochSaysWinsOverAHigherRevisionOfAnOldOne() {
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    var older =
        new Frame()
            .with("k", "u")
            .with("l", 0)
            .with("i", "m1")
            .with("v", (1L << 20) + 9)
            .with("ep", 2)
            .with("f", 2);
    var newer =
        new Frame()
            .with("k", "u")
            .with("l", 0)
            .with("i", "m1")
            .with("v", (1L << 20) + 1)
            .with("ep", 3)
            .with("f", 1);
    node.onFrame(
        OTHER,
        Frame.of("rep").with("l", 0).with("e", 2L).with("s", (2L << 32) + 1).with("c", older));
    node.onFrame(
        OTHER,
        Frame.of("rep").with("l", 0).with("e", 3L).with("s", (3L << 32) + 1).with("c", newer));
    node.onFrame(
        OTHER,
        Frame.of("rep").with("l", 0).with("e", 3L).with("s", (3L << 32) + 2).with("c", older));
    sentToOther.clear();
    node.onFrame(OTHER, Frame.of("join.ask").with("line", 0).with("epoch", 4L));
    var have = other("join.have").get(0).frames("have").get(0);
    assertThat(have.text("v")).isEqualTo("0.1.3." + ((1L << 20) + 1));
  }

  @Test
  void recordsOfTheFormerVersionCountAsOfTheEpochThatSendsThem() {
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    var former =
        new Frame().with("k", "u").with("l", 0).with("i", "m1").with("v", 2L << 20).with("f", 1);
    node.onFrame(
        OTHER,
        Frame.unpack(
            Frame.of("rep")
                .with("l", 0)
                .with("e", 2L)
                .with("s", (2L << 32) + 1)
                .with("c", former)
                .pack()));
    sentToOther.clear();
    node.onFrame(OTHER, Frame.of("join.ask").with("line", 0).with("epoch", 3L));
    assertThat(other("join.have").get(0).frames("have").get(0).text("v"))
        .isEqualTo("0.1.2." + (2L << 20));
  }

  @Test
  void whatACopyHoldsBeyondUsIsOvertakenForTheFormerVersionToo() {
    rejoin("0.3.1." + ((1L << 20) + 40), 0, false);
    assertThat(other("rep").get(0).inner("c").number("v")).isEqualTo(2L << 20);
    assertThat(other("rep").get(0).inner("c").number("ep")).isEqualTo(2L);
  }

  @Test
  void anUnansweredRecordOnASoundLinkIsNotSentAgainAtOnceButOnABrokenOneIs() {
    handIn("m2");
    assertThat(other("rep")).hasSize(1);
    nowUs += 400_000;
    node.tick();
    assertThat(other("rep")).hasSize(1);
    node.onDown(OTHER);
    nowUs += 300_000;
    node.tick();
    assertThat(other("rep")).hasSize(2);
  }

  private void pushedTo(String address) throws Exception {
    config =
        CONFIG.replace(
            "\"WorkerPull\":true,\"Endpoint\":null",
            "\"WorkerPull\":false,\"Endpoint\":\"" + address + "\"");
    sentToOther.clear();
    attempts.clear();
    boot();
    copyAcknowledges();
    copyAcknowledges();
    assertThat(attempts).hasSize(1);
  }

  @Test
  void aSuccessThatIsReadWhileTheRecordIsBeingBroughtToTheCopyAfterATakeoverIsNotLost()
      throws Exception {
    pushedTo("10.0.0.7:80");
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    var record =
        new Frame()
            .with("k", "u")
            .with("l", 0)
            .with("i", "m1")
            .with("v", (2L << 20) + 1)
            .with("ep", 2)
            .with("g", 1)
            .with("le", 1);
    node.onFrame(
        OTHER,
        Frame.unpack(
            Frame.of("rep")
                .with("l", 0)
                .with("e", 2L)
                .with("s", (2L << 32) + 1)
                .with("w", 1)
                .with("c", record)
                .pack()));
    sentToOther.clear();
    news(partition(3, List.of(node.id(), "other#1"), "", 2, 3));
    attempts.get(0).accept(new DeliveryClient.Outcome(DeliveryClient.Result.DONE, "the seal", ""));
    copyAcknowledges();
    nowUs += 60_000;
    node.tick();
    sentToControl.stream()
        .filter(frame -> frame.kind().equals("outcome"))
        .toList()
        .forEach(frame -> node.onFrame("10.0.0.2", frame));
    copyAcknowledges();
    var state = look();
    assertThat(state.text("seal")).isEqualTo("the seal");
    assertThat(attempts).hasSize(1);
  }

  @Test
  void anEndOfALeaseThatALaterPrimaryGrantedIsNotForThisOneToRefuse() {
    sentToControl.clear();
    for (var kind : List.of("end", "extend")) {
      node.onFrame(
          "10.0.0.9",
          Frame.of(kind)
              .with("rid", 5)
              .with("line", 0)
              .with("id", "m1")
              .with("lease", "0.2.1")
              .with("result", 200)
              .with("seal", "s"));
      node.onFrame(
          "10.0.0.9",
          Frame.of(kind)
              .with("rid", 6)
              .with("line", 0)
              .with("id", "m1")
              .with("lease", "0.1.7")
              .with("result", 200)
              .with("seal", "s"));
    }
    var told =
        sentToControl.stream()
            .filter(frame -> frame.kind().equals("end.ok"))
            .map(frame -> frame.number("rid") + " " + frame.number("r"))
            .toList();
    assertThat(told).containsExactly("5 503", "6 409", "5 503", "6 409").inOrder();
  }

  @Test
  void anotherMessageOfTheSameNameIsNotToldThatItIsKept() {
    sentToControl.clear();
    var same =
        Frame.of("put")
            .with("l", 0)
            .with("rid", 1)
            .with("i", "m1")
            .with("t", "t")
            .with("h", "h")
            .with("m", "POST")
            .with("p", "/x")
            .with("keep", 90_000_000L)
            .with("b", "the body".getBytes(StandardCharsets.UTF_8));
    node.onFrame("10.0.0.9", Frame.unpack(same.pack()));
    node.onFrame("10.0.0.9", Frame.unpack(same.with("rid", 2).with("t", "other tenant").pack()));
    node.onFrame(
        "10.0.0.9", Frame.unpack(same.with("rid", 3).with("t", "t").with("p", "/y").pack()));
    var told =
        sentToControl.stream()
            .filter(frame -> frame.kind().equals("put.ok"))
            .map(frame -> frame.number("rid") + " " + frame.text("r"))
            .toList();
    assertThat(told).containsExactly("1 kept", "2 no", "3 no").inOrder();
  }

  private static Frame whole(String id, long epoch) {
    return new Frame()
        .with("k", "m")
        .with("l", 0)
        .with("i", id)
        .with("t", "t")
        .with("v", epoch << 20)
        .with("ep", epoch)
        .with("b", "the body".getBytes(StandardCharsets.UTF_8));
  }

  private void joinAsk(long epoch) {
    sentToOther.clear();
    node.onFrame(OTHER, Frame.of("join.ask").with("line", 0).with("epoch", epoch));
  }

  private List<String> held(long epoch) {
    joinAsk(epoch);
    return other("join.have").get(0).frames("have").stream().map(each -> each.text("id")).toList();
  }

  @Test
  void aPlaceOlderThanTheEpochInForceTakesNoCopyAway() {
    joinAsk(5);
    replicated(5, 1, whole("m2", 5));
    news(partition(3, List.of("other#1", "third#1"), "", 2, 3));
    replicated(5, 2, whole("m3", 5));
    assertThat(other("ok")).hasSize(2);
    assertThat(other("rep.no")).isEmpty();
    assertThat(held(6)).containsExactly("m1", "m2", "m3");
  }

  @Test
  void aPlaceOlderThanTheEpochInForceMakesNoPrimary() {
    joinAsk(5);
    news(partition(3, List.of(node.id(), "other#1"), "", 2, 3));
    assertThat(node.openEpochs()).isEmpty();
  }

  @Test
  void aCopyTellsWhatItHasOnlyWhenThatIsSynced() {
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    stalled = true;
    replicated(2, 1, whole("m2", 2));
    joinAsk(3);
    assertThat(other("join.have")).isEmpty();
    List.copyOf(unsynced).forEach(Runnable::run);
    assertThat(other("join.have").get(0).frames("have")).hasSize(2);
  }

  @Test
  void aChangeOfWaitingWorkThatACopyLacksIsNotAcknowledged() {
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    sentToOther.clear();
    replicated(
        2,
        1,
        new Frame().with("k", "u").with("l", 0).with("i", "m9").with("v", 2L << 20).with("ep", 2L));
    assertThat(other("ok")).isEmpty();
    assertThat(other("rep.no").get(0).text("why")).isEqualTo("unjoined");
  }

  @Test
  void aNodeThatKnowsNoTableYetJoinsNothing() throws Exception {
    start(false);
    joinAsk(7);
    assertThat(other("join.have")).isEmpty();
  }

  @Test
  void anAskThatComesBeforeTheTableIsAnsweredWhenTheTableComes() throws Exception {
    start(false);
    joinAsk(2);
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    assertThat(other("join.have").stream().map(frame -> frame.number("epoch")).toList())
        .containsExactly(2L);
    start(false);
    joinAsk(2);
    news(partition(3, List.of("other#1", node.id()), "", 2, 3));
    assertThat(other("join.have")).isEmpty();
  }

  @Test
  void aPrimaryThatMissedAnEpochAsksEveryCopyAgain() {
    rejoin("0.0.1." + (1L << 20), 0, false);
    sentToControl.clear();
    sentToOther.clear();
    news(partition(4, List.of(node.id()), "other#1", 1, 4));
    assertThat(other("join.ask")).hasSize(1);
    node.tick();
    assertThat(sentToControl.stream().map(Frame::kind).toList()).doesNotContain("line.level");
  }

  @Test
  void aPrimaryThatWasFrozenAccusesNobodyBeforeItHasListened() {
    node.tick();
    handIn("m2");
    nowUs += 900_000;
    node.tick();
    assertThat(sentToControl.stream().map(Frame::kind).toList()).doesNotContain("line.lost");
    for (var step = 0; step < 20; step++) {
      nowUs += 50_000;
      node.tick();
      leased();
    }
    assertThat(sentToControl.stream().map(Frame::kind).toList()).contains("line.lost");
  }

  @Test
  void aPrimaryWithoutAClaimAccusesNobody() {
    handIn("m2");
    for (var step = 0; step < 40; step++) {
      nowUs += 50_000;
      node.tick();
    }
    assertThat(sentToControl.stream().map(Frame::kind).toList()).doesNotContain("line.lost");
  }

  @Test
  void newsThatBuildsOnATableNeverHeardIsAskedForWhole() throws Exception {
    start(false);
    leased();
    sentToControl.clear();
    node.onFrame(
        CONTROL,
        Frame.unpack(
            Frame.of("news")
                .with("since", 5L)
                .with(
                    "lines", List.of(partition(2, List.of("other#1", "third#1"), "", 2, 6).frame()))
                .pack()));
    assertThat(node.clusterLease().view().partitions()).isEmpty();
    assertThat(
            sentToControl.stream()
                .filter(frame -> frame.kind().equals("claim"))
                .map(frame -> frame.number("lay"))
                .toList())
        .containsExactly(0L);
  }
}
