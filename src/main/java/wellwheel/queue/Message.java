package wellwheel.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import wellwheel.config.Configuration;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.receipts.RequestDigest;
import wellwheel.replication.ReplicatedRecord;
import wellwheel.transport.Frame;

/** A message in a partition: its record on disk and what the primary knows of it beside that. */
final class Message extends ReplicatedRecord {
  enum State {
    WAITING,
    FINISHED,
    FAILED
  }

  /** Kind of the record that removes a message or receipt from a copy. */
  static final String REMOVAL = "x";

  private static final int ATTEMPTS_MOST = 8;

  final int partition;
  final String id;
  final String tenant;
  final String host;
  final String method;
  final String target;
  final String contentType;
  final String orderKey;

  /** Service at the time of the hand-in; known of messages with an idempotency key. */
  final String service;

  /** Idempotency key of the client, empty if there was none. */
  final String key;

  final RequestDigest digest;
  byte[] body;
  long number;
  final long acceptedUs;
  final long dueUs;
  final long expireUs;

  /** Revision of the newest configuration that allowed the hand-in. */
  final long admittedRevision;

  State state = State.WAITING;
  String seal = "";
  long endedUs;
  int fails;
  long attempt;
  String lease = "";
  long untilUs;
  String endedLease = "";
  boolean endedByWorker;
  boolean kept;
  boolean running;
  boolean settling;
  boolean doubted;
  boolean queued;
  long nextUs;
  long aimUs;
  long stamp;
  int bounces;
  List<String> after = List.of();
  String heldBy = "";

  /** Leases that their workers have ended, oldest first. */
  List<SettledLease> settled = List.of();

  /** The claim on the key that is not decided yet. */
  Optional<KeyClaim> claim = Optional.empty();

  /** Whether every copy has it, while its key is not decided yet. */
  boolean stored;

  /** Whether it has no place in its order yet, as its key was never granted. */
  boolean unlisted;

  /** Whether it was taken back before it was confirmed; its record then is its removal. */
  boolean withdrawn;

  long freedUs;
  String ranAt = "";
  String lastOutcome = "";
  List<String> attempts = List.of();
  long attemptSinceUs;
  long offeredUs;
  int rank;
  boolean spentOnNew;
  String ranVersion = "";
  Runnable onLeave = () -> {};
  final List<Consumer<PutOutcome>> keptWaiters = new ArrayList<>();
  final List<Runnable> settleWaiters = new ArrayList<>();

  Message(Frame frame) {
    partition = frame.small("l");
    id = frame.text("i");
    tenant = frame.text("t");
    host = frame.text("h");
    method = frame.text("m");
    target = frame.text("p");
    contentType = frame.text("ct");
    orderKey = frame.text("o");
    service = frame.text("sv");
    key = frame.text("ik");
    digest = RequestDigest.read(frame.bytes("dg"));
    body = frame.bytes("b");
    number = frame.number("n");
    acceptedUs = frame.number("a");
    dueUs = frame.number("d");
    expireUs = frame.number("x");
    admittedRevision = frame.number("cr");
    update(frame);
  }

  void update(Frame frame) {
    state = State.values()[frame.small("st")];
    seal = frame.text("sl");
    endedUs = frame.number("en");
    fails = frame.small("f");
    attempt = frame.number("g");
    revision = frame.number("v");
    epoch = frame.number("ep");
    lease = frame.has("le") ? partition + "." + frame.number("le") + "." + attempt : "";
    endedLease = frame.flag("ee") ? lease : "";
    endedByWorker = frame.flag("w");
    spentOnNew = frame.flag("z");
    after = frame.has("ra") ? List.copyOf(frame.texts("ra")) : List.of();
    heldBy = frame.text("hb");
    settled = SettledLease.unpack(frame.numbers("es"));
  }

  boolean isHandInOf(Frame put) {
    return tenant.equals(put.text("t"))
        && host.equals(put.text("h"))
        && method.equals(put.text("m"))
        && target.equals(put.text("p"))
        && orderKey.equals(put.text("o"))
        && key.equals(put.text("ik"))
        && digest.equals(RequestDigest.read(put.bytes("dg")));
  }

  static long epochOf(String lease) {
    return lease.isEmpty() ? 0 : Long.parseLong(lease.split("\\.")[1]);
  }

  static long attemptOf(String lease) {
    return lease.isEmpty() ? 0 : Long.parseLong(lease.split("\\.")[2]);
  }

  boolean keyed() {
    return !key.isEmpty();
  }

  String keyScope() {
    return IdempotencyKey.scope(tenant, key);
  }

  int homePartition() {
    return IdempotencyKey.homePartition(tenant, key);
  }

  /** The receipt of the lease, if its worker has ended it. */
  Optional<SettledLease> settlementOf(SettledLease end) {
    return settled.stream().filter(end::sameLease).findFirst();
  }

