package wellwheel.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import wellwheel.runtime.Clock;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/** Asks all storage nodes about receipts for idempotency keys and puts their answers together. */
final class ReceiptGather {
  private static final long WAIT_US = 900_000;
  private static final int OPEN_MOST = 16;

  /**
   * What an operator wants to know.
   *
   * @param key empty: only how many receipts each node holds
   * @param service empty: every service
   */
  record Question(String tenant, String service, String key) {}

  private static final class Open {
    final Set<String> silent;
    final JsonArray receipts = new JsonArray();
    final JsonArray nodes = new JsonArray();
    final Consumer<ControlNode.Reply> answer;
    final boolean wantsNodes;

    Open(Set<String> ips, boolean wantsNodes, Consumer<ControlNode.Reply> answer) {
      this.silent = new LinkedHashSet<>(ips);
      this.wantsNodes = wantsNodes;
      this.answer = answer;
    }
  }

  private final Clock clock;
  private final Network network;
  private final Object lock;
  private final Map<Long, Open> open = new HashMap<>();
  private long lastNumber;

  ReceiptGather(Clock clock, Network network, Object lock, long firstNumber) {
    this.clock = clock;
    this.network = network;
    this.lock = lock;
    this.lastNumber = firstNumber;
  }

  /** Asks the storage nodes at these addresses; the caller holds the lock. */
  void ask(Question question, Set<String> ips, Consumer<ControlNode.Reply> answer) {
    if (open.size() >= OPEN_MOST) {
      answer.accept(ControlNode.Reply.of(ResultCode.NO_LEADER, "too many questions at once"));
      return;
    }
    var number = ++lastNumber;
    var gather = new Open(ips, question.key().isEmpty(), answer);
    open.put(number, gather);
    var frame =
        Frame.of("receipts.read")
            .with("rid", number)
            .with("t", question.tenant())
            .with("sv", question.service())
            .with("ik", question.key());
    ips.forEach(ip -> network.send(ip, frame));
    clock.after(
        WAIT_US,
        () -> {
          synchronized (lock) {
            finish(number);
          }
        });
  }

  /** Takes a node's answer; the caller holds the lock. */
  void take(String ip, Frame frame) {
    var number = frame.number("rid");
    Optional.ofNullable(open.get(number))
        .filter(gather -> gather.silent.remove(ip))
        .ifPresent(
            gather -> {
              frame.frames("rows").forEach(row -> gather.receipts.add(rowJson(row)));
              gather.nodes.add(nodeJson(frame));
              if (gather.silent.isEmpty()) {
                finish(number);
              }
            });
  }

  private void finish(long number) {
    var gather = open.remove(number);
    if (gather == null) {
      return;
    }
    if (!gather.wantsNodes && gather.receipts.isEmpty()) {
      gather.answer.accept(
          gather.silent.isEmpty()
              ? ControlNode.Reply.of(ResultCode.NO_MESSAGE, "nothing is known of this key")
              : ControlNode.Reply.of(
                  ResultCode.NO_LEADER, "not all storage nodes answered; ask again"));
      return;
    }
    var root = new JsonObject();
    root.add(
        gather.wantsNodes ? "Nodes" : "Receipts",
        gather.wantsNodes ? gather.nodes : gather.receipts);
    root.addProperty("StorageNodesSilent", gather.silent.size());
    gather.answer.accept(ControlNode.Reply.json(root));
  }

  private static JsonObject rowJson(Frame row) {
    var json = new JsonObject();
    json.addProperty("Kind", row.text("kind"));
    json.addProperty("Message", row.text("name"));
    json.addProperty("Service", row.text("sv"));
    json.addProperty("State", row.text("state"));
    json.addProperty("HomePartition", row.number("home"));
    json.addProperty("Partition", row.number("l"));
    json.addProperty("Digest", row.text("dg"));
    json.addProperty(
        row.text("kind").equals("receipt") ? "UntilUs" : "AcceptedUs", row.number("at"));
    return json;
  }

  private static JsonObject nodeJson(Frame frame) {
    var json = new JsonObject();
    json.addProperty("Node", frame.text("node"));
    json.addProperty("Receipts", frame.number("receipts"));
    json.addProperty("ReceiptBytes", frame.number("bytes"));
    json.addProperty("KeyedMessages", frame.number("messages"));
    json.addProperty("OldestS", frame.number("oldest") / 1_000_000);
    return json;
  }
}
