package wellwheel.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.receipts.Receipt;
import wellwheel.transport.Frame;

/** Answers an operator's questions about receipts from the partitions this node is primary of. */
final class ReceiptQueries {
  private static final int ROWS_MOST = 64;

  private ReceiptQueries() {}

  /** What is known of the tenant's key that the question names, and how many receipts there are. */
  static Frame answer(String node, Collection<Partition> partitions, Frame question, long nowUs) {
    var open = partitions.stream().filter(partition -> partition.open).toList();
    var rows = new ArrayList<Object>();
    if (!question.text("ik").isEmpty()) {
      open.forEach(partition -> addRows(rows, partition, question));
    }
    return Frame.of("receipts.rows")
        .with("rid", question.number("rid"))
        .with("node", node)
        .with("rows", List.copyOf(rows.subList(0, Math.min(ROWS_MOST, rows.size()))))
        .with("receipts", open.stream().mapToLong(each -> each.receipts.size()).sum())
        .with("messages", open.stream().mapToLong(ReceiptQueries::keyedMessages).sum())
        .with("bytes", open.stream().mapToLong(ReceiptQueries::bytes).sum())
        .with("oldest", open.stream().mapToLong(each -> oldestUs(each, nowUs)).max().orElse(0));
  }

  private static void addRows(List<Object> rows, Partition partition, Frame question) {
    var tenant = question.text("t");
    var key = question.text("ik");
    partition.underKey(tenant, key).stream()
        .filter(message -> isAsked(message.service, question))
        .forEach(message -> rows.add(row(message)));
    partition.receipts.inScope(IdempotencyKey.scope(tenant, key)).stream()
        .filter(receipt -> isAsked(receipt.service, question))
        .forEach(receipt -> rows.add(row(receipt)));
  }

  private static boolean isAsked(String service, Frame question) {
    return question.text("sv").isEmpty() || service.equals(question.text("sv"));
  }

  private static Frame row(Message message) {
    var state = message.state.name().toLowerCase(Locale.ROOT);
    return new Frame()
        .with("kind", "message")
        .with("name", StepDependencies.name(message))
        .with("sv", message.service)
        .with("home", message.homePartition())
        .with("l", message.partition)
        .with("dg", message.digest.toText())
        .with("state", message.kept ? state : "unknown: not accepted yet")
        .with("at", message.acceptedUs);
  }

  private static Frame row(Receipt receipt) {
    return new Frame()
        .with("kind", "receipt")
        .with("name", receipt.messageId().map(id -> receipt.owner + "-" + id).orElse(""))
        .with("sv", receipt.service)
        .with("home", receipt.home)
        .with("l", receipt.owner)
        .with("dg", receipt.digest.toText())
        .with("state", receipt.free() ? "free" : receipt.stored() ? "granted" : "being stored")
        .with("at", receipt.untilUs);
  }

  private static long keyedMessages(Partition partition) {
    return partition.messages().stream().filter(Message::keyed).count();
  }

  private static long bytes(Partition partition) {
    return partition.receipts.all().stream().mapToLong(each -> each.whole().pack().length).sum();
  }

  /** Age of the oldest key that is remembered, in microseconds. */
  private static long oldestUs(Partition partition, long nowUs) {
    return partition.messages().stream()
        .filter(Message::keyed)
        .mapToLong(message -> nowUs - message.acceptedUs)
        .max()
        .orElse(0);
  }
}
