package wellwheel.pilot;

import java.util.function.Consumer;

/** The one place that knows how the calls of PilotNode look. */
final class ControlCalls {
    private ControlCalls() { }

    static void read(PilotNode node, Consumer<PilotNode.Reply> answer) {
        node.read(answer);
    }
}
