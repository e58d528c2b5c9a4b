package wellwheel.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import wellwheel.cluster.ClusterLease;
import wellwheel.transport.Frame;

/** Tells an operator what the messages of a storage node wait for and what waits for them. */
final class StepsReport {
  private static final int ROWS_MOST = 400;

  private final Collection<Partition> partitions;
  private final StepDependencies steps;
  private final ClusterLease clusterLease;

  StepsReport(Collection<Partition> partitions, StepDependencies steps, ClusterLease clusterLease) {
    this.partitions = partitions;
    this.steps = steps;
    this.clusterLease = clusterLease;
  }

  /**
   * The rows of the steps that the question names, and of those that failed if it asks for them.
   */
  Frame answer(Frame question) {
    var rows = new ArrayList<Frame>();
    if (question.flag("failed")) {
      failedSteps(rows);
    }
    for (var step : question.texts("steps")) {
      partitions.stream()
          .filter(partition -> partition.open)
          .forEach(partition -> stepAndLaterOnes(partition, step, rows));
    }
    var rest = Math.max(0, rows.size() - ROWS_MOST);
    return Frame.of("steps.rows")
        .with("rid", question.number("rid"))
        .with("rows", List.<Object>copyOf(rows.subList(0, rows.size() - rest)))
        .with("rest", rest);
  }

  private void stepAndLaterOnes(Partition partition, String step, List<Frame> rows) {
    partition
        .message(idIn(partition, step))
        .ifPresent(message -> stepAndItsOrder(partition, message, rows));
    partition.messages().stream()
        .filter(Message::waiting)
        .filter(later -> later.after.contains(step) || later.heldBy.equals(step))
        .forEach(later -> rows.add(row(partition, later, step, "named")));
  }

  private static String idIn(Partition partition, String step) {
    return StepDependencies.partitionOf(step)
        .filter(number -> number == partition.number)
        .map(number -> StepDependencies.idOf(step))
        .orElse(step);
  }

  private void stepAndItsOrder(Partition partition, Message message, List<Frame> rows) {
    rows.add(row(partition, message, "", ""));
    for (var later : followers(partition, message)) {
      rows.add(row(partition, later, StepDependencies.name(message), "order"));
    }
  }

  private static List<Message> followers(Partition partition, Message message) {
    var order = message.orderKey.isEmpty() ? null : partition.orders.get(message.orderName());
    return order == null
        ? List.of()
        : order.stream().dropWhile(each -> each != message).skip(1).toList();
  }

  private void failedSteps(List<Frame> rows) {
    for (var partition : partitions) {
      if (!partition.open) {
        continue;
      }
      for (var message : partition.messages()) {
        if (message.waiting()
            && !message.lastOutcome.isEmpty()
            && (steps.relied(StepDependencies.name(message))
                || !followers(partition, message).isEmpty())) {
          rows.add(row(partition, message, "", ""));
        } else if (message.waiting() && !message.heldBy.isEmpty()) {
          rows.add(row(partition, message, message.heldBy, "named"));
        } else if (message.waiting()) {
          message.after.forEach(step -> rows.add(row(partition, message, step, "waits")));
        }
      }
    }
  }

  private Frame row(Partition partition, Message message, String of, String how) {
    var nowUs = clusterLease.coreUs();
    return new Frame()
        .with("k", StepDependencies.name(message))
        .with("t", message.tenant)
        .with("s", message.serviceUnder(clusterLease.configuration()))
        .with("st", message.state.ordinal())
        .with("w", message.ranAt)
        .with(
            "o",
            message.state == Message.State.FINISHED
                ? "ran"
                : message.running
                    ? "runs now"
                    : message.lastOutcome.isEmpty()
                        ? message.attempt == 0 ? "not run yet" : "may have run"
                        : message.lastOutcome)
        .with("at", List.<Object>copyOf(message.attempts))
        .with("n", Math.max(0, Math.max(message.nextUs, message.dueUs) - nowUs))
        .with("aim", Math.max(0, message.dueUs + message.aimUs - nowUs))
        .with("of", of)
        .with("how", how)
        .with("h", hold(partition, message, nowUs))
        .with("f", followers(partition, message).size());
  }

  private String hold(Partition partition, Message message, long nowUs) {
    if (!message.waiting()) {
      return "";
    }
    if (!message.heldBy.isEmpty()) {
      return "held until an operator decides: step " + message.heldBy + " failed or is forgotten";
    }
    if (!message.after.isEmpty()) {
      return "waits for step " + String.join(", ", message.after);
    }
    var order = message.orderKey.isEmpty() ? null : partition.orders.get(message.orderName());
    if (order != null && order.peekFirst() != message) {
      return "waits for "
          + StepDependencies.name(order.peekFirst())
          + ", which is before it in its order";
    }
    if (message.running) {
      return "runs at "
          + (message.ranAt.isEmpty() ? "a worker" : message.ranAt)
          + "; another runs it only if this one fails or stays silent";
    }
    if (message.dueUs > nowUs) {
      return "its delay is not over";
    }
    if (!AwaitingConfiguration.decidable(message, clusterLease.configuration().revision())) {
      return "waits until its storage node has configuration " + message.admittedRevision;
    }
    return message.nextUs > nowUs
        ? "waits before its next attempt, by whichever machine is free then"
        : "waits for a free machine";
  }
}