  /** The receipt of the lease in a list, empty if its worker has not ended it. */
  List<SettledLease> settledUnder(String ofLease) {
    var any = SettledLease.of(ofLease, 0, "");
    return settled.stream().filter(any::sameLease).toList();
  }

  void settles(SettledLease end) {
    var all = new ArrayList<>(settled);
    all.removeIf(end::sameLease);
    all.add(end);
    settled =
        List.copyOf(all.subList(Math.max(0, all.size() - SettledLease.KEPT_MOST), all.size()));
  }

  /** Takes back an end that was never confirmed; its lease is held again. */
  void undoEnd(int failsBefore) {
    var unconfirmed = settledUnder(lease);
    settled = settled.stream().filter(each -> !unconfirmed.contains(each)).toList();
    state = State.WAITING;
    seal = "";
    endedUs = 0;
    endedLease = "";
    endedByWorker = false;
    fails = failsBefore;
  }

  boolean yieldsTo(String otherLease, long openedEpoch) {
    var parts = otherLease.split("\\.");
    var epoch = epochOf(otherLease);
    var known = epochOf(lease);
    return epoch < openedEpoch
        && (epoch > known || epoch == known && Long.parseLong(parts[2]) > attempt);
  }

  void takeOver(String otherLease) {
    lease = otherLease;
    attempt = Long.parseLong(otherLease.split("\\.")[2]);
  }

  @Override
  public String id() {
    return id;
  }

  @Override
  public int bodyBytes() {
    return body.length;
  }

  @Override
  public Frame transfer(boolean absent, boolean bodiless) {
    return absent || bodiless && state != State.FINISHED ? whole() : change();
  }

  @Override
  public Frame whole() {
    if (withdrawn) {
      return removal(partition, id);
    }
    var frame = changeAndContents();
    return keyed() ? frame.with("sv", service).with("ik", key).with("dg", digest.toBytes()) : frame;
  }

  /** The record that removes another one. */
  static Frame removal(int partition, String recordId) {
    return Frame.of(REMOVAL).with("line", partition).with("id", recordId);
  }

  @Override
  public boolean mayLag() {
    return waiting() && !lease.isEmpty();
  }

  /** Whether the hand-in has the tenant and the key of this message. */
  boolean isUnderKeyOf(Frame handIn) {
    return tenant.equals(handIn.text("t")) && key.equals(handIn.text("ik"));
  }

  /** Whether the hand-in asks for what this message asked for. */
  boolean isRequestOf(Frame handIn) {
    return digest.equals(RequestDigest.read(handIn.bytes("dg")));
  }

  private Frame changeAndContents() {
    return change()
        .with("k", "m")
        .with("t", tenant)
        .with("h", host)
        .with("m", method)
        .with("p", target)
        .with("ct", contentType)
        .with("o", orderKey)
        .with("b", body)
        .with("n", number)
        .with("a", acceptedUs)
        .with("d", dueUs)
        .with("x", expireUs)
        .with("cr", admittedRevision);
  }

  Frame change() {
    var frame =
        Frame.of("u")
            .with("l", partition)
            .with("i", id)
            .with("st", state.ordinal())
            .with("sl", seal)
            .with("en", endedUs)
            .with("f", fails)
            .with("g", attempt)
            .with("v", revision)
            .with("ep", epoch)
            .with("w", endedByWorker)
            .with("z", spentOnNew)
            .with("ee", !lease.isEmpty() && endedLease.equals(lease));
    if (!after.isEmpty()) {
      frame.with("ra", List.<Object>copyOf(after));
    }
    if (!heldBy.isEmpty()) {
      frame.with("hb", heldBy);
    }
    if (!settled.isEmpty()) {
      frame.with("es", SettledLease.pack(settled));
    }
    return lease.isEmpty() ? frame : frame.with("le", Long.parseLong(lease.split("\\.")[1]));
  }

  void notes(String outcome) {
    lastOutcome = outcome;
    var all = new ArrayList<>(attempts);
    all.add((ranAt.isEmpty() ? "unknown" : ranAt) + ": " + outcome);
    attempts = List.copyOf(all.subList(Math.max(0, all.size() - ATTEMPTS_MOST), all.size()));
  }

  /** Whether an attempt under a lease that has not ended may still be running somewhere. */
  boolean mayBeRunning() {
    return !lease.isEmpty() && !lease.equals(endedLease);
  }

  /** The service that a configuration sends it to; empty if it has no route for it. */
  String serviceUnder(Configuration configuration) {
    return configuration.path(host, target).map(Configuration.Path::service).orElse("");
  }

  boolean waiting() {
    return state == State.WAITING;
  }

  String orderName() {
    return tenant + "\n" + orderKey;
  }

  @Override
  public String version() {
    return state.ordinal() + "." + fails + "." + epoch + "." + revision;
  }
}
