package wellwheel.functions;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import wellwheel.cluster.ClusterView;
import wellwheel.config.Configuration;
import wellwheel.runtime.Clock;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/**
 * Starts instances where calls need them, gives each to one owner, and stops what is idle. Only the
 * control leader does so, under its term as the fencing number. What a former leader started is
 * taken up from the platform's list and from the owners' reports.
 */
public final class Scaler {
  static final String REPORT = "report";
  static final String ASSIGNED = "assigned";
  private static final System.Logger LOG = System.getLogger("scaler");
  private static final long TICK_US = 100_000;
  private static final long INSTANCES_US = 1_000_000;
  private static final long WORKERS_US = 1_000_000;

  /** A new leader waits so long for the owners' reports before it gives their instances away. */
  private static final long SETTLE_US = 1_300_000;

  /** An instance that has been idle for so long may go to another owner of its function. */
  private static final long MOVED_IDLE_US = 400_000;

  /** Calls a second from which a function has owners in each zone. */
  private static final double HOT_PER_S = 12;

  /** Calls a second that one owner of a hot function is to take. */
  private static final double SHARD_PER_S = 50;

  /** What the scaler needs of the control node. */
  public interface Leadership {
    /** Whether this node leads, and is sure of it. */
    boolean leads();

    long term();

    Configuration configuration();

    /** The edge nodes that may own functions. */
    List<ClusterView.Member> owners();
  }

  private final Clock clock;
  private final Network network;
  private final Platform platform;
  private final Leadership leadership;
  private final long keepAliveUs;
  private final Workers workers = new Workers();
  private final PlatformOrders orders;
  private final InstanceRegistry instances = new InstanceRegistry();
  private final Map<String, Map<String, OwnerDemand>> demands = new LinkedHashMap<>();
  private final Set<String> reported = new HashSet<>();
  private OwnerTable table = OwnerTable.NONE;
  private long term = -1;
  private boolean listed;
  private boolean listing;
  private boolean listingWorkers;
  private long listedUs;
  private long workersUs;
  private long beganUs;

  Scaler(
      Clock clock,
      Network network,
      Platform platform,
      Leadership leadership,
      String name,
      long keepAliveUs,
      double startsPerS) {
    this.clock = clock;
    this.network = network;
    this.platform = platform;
    this.leadership = leadership;
    this.keepAliveUs = keepAliveUs;
    this.orders =
        new PlatformOrders(
            this,
            clock,
            platform,
            workers,
            new StartRate(startsPerS),
            name,
            fence -> fence == term && leads(),
            this::begun);
  }

  /** How often {@link #tick} wants to be called, in microseconds. */
  public static long tickUs() {
    return TICK_US;
  }

  /** Polls the platform, stops what is idle, and tells the fronts who owns what. */
  public synchronized void tick() {
    if (!leads()) {
      return;
    }
    poll();
    shareTable();
    if (listed) {
      stopIdle();
      List.copyOf(demands.keySet()).forEach(this::decide);
    }
  }

  private boolean leads() {
    if (!leadership.leads()) {
      return false;
    }
    if (leadership.term() != term) {
      begin();
    }
    return true;
  }

  private void begin() {
    term = leadership.term();
    instances.clear();
    demands.clear();
    listed = false;
    listedUs = Long.MIN_VALUE / 2;
    workersUs = Long.MIN_VALUE / 2;
    table = OwnerTable.NONE;
    orders.begin(term);
    reported.clear();
    beganUs = clock.steadyUs();
    LOG.log(System.Logger.Level.INFO, "scales functions under fence " + term);
  }

  private void poll() {
    var nowUs = clock.steadyUs();
    if (!listing && nowUs - listedUs >= INSTANCES_US) {
      listing = true;
      var ofTerm = term;
      platform.instances(found -> onInstances(ofTerm, found));
    }
    if (!listingWorkers && nowUs - workersUs >= WORKERS_US) {
      listingWorkers = true;
      platform.workers(this::onWorkers);
    }
  }

  private synchronized void onWorkers(Optional<List<Platform.Worker>> found) {
    listingWorkers = false;
    workersUs = clock.steadyUs();
    found.ifPresent(workers::list);
  }

  private synchronized void onInstances(long ofTerm, Optional<List<Platform.Listed>> found) {
    listing = false;
    listedUs = clock.steadyUs();
    if (found.isEmpty() || ofTerm != term || !leads()) {
      return;
    }
    listed = true;
    forgetLostOwners();
    instances.take(
        found.get(), clock.steadyUs(), drained -> tell(drained.service(), drained.owner()));
  }

  /** Frees the instances of owners that are gone and silent, and forgets such owners. */
  private void forgetLostOwners() {
    var nowUs = clock.steadyUs();
    demands.forEach(
        (service, owners) -> {
          var lost =
              owners.entrySet().stream()
                  .filter(each -> !mayOwn(each.getKey()) && each.getValue().silent(nowUs))
                  .map(Map.Entry::getKey)
                  .toList();
          lost.forEach(
              owner -> {
                owners.remove(owner);
                freeAll(service, owner);
              });
        });
    demands.values().removeIf(Map::isEmpty);
  }

