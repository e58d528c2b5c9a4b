package wellwheel.functions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import wellwheel.config.Configuration;
import wellwheel.runtime.Clock;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;
import wellwheel.transport.HeaderText;
import wellwheel.transport.Network;
import wellwheel.transport.RequestFields;

/**
 * The requests of a front's clients, from their arrival to their answers. Each is with one owner at
 * a time, which may be this node, and is sent to no more instances than its tries allow.
 */
final class PassedCalls {
  private static final int OPEN_MOST = 4096;
  private static final long DEFAULT_TIME_LEFT_US = 10_000_000;
  private static final long PASS_AGAIN_US = 30_000;
  private static final long MOVED_AGAIN_US = 5_000;
  private static final long END_SLACK_US = 60_000;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String RETRY_AFTER_S = "0.2";

  /** The owners of functions, as the front knows them. */
  interface Owners {
    /** The address of the owner to take the next call of a function; empty if there is none. */
    String choose(String service);

    /** Takes a call of this front that this node owns. */
    void own(FunctionPool.CallKey key, FunctionCall call, Consumer<CallOutcome> done);

    /** Takes one retry from this node's budget, if there is one left. */
    boolean retry();

    /** Ends a call that waits at this node as its owner. */
    void withdraw(FunctionPool.CallKey key);
  }

  private final Object lock;
  private final String ip;
  private final Clock clock;
  private final Network network;
  private final Owners owners;
  private final Map<Long, PassedCall> open = new LinkedHashMap<>();
  private long lastNumber;

  /** Whether nothing is passed on any more, as the process is about to end. */
  private boolean refusing;

  /**
   * @param lock guards the front; timers and clients' ends take it, all other callers hold it
   * @param firstNumber calls are numbered from here on, in each life of the front from elsewhere
   */
  PassedCalls(
      Object lock, String ip, Clock clock, Network network, Owners owners, long firstNumber) {
    this.lock = lock;
    this.ip = ip;
    this.clock = clock;
    this.network = network;
    this.owners = owners;
    lastNumber = firstNumber;
  }

  private void locked(Runnable task) {
    synchronized (lock) {
      task.run();
    }
  }

  boolean isEmpty() {
    return open.isEmpty();
  }

  static void refuse(Exchange exchange, ResultCode code) {
    exchange.answer(
        code.status() == SERVICE_UNAVAILABLE
            ? Exchange.Answer.of(code, "Retry-After", RETRY_AFTER_S)
            : Exchange.Answer.of(code));
  }

  /** Takes a client's request of a path, which a revision of the configuration let in. */
  void take(
      Exchange exchange,
      Configuration.Path path,
      Optional<Configuration.Tenant> tenant,
      long revision) {
    if (open.size() >= OPEN_MOST) {
      refuse(exchange, ResultCode.NO_INSTANCE);
      return;
    }
    var nowUs = clock.steadyUs();
    var leftUs = Math.min(timeLeftUs(exchange), path.giveUpUs());
    var fields = new ArrayList<>(HeaderFields.ofRequest(exchange.fields()));
    tenant.ifPresent(each -> fields.addAll(List.of("Customer", HeaderText.utf8(each.name()))));
    var call =
        new FunctionCall(
            path.service(),
            exchange.header("Attempt-Id").orElse(""),
            exchange.method(),
            exchange.target(),
            fields,
            exchange.body(),
            path.rank(),
            path.kind() == Configuration.Kind.SAFE,
            path.tries(),
            false,
            leftUs,
            revision);
    var number = ++lastNumber;
    var each = new PassedCall(exchange, call, nowUs + leftUs);
    open.put(number, each);
    exchange.onClose(() -> locked(() -> clientGone(number)));
    clock.after(leftUs + END_SLACK_US, () -> locked(() -> outOfTime(number)));
    passOn(number, each);
  }

  private static long timeLeftUs(Exchange exchange) {
    var leftMs = RequestFields.number(exchange.header("Time-Left-Ms"), -1);
    return leftMs < 0 ? DEFAULT_TIME_LEFT_US : leftMs * 1000;
  }

  /** Nobody waits for the answer any more: a call that still waits is not to run. */
  private void clientGone(long number) {
    Optional.ofNullable(open.remove(number))
        .filter(each -> !each.ownerIp.isEmpty())
        .ifPresent(each -> withdraw(number, each));
  }

  private void outOfTime(long number) {
    Optional.ofNullable(open.remove(number))
        .ifPresent(
            each ->
                answer(
                    each,
                    new CallOutcome.Ended(
                        each.ownerIp.isEmpty() ? ResultCode.NO_INSTANCE : ResultCode.OUT_OF_TIME)));
  }

  private void passOn(long number, PassedCall each) {
    if (refusing) {
      end(number, new CallOutcome.Ended(ResultCode.NO_INSTANCE));
      return;
    }
    var leftUs = each.untilUs - clock.steadyUs();
    each.ownerIp = owners.choose(each.call.service());
    if (each.ownerIp.isEmpty()) {
      clock.after(PASS_AGAIN_US, () -> locked(() -> passAgain(number)));
    } else if (each.ownerIp.equals(ip)) {
      owners.own(
          new FunctionPool.CallKey(ip, number),
          each.call.withLeft(each.triesLeft, leftUs),
          outcome -> locked(() -> over(ip, number, outcome)));
    } else {
      network.send(each.ownerIp, each.call.withLeft(each.triesLeft, leftUs).toFrame(number));
    }
  }

