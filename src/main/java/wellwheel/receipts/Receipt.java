package wellwheel.receipts;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import wellwheel.replication.ReplicatedRecord;
import wellwheel.transport.Frame;

/**
 * The record that gives a key of a tenant in one queue to the partition that holds, or is about to
 * hold, its message. There is one for each scope (tenant, queue, key); it lies in the key's home
 * partition. Where the message lies in the home partition itself its own record takes this place.
 */
public final class Receipt extends ReplicatedRecord {
  /** Kind of the record in journals and in replication. */
  public static final String KIND = "r";

  private static final int WAITERS_MOST = 64;
  private static final int NOBODY = -1;

  /** Number of the home partition. */
  public final int home;

  public final String tenant;
  public final String service;
  public final String key;

  /** Digest of the request that the key is bound to. */
  public RequestDigest digest;

  /** The partition whose primary may accept a message under the key. */
  public int owner;

  /** Core time, in microseconds, after which the receipt is forgotten. */
  public long untilUs;

  private boolean stored;
  private Optional<String> messageId = Optional.empty();
  private long question;
  private final List<Runnable> waiters = new ArrayList<>();

  /** Reads a record that {@link #whole()} wrote. */
  public Receipt(Frame record) {
    home = record.small("l");
    tenant = record.text("t");
    service = record.text("sv");
    key = record.text("ik");
    update(record);
  }

  /** Takes over the newer contents of the same record. */
  public void update(Frame record) {
    digest = RequestDigest.read(record.bytes("dg"));
    owner = record.small("o");
    untilUs = record.number("x");
    revision = record.number("v");
    epoch = record.number("ep");
    messageId = Optional.empty();
    question = 0;
  }

  /** The identifier that the record in a frame has. */
  public static String idOf(Frame record) {
    return id(record.text("t"), record.text("sv"), record.text("ik"));
  }

  /** The identifier of the receipt of a scope. No message has such a one. */
  public static String id(String tenant, String service, String key) {
    return "receipt:" + service + "\n" + IdempotencyKey.scope(tenant, key);
  }

  @Override
  public String id() {
    return id(tenant, service, key);
  }

  /** The name of the key among all keys of the home partition. */
  public String scope() {
    return IdempotencyKey.scope(tenant, key);
  }

  @Override
  public Frame whole() {
    return Frame.of(KIND)
        .with("l", home)
        .with("t", tenant)
        .with("sv", service)
        .with("ik", key)
        .with("dg", digest.toBytes())
        .with("o", owner)
        .with("x", untilUs)
        .with("v", revision)
        .with("ep", epoch);
  }

  @Override
  public Frame transfer(boolean absent, boolean bodiless) {
    return whole();
  }

  @Override
  public String version() {
    return "receipt." + owner + "." + epoch + "." + revision;
  }

  /** Whether every copy that the home partition owes has the newest change on disk. */
  public boolean stored() {
    return stored;
  }

  /** Notes that a change is on its way to the copies. */
  public void changing() {
    stored = false;
  }

  /** Notes that every copy has the newest change and runs what waited for that. */
  public void settle() {
    stored = true;
    var waiting = List.copyOf(waiters);
    waiters.clear();
    waiting.forEach(Runnable::run);
  }

  /** Runs the task once the newest change is stored; past 64 tasks it is dropped. */
  public void whenStored(Runnable task) {
    if (stored) {
      task.run();
    } else if (waiters.size() < WAITERS_MOST) {
      waiters.add(task);
    }
  }

  /** Forgets the tasks that wait; the partition has another primary. */
  public void dropWaiters() {
    waiters.clear();
  }

  /** The message that the owner said it has accepted under the key, if it said so. */
  public Optional<String> messageId() {
    return messageId;
  }

  /** Notes which message the owner has accepted. */
  public void accepted(String id) {
    messageId = Optional.of(id);
  }

  /** Number of the question to the owner whose answer still counts; 0 if none does. */
  public long question() {
    return question;
  }

  /** Notes the number of the newest question to the owner. */
  public void asks(long number) {
    question = number;
  }

  /** The owner claims the key again: answers to earlier questions no longer count. */
  public void renewed(long newUntilUs) {
    question = 0;
    untilUs = Math.max(untilUs, newUntilUs);
  }

  /** Whether the key was given to a partition that has been proved to hold no message. */
  public boolean free() {
    return owner == NOBODY;
  }

  /** Frees the key: the owner has proved that it holds no message. */
  public void release() {
    owner = NOBODY;
    question = 0;
    revision++;
  }

  /** Gives the key to another partition, once it is proved that the owner holds no message. */
  public void giveTo(int newOwner, RequestDigest newDigest, long newUntilUs) {
    owner = newOwner;
    digest = newDigest;
    untilUs = Math.max(untilUs, newUntilUs);
    messageId = Optional.empty();
    question = 0;
    revision++;
  }
}
