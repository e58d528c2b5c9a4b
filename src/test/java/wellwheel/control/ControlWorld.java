package wellwheel.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import wellwheel.cluster.ClusterLease;
import wellwheel.config.NodeOptions;
import wellwheel.consensus.Raft;
import wellwheel.runtime.Clock;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

final class ControlWorld {
  static final long SECOND = 1_000_000;
  private static final long TICK_US = 50_000;
  private static final long LEARN_US = 1_000_000;
  private static final long SYNC_US = 700;
  private static final long RESTART_US = 600_000;
  private static final long LEAVE_POLL_US = 20_000;
  private static final long LEAVE_MOST_US = 2_000_000;
  private static final long END_US = 150_000;
  private static final long QUEUED_BYTES_MOST = 32L << 20;
  private static final long SILENT_US = 950_000;
  private static final long HELD_TASK_US = 40;
  private static final long LIST_LAG_US = 3_000_000;
  static final double FULL_BYTES_PER_US = 120;

  record Shape(int controlNodes, int survive, int edges, int storageNodes) {
    static Shape three() {
      return new Shape(3, 1, 2, 2);
    }

    static Shape five() {
      return new Shape(5, 2, 2, 3);
    }
  }

  enum Order {
    TIMERS_FIRST,
    FRAMES_FIRST,
    CALLS_FIRST,
    MIXED,
    BY_STREAM
  }

  enum Ways {
    BOTH,
    OUT,
    IN
  }

  record Cut(Set<String> side, Ways ways, boolean holds, long breaksUs) {
    boolean covers(String from, String to) {
      return side.contains(from) != side.contains(to)
          && (ways == Ways.BOTH || (ways == Ways.OUT) == side.contains(from));
    }
  }

  private record Event(long atUs, long turn, Runnable task) {}

  private record Held(String stream, int life, Runnable task) {}

  private static final long LEAST_DELAY_US = 300;

  private record Sent(int fromLife, int toLife, byte[] bytes, long atUs) {}

  private static final class Link {
    final Machine from;
    final Machine to;
    long arrivesUs;
    long queuedBytes;
    long headSinceUs;
    double headBytes;
    long turns;
    double bytesPerUs = FULL_BYTES_PER_US;
    boolean breaks;
    final ArrayDeque<Sent> queue = new ArrayDeque<>();
    final List<Sent> heldUp = new ArrayList<>();

    Link(Machine from, Machine to) {
      this.from = from;
      this.to = to;
    }
  }

  final class Machine {
    final String ip;
    final String role;
    final ModelDisk disk;
    final double rate = 1 + (random.nextDouble() - 0.5) * 0.002;
    final long bootUs = random.nextInt(1_000_000_000);
    long wallSkewUs;
    int life;
    boolean up;
    boolean powered;
    boolean firstBoot;
    boolean removed;
    boolean leaving;
    long frozenUntilUs;
    Order thaw = Order.MIXED;
    private long drainedUs;
    Optional<ControlNode> node = Optional.empty();
    Optional<ClusterLease> clusterLease = Optional.empty();
    private final List<Held> held = new ArrayList<>();

    Machine(String ip, String role) {
      this.ip = ip;
      this.role = role;
      disk =
          new ModelDisk(
              new ModelDisk.Host() {
                @Override
                public void after(long waitUs, Runnable task) {
                  ControlWorld.this.after(waitUs, task);
                }

                @Override
                public void call(int atLife, Runnable task) {
                  awake(atLife, "disk", task);
                }
              },
              random,
              SYNC_US);
    }

    long steadyUs() {
      return bootUs + (long) (nowUs * rate);
    }

    boolean frozen() {
      return nowUs < frozenUntilUs;
    }

    Raft raft() {
      return node.orElseThrow().raft();
    }

    boolean well() {
      return up && !frozen() && !leaving && cuts.stream().noneMatch(cut -> cut.side().contains(ip));
    }