  private void freeAll(String service, String owner) {
    for (var each : List.copyOf(instances.of(service).values())) {
      if (each.owner.equals(owner)) {
        handOver(each);
      }
    }
  }

  private void shareTable() {
    var owners = leadership.owners();
    var hot = hot(owners);
    if (owners.equals(table.owners()) && hot.equals(table.hot())) {
      return;
    }
    table = table.next(term, owners, hot);
    var frame = table.toFrame();
    owners.forEach(owner -> network.send(owner.ip(), frame));
  }

  /** The hot functions. One that is hot stays so until its flow has halved. */
  private Map<String, Integer> hot(List<ClusterView.Member> owners) {
    var zones = Math.max(1, owners.stream().map(ClusterView.Member::zone).distinct().count());
    var nowUs = clock.steadyUs();
    var hot = new TreeMap<String, Integer>();
    demands.forEach(
        (service, demandByOwner) -> {
          var perS = demandByOwner.values().stream().mapToDouble(each -> each.perS(nowUs)).sum();
          var before = table.hot().getOrDefault(service, 0);
          if (perS >= HOT_PER_S || before > 0 && perS >= HOT_PER_S / 2) {
            var shards = (int) Math.ceil(perS / zones / SHARD_PER_S);
            hot.put(service, Math.max(shards, Math.min(before, shards + 1)));
          }
        });
    return hot;
  }

  /** How each function stands, as JSON for operators. */
  public synchronized JsonObject state() {
    var root = new JsonObject();
    root.add("Functions", FunctionsReport.rows(instances, demands, clock.steadyUs()));
    root.addProperty("Starts", orders.starts());
    root.addProperty("Stops", orders.stops());
    root.addProperty("Fence", term);
    return root;
  }

  /** Takes a message of a front. */
  public synchronized void onFrame(String from, Frame frame) {
    if (frame.kind().equals(REPORT) && leads()) {
      onReport(from, frame);
    }
  }

  private void onReport(String from, Frame frame) {
    var owner = frame.text("id");
    if (!settled()) {
      reported.add(owner);
    }
    if (frame.number("v") < table.version()) {
      network.send(from, table.toFrame());
    }
    letGo(owner, frame.frames("rows"));
    for (var row : frame.frames("rows")) {
      hear(owner, from, frame, row);
      if (listed) {
        decide(row.text("s"));
        reconcile(owner, row);
      }
    }
  }

  private void hear(String owner, String ip, Frame report, Frame row) {
    var nowUs = clock.steadyUs() - report.delayUs();
    demands
        .computeIfAbsent(row.text("s"), key -> new LinkedHashMap<>())
        .computeIfAbsent(owner, key -> new OwnerDemand(ip, report.text("zone"), nowUs - TICK_US))
        .hear(
            row.small("w"),
            row.small("n"),
            row.number("a"),
            row.number("f"),
            row.number("b"),
            nowUs);
    var known = instances.of(row.text("s"));
    for (var each : row.frames("is")) {
      var instance = known.get(each.text("i"));
      if (instance == null && !listed) {
        instance = adopted(owner, row.text("s"), each, nowUs);
        known.put(instance.id, instance);
      }
      var mine =
          instance != null
              && (instance.owner.equals(owner) || instance.owner.isEmpty() && !settled());
      if (mine) {
        instance.owner = owner;
        instance.running = each.small("n");
        instance.proven |= each.flag("y");
        instance.idleSinceUs =
            instance.running > 0 || each.small("c") > 0 ? nowUs : instance.idleSinceUs;
      }
    }
  }

  /**
   * Instances that an owner has no more go to those for whom they were taken from it. Its report
   * names all that it has.
   */
  private void letGo(String owner, List<Frame> rows) {
    var awaited = instances.movingFrom(owner);
    if (awaited.isEmpty()) {
      return;
    }
    var has = new HashSet<String>();
    rows.forEach(row -> row.frames("is").forEach(each -> has.add(each.text("i"))));
    awaited.stream().filter(each -> !has.contains(each.id)).forEach(this::handOver);
  }

  private void handOver(ManagedInstance each) {
    each.free(clock.steadyUs());
    if (mayOwn(each.owner)) {
      tell(each.service, each.owner);
    } else {
      each.owner = "";
    }
  }

  /** Whether every owner has told what it has since this node leads, or has had the time to. */
  private boolean settled() {
    return clock.steadyUs() - beganUs > SETTLE_US
        || table.owners().stream().allMatch(owner -> reported.contains(owner.id()));
  }

  /** An instance of a former leader that the platform may not list yet. */
  private static ManagedInstance adopted(String owner, String service, Frame each, long nowUs) {
    var instance =
        new ManagedInstance(
            each.text("i"), service, each.text("a"), ManagedInstance.State.STARTING, nowUs, nowUs);
    instance.owner = owner;
    return instance;
  }

