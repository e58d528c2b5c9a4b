package wellwheel.functions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import wellwheel.admission.RequestAdmission;
import wellwheel.cluster.ClusterLease;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.Clock;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.ResultCode;
import wellwheel.runtime.WakeUpTimer;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;
import wellwheel.transport.GracefulShutdown;
import wellwheel.transport.HeaderText;
import wellwheel.transport.Network;
import wellwheel.transport.RequestFields;

/**
 * State machine of a front: takes requests, passes each to the owner of its function, and is itself
 * the owner of some. Whoever dies in between leaves an {@code unsafe} request unknown; a {@code
 * safe} one is passed on again.
 */
public final class FrontNode implements Network.MessageHandler, GracefulShutdown.Node {
  private static final System.Logger LOG = System.getLogger("front");
  private static final int OPEN_MOST = 4096;
  private static final long DEFAULT_TIME_LEFT_US = 10_000_000;
  private static final long REPORT_SOON_US = 4_000;
  private static final long REPORT_US = 200_000;
  private static final long REPORT_IDLE_US = 1_000_000;
  private static final long DOWN_US = 2_000_000;
  private static final long PASS_AGAIN_US = 30_000;
  private static final long MOVED_AGAIN_US = 5_000;
  private static final long END_SLACK_US = 60_000;
  private static final int HOSTS_MOST = 4096;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String RETRY_AFTER_S = "0.2";

  private final NodeOptions options;
  private final Clock clock;
  private final Network network;
  private final InstanceClient client;
  private final ClusterLease clusterLease;
  private final RequestAdmission admission;
  private final RetryBudget retries;
  private final WakeUpTimer wakeUps;
  private final WakeUpTimer reports;
  private final Map<String, FunctionPool> pools = new LinkedHashMap<>();
  private final Map<Long, PassedCall> passed = new LinkedHashMap<>();
  private final Map<String, Long> downUs = new HashMap<>();
  private OwnerTable table = OwnerTable.NONE;
  private final String id;
  private long lastNumber;
  private long reportedUs;
  private int turn;
  private int owned;
  private boolean leaving;

  /** Whether nothing is passed on any more, as the process is about to end. */
  private boolean refusing;

  public FrontNode(
      NodeOptions options, Clock clock, Network network, InstanceClient client, long incarnation) {
    this.options = options;
    this.clock = clock;
    this.network = network;
    this.client = client;
    id = options.node() + "#" + Long.toHexString(incarnation & 0xffffffffL);
    lastNumber = (incarnation & 0x7fffffffL) << 32;
    turn = (int) incarnation;
    var functions = options.functions();
    retries =
        new RetryBudget(functions.retryWindowUs(), functions.retryRatio(), functions.retrySlack());
    clusterLease =
        new ClusterLease(
            clock,
            network,
            id,
            options.seeds().stream().map(NodeOptions::hostOf).toList(),
            () ->
                Frame.of("claim")
                    .with("role", "edge")
                    .with("zone", options.zone())
                    .with("leaving", leaving),
            () -> {});
    admission =
        new RequestAdmission(
            clusterLease, RequestAdmission.KeyRule.WHERE_CONFIGURED, options.revokeUs());
    wakeUps = new WakeUpTimer(clock, this::tick);
    reports = new WakeUpTimer(clock, this::report);
  }

  public ClusterLease clusterLease() {
    return clusterLease;
  }

  /** Whether clients may be sent here. */
  public synchronized boolean ready() {
    return !leaving
        && clusterLease.configuration().revision() > 0
        && clusterLease.ageUs() < options.revokeUs();
  }

  /** Renews the lease and reports, and asks to be called again when the next of both is due. */
  public synchronized void tick() {
    clusterLease.tick();
    var nowUs = clock.steadyUs();
    var busy = pools.values().stream().anyMatch(FunctionPool::busy);
    var reportUs = reportedUs + (busy || leaving ? REPORT_US : REPORT_IDLE_US);
    if (nowUs >= reportUs) {
      report();
    }
    wakeUps.by(Math.max(nowUs + 2_000, Math.min(clusterLease.dueUs(), reportUs)));
  }

  /** Takes a client's request. */
  public synchronized void onExchange(Exchange exchange) {
    var verdict = admission.admit(exchange);
    if (verdict instanceof RequestAdmission.Refused refused) {
      refuse(exchange, refused.code());
    } else if (exchange.header("Attempt-Id").filter(text -> !text.isBlank()).isEmpty()) {
      refuse(exchange, ResultCode.NO_ID);
    } else if (passed.size() >= OPEN_MOST) {
      refuse(exchange, ResultCode.NO_INSTANCE);
    } else {
      var admitted = (RequestAdmission.Admitted) verdict;
      pass(exchange, admitted.path(), admitted.tenant());
    }
  }

  private static void refuse(Exchange exchange, ResultCode code) {
    exchange.answer(
        code.status() == SERVICE_UNAVAILABLE
            ? Exchange.Answer.of(code, "Retry-After", RETRY_AFTER_S)
            : Exchange.Answer.of(code));
  }

