package wellwheel.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wellwheel.transport.Frame;

final class Message {
  enum State {
    WAITING,
    FINISHED,
    FAILED
  }

  private static final int ATTEMPTS_MOST = 8;

  final int partition;
  final String id;
  final String tenant;
  final String host;
  final String method;
  final String target;
  final String contentType;
  final String orderKey;
  byte[] body;
  final long number;
  final long acceptedUs;
  final long dueUs;
  final long expireUs;
  State state = State.WAITING;
  String seal = "";
  long endedUs;
  int fails;
  long attempt;
  long epoch;
  long rev;
  long seq;
  String lease = "";
  long untilUs;
  String endedLease = "";
  boolean endedByWorker;
  boolean untold;
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
  final List<Consumer<Boolean>> keptWaiters = new ArrayList<>();
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
    body = frame.bytes("b");
    number = frame.number("n");
    acceptedUs = frame.number("a");
    dueUs = frame.number("d");
    expireUs = frame.number("x");
    update(frame);
  }

  void update(Frame frame) {
    state = State.values()[frame.small("st")];
    seal = frame.text("sl");
    endedUs = frame.number("en");
    fails = frame.small("f");
    attempt = frame.number("g");
    rev = frame.number("v");
    epoch = frame.number("ep");
    lease = frame.has("le") ? partition + "." + frame.number("le") + "." + attempt : "";
    endedLease = frame.flag("ee") ? lease : "";
    endedByWorker = frame.flag("w");
    untold = frame.flag("q");
    spentOnNew = frame.flag("z");
    after = frame.has("ra") ? List.copyOf(frame.texts("ra")) : List.of();
    heldBy = frame.text("hb");
  }

  boolean isHandInOf(Frame put) {
    return tenant.equals(put.text("t"))
        && host.equals(put.text("h"))
        && method.equals(put.text("m"))
        && target.equals(put.text("p"))
        && orderKey.equals(put.text("o"));
  }

  static long epochOf(String lease) {
    return lease.isEmpty() ? 0 : Long.parseLong(lease.split("\\.")[1]);
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

  Frame whole() {
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
        .with("x", expireUs);
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
            .with("v", rev)
            .with("ep", epoch)
            .with("w", endedByWorker)
            .with("q", untold)
            .with("z", spentOnNew)
            .with("ee", !lease.isEmpty() && endedLease.equals(lease));
    if (!after.isEmpty()) {
      frame.with("ra", List.<Object>copyOf(after));
    }
    if (!heldBy.isEmpty()) {
      frame.with("hb", heldBy);
    }
    return lease.isEmpty() ? frame : frame.with("le", Long.parseLong(lease.split("\\.")[1]));
  }

  void notes(String outcome) {
    lastOutcome = outcome;
    var all = new ArrayList<>(attempts);
    all.add((ranAt.isEmpty() ? "unknown" : ranAt) + ": " + outcome);
    attempts = List.copyOf(all.subList(Math.max(0, all.size() - ATTEMPTS_MOST), all.size()));
  }

  boolean olderThan(Frame record) {
    return epoch < record.number("ep") || epoch == record.number("ep") && rev <= record.number("v");
  }

  boolean waiting() {
    return state == State.WAITING;
  }

  String orderName() {
    return tenant + "\n" + orderKey;
  }

  String version() {
    return state.ordinal() + "." + fails + "." + epoch + "." + rev + (untold ? ".untold" : "");
  }
}
