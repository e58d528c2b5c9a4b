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
import wellwheel.runtime.ResultCode;
import wellwheel.runtime.WakeUpTimer;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;
import wellwheel.transport.GracefulShutdown;
import wellwheel.transport.Network;

/**
 * State machine of a front: takes requests, passes each to the owner of its function, and is itself
 * the owner of some. Whoever dies in between leaves an {@code unsafe} request unknown; a {@code
 * safe} one is passed on again.
 */
public final class FrontNode implements Network.MessageHandler, GracefulShutdown.Node {
  private static final System.Logger LOG = System.getLogger("front");
  private static final long REPORT_SOON_US = 4_000;
  private static final long REPORT_US = 200_000;
  private static final long REPORT_IDLE_US = 1_000_000;
  private static final long DOWN_US = 2_000_000;

  private static final int HOSTS_MOST = 4096;

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
  private final PassedCalls passed;
  private final Map<String, Long> downUs = new HashMap<>();
  private OwnerTable table = OwnerTable.NONE;
  private final String id;
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
    passed =
        new PassedCalls(
            this, options.ip(), clock, network, new Owners(), (incarnation & 0x7fffffffL) << 32);
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
      PassedCalls.refuse(exchange, refused.code());
    } else if (exchange.header("Attempt-Id").filter(text -> !text.isBlank()).isEmpty()) {
      PassedCalls.refuse(exchange, ResultCode.NO_ID);
    } else {
      var admitted = (RequestAdmission.Admitted) verdict;
      passed.take(
          exchange, admitted.path(), admitted.tenant(), clusterLease.configuration().revision());
    }
  }

  private final class Owners implements PassedCalls.Owners {
    @Override
    public String choose(String service) {
      var nowUs = clock.steadyUs();
      return owners().ownerOf(service, options.zone(), turn++, ip -> usable(ip, nowUs));
    }

    @Override
    public void own(FunctionPool.CallKey key, FunctionCall call, Consumer<CallOutcome> done) {
      FrontNode.this.own(key, call, FunctionPool.ALWAYS_WANTED_US, done);
    }

    @Override
    public boolean retry() {
      return FrontNode.this.retry();
    }

    @Override
    public void withdraw(FunctionPool.CallKey key) {
      FrontNode.this.withdraw(key);
    }
  }

  private boolean retry() {
    return retries.take(clock.steadyUs(), Math.max(1, owners().owners().size()));
  }

  private OwnerTable owners() {
    return table.owners().isEmpty()
        ? new OwnerTable(0, clusterLease.view().members("edge"), Map.of())
        : table;
  }

  private boolean usable(String ip, long nowUs) {
    return nowUs - downUs.getOrDefault(ip, Long.MIN_VALUE / 2) > DOWN_US;
  }

  private void own(
      FunctionPool.CallKey key, FunctionCall call, long wantedUs, Consumer<CallOutcome> done) {
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
        wantedUs,
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
      return FrontNode.this.retry();
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
    public void check(String frontIp, CallCheck check) {
      network.send(frontIp, check.toFrame());
    }

    @Override
    public void run(Runnable task) {
      synchronized (FrontNode.this) {
        task.run();
      }
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
      case FunctionCall.KIND -> ownFor(from, frame);
      case CallCheck.KIND ->
          network.send(from, passed.check(from, CallCheck.read(frame)).toFrame());
      case CallCheck.Answer.KIND -> {
        var answer = CallCheck.Answer.read(frame);
        Optional.ofNullable(pools.get(answer.service()))
            .ifPresent(pool -> pool.confirm(from, answer, sentUs(frame)));
      }
      case CallWithdrawal.KIND ->
          withdraw(new FunctionPool.CallKey(from, CallWithdrawal.read(frame).requestNumber()));
      case CallOutcome.KIND -> passed.over(from, frame.number("rid"), CallOutcome.read(frame));
      case OwnerTable.KIND -> take(OwnerTable.read(frame));
      case Scaler.ASSIGNED -> frame.frames("rows").forEach(this::assign);
      default -> {}
    }
  }

  /** Takes a call that another front passes on. A peer of the former version answers no checks. */
  private void ownFor(String frontIp, Frame frame) {
    var number = frame.number("rid");
    own(
        new FunctionPool.CallKey(frontIp, number),
        FunctionCall.read(frame),
        frame.delayKnown() ? sentUs(frame) : FunctionPool.ALWAYS_WANTED_US,
        outcome -> network.send(frontIp, outcome.toFrame(number)));
  }

  /** Steady time of this node at which a frame was sent, as far as its delay shows. */
  private long sentUs(Frame frame) {
    return clock.steadyUs() - frame.delayUs();
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
    passed.lost(ip);
  }

  @Override
  public synchronized void onUnsent(String ip, Frame frame) {
    downUs.put(ip, clock.steadyUs());
    if (frame.kind().equals(FunctionCall.KIND)) {
      passed.unsent(ip, frame.number("rid"));
    }
  }

  private void withdraw(FunctionPool.CallKey key) {
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
    passed.refuseWaiting();
    List.copyOf(pools.values()).forEach(FunctionPool::handBack);
  }

  @Override
  public synchronized void answerRest() {
    passed.answerRest();
  }

  @Override
  public synchronized boolean idle() {
    return passed.isEmpty() && owned == 0;
  }
}
