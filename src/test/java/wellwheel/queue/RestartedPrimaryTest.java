package wellwheel.queue;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wellwheel.transport.Frame;

/** A primary that comes back with its journal and compares it with its copy. */
class RestartedPrimaryTest extends StorageNodeFixture {
  private static final String NO_ANSWER = "none";

  @BeforeEach
  void bootWithFiles() throws Exception {
    keepsFiles = true;
    files.clear();
    sentToOther.clear();
    boot();
    copyAcknowledges();
  }

  private String lease() {
    var token = new Frame().with("t", 5).with("w", 1_000_000).with("s", "worker");
    sentToControl.clear();
    node.onFrame(
        EDGE,
        Frame.unpack(
            Frame.of("demand")
                .with("service", "s")
                .with("zone", "z")
                .with("tokens", List.of(token))
                .pack()));
    copyAcknowledges();
    return sentToControl.stream()
        .filter(frame -> frame.kind().equals("job"))
        .map(frame -> frame.text("lease"))
        .findFirst()
        .orElseThrow();
  }

  private void end(String lease, int result) {
    sentToControl.clear();
    node.onFrame(
        EDGE,
        Frame.of("end")
            .with("rid", 5)
            .with("line", 0)
            .with("id", "m1")
            .with("lease", lease)
            .with("result", result)
            .with("seal", "the seal"));
  }

  private List<Long> endAnswers() {
    return sentToControl.stream()
        .filter(frame -> frame.kind().equals("end.ok"))
        .map(frame -> frame.number("r"))
        .toList();
  }

  private void pass(long spanUs) {
    nowUs += spanUs;
    leased();
    while (!tasks.isEmpty() && tasks.peek().atUs() <= nowUs) {
      tasks.poll().task().run();
    }
    node.tick();
  }

  private void restart() throws Exception {
    start(false);
    sentToOther.clear();
    news(partition(1, List.of(node.id(), "other#1"), "", 2, 1));
    news(partition(2, List.of(node.id(), "other#1"), "", 2, 2));
    assertThat(node.openEpochs()).containsEntry(0, 2L);
    assertThat(other("join.ask")).hasSize(1);
  }

  private void copyTells(Message.State state, int fails, long revision) {
    var row =
        new Frame()
            .with("id", "m1")
            .with("v", state.ordinal() + "." + fails + ".1." + revision)
            .with("state", state.ordinal())
            .with("f", fails)
            .with("w", state != Message.State.WAITING);
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
  void anEndThatEveryCopyHasIsShownHoweverShortBeforeTheStopItCame() throws Exception {
    end(lease(), 200);
    copyAcknowledges();
    assertThat(endAnswers()).containsExactly(200L);
    restart();
    assertThat(look().kind()).isEqualTo(NO_ANSWER);
    copyTells(Message.State.FINISHED, 0, (1L << 20) + 2);
    var state = look();
    assertThat(state.small("state")).isEqualTo(Message.State.FINISHED.ordinal());
    assertThat(state.text("seal")).isEqualTo("the seal");
  }

  @Test
  void anEndThatACopyNeverConfirmedIsTakenAgain() throws Exception {
    var lease = lease();
    end(lease, 200);
    assertThat(endAnswers()).isEmpty();
    restart();
    copyTells(Message.State.WAITING, 0, (1L << 20) + 1);
    copyAcknowledges();
    copyAcknowledges();
    var state = look("m1", "h", true);
    assertThat(state.kind()).isEqualTo("look.ok");
    assertThat(state.small("state")).isEqualTo(Message.State.WAITING.ordinal());
    assertThat(new String(state.bytes("body"))).isEqualTo("the body");
    end(lease, 200);
    copyAcknowledges();
    assertThat(endAnswers()).containsExactly(200L);
    assertThat(look().small("state")).isEqualTo(Message.State.FINISHED.ordinal());
  }

  @Test
  void aFailureThatACopyNeverConfirmedDoesNotCount() throws Exception {
    for (var fails = 0; fails < 2; fails++) {
      end(lease(), 500);
      copyAcknowledges();
      pass(2_000_000);
    }
    end(lease(), 500);
    assertThat(endAnswers()).isEmpty();
    restart();
    copyTells(Message.State.WAITING, 2, (1L << 20) + 6);
    copyAcknowledges();
    copyAcknowledges();
    assertThat(look().kind()).isEqualTo("look.ok");
    assertThat(look().small("state")).isEqualTo(Message.State.WAITING.ordinal());
  }

  @Test
  void aPrimaryThatNoCopyConfirmsDoesNotSayThatAMessageWaits() {
    sentToControl.clear();
    node.onFrame(
        EDGE,
        Frame.of("look")
            .with("rid", 7)
            .with("line", 0)
            .with("id", "m1")
            .with("tenant", "t")
            .with("host", "h"));
    assertThat(sentToControl).isEmpty();
    copyConfirmsPrimary();
    assertThat(sentToControl).hasSize(1);
  }

  @Test
  void anEndIsShownOnceEveryCopyHasIt() {
    end(lease(), 200);
    assertThat(look().kind()).isEqualTo(NO_ANSWER);
    copyAcknowledges();
    var answers = sentToControl.stream().filter(frame -> frame.kind().equals("look.ok")).toList();
    assertThat(answers).hasSize(1);
    assertThat(answers.get(0).text("seal")).isEqualTo("the seal");
  }
}
