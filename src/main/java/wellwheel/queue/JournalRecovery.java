package wellwheel.queue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps memory low while a journal is read: bodies of messages that ended well are given up and
 * ended messages are forgotten as soon as a running node would have done so, and not only when all
 * has been read. Time is that of the newest record read.
 */
final class JournalRecovery {
  /** What the node does with a message that it need not hold any longer. */
  interface Owner {
    void shedBody(Message message);

    void forget(Message message);
  }

  private final Owner owner;
  private final long keepBodiesUs;
  private final long forgetUs;
  private final ArrayDeque<Message> endedWell = new ArrayDeque<>();
  private final ArrayDeque<Message> ended = new ArrayDeque<>();
  private final Map<String, Message> shed = new HashMap<>();
  private long newestUs;

  /**
   * @param keepBodiesUs bodies of messages that ended in the last so many microseconds are kept
   * @param forgetUs so long after its end a message is forgotten
   */
  JournalRecovery(Owner owner, long keepBodiesUs, long forgetUs) {
    this.owner = owner;
    this.keepBodiesUs = keepBodiesUs;
    this.forgetUs = forgetUs;
  }

  /** Notes a message whose record has just been read. */
  void read(Message message) {
    newestUs = Math.max(newestUs, Math.max(message.acceptedUs, message.endedUs));
    if (!message.waiting()) {
      ended.add(message);
    }
    if (message.state == Message.State.FINISHED && message.body.length > 0) {
      endedWell.add(message);
    }
    relieve();
  }

  private void relieve() {
    while (!endedWell.isEmpty() && endedWell.peek().endedUs <= newestUs - keepBodiesUs) {
      shedIfEnded(endedWell.poll());
    }
    while (!ended.isEmpty() && ended.peek().endedUs < newestUs - forgetUs) {
      forgetIfEnded(ended.poll());
    }
  }

  private void shedIfEnded(Message message) {
    if (message.state == Message.State.FINISHED && message.body.length > 0) {
      owner.shedBody(message);
      shed.put(message.id, message);
    }
  }

  private void forgetIfEnded(Message message) {
    if (!message.waiting() && message.endedUs < newestUs - forgetUs) {
      owner.forget(message);
      shed.remove(message.id);
    }
  }

  /** Messages that wait again after all, and lack their bodies, by their identifiers. */
  Map<String, Message> bodiesWanted() {
    shed.values().removeIf(message -> !message.waiting());
    return shed;
  }
}
