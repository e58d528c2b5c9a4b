package wellwheel.control;

import java.util.function.Consumer;

/** The one place that knows how the calls of PilotNode look. */
final class ControlCalls {
  private ControlCalls() {}

  static void read(ControlNode node, Consumer<ControlNode.Reply> answer) {
    node.read(answer);
  }
}
