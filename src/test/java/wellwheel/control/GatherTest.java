package wellwheel.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.ManualClock;
import wellwheel.storage.MemoryDisk;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

class GatherTest {
  private static final String STORAGE = "10.0.0.5";
  private final List<Frame> asked = new ArrayList<>();

  private final ManualClock clock = new ManualClock();

  private ControlNode leader(long seed) throws NodeOptions.Unusable {
    var options =
        NodeOptions.read(
            "{\"NodeName\":\"core\",\"Ip\":\"10.0.0.1\",\"Zone\":\"z\",\"ListenOn\":{\"Control\":\"10.0.0.1:1\"},\"InternalPorts\":[7100,7115],\"SeedNodes\":[\"10.0.0.1:1\"],\"FirstBoot\":true,\"Survive\":{\"Machines\":0}}");
    Network wire =
        (peer, frame) -> {
          if (frame.kind().equals("history.ask")) {
            asked.add(frame);
          }
        };
    var node = new ControlNode(options, clock, wire, new MemoryDisk(), seed);
    for (var step = 0; step < 40; step++) {
      clock.nowUs += 50_000;
      node.tick();
    }
    node.onFrame(
        STORAGE,
        Frame.of("claim")
            .with("id", "k#1")
            .with("role", "storage")
            .with("zone", "z")
            .with("life", "1")
            .with("sent", clock.nowUs));
    return node;
  }

  private long question(ControlNode node, AtomicInteger answers) {
    asked.clear();
    node.history(1, 2, reply -> answers.incrementAndGet());
    assertThat(asked).hasSize(1);
    return asked.get(0).number("rid");
  }

  @Test
  void anAnswerToTheQuestionOfAFormerLifeAnswersNoneOfThisOne() throws Exception {
    var answers = new AtomicInteger();
    var former = question(leader(11), new AtomicInteger());
    var node = leader(12);
    var present = question(node, answers);
    node.onFrame(STORAGE, Frame.of("history.rows").with("rid", former));
    assertThat(answers.get()).isEqualTo(0);
    node.onFrame(STORAGE, Frame.of("history.rows").with("rid", present));
    assertThat(answers.get()).isEqualTo(1);
  }
}