  private void pass(
      Exchange exchange, Configuration.Path path, Optional<Configuration.Tenant> tenant) {
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
            clusterLease.configuration().revision());
    var number = ++lastNumber;
    var each = new PassedCall(exchange, call, nowUs + leftUs);
    passed.put(number, each);
    exchange.onClose(() -> clientGone(number));
    clock.after(leftUs + END_SLACK_US, () -> outOfTime(number));
    passOn(number, each);
  }

  private static long timeLeftUs(Exchange exchange) {
    var leftMs = RequestFields.number(exchange.header("Time-Left-Ms"), -1);
    return leftMs < 0 ? DEFAULT_TIME_LEFT_US : leftMs * 1000;
  }

  /** Nobody waits for the answer any more: a call that still waits is not to run. */
  private synchronized void clientGone(long number) {
    Optional.ofNullable(passed.remove(number))
        .filter(each -> !each.ownerIp.isEmpty())
        .ifPresent(each -> withdraw(number, each));
  }

  private synchronized void outOfTime(long number) {
    Optional.ofNullable(passed.remove(number))
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
    var nowUs = clock.steadyUs();
    var leftUs = each.untilUs - nowUs;
    each.ownerIp =
        owners().ownerOf(each.call.service(), options.zone(), turn++, ip -> usable(ip, nowUs));
    if (each.ownerIp.isEmpty()) {
      clock.after(PASS_AGAIN_US, () -> passAgain(number));
    } else if (each.ownerIp.equals(options.ip())) {
      own(
          new FunctionPool.CallKey(options.ip(), number),
          each.call.withLeft(each.triesLeft, leftUs),
          outcome -> over(options.ip(), number, outcome));
    } else {
      network.send(each.ownerIp, each.call.withLeft(each.triesLeft, leftUs).toFrame(number));
    }
  }

  private synchronized void passAgain(long number) {
    var each = passed.get(number);
    if (each != null && each.ownerIp.isEmpty()) {
      passOn(number, each);
    }
  }

  private OwnerTable owners() {
    return table.owners().isEmpty()
        ? new OwnerTable(0, clusterLease.view().members("edge"), Map.of())
        : table;
  }

  private boolean usable(String ip, long nowUs) {
    return nowUs - downUs.getOrDefault(ip, Long.MIN_VALUE / 2) > DOWN_US;
  }

  private void own(FunctionPool.CallKey key, FunctionCall call, Consumer<CallOutcome> done) {
    if (refusing) {
      done.accept(new CallOutcome.Moved());
      return;
    }
    var service = clusterLease.configuration().service(call.service());
    var function = service.flatMap(Configuration.Service::function);
    if (function.isEmpty()) {
      done.accept(withoutFunction(call));
      return;
    }
    var pool = poolOf(call.service());
    if (pool.isOpen(key)) {
      return;
    }
    if (!call.repeated()) {
      retries.called(clock.steadyUs());
    }
    pool.bounds(function.get().slots(), service.get().maxConns());
    owned++;
    pool.submit(
        key,
        call,
        outcome -> {
          owned--;
          done.accept(outcome);
        });
  }

  /**
   * A function unknown here may be one of a configuration that has not come yet: not run, again.
   */
  private CallOutcome withoutFunction(FunctionCall call) {
    return clusterLease.configuration().revision() < call.revision()
        ? new CallOutcome.Moved()
        : new CallOutcome.Ended(ResultCode.NO_INSTANCE);
  }

  private FunctionPool poolOf(String service) {
    return pools.computeIfAbsent(
        service, name -> new FunctionPool(name, clock, client, new PoolHost()));
  }

  private final class PoolHost implements FunctionPool.Host {
    @Override
    public boolean retry() {
      return retries.take(clock.steadyUs(), Math.max(1, owners().owners().size()));
    }

    @Override
    public boolean leaves() {
      return leaving
          && !table.owners().isEmpty()
          && table.owners().stream().noneMatch(owner -> owner.id().equals(id));
    }

    @Override
    public void report() {
      reports.within(REPORT_SOON_US);
    }

    @Override
    public void pumpAt(FunctionPool pool, long atUs) {
      clock.after(
          Math.max(1_000, atUs - clock.steadyUs()),
          () -> {
            synchronized (FrontNode.this) {
              pool.pump();
            }
          });
    }
  }

  /**
   * Takes the outcome of a call. Only its present owner decides what becomes of it; an answer
   * counts whoever sends it.
   */
  private synchronized void over(String ownerIp, long number, CallOutcome outcome) {
    var each = passed.get(number);
    var answered = outcome instanceof CallOutcome.Answered;
    if (each == null || !answered && !each.ownerIp.equals(ownerIp)) {
      return;
    }
    if (outcome instanceof CallOutcome.Moved) {
      each.ownerIp = "";
      clock.after(MOVED_AGAIN_US, () -> passAgain(number));
    } else if (outcome instanceof CallOutcome.Tried tried) {
      again(number, each, tried);
    } else {
      end(number, outcome);
    }
  }

  private void end(long number, CallOutcome outcome) {
    Optional.ofNullable(passed.remove(number)).ifPresent(each -> answer(each, outcome));
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

  private synchronized void report() {
    reportedUs = clock.steadyUs();
    var rows = new ArrayList<Object>();
    pools.values().forEach(pool -> rows.add(pool.row()));
    pools.values().removeIf(FunctionPool::empty);
    network.send(
        clusterLease.control(),
        Frame.of(Scaler.REPORT)
            .with("id", id)
            .with("zone", options.zone())
            .with("leaving", leaving)
            .with("v", table.version())
            .with("rows", rows));
  }

  @Override
  public synchronized void onFrame(String from, Frame frame) {
    downUs.remove(from);
    switch (frame.kind()) {
      case "claim.ok", "claim.no", "news" -> clusterLease.onFrame(from, frame);
      case FunctionCall.KIND -> {
        var number = frame.number("rid");
        own(
            new FunctionPool.CallKey(from, number),
            FunctionCall.read(frame),
            outcome -> network.send(from, outcome.toFrame(number)));
      }
      case CallWithdrawal.KIND -> withdraw(from, CallWithdrawal.read(frame));
      case CallOutcome.KIND -> over(from, frame.number("rid"), CallOutcome.read(frame));
      case OwnerTable.KIND -> take(OwnerTable.read(frame));
      case Scaler.ASSIGNED -> frame.frames("rows").forEach(this::assign);
      default -> {}
    }
  }

  /** Takes a newer table. That of a new leader is answered by a report, as it knows nothing yet. */
  private void take(OwnerTable fresh) {
    if (fresh.version() <= table.version()) {
      return;
    }
    var newLeader = fresh.term() != table.term();
    table = fresh;
    List.copyOf(pools.values()).forEach(FunctionPool::pump);
    if (newLeader) {
      report();
    }
  }

  private void assign(Frame row) {
    var pool = poolOf(row.text("s"));
    clusterLease
        .configuration()
        .service(row.text("s"))
        .ifPresent(
            service ->
                service
                    .function()
                    .ifPresent(function -> pool.bounds(function.slots(), service.maxConns())));
    pool.assign(row.frames("is"));
  }

  @Override
  public synchronized void onDown(String ip) {
    clusterLease.onDown(ip);
    if (downUs.size() > HOSTS_MOST) {
      downUs.clear();
    }
    downUs.put(ip, clock.steadyUs());
    for (var entry : List.copyOf(passed.entrySet())) {
      if (entry.getValue().ownerIp.equals(ip)) {
        LoopClock.guarded(() -> lost(entry.getKey(), entry.getValue()));
      }
    }
  }

  /**
   * An owner that cannot be reached may have sent the call to an instance: that counts as a try.
   */
  private void lost(long number, PassedCall each) {
    again(number, each, new CallOutcome.Tried(true));
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

  @Override
  public synchronized void onUnsent(String ip, Frame frame) {
    downUs.put(ip, clock.steadyUs());
    if (frame.kind().equals(FunctionCall.KIND)) {
      Optional.ofNullable(passed.get(frame.number("rid")))
          .filter(each -> each.ownerIp.equals(ip))
          .ifPresent(each -> passOn(frame.number("rid"), each));
    }
  }

  private void withdraw(String frontIp, CallWithdrawal withdrawal) {
    var key = new FunctionPool.CallKey(frontIp, withdrawal.requestNumber());
    List.copyOf(pools.values()).forEach(pool -> pool.withdraw(key));
  }

  /** Begins to leave: no more clients are wanted, and functions get other owners. */
  @Override
  public synchronized void leave() {
    leaving = true;
    clusterLease.renew();
    report();
    LOG.log(System.Logger.Level.INFO, "leaves with " + pools.size() + " functions");
  }

  /**
   * Asks the owners for what still waits there and refuses it here; calls of other fronts that wait
   * here go back to them. What runs at an instance goes on.
   */
  @Override
  public synchronized void refuseWaiting() {
    refusing = true;
    for (var entry : List.copyOf(passed.entrySet())) {
      recall(entry.getKey(), entry.getValue());
    }
    List.copyOf(pools.values()).forEach(FunctionPool::handBack);
  }

  private void recall(long number, PassedCall each) {
    if (each.ownerIp.isEmpty()) {
      passOn(number, each);
    } else {
      withdraw(number, each);
    }
  }

  private void withdraw(long number, PassedCall each) {
    if (each.ownerIp.equals(options.ip())) {
      withdraw(options.ip(), new CallWithdrawal(number));
    } else {
      network.send(each.ownerIp, new CallWithdrawal(number).toFrame());
    }
  }

  @Override
  public synchronized void answerRest() {
    List.copyOf(passed.keySet())
        .forEach(number -> end(number, new CallOutcome.Ended(ResultCode.RUN_UNKNOWN)));
  }

  @Override
  public synchronized boolean idle() {
    return passed.isEmpty() && owned == 0;
  }
}
