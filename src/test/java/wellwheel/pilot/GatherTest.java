package wellwheel.pilot;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import wellwheel.lantern.Frame;
import wellwheel.lantern.HandClock;
import wellwheel.lantern.MemoryDisk;
import wellwheel.lantern.Options;
import wellwheel.lantern.Wire;

class GatherTest {
    private static final String KEEPER = "10.0.0.5";
    private final List<Frame> asked = new ArrayList<>();

    private final HandClock clock = new HandClock();

    private PilotNode leader(long seed) throws Options.Unusable {
        var options = Options.read("{\"NodeName\":\"core\",\"Ip\":\"10.0.0.1\",\"Zone\":\"z\",\"ListenOn\":{\"Control\":\"10.0.0.1:1\"},\"InternalPorts\":[7100,7115],\"SeedNodes\":[\"10.0.0.1:1\"],\"FirstBoot\":true,\"Survive\":{\"Machines\":0}}");
        Wire wire = (peer, frame) -> {
            if (frame.kind().equals("history.ask")) {
                asked.add(frame);
            }
        };
        var node = new PilotNode(options, clock, wire, new MemoryDisk(), seed);
        for (var step = 0; step < 40; step++) {
            clock.nowUs += 50_000;
            node.tick();
        }
        node.onFrame(KEEPER, Frame.of("claim").with("id", "k#1").with("role", "keeper").with("zone", "z").with("life", "1").with("sent", clock.nowUs));
        return node;
    }

    private long question(PilotNode node, AtomicInteger answers) {
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
        node.onFrame(KEEPER, Frame.of("history.rows").with("rid", former));
        assertThat(answers.get()).isEqualTo(0);
        node.onFrame(KEEPER, Frame.of("history.rows").with("rid", present));
        assertThat(answers.get()).isEqualTo(1);
    }
}