    void awake(int atLife, String stream, Runnable task) {
      if (!up || life != atLife) {
        return;
      }
      if (frozen()) {
        held.add(new Held(stream, atLife, task));
      } else if (nowUs < drainedUs) {
        at(drainedUs, () -> awake(atLife, stream, task));
      } else {
        guarded(this, task);
      }
    }

    private void thawNow() {
      if (frozen()) {
        return;
      }
      var tasks = sorted(List.copyOf(held), thaw);
      held.clear();
      drainedUs = nowUs + tasks.size() * HELD_TASK_US;
      for (var i = 0; i < tasks.size(); i++) {
        var each = tasks.get(i);
        at(nowUs + i * HELD_TASK_US, () -> drain(each));
      }
    }

    private void drain(Held each) {
      if (frozen()) {
        held.add(each);
      } else if (up && life == each.life()) {
        guarded(this, each.task());
      }
    }

    void start() {
      life++;
      up = true;
      powered = true;
      leaving = false;
      var clock = new ModelClock(this, life);
      var wire = new ModelWire(this, life);
      var atLife = life;
      if (role.equals("control")) {
        guarded(
            this,
            () -> {
              node =
                  Optional.of(
                      new ControlNode(
                          options(this), clock, wire, disk.bind(atLife), random.nextLong()));
              node.get().onBroken(why -> faults.add(nowUs, "state is broken", ip + ": " + why));
            });
      } else {
        var seeds = seeds(this);
        clusterLease =
            Optional.of(
                new ClusterLease(
                    clock,
                    wire,
                    ip + "#" + life,
                    seeds,
                    () ->
                        Frame.of("claim")
                            .with("role", role)
                            .with("zone", "north")
                            .with("life", "" + atLife),
                    () -> {}));
      }
      firstBoot = false;
      beat(life, TICK_US, this::tick);
      beat(life, LEARN_US, () -> node.ifPresent(ControlNode::learn));
    }

    private void beat(int atLife, long everyUs, Runnable task) {
      after(
          (long) (everyUs / rate),
          () ->
              awake(
                  atLife,
                  "timer",
                  () -> {
                    beat(atLife, everyUs, task);
                    task.run();
                  }));
    }

    private void tick() {
      node.ifPresent(ControlNode::tick);
      clusterLease.ifPresent(ClusterLease::tick);
      clusterLease.filter(each -> role.equals("storage")).ifPresent(this::tellLevel);
    }

    private void tellLevel(ClusterLease each) {
      var id = ip + "#" + life;
      each.view().partitions().stream()
          .filter(line -> line.joining().equals(id))
          .limit(8)
          .forEach(
              line ->
                  transmit(
                      this,
                      life,
                      each.control(),
                      Frame.of("line.level")
                          .with("line", line.number())
                          .with("node", id)
                          .with("epoch", line.epoch())));
    }

    private void hear(String from, Frame frame) {
      node.ifPresent(each -> each.onFrame(from, frame));
      clusterLease.ifPresent(each -> each.onFrame(from, frame));
    }

    private void hearDown(String peer) {
      node.ifPresent(each -> each.onDown(peer));
      clusterLease.ifPresent(each -> each.onDown(peer));
    }

    private void end() {
      up = false;
      life++;
      frozenUntilUs = 0;
      drainedUs = 0;
      held.clear();
      node = Optional.empty();
      clusterLease = Optional.empty();
    }
  }

  private final class ModelClock implements Clock {
    private final Machine machine;
    private final int life;

    ModelClock(Machine machine, int life) {
      this.machine = machine;
      this.life = life;
    }

    @Override
    public long steadyUs() {
      return machine.steadyUs();
    }

    @Override
    public long wallUs() {
      return nowUs + 1_700_000_000_000_000L + machine.wallSkewUs;
    }

