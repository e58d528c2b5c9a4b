package wellwheel.queue;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import wellwheel.cluster.ClusterView;
import wellwheel.transport.Frame;

/**
 * Guards against accepted messages being failed, or run as an older configuration says, by a
 * storage node that has not heard of the configuration under which an edge node admitted them.
 */
class ConfigurationLagTest extends StorageNodeFixture {
  private static final String NEW_ROUTE =
      "{\"Name\":\"n\",\"Host\":\"new\",\"PathStart\":\"/\",\"Type\":\"background\",\"GiveUpMs\":500,\"TargetMs\":100,\"Rank\":1,"
          + "\"Backend\":\"s\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":90,\"StartTargetMs\":500,\"Public\":false}";

  private static Frame handIn(String id, String host, long revision) {
    return put(id, host, revision, "the body".getBytes(StandardCharsets.UTF_8));
  }

  private ClusterView.Partition place(long version) {
    return partition(1, List.of(node.id(), "other#1"), "", 2, version);
  }

  private void configurationWith(String route, long revision, long version) {
    config =
        CONFIG
            .replace("\"Revision\":1", "\"Revision\":" + revision)
            .replace("\"Routing\":[", "\"Routing\":[" + route);
    news(place(version), revision);
  }

  private int state(String id, String host) {
    var answer = look(id, host, false);
    assertThat(answer.kind()).isEqualTo("look.ok");
    return answer.small("state");
  }

  /** A worker's wish for work; the jobs that are handed out for it. */
  private List<String> jobs() {
    sentToControl.clear();
    var token = new Frame().with("t", 5).with("w", 1_000_000).with("s", "worker");
    node.onFrame(
        EDGE,
        Frame.unpack(
            Frame.of("demand")
                .with("service", "s")
                .with("zone", "z")
                .with("tokens", List.of(token, token, token))
                .pack()));
    copyAcknowledges();
    return sentToControl.stream()
        .filter(frame -> frame.kind().equals("job"))
        .map(frame -> frame.text("id"))
        .toList();
  }

  @Test
  void aMessageOfARouteThatThisNodeDoesNotKnowYetWaitsAndRunsOnceItKnows() {
    node.onFrame(EDGE, handIn("m2", "new", 2));
    copyAcknowledges();
    copyAcknowledges();
    assertThat(putAnswers()).contains("kept");
    assertThat(state("m2", "new")).isEqualTo(Message.State.WAITING.ordinal());
    assertThat(jobs()).containsExactly("m1");
    configurationWith(NEW_ROUTE + ",", 2, 2);
    assertThat(jobs()).containsExactly("m2");
  }

  @Test
  void aMessageIsNotRunAsAnOlderConfigurationSays() {
    jobs();
    node.onFrame(EDGE, handIn("m2", "h", 2));
    copyAcknowledges();
    assertThat(jobs()).isEmpty();
    configurationWith("", 2, 2);
    assertThat(jobs()).containsExactly("m2");
  }

  @Test
  void aPrimaryThatTakesOverWithAnOlderConfigurationFailsNothing() {
    news(partition(2, List.of("other#1", node.id()), "", 2, 2));
    var record =
        new Frame()
            .with("k", "m")
            .with("l", 0)
            .with("i", "m2")
            .with("t", "t")
            .with("h", "new")
            .with("p", "/x")
            .with("v", 2L << 20)
            .with("ep", 2)
            .with("x", nowUs + 90_000_000L)
            .with("cr", 2);
    replicated(2, 1, record);
    news(partition(3, List.of(node.id(), "other#1"), "", 2, 3));
    node.onFrame(
        OTHER,
        Frame.unpack(
            Frame.of("join.have")
                .with("line", 0)
                .with("epoch", 3)
                .with("have", List.of())
                .with("from", "other#1")
                .pack()));
    copyAcknowledges();
    copyAcknowledges();
    assertThat(state("m2", "new")).isEqualTo(Message.State.WAITING.ordinal());
  }

  @Test
  void aHandInOfARouteThatThisNodeKnowsToBeDroppedIsNotTaken() {
    configurationWith(NEW_ROUTE + ",", 2, 2);
    configurationWith("", 3, 3);
    sentToControl.clear();
    node.onFrame(EDGE, handIn("m2", "new", 2));
    assertThat(putAnswers()).containsExactly("no");
    assertThat(other("rep")).isEmpty();
  }

  @Test
  void aMessageWhoseRouteIsDroppedLaterFails() {
    configurationWith(NEW_ROUTE + ",", 2, 2);
    node.onFrame(EDGE, handIn("m2", "new", 2));
    copyAcknowledges();
    configurationWith("", 3, 3);
    copyAcknowledges();
    jobs();
    copyAcknowledges();
    assertThat(state("m2", "new")).isEqualTo(Message.State.FAILED.ordinal());
  }
}
