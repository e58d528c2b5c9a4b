package wellwheel.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/**
 * Answers questions about states and bodies of messages. Only a primary tells a state, and only one
 * that no restart and no change of primary takes back: an end once it stands on every copy, {@code
 * waiting}, and that it does not know a message, once every copy has confirmed that this node was
 * still the primary after the question came. Whoever cannot be sure yet does not answer; the edge
 * node asks again until its own time is over.
 */
final class StateQueries {
  /** A node that has not heard of the control leader for so long does not say what is unknown. */
  private static final long SURE_LEASE_AGE_US = 1_000_000;

  /** Questions of one partition that wait for the copies to confirm its primary. */
  private static final class Confirmation {
    final long openedEpoch;
    List<Runnable> underWay = new ArrayList<>();
    List<Runnable> next = new ArrayList<>();

    Confirmation(long openedEpoch) {
      this.openedEpoch = openedEpoch;
    }
  }

  /** Runs a task once every copy of the partition has confirmed its primary. */
  interface PrimaryConfirmer {
    void confirm(Partition partition, Runnable then);
  }

  private final Map<Integer, Partition> partitions;
  private final Network network;
  private final LongSupplier leaseAgeUs;
  private final PrimaryConfirmer confirmer;
  private final Map<Integer, Confirmation> confirmations = new HashMap<>();

  StateQueries(
      Map<Integer, Partition> partitions,
      Network network,
      LongSupplier leaseAgeUs,
      PrimaryConfirmer confirmer) {
    this.partitions = partitions;
    this.network = network;
    this.leaseAgeUs = leaseAgeUs;
    this.confirmer = confirmer;
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
      network.send(from, absent(question, false));
      return;
    }
    var message = find(partition, question);
    if (message.isPresent()) {
      tellOnceSure(from, question, partition, message.get());
    } else {
      confirmed(partition, () -> tellOnceConfirmed(from, question, partition));
    }
  }

  /** The question names no partition, so every storage node is asked. */
  private void onQueryOfAny(String from, Frame question) {
    var holder = holder(question);
    if (holder.isEmpty()) {
      network.send(from, absent(question, leaseAgeUs.getAsLong() < SURE_LEASE_AGE_US));
    } else if (!holder.get().open) {
      network.send(from, absent(question, false));
    } else {
      var partition = holder.get();
      tellOnceSure(from, question, partition, find(partition, question).orElseThrow());
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

  private void tellOnceSure(String from, Frame question, Partition partition, Message message) {
    if (question.flag("any")) {
      tell(from, question, message);
    } else if (message.doubted) {
      return;
    } else if (message.waiting()) {
      confirmed(partition, () -> tellOnceConfirmed(from, question, partition));
    } else {
      tellEnd(from, question, message);
    }
  }

  private void tellOnceConfirmed(String from, Frame question, Partition partition) {
    var found = find(partition, question);
    if (found.isEmpty()) {
      network.send(from, absent(question, true));
    } else if (found.get().waiting() && !found.get().doubted) {
      tell(from, question, found.get());
    } else if (!found.get().doubted) {
      tellEnd(from, question, found.get());
    }
  }

  private void tellEnd(String from, Frame question, Message message) {
    if (message.settling) {
      message.settleWaiters.add(() -> tell(from, question, message));
    } else {
      tell(from, question, message);
    }
  }

  /** Questions that come while a confirmation is under way share the next one. */
  private void confirmed(Partition partition, Runnable task) {
    var confirmation = confirmations.get(partition.number);
    if (confirmation == null || confirmation.openedEpoch != partition.openedEpoch) {
      confirmation = new Confirmation(partition.openedEpoch);
      confirmations.put(partition.number, confirmation);
    }
    confirmation.next.add(task);
    if (confirmation.underWay.isEmpty()) {
      confirmNext(partition, confirmation);
    }
  }

  private void confirmNext(Partition partition, Confirmation confirmation) {
    confirmation.underWay = confirmation.next;
    confirmation.next = new ArrayList<>();
    confirmer.confirm(
        partition,
        () -> {
          var tasks = confirmation.underWay;
          confirmation.underWay = List.of();
          tasks.forEach(Runnable::run);
          if (confirmation.underWay.isEmpty() && !confirmation.next.isEmpty()) {
            confirmNext(partition, confirmation);
          }
        });
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

  /** Not known here; if that is not sure, it says nothing of the message. */
  private static Frame absent(Frame question, boolean sure) {
    return answer(question).with("sure", sure).with("found", false);
  }

  private static Frame answer(Frame question) {
    return Frame.of("look.ok").with("rid", question.number("rid"));
  }
}