    @Override
    public Schedule after(long waitUs, Runnable task) {
      var live = new boolean[] {true};
      ControlWorld.this.after(
          (long) Math.max(1, waitUs / machine.rate),
          () ->
              machine.awake(
                  life,
                  "timer",
                  () -> {
                    if (live[0]) {
                      task.run();
                    }
                  }));
      return () -> live[0] = false;
    }
  }

  private final class ModelWire implements Network {
    private final Machine machine;
    private final int life;

    ModelWire(Machine machine, int life) {
      this.machine = machine;
      this.life = life;
    }

    @Override
    public void send(String peerIp, Frame frame) {
      transmit(machine, life, peerIp, frame);
    }
  }

  final Random random;
  final Faults faults = new Faults();
  final Shape shape;
  final LogHistory log;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<String, Link> links = new HashMap<>();
  private final Set<Cut> cuts = new LinkedHashSet<>();
  private final Map<String, Long> bytesTo = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atUs() != b.atUs()
                  ? Long.compare(a.atUs(), b.atUs())
                  : Long.compare(a.turn(), b.turn()));
  private final TreeMap<Long, List<String>> lists = new TreeMap<>();
  private long nowUs = SECOND;
  private long turn;
  private long biggestFrame;
  private Runnable sample = () -> {};

  ControlWorld(Shape shape, long seed) {
    this.shape = shape;
    random = new Random(seed);
    log = new LogHistory(faults);
    for (var i = 0; i < shape.controlNodes(); i++) {
      add("control").firstBoot = true;
    }
    listAgain();
    for (var i = 0; i < shape.edges() + shape.storageNodes(); i++) {
      add(i < shape.edges() ? "edge" : "storage");
    }
    machines.values().forEach(machine -> after(1 + random.nextInt(400_000), machine::start));
    after(100_000, this::sampleAgain);
  }

  private Machine add(String role) {
    var machine = new Machine("10.0.0." + (machines.size() + 1), role);
    machines.put(machine.ip, machine);
    return machine;
  }

  private void sampleAgain() {
    sample.run();
    after(100_000, this::sampleAgain);
  }

  void eachSample(Runnable task) {
    var before = sample;
    sample =
        () -> {
          before.run();
          task.run();
        };
  }

  private List<String> seeds(Machine machine) {
    var list = new ArrayList<>(listed());
    if (!machine.firstBoot) {
      Collections.shuffle(list, random);
    }
    return List.copyOf(list.subList(0, Math.min(3, list.size())));
  }

  /** The operators' list of machines as it stood some seconds ago. */
  List<String> listed() {
    return Optional.ofNullable(lists.floorEntry(nowUs - LIST_LAG_US))
        .orElse(lists.firstEntry())
        .getValue();
  }

  private void listAgain() {
    lists.put(nowUs, members().stream().map(each -> each.ip).toList());
  }

  private NodeOptions options(Machine machine) {
    var seeds = seeds(machine).stream().map(ip -> "\"" + ip + ":8741\"").toList();
    try {
      return NodeOptions.read(
          "{\"NodeName\":\"core-"
              + machine.ip
              + "\",\"Ip\":\""
              + machine.ip
              + "\",\"Zone\":\"north\",\"ListenOn\":{\"Control\":\""
              + machine.ip
              + ":8741\"},"
              + "\"InternalPorts\":[7100,7115],\"SeedNodes\":"
              + seeds
              + ",\"FirstBoot\":"
              + machine.firstBoot
              + ",\"Survive\":{\"Machines\":"
              + shape.survive()
              + "}}");
    } catch (NodeOptions.Unusable e) {
      throw new IllegalStateException(e);
    }
  }

  private void guarded(Machine machine, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      var places = List.of(e.getStackTrace()).subList(0, Math.min(4, e.getStackTrace().length));
      faults.add(nowUs, "exception", machine.ip + " throws " + e + " at " + places);
    }
    if (machine.up && machine.node.isPresent()) {
      log.observe(nowUs, this, machine);
    }
  }

  private List<Held> sorted(List<Held> tasks, Order order) {
    if (order == Order.MIXED || order == Order.BY_STREAM) {
      return mixed(tasks, order == Order.MIXED ? 20 : tasks.size());
    }
    var first =
        order == Order.TIMERS_FIRST ? "timer" : order == Order.FRAMES_FIRST ? "link" : "call";
    var sorted =
        new ArrayList<>(tasks.stream().filter(each -> each.stream().startsWith(first)).toList());
    sorted.addAll(tasks.stream().filter(each -> !each.stream().startsWith(first)).toList());
    return sorted;
  }

  private List<Held> mixed(List<Held> tasks, int most) {
    var streams = new LinkedHashMap<String, ArrayList<Held>>();
    tasks.forEach(
        each -> streams.computeIfAbsent(each.stream(), key -> new ArrayList<>()).add(each));
    var names = new ArrayList<>(streams.keySet());
    var out = new ArrayList<Held>();
    while (!names.isEmpty()) {
      var name = names.get(random.nextInt(names.size()));
      var count =
          Math.min(
              streams.get(name).size(), most == tasks.size() ? most : 1 + random.nextInt(most));
      var part = streams.get(name).subList(0, count);
      out.addAll(part);
      part.clear();
      names.removeIf(each -> streams.get(each).isEmpty());
    }
    return out;
  }

  private Link link(Machine from, Machine to) {
    return links.computeIfAbsent(from.ip + ">" + to.ip, key -> new Link(from, to));
  }

  private Optional<Cut> cutOf(String from, String to) {
    return cuts.stream().filter(cut -> cut.covers(from, to)).findFirst();
  }

  private void transmit(Machine from, int life, String peerIp, Frame frame) {
    if (peerIp.isEmpty() || from.life != life) {
      return;
    }
    var bytes = frame.pack();
    if (peerIp.equals(from.ip)) {
      after(
          1,
          () -> from.awake(life, "link:" + peerIp, () -> from.hear(peerIp, Frame.unpack(bytes))));
      return;
    }
    var peer = Optional.ofNullable(machines.get(peerIp)).filter(each -> each.powered);
    if (peer.isEmpty() || !peer.get().up) {
      tellDown(from, life, peerIp, frame, peer.isEmpty() ? 400_000 : 2_000);
      return;
    }
    biggestFrame = Math.max(biggestFrame, peer.get().role.equals("control") ? bytes.length : 0);
    var sent = new Sent(life, peer.get().life, bytes, nowUs);
    var cut = cutOf(from.ip, peerIp);
    if (cut.isEmpty()) {
      carry(link(from, peer.get()), sent, frame);
    } else if (cut.get().holds() && nowUs < cut.get().breaksUs()) {
      link(from, peer.get()).heldUp.add(sent);
    } else {
      tellDown(from, life, peerIp, frame, 400_000 + random.nextInt(600_000));
    }
  }

  private void tellDown(Machine from, int life, String peerIp, Frame frame, long waitUs) {
    after(
        waitUs,
        () ->
            from.awake(
                life,
                "down",
                () -> {
                  from.hearDown(peerIp);
                  from.node.ifPresent(each -> each.onUnsent(peerIp, frame));
                }));
  }

  private long delayUs() {
    return LEAST_DELAY_US
        + random.nextInt(900)
        + (random.nextInt(400) == 0 ? random.nextInt(30_000) : 0);
  }

  private void carry(Link link, Sent sent, Frame frame) {
    if (link.queuedBytes > QUEUED_BYTES_MOST) {
      tellDown(link.from, sent.fromLife(), link.to.ip, frame, 1_000);
      return;
    }
    link.queuedBytes += sent.bytes().length;
    bytesTo.merge(link.to.ip, (long) sent.bytes().length, Long::sum);
    link.queue.add(sent);
    if (link.queue.size() == 1) {
      link.headBytes = sent.bytes().length;
      push(link);
    }
  }

  private void push(Link link) {
    link.headSinceUs = nowUs;
    var turnNow = ++link.turns;
    after(
        (long) (link.headBytes / link.bytesPerUs),
        () -> {
          if (turnNow == link.turns) {
            pushed(link);
          }
        });
  }

  private void pushed(Link link) {
    var sent = link.queue.removeFirst();
    link.queuedBytes -= sent.bytes().length;
    link.arrivesUs = Math.max(link.arrivesUs, nowUs + delayUs());
    at(link.arrivesUs, () -> arrive(link, sent));
    if (link.breaks && !link.queue.isEmpty() && nowUs - link.queue.peekFirst().atUs() > SILENT_US) {
      link.queue.clear();
      link.queuedBytes = 0;
      after(
          1_000,
          () -> link.from.awake(sent.fromLife(), "down", () -> link.from.hearDown(link.to.ip)));
    }
    if (!link.queue.isEmpty()) {
      link.headBytes = link.queue.peekFirst().bytes().length;
      push(link);
    }
  }

  private void repace(Link link, double bytesPerUs, boolean breaks) {
    link.headBytes = Math.max(0, link.headBytes - (nowUs - link.headSinceUs) * link.bytesPerUs);
    link.bytesPerUs = bytesPerUs;
    link.breaks = breaks;
    if (!link.queue.isEmpty()) {
      push(link);
    }
  }

  private void arrive(Link link, Sent sent) {
    var cut = cutOf(link.from.ip, link.to.ip);
    if (cut.isPresent()) {
      if (cut.get().holds()) {
        link.heldUp.add(sent);
      }
      return;
    }
    link.to.awake(
        sent.toLife(),
        "link:" + link.from.ip,
        () -> link.to.hear(link.from.ip, Frame.unpack(sent.bytes()).delayedBy(heldUs(sent))));
  }

  private long heldUs(Sent sent) {
    return Math.max(0, nowUs - sent.atUs() - LEAST_DELAY_US);
  }

  void at(long atUs, Runnable task) {
    events.add(new Event(Math.max(atUs, nowUs), turn++, task));
  }

  void after(long waitUs, Runnable task) {
    at(nowUs + waitUs, task);
  }

  void runFor(long spanUs) {
    var untilUs = nowUs + spanUs;
    while (!events.isEmpty() && events.peek().atUs() <= untilUs && faults.none()) {
      var event = events.poll();
      nowUs = event.atUs();
      event.task().run();
    }
    nowUs = untilUs;
  }

  long nowUs() {
    return nowUs;
  }

  long biggestFrame() {
    return biggestFrame;
  }

  long bytesTo(Machine machine) {
    return bytesTo.getOrDefault(machine.ip, 0L);
  }

  List<Machine> machines(String role) {
    return machines.values().stream().filter(each -> each.role.equals(role)).toList();
  }

  Machine machine(String ip) {
    return machines.get(ip);
  }

  List<Machine> members() {
    return machines("control").stream().filter(each -> !each.removed).toList();
  }

  Optional<Machine> leader() {
    return members().stream().filter(each -> each.well() && each.raft().leadsFreshly()).findFirst();
  }

  void ask(Machine machine, Consumer<ControlNode> call) {
    var life = machine.life;
    after(
        200 + random.nextInt(400),
        () -> machine.awake(life, "call", () -> machine.node.ifPresent(call)));
  }

  void freeze(Machine machine, long spanUs, Order thaw) {
    machine.frozenUntilUs = nowUs + spanUs;
    machine.thaw = thaw;
    at(machine.frozenUntilUs, machine::thawNow);
    if (spanUs > SILENT_US) {
      connectionsEnd(machine, SILENT_US);
    }
  }

  Cut cut(List<Machine> side, Ways ways, boolean holds, long breaksAfterUs) {
    var ips = new LinkedHashSet<>(side.stream().map(each -> each.ip).toList());
    var cut = new Cut(ips, ways, holds, nowUs + breaksAfterUs);
    cuts.add(cut);
    return cut;
  }

  void join(Cut cut) {
    cuts.remove(cut);
    links.values().stream()
        .filter(link -> !link.heldUp.isEmpty() && cutOf(link.from.ip, link.to.ip).isEmpty())
        .forEach(this::release);
  }

  private void release(Link link) {
    var sent = List.copyOf(link.heldUp);
    link.heldUp.clear();
    var otherConnectionUs = random.nextBoolean() ? random.nextInt(50_000) : 0;
    var atUs = nowUs + delayUs() + otherConnectionUs;
    if (otherConnectionUs == 0) {
      link.arrivesUs = Math.max(link.arrivesUs, atUs);
    }
    at(atUs, () -> sent.forEach(each -> arrive(link, each)));
  }

  void kill(Machine machine) {
    machine.disk.processDies();
    machine.end();
    connectionsEnd(machine, 1_000);
  }

  /**
   * Whoever had a connection to it hears that it is over: at once from a dead process, late from a
   * silent machine.
   */
  private void connectionsEnd(Machine machine, long waitUs) {
    links.values().stream()
        .filter(link -> link.to == machine)
        .forEach(
            link -> {
              var life = link.from.life;
              after(
                  waitUs + delayUs(),
                  () -> link.from.awake(life, "down", () -> link.from.hearDown(machine.ip)));
            });
  }

  void killAndRestart(Machine machine, long downUs) {
    kill(machine);
    after(downUs, () -> startAgain(machine));
  }

  void powerOff(Machine machine) {
    machine.disk.powerDies();
    machine.end();
    machine.powered = false;
    connectionsEnd(machine, SILENT_US);
    links.values().stream()
        .filter(link -> link.from == machine)
        .forEach(
            link -> {
              link.heldUp.clear();
              link.queue.clear();
              link.queuedBytes = 0;
              link.turns++;
            });
  }

  void wipe(Machine machine) {
    powerOff(machine);
    machine.disk.wipe();
  }

  void startAgain(Machine machine) {
    if (!machine.up && !machine.removed) {
      machine.start();
    }
  }

  void removeForGood(Machine machine) {
    if (machine.up) {
      powerOff(machine);
    }
    machine.powered = false;
    machine.removed = true;
    listAgain();
  }

  Machine startEmpty(String role) {
    var machine = add(role);
    machine.start();
    listAgain();
    return machine;
  }

  void terminate(Machine machine, Runnable ended) {
    machine.leaving = true;
    var life = machine.life;
    pollLeave(machine, life, nowUs, ended);
  }

  private void pollLeave(Machine machine, int life, long sinceUs, Runnable ended) {
    after(
        LEAVE_POLL_US,
        () ->
            machine.awake(
                life,
                "timer",
                () -> {
                  if (machine.raft().leave() || nowUs - sinceUs > LEAVE_MOST_US) {
                    after(
                        END_US,
                        () -> {
                          if (machine.up && machine.life == life) {
                            removeForGood(machine);
                          }
                          ended.run();
                        });
                  } else {
                    pollLeave(machine, life, sinceUs, ended);
                  }
                }));
  }

  void slowLinks(Machine machine, double bytesPerUs, boolean breaks) {
    machines.values().stream()
        .filter(each -> each != machine)
        .forEach(
            each -> {
              repace(link(each, machine), bytesPerUs, breaks);
              repace(link(machine, each), bytesPerUs, breaks);
            });
  }

  void skew(Machine machine, long stepUs) {
    machine.wallSkewUs += stepUs;
  }

  boolean allVote() {
    return leader().map(each -> each.raft().voters().size() == shape.controlNodes()).orElse(false);
  }
}
