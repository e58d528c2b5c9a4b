package wellwheel.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import wellwheel.cluster.ClusterView;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.receipts.ReceiptTable;
import wellwheel.replication.ReplicatedRecord;
import wellwheel.transport.Frame;

/** This node's copy of a partition, with what it needs as the primary. */
final class Partition {
  /** The outcome of an attempt that the present primary has not acknowledged. */
  record UnownedOutcome(Frame outcome, long untilUs) {}

  /** Revisions of an epoch begin at the epoch shifted by so many bits. */
  static final int REVISION_BITS = 20;

  final int number;
  ClusterView.Partition place;
  boolean seen;
  Optional<Runnable> askedUnseen = Optional.empty();

  /** Whether this node acts as the primary. */
  boolean open;

  boolean member;
  boolean comparing;
  long epoch;
  long seq;
  long lastNumber;
  long openedEpoch;
  long low;
  long lowTold;
  long spokeUs;
  final Map<String, ArrayDeque<Message>> orders = new HashMap<>();
  final TreeMap<Long, PendingRecord> pending = new TreeMap<>();
  final Map<String, JoiningReplica> peers = new LinkedHashMap<>();
  final Map<String, UnownedOutcome> orphans = new LinkedHashMap<>();
  final ReceiptTable receipts = new ReceiptTable();

  /** Messages whose key has not been granted to this partition yet. */
  final Map<String, Message> claiming = new LinkedHashMap<>();

  private final Map<String, Message> messages = new LinkedHashMap<>();
  private final Map<String, List<Message>> byKeyScope = new HashMap<>();

  Partition(int number) {
    this.number = number;
    this.place = ClusterView.Partition.unknown(number);
  }

  /** Whether there are as many copies as acceptance needs and each has everything. */
  boolean whole() {
    return place.whole()
        && place.backups().stream()
            .allMatch(node -> peers.containsKey(node) && peers.get(node).level);
  }

  /** Whether new work and claims can be decided on here. */
  boolean decides() {
    return open && !comparing && whole();
  }

  Optional<Message> message(String id) {
    return Optional.ofNullable(messages.get(id));
  }

  /** The message of this identifier, or null. */
  Message messageOrNull(String id) {
    return messages.get(id);
  }

  Collection<Message> messages() {
    return messages.values();
  }

  int size() {
    return messages.size();
  }

  /** The messages that wait in the order of this one, first in first. */
  ArrayDeque<Message> orderOf(Message message) {
    return orders.computeIfAbsent(message.orderName(), name -> new ArrayDeque<>());
  }

  boolean holds(Message message) {
    return messages.get(message.id) == message;
  }

  /** Whether the record, as the very object, belongs to this copy. */
  boolean holds(ReplicatedRecord record) {
    return record(record.id()).filter(each -> each == record).isPresent();
  }

  /** The message or receipt of this identifier. */
  Optional<ReplicatedRecord> record(String id) {
    Optional<ReplicatedRecord> message = message(id).map(each -> each);
    return message.isPresent() ? message : receipts.get(id).map(each -> each);
  }

  /** All messages and receipts. */
  List<ReplicatedRecord> records() {
    var all = new ArrayList<ReplicatedRecord>(messages.values());
    all.addAll(receipts.all());
    return all;
  }

  void add(Message message) {
    messages.put(message.id, message);
    if (message.keyed()) {
      byKeyScope.computeIfAbsent(message.keyScope(), scope -> new ArrayList<>(1)).add(message);
    }
  }

  /** Forgets a message and returns it. */
  Optional<Message> remove(String id) {
    var old = Optional.ofNullable(messages.remove(id));
    old.ifPresent(this::unindex);
    return old;
  }

  void removeIf(Predicate<Message> leaves) {
    messages.values().stream()
        .filter(leaves)
        .map(message -> message.id)
        .toList()
        .forEach(this::remove);
  }

  void clear() {
    messages.clear();
    byKeyScope.clear();
    claiming.clear();
    receipts.clear();
    orders.clear();
    pending.clear();
    peers.clear();
    comparing = false;
  }

  private void unindex(Message message) {
    claiming.remove(message.id);
    var sameScope = byKeyScope.get(message.keyScope());
    if (message.keyed() && sameScope != null) {
      sameScope.remove(message);
      if (sameScope.isEmpty()) {
        byKeyScope.remove(message.keyScope());
      }
    }
  }

  /** The messages that were handed in under a key of a tenant. */
  List<Message> underKey(String tenant, String key) {
    return byKeyScope.getOrDefault(IdempotencyKey.scope(tenant, key), List.of());
  }
}