  private void passAgain(long number) {
    var each = open.get(number);
    if (each != null && each.ownerIp.isEmpty()) {
      passOn(number, each);
    }
  }

  /**
   * Takes the outcome of a call. Only its present owner decides what becomes of it; an answer
   * counts whoever sends it.
   */
  void over(String ownerIp, long number, CallOutcome outcome) {
    var each = open.get(number);
    var answered = outcome instanceof CallOutcome.Answered;
    if (each == null || !answered && !each.ownerIp.equals(ownerIp)) {
      return;
    }
    if (outcome instanceof CallOutcome.Moved) {
      each.ownerIp = "";
      clock.after(MOVED_AGAIN_US, () -> locked(() -> passAgain(number)));
    } else if (outcome instanceof CallOutcome.Tried tried) {
      again(number, each, tried);
    } else {
      end(number, outcome);
      withdrawFromOther(ownerIp, number, each);
    }
  }

  /** The call has its answer; an owner that it was passed on to meanwhile is not to begin it. */
  private void withdrawFromOther(String answeredIp, long number, PassedCall each) {
    if (!each.ownerIp.isEmpty() && !each.ownerIp.equals(answeredIp)) {
      withdraw(number, each);
    }
  }

  private void end(long number, CallOutcome outcome) {
    Optional.ofNullable(open.remove(number)).ifPresent(each -> answer(each, outcome));
  }

  private void answer(PassedCall each, CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Answered answered) {
      each.exchange.relay(answered.answer());
      return;
    }
    var code = ((CallOutcome.Ended) outcome).code();
    if (code == ResultCode.NO_INSTANCE && each.mayHaveRun) {
      each.exchange.answer(Exchange.Answer.of(ResultCode.RUN_UNKNOWN));
    } else if (code == ResultCode.NO_INSTANCE) {
      refuse(each.exchange, code);
    } else {
      each.exchange.answer(Exchange.Answer.of(code));
    }
  }

  /**
   * An owner that cannot be reached may have sent the call to an instance: that counts as a try,
   * and a further one needs the budget of retries, as it does at an owner.
   */
  private void lost(long number, PassedCall each) {
    var tried = new CallOutcome.Tried(true);
    var allowed = each.triesLeft > 1 && each.call.repeatable() && owners.retry();
    if (allowed) {
      again(number, each, tried);
    } else {
      end(number, tried.last());
    }
  }

  private void again(long number, PassedCall each, CallOutcome.Tried tried) {
    each.mayHaveRun |= tried.mayHaveRun();
    each.triesLeft--;
    if (each.triesLeft > 0 && (each.call.repeatable() || !each.mayHaveRun)) {
      passOn(number, each);
    } else {
      end(number, tried.last());
    }
  }

  private void recall(long number, PassedCall each) {
    if (each.ownerIp.isEmpty()) {
      passOn(number, each);
    } else {
      withdraw(number, each);
    }
  }

  private void withdraw(long number, PassedCall each) {
    if (each.ownerIp.equals(ip)) {
      owners.withdraw(new FunctionPool.CallKey(ip, number));
    } else {
      network.send(each.ownerIp, new CallWithdrawal(number).toFrame());
    }
  }

  /** Tells an owner which of its calls it is still to begin. */
  CallCheck.Answer check(String ownerIp, CallCheck check) {
    var wanted = new ArrayList<Long>();
    var unwanted = new ArrayList<Long>();
    for (var number : check.requestNumbers()) {
      var isHere =
          Optional.ofNullable(open.get(number)).filter(each -> each.ownerIp.equals(ownerIp));
      (isHere.isPresent() ? wanted : unwanted).add(number);
    }
    return new CallCheck.Answer(check.service(), wanted, unwanted);
  }

  /** An owner cannot be reached any more. */
  void lost(String ownerIp) {
    for (var entry : List.copyOf(open.entrySet())) {
      if (entry.getValue().ownerIp.equals(ownerIp)) {
        LoopClock.guarded(() -> lost(entry.getKey(), entry.getValue()));
      }
    }
  }

  /** A call has surely not left for its owner. */
  void unsent(String ownerIp, long number) {
    Optional.ofNullable(open.get(number))
        .filter(each -> each.ownerIp.equals(ownerIp))
        .ifPresent(each -> passOn(number, each));
  }

  /** Asks the owners for what still waits there, and passes nothing on any more. */
  void refuseWaiting() {
    refusing = true;
    for (var entry : List.copyOf(open.entrySet())) {
      recall(entry.getKey(), entry.getValue());
    }
  }

  /** Answers all that is open, as nothing more will be known of it here. */
  void answerRest() {
    List.copyOf(open.keySet())
        .forEach(number -> end(number, new CallOutcome.Ended(ResultCode.RUN_UNKNOWN)));
  }
}
