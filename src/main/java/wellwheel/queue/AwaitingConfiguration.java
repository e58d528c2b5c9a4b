package wellwheel.queue;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Messages that an edge node admitted under a newer configuration than this node has. Nothing is
 * decided about them until that configuration is here. Bounded by the messages a node may hold.
 */
final class AwaitingConfiguration {
  private final Set<Message> messages = new LinkedHashSet<>();

  void add(Message message) {
    messages.add(message);
  }

  /** Takes out and returns the messages that a configuration of this revision can decide about. */
  List<Message> takeDecidable(long revision) {
    var decidable = messages.stream().filter(message -> decidable(message, revision)).toList();
    decidable.forEach(messages::remove);
    return decidable;
  }

  void remove(Message message) {
    messages.remove(message);
  }

  void removeIf(Predicate<Message> leaves) {
    messages.removeIf(leaves);
  }

  /** Whether a configuration of this revision may decide how the message is run or ended. */
  static boolean decidable(Message message, long revision) {
    return revision > 0 && revision >= message.admittedRevision;
  }
}