  /** Tells an owner what it may use, if that is not what it says that it uses. */
  private void reconcile(String owner, Frame row) {
    var told = row.frames("is").stream().map(each -> each.text("i")).sorted().toList();
    var may = instances.of(row.text("s"), owner).stream().map(each -> each.id).sorted().toList();
    if (!told.equals(may)) {
      tell(row.text("s"), owner);
    }
  }

  private void tell(String service, String owner) {
    var demand = demands.getOrDefault(service, Map.of()).get(owner);
    if (demand == null) {
      return;
    }
    var nowUs = clock.steadyUs();
    var rows = new ArrayList<Object>();
    for (var each : instances.of(service, owner)) {
      rows.add(
          new Frame()
              .with("i", each.id)
              .with("a", each.address)
              .with("u", Math.max(0, each.upUs - nowUs))
              .with("y", each.proven));
    }
    var row = new Frame().with("s", service).with("is", rows);
    network.send(demand.ip, Frame.of(ASSIGNED).with("rows", List.of(row)));
  }

  private boolean mayOwn(String owner) {
    return table.owners().stream().anyMatch(each -> each.id().equals(owner));
  }

  /**
   * Gives each owner of a function the instances that it needs, by moving idle ones or starting.
   */
  private void decide(String service) {
    var function = functionOf(service);
    if (function.isEmpty()) {
      return;
    }
    var shape = new ScalingPolicy.Shape(function.get().slots(), function.get().startupUs());
    for (var entry : demands.getOrDefault(service, Map.of()).entrySet()) {
      var owner = entry.getKey();
      if (!mayOwn(owner)) {
        continue;
      }
      var has =
          instances.of(service, owner).size()
              + (int) instances.awaited(service, owner)
              + orders.pending(service, owner);
      var wanted = ScalingPolicy.wanted(entry.getValue().figures(clock.steadyUs()), shape, has);
      var moved = move(service, owner, wanted - has, shape);
      for (var count = has + moved; count < wanted; count++) {
        orders.start(
            service,
            owner,
            entry.getValue().zone,
            function.get().memoryMb(),
            function.get().startupUs());
      }
    }
  }

  /**
   * Gives up to so many instances that nobody needs to the owner. One that another owner has comes
   * once that one has let it go, so that no slot is handed out twice.
   */
  private int move(String service, String owner, int most, ScalingPolicy.Shape shape) {
    var moved = 0;
    for (var each : instances.of(service).values()) {
      if (moved < most && !each.owner.equals(owner) && isSpare(each, shape)) {
        moved++;
        instances.move(each, owner);
        if (each.owner.isEmpty()) {
          handOver(each);
        } else {
          tell(service, each.owner);
        }
      }
    }
    return moved;
  }

  private boolean isSpare(ManagedInstance each, ScalingPolicy.Shape shape) {
    if (each.running > 0
        || each.moves()
        || each.state == ManagedInstance.State.DRAINING
        || !settled()) {
      return false;
    }
    if (each.owner.isEmpty() || !mayOwn(each.owner)) {
      return true;
    }
    var demand = demands.getOrDefault(each.service, Map.of()).get(each.owner);
    return clock.steadyUs() - Math.max(each.idleSinceUs, each.upUs) > MOVED_IDLE_US
        && (demand == null
            || demand.waiting == 0
                && instances.of(each.service, each.owner).size()
                    > ScalingPolicy.steady(demand.figures(clock.steadyUs()), shape));
  }

  private void begun(PlatformOrders.PendingStart start, Platform.Start.Begun begun) {
    var instance =
        new ManagedInstance(
            begun.id(),
            start.service(),
            begun.address(),
            ManagedInstance.State.STARTING,
            start.upUs(),
            clock.steadyUs());
    instance.owner = start.owner();
    instances.of(start.service()).putIfAbsent(instance.id, instance);
    tell(start.service(), start.owner());
  }

  private void stopIdle() {
    var nowUs = clock.steadyUs();
    for (var each : instances.all()) {
      if (mayStop(each, functionOf(each.service), nowUs)) {
        stop(each);
      }
    }
  }

  private Optional<Configuration.Function> functionOf(String service) {
    return leadership.configuration().service(service).flatMap(Configuration.Service::function);
  }

  private boolean mayStop(
      ManagedInstance each, Optional<Configuration.Function> function, long nowUs) {
    if (each.running > 0
        || each.moves()
        || each.state != ManagedInstance.State.READY
        || nowUs - Math.max(each.idleSinceUs, each.upUs) < keepAliveUs) {
      return false;
    }
    var demand = demands.getOrDefault(each.service, Map.of()).get(each.owner);
    if (demand == null || function.isEmpty()) {
      return true;
    }
    var shape = new ScalingPolicy.Shape(function.get().slots(), function.get().startupUs());
    return instances.of(each.service, each.owner).size()
        > ScalingPolicy.steady(demand.figures(clock.steadyUs()), shape);
  }

  private void stop(ManagedInstance each) {
    instances.stopped(each, clock.steadyUs());
    tell(each.service, each.owner);
    orders.stop(each.id);
  }
}
