package wellwheel.queue;

import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/**
 * Answers questions about states and bodies of messages. Only a primary tells a state, and only one
 * that no restart and no change of primary takes back: an end once it stands on every copy. Whoever
 * cannot be sure yet does not answer; the edge node asks again until its own time is over.
 */
final class StateQueries {
  /** A node that has not heard of the control leader for so long does not say what is unknown. */
  private static final long SURE_LEASE_AGE_US = 1_000_000;

  private final Map<Integer, Partition> partitions;
  private final Network network;
  private final LongSupplier leaseAgeUs;

  StateQueries(Map<Integer, Partition> partitions, Network network, LongSupplier leaseAgeUs) {
    this.partitions = partitions;
    this.network = network;
    this.leaseAgeUs = leaseAgeUs;
  }

  /** Answers the question of an edge node, now or once the answer is sure. */
  void onQuery(String from, Frame question) {
    var number = question.small("line");
    if (number < 0) {
      onQueryOfAny(from, question);
      return;
    }
    var partition = partitions.get(number);
    if (partition == null || !partition.open) {
      network.send(from, unsure(question, false));
      return;
    }
    var message = find(partition, question);
    if (message.isPresent()) {
      tellOnceSure(from, question, message.get());
    } else {
      network.send(from, absent(question, true));
    }
  }

  /** The question names no partition, so every storage node is asked. */
  private void onQueryOfAny(String from, Frame question) {
    var holder = holder(question);
    if (holder.isEmpty()) {
      network.send(from, absent(question, leaseAgeUs.getAsLong() < SURE_LEASE_AGE_US));
    } else if (!holder.get().open) {
      network.send(from, unsure(question, true));
    } else {
      tellOnceSure(from, question, find(holder.get(), question).orElseThrow());
    }
  }

  /** A partition that has the message, one that this node is the primary of if there is any. */
  private Optional<Partition> holder(Frame question) {
    Optional<Partition> holder = Optional.empty();
    for (var partition : partitions.values()) {
      if ((partition.open || holder.isEmpty()) && find(partition, question).isPresent()) {
        holder = Optional.of(partition);
      }
    }
    return holder;
  }

  private static Optional<Message> find(Partition partition, Frame question) {
    return partition.message(question.text("id")).filter(message -> mayBeTold(message, question));
  }

  private static boolean mayBeTold(Message message, Frame question) {
    return message.tenant.equals(question.text("tenant"))
        && (question.flag("any") || message.host.equals(question.text("host")));
  }

  private void tellOnceSure(String from, Frame question, Message message) {
    if (question.flag("any")) {
      tell(from, question, message);
    } else if (message.doubted) {
      return;
    } else if (message.waiting()) {
      tell(from, question, message);
    } else {
      tellEnd(from, question, message);
    }
  }

  private void tellEnd(String from, Frame question, Message message) {
    if (message.settling) {
      message.settleWaiters.add(() -> tell(from, question, message));
    } else {
      tell(from, question, message);
    }
  }

  private void tell(String from, Frame question, Message message) {
    var answer =
        answer(question)
            .with("sure", true)
            .with("found", true)
            .with("authority", true)
            .with("state", message.state.ordinal())
            .with("seal", message.seal);
    if (question.flag("any")) {
      answer.with("step", StepDependencies.name(message));
    }
    if (question.flag("body")) {
      answer.with("body", message.body).with("type", message.contentType);
    }
    network.send(from, answer);
  }

  private static Frame absent(Frame question, boolean sure) {
    return answer(question).with("sure", sure).with("found", false);
  }

  private static Frame unsure(Frame question, boolean found) {
    return answer(question).with("sure", false).with("found", found).with("authority", false);
  }

  private static Frame answer(Frame question) {
    return Frame.of("look.ok").with("rid", question.number("rid"));
  }
}
