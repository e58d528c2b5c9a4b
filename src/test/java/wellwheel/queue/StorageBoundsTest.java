package wellwheel.queue;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wellwheel.storage.Journal;
import wellwheel.storage.MemoryDisk;
import wellwheel.transport.Frame;

/** What a storage node does when it, or a copy, holds as much as it may: refuse, and take again. */
class StorageBoundsTest extends StorageNodeFixture {
  private static final int BODY_BYTES = 1 << 20;

  private String handIn(String id, int bodyBytes) {
    sentToControl.clear();
    node.onFrame(EDGE, put(id, "h", 1, new byte[bodyBytes]));
    copyAcknowledges();
    return putAnswers().stream().findFirst().orElse("none");
  }

  @Test
  void aFullNodeRefusesAndTakesAgainOnceBodiesAreGone() {
    var taken =
        IntStream.range(0, 80).filter(n -> handIn("b" + n, BODY_BYTES).equals("kept")).count();
    assertThat(taken).isEqualTo(64);
    assertThat(handIn("c", 1)).isEqualTo("no");
    nowUs += 300_000_000;
    node.tick();
    copyAcknowledges();
    nowUs += 300_000_000;
    node.tick();
    copyAcknowledges();
    assertThat(handIn("d", BODY_BYTES)).isEqualTo("kept");
  }

  @Test
  void whatWaitsForAStalledDiskCountsAsHeld() {
    stalled = true;
    IntStream.range(0, 60).forEach(n -> handIn("b" + n, BODY_BYTES));
    assertThat(handIn("c", 1)).isEqualTo("no");
    stalled = false;
    List.copyOf(unsynced).forEach(Runnable::run);
    assertThat(handIn("d", 1)).isEqualTo("kept");
  }

  @Test
  void aPrimaryTakesNothingNewWhileACopyIsFullAndAsksItAgainAfterASecond() {
    node.onFrame(EDGE, put("m2", "h", 1, new byte[1]));
    copyAcknowledges(true);
    assertThat(handIn("m3", 1)).isEqualTo("no");
    nowUs += CopyPressure.FULL_US;
    assertThat(handIn("m4", 1)).isEqualTo("kept");
    assertThat(handIn("m5", 1)).isEqualTo("kept");
  }

  @Test
  void aFullCopyStillTakesAndSaysThatItIsFull() {
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    sentToOther.clear();
    for (var number = 0; number < 70; number++) {
      var record =
          new Frame()
              .with("k", "m")
              .with("l", 0)
              .with("i", "b" + number)
              .with("v", 2L << 20)
              .with("ep", 2)
              .with("b", new byte[BODY_BYTES]);
      replicated(2, number + 1, record);
    }
    var acknowledged = other("ok");
    assertThat(acknowledged).hasSize(70);
    assertThat(acknowledged.get(0).flag("fu")).isFalse();
    assertThat(acknowledged.get(69).flag("fu")).isTrue();
  }

  @Test
  void aHandOverKeepsTheBytesUnderWayBounded() {
    IntStream.range(0, 40).forEach(n -> handIn("b" + n, BODY_BYTES));
    sentToOther.clear();
    news(partition(2, List.of(node.id()), "other#1", 1, 2));
    node.onFrame(
        OTHER, Frame.of("join.have").with("line", 0).with("epoch", 2).with("from", "other#1"));
    assertThat(other("rep").size()).isAtMost(9);
    var handedOver = 0;
    while (!other("rep").isEmpty()) {
      handedOver += other("rep").size();
      copyAcknowledges();
    }
    assertThat(handedOver).isEqualTo(41);
  }

  private static Frame change(int state, long endedUs, long revision) {
    return new Frame()
        .with("k", "u")
        .with("l", 0)
        .with("i", "m1")
        .with("st", state)
        .with("en", endedUs)
        .with("v", revision)
        .with("ep", 1);
  }

  private static Frame whole(String id, long acceptedUs) {
    return new Frame()
        .with("k", "m")
        .with("l", 0)
        .with("i", id)
        .with("t", "t")
        .with("h", "h")
        .with("a", acceptedUs)
        .with("x", 900_000_000L)
        .with("b", "the body".getBytes(StandardCharsets.UTF_8));
  }

  private void journalHolds(Frame... records) {
    var disk = new MemoryDisk();
    var journal = new Journal(disk, "keeper.journal", "me");
    for (var record : records) {
      journal.append(record.pack(), () -> {});
    }
    files.put("keeper.journal", disk.bytes);
  }

  /** Starts the node with its journal; it is the only copy and so the primary. */
  private void startAlone() throws Exception {
    start(false);
    news(partition(1, List.of(node.id()), "", 1, 1));
    assertThat(node.openEpochs()).containsEntry(0, 1L);
  }

  private String body() {
    return new String(look("m1", "h", true).bytes("body"), StandardCharsets.UTF_8);
  }

  @Test
  void bodiesOfMessagesThatEndedWellAreGivenUpWhileTheJournalIsRead() throws Exception {
    journalHolds(whole("m1", 1_000_000), change(1, 2_000_000, 1), whole("m2", 9_000_000));
    startAlone();
    assertThat(body()).isEmpty();
  }

  @Test
  void aMessageThatWaitsAgainLaterInTheJournalGetsItsBodyBack() throws Exception {
    journalHolds(
        whole("m1", 1_000_000), change(1, 2_000_000, 1), whole("m2", 9_000_000), change(0, 0, 2));
    startAlone();
    assertThat(body()).isEqualTo("the body");
  }

  @Test
  void endedMessagesPastTheirTimeAreForgottenWhileTheJournalIsRead() throws Exception {
    journalHolds(
        whole("m1", 1_000_000), change(1, 2_000_000, 1), whole("m2", 500_000_000), change(0, 0, 0));
    start(false);
    assertThat(node.liveMessages()).isEqualTo(1);
  }
}
