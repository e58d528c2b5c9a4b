package wellwheel.simulation;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import wellwheel.config.NodeOptions;
import wellwheel.control.ControlNode;
import wellwheel.edge.EdgeNode;
import wellwheel.queue.DeliveryClient;
import wellwheel.queue.StorageNode;
import wellwheel.runtime.Clock;
import wellwheel.storage.Disk;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/** A cluster in one process under a seeded clock, network and disks, with faults on demand. */
public final class World {
  private static final long TICK_US = 50_000;
  private static final long LEARN_US = 1_000_000;
  private static final long RESTART_US = 600_000;
  private static final long GRACE_US = 5_500_000;
  private static final int SPOILED_BYTES = 16;

  /** Zones, numbers of nodes, delays and losses to bear. */
  public record Shape(
      List<String> zones,
      int edgesPerZone,
      int storageNodes,
      long inZoneUs,
      long crossZoneUs,
      long syncUs,
      long restartUs,
      long syncEveryUs,
      int controlNodes,
      int survive) {
    public static Shape three() {
      return new Shape(
          List.of("north", "east", "south"), 1, 3, 200, 900, 700, RESTART_US, 100_000, 3, 1);
    }

    public Shape withEdges(int perZone) {
      return new Shape(
          zones,
          perZone,
          storageNodes,
          inZoneUs,
          crossZoneUs,
          syncUs,
          restartUs,
          syncEveryUs,
          controlNodes,
          survive);
    }

    public static Shape four() {
      return new Shape(
          List.of("north", "east", "south", "west"),
          1,
          6,
          200,
          900,
          700,
          RESTART_US,
          100_000,
          5,
          2);
    }
  }

  private record Event(long atUs, long turn, Runnable task) {}

  /** A simulated machine and the process on it. */
  public final class Host {
    public final String name;
    public final String role;
    public final String ip;
    public final String zone;
    final SimDisk disk = new SimDisk();
    int life;
    boolean up;
    boolean powered = true;
    boolean firstBoot = true;
    long wallSkewUs;
    long frozenUntilUs;
    long diskTimes = 1;
    long spentNs;
    long wakeUps;
    Optional<ControlNode> control = Optional.empty();
    Optional<StorageNode> storage = Optional.empty();
    Optional<EdgeNode> edge = Optional.empty();

    Host(String name, String role, String ip, String zone) {
      this.name = name;
      this.role = role;
      this.ip = ip;
      this.zone = zone;
    }

    public StorageNode storage() {
      return storage.orElseThrow();
    }

    public EdgeNode edge() {
      return edge.orElseThrow();
    }

    public ControlNode control() {
      return control.orElseThrow();
    }

    public boolean up() {
      return up;
    }

    void start() {
      life++;
      up = true;
      powered = true;
      var options = options(this);
      var clock = new SimClock(this, life);
      var wire = new SimWire(this, life);
      var bound = disk.bind(this, life);
      switch (role) {
        case "control" ->
            control = Optional.of(new ControlNode(options, clock, wire, bound, random.nextLong()));
        case "storage" ->
            storage =
                Optional.of(
                    new StorageNode(
                        options,
                        clock,
                        wire,
                        bound,
                        new SimDeliveryClient(this, life),
                        random.nextLong()));
        default -> edge = Optional.of(new EdgeNode(options, clock, wire, random.nextLong()));
      }
      firstBoot = false;
      if (edge.isPresent()) {
        edge.get().tick();
      } else {
        tick(life);
      }
      learn(life);
    }

    private void learn(int atLife) {
      if (up && life == atLife && control.isPresent()) {
        control.get().learn();
        at(nowUs + LEARN_US, () -> learn(atLife));
      }
    }

    void awake(int atLife, Runnable task) {
      if (!up || life != atLife) {
        return;
      }
      if (nowUs < frozenUntilUs) {
        at(frozenUntilUs, () -> awake(atLife, task));
      } else {
        wakeUps++;
        var fromNs = System.nanoTime();
        task.run();
        spentNs += System.nanoTime() - fromNs;
      }
    }

    public long spentNs() {
      return spentNs;
    }

    public long wakeUps() {
      return wakeUps;
    }

    private void tick(int atLife) {
      awake(atLife, () -> tickNow(atLife));
    }

    private void tickNow(int atLife) {
      control.ifPresent(ControlNode::tick);
      storage.ifPresent(StorageNode::tick);
      at(nowUs + TICK_US, () -> tick(atLife));
    }

    Optional<Network.MessageHandler> handler() {
      if (!up) {
        return Optional.empty();
      }
      return control
          .map(node -> (Network.MessageHandler) node)
          .or(() -> storage.map(node -> (Network.MessageHandler) node))
          .or(() -> edge.map(node -> (Network.MessageHandler) node));
    }

    void end() {
      up = false;
      frozenUntilUs = 0;
      life++;
      control = Optional.empty();
      storage = Optional.empty();
      edge = Optional.empty();
      List.copyOf(openPulls).forEach(pull -> pull.hostGone(this));
    }
  }

  private final class SimClock implements Clock {
    private final Host host;
    private final int life;

    SimClock(Host host, int life) {
      this.host = host;
      this.life = life;
    }

    @Override
    public long steadyUs() {
      return nowUs;
    }

    @Override
    public long wallUs() {
      return nowUs + 1_700_000_000_000_000L + host.wallSkewUs;
    }

    @Override
    public Schedule after(long waitUs, Runnable task) {
      var live = new boolean[] {true};
      at(
          nowUs + Math.max(1, waitUs),
          () -> {
            host.awake(
                life,
                () -> {
                  if (live[0]) {
                    task.run();
                  }
                });
          });
      return () -> live[0] = false;
    }
  }

  /** A greeting is awaited for so long. */
  private static final long GREETING_US = 750_000;

  private final class SimWire implements Network {
    private final Host host;
    private final int life;

    SimWire(Host host, int life) {
      this.host = host;
      this.life = life;
    }

    @Override
    public void send(String peerIp, Frame frame) {
      if (peerIp.isEmpty() || host.life != life) {
        return;
      }
      var bytes = frame.pack();
      var peer = hosts.get(peerIp);
      if (peer == null) {
        return;
      }
      frames++;
      var route = host.role + ">" + peer.role + " " + frame.kind();
      traffic.computeIfAbsent(route, key -> new long[2])[0]++;
      traffic.get(route)[1] += bytes.length + 4L;
      if (!peer.zone.equals(host.zone)) {
        crossBytes += bytes.length + 4;
        crossByKind.merge(frame.kind(), bytes.length + 4L, Long::sum);
      }
      if (linkFaults.isCut(host.ip, peerIp) || !peer.powered) {
        loseLater(peerIp, 750_000);
        return;
      }
      if (!peer.up) {
        loseLater(peerIp, 2_000);
        at(nowUs + 2_000, () -> tell(handler -> handler.onUnsent(peerIp, frame)));
        return;
      }
      if (nowUs < peer.frozenUntilUs) {
        loseLater(peerIp, 750_000);
      }
      if (linkFaults.isGivenUp(host.ip, peerIp)) {
        at(nowUs + GREETING_US, () -> tell(handler -> handler.onUnsent(peerIp, frame)));
        loseLater(peerIp, GREETING_US);
        return;
      }
      linkFaults.awaitAnswer(host.ip, peerIp, () -> tell(handler -> handler.onDown(peerIp)));
      carry(peer, bytes);
    }

    private void carry(Host peer, byte[] bytes) {
      var link = host.ip + ">" + peer.ip;
      var peerLife = peer.life;
      var sentUs = nowUs;
      var transitUs = delayUs(host.zone, peer.zone);
      var lateUs = host.role.equals("control") ? lagUs.getOrDefault(peer.ip, 0L) : 0;
      var atUs =
          Math.max(
              Math.max(linkFreeUs.getOrDefault(link, 0L), nowUs + transitUs + lateUs),
              linkFaults.heldUntilUs(host.ip, peer.ip) + transitUs);
      linkFreeUs.put(link, atUs);
      at(
          atUs,
          () -> {
            if (!linkFaults.isCut(host.ip, peer.ip)) {
              peer.awake(peerLife, () -> hear(peer, bytes, nowUs - sentUs - transitUs));
            }
          });
    }

    private void hear(Host peer, byte[] bytes, long delayUs) {
      var frame = Frame.unpack(bytes).delayedBy(Math.max(0, delayUs));
      peer.handler().ifPresent(handler -> handler.onFrame(host.ip, frame));
    }

    private void loseLater(String peerIp, long waitUs) {
      at(nowUs + waitUs, () -> tell(handler -> handler.onDown(peerIp)));
    }

    private void tell(Consumer<MessageHandler> what) {
      host.awake(life, () -> host.handler().ifPresent(what));
    }
  }

  /** Hears what is on disks after each sync and each loss. */
  public interface DiskListener {
    void kept(Host host, String file, boolean anew, byte[] bytes);
  }

  private DiskListener diskListener = (host, file, anew, bytes) -> {};

  public void onDisk(DiskListener handler) {
    diskListener = handler;
  }

  private static final class SimWrite {
    final byte[] bytes;
    final boolean whole;

    SimWrite(byte[] bytes, boolean whole) {
      this.bytes = bytes;
      this.whole = whole;
    }
  }

  private static final class SimFile {
    final ByteArrayOutputStream synced = new ByteArrayOutputStream();
    final List<SimWrite> written = new ArrayList<>();

    void settle(int count, Consumer<SimWrite> handler) {
      var done = written.subList(0, count);
      done.forEach(
          write -> {
            put(synced, write);
            handler.accept(write);
          });
      done.clear();
    }

    void settleUpTo(SimWrite write, Consumer<SimWrite> handler) {
      settle(written.indexOf(write) + 1, handler);
    }

    byte[] seen() {
      var out = new ByteArrayOutputStream();
      out.writeBytes(synced.toByteArray());
      written.forEach(write -> put(out, write));
      return out.toByteArray();
    }

    private static void put(ByteArrayOutputStream out, SimWrite write) {
      if (write.whole) {
        out.reset();
      }
      out.writeBytes(write.bytes);
    }

    void losePower(Random random, Random faults) {
      var sure = synced.size();
      for (var write : written) {
        if (write.whole && faults.nextBoolean()) {
          break;
        }
        if (write.whole) {
          put(synced, write);
          sure = synced.size();
          continue;
        }
        var kept =
            switch (random.nextInt(3)) {
              case 0 -> write.bytes.length;
              case 1 -> random.nextInt(write.bytes.length + 1);
              default -> 0;
            };
        synced.writeBytes(Arrays.copyOf(Arrays.copyOf(write.bytes, kept), write.bytes.length));
        sure = kept > 0 ? synced.size() - write.bytes.length + kept : sure;
      }
      written.clear();
      if (faults.nextBoolean()) {
        shorten(sure);
      }
    }

    private void shorten(int length) {
      var rest = Arrays.copyOf(synced.toByteArray(), length);
      synced.reset();
      synced.writeBytes(rest);
    }
  }

  private final class SimDisk {
    void spoil(double part) {
      files
          .values()
          .forEach(
              file -> {
                var bytes = file.synced.toByteArray();
                var from = (int) (part * bytes.length);
                for (var at = from; at < Math.min(bytes.length, from + SPOILED_BYTES); at++) {
                  bytes[at] ^= 0x55;
                }
                file.synced.reset();
                file.synced.writeBytes(bytes);
              });
    }

    final Map<String, SimFile> files = new HashMap<>();
    private long freeAtUs;

    SimFile file(String name) {
      return files.computeIfAbsent(name, n -> new SimFile());
    }

    private void write(
        Host host, int life, String name, SimWrite write, int syncTimes, Runnable synced) {
      file(name).written.add(write);
      freeAtUs = Math.max(freeAtUs, nowUs + syncTimes * shape.syncUs() * host.diskTimes);
      at(
          freeAtUs,
          () ->
              host.awake(
                  life,
                  () -> {
                    file(name)
                        .settleUpTo(
                            write, done -> diskListener.kept(host, name, done.whole, done.bytes));
                    synced.run();
                  }));
    }

    Disk bind(Host host, int life) {
      freeAtUs = nowUs;
      files.forEach(
          (name, file) ->
              file.settle(
                  file.written.size(),
                  done -> diskListener.kept(host, name, done.whole, done.bytes)));
      return new Disk() {
        @Override
        public byte[] load(String name) {
          return file(name).seen();
        }

        @Override
        public void append(String name, byte[] bytes, Runnable synced) {
          syncs++;
          write(host, life, name, new SimWrite(bytes, false), 1, synced);
        }

        @Override
        public void rewrite(String name, byte[] whole, Runnable synced) {
          write(host, life, name, new SimWrite(whole, true), 2, synced);
        }
      };
    }

    void die() {
      files
          .values()
          .forEach(
              file -> {
                var queued = file.written;
                queued
                    .subList(queued.size() - faults.nextInt(queued.size() + 1), queued.size())
                    .clear();
              });
    }

    void losePower() {
      files.values().forEach(file -> file.losePower(random, faults));
    }
  }

  /** Stands for all processors of a day. */
  public interface Processors {
    Optional<DeliveryClient.Outcome> run(DeliveryClient.Attempt attempt, long atUs);

    long workUs();
  }

  private final class SimDeliveryClient implements DeliveryClient {
    private final Host host;
    private final int life;

    SimDeliveryClient(Host host, int life) {
      this.host = host;
      this.life = life;
    }

    @Override
    public void deliver(Attempt attempt, Consumer<Outcome> done) {
      at(
          nowUs + 1_000,
          () -> {
            var outcome = processors.run(attempt, nowUs);
            var waitUs =
                outcome.isPresent()
                    ? outcome.get().result() == Result.NOT_RUN ? 500 : processors.workUs()
                    : attempt.giveUpUs() + 60_000;
            at(
                nowUs + waitUs,
                () ->
                    host.awake(
                        life,
                        () -> done.accept(outcome.orElse(new Outcome(Result.UNKNOWN, "", "")))));
          });
    }

    @Override
    public void forget(String address) {}
  }

  /** A request of a simulated client. */
  public final class Ask implements Exchange {
    private final String method;
    private final String target;
    private final Map<String, String> headers;
    private final byte[] body;
    private final Host host;
    private final int life;
    private final Consumer<Optional<Answer>> done;
    private boolean over;

    Ask(
        Host host,
        String method,
        String target,
        Map<String, String> headers,
        byte[] body,
        Consumer<Optional<Answer>> done) {
      this.host = host;
      this.life = host.life;
      this.method = method;
      this.target = target;
      this.headers = headers;
      this.body = body;
      this.done = done;
    }

    @Override
    public String method() {
      return method;
    }

    @Override
    public String target() {
      return target;
    }

    @Override
    public Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name));
    }

    @Override
    public byte[] body() {
      return body;
    }

    @Override
    public void answer(Answer answer) {
      finish(Optional.of(answer));
    }

    @Override
    public boolean open() {
      return !over;
    }

    @Override
    public void onClose(Runnable task) {}

    void hostGone(Host gone) {
      if (host == gone) {
        finish(Optional.empty());
      }
    }

    private void finish(Optional<Answer> answer) {
      if (over) {
        return;
      }
      over = true;
      openPulls.remove(this);
      at(nowUs + 300, () -> done.accept(answer));
    }
  }

  private final Shape shape;
  private final Random random;
  private final Random faults;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atUs() != b.atUs()
                  ? Long.compare(a.atUs(), b.atUs())
                  : Long.compare(a.turn(), b.turn()));
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Map<String, Long> linkFreeUs = new HashMap<>();
  private final LinkFaults linkFaults = new LinkFaults(this::after, this::nowUs);
  private final Map<String, Long> lagUs = new HashMap<>();
  private final Set<Ask> openPulls = new java.util.LinkedHashSet<>();
  private Processors processors;
  private long nowUs = 1_000_000;
  private long turn;
  private long frames;
  private long crossBytes;
  private final Map<String, Long> crossByKind = new java.util.TreeMap<>();
  private final Map<String, long[]> traffic = new java.util.TreeMap<>();
  private long syncs;

  private boolean watch = true;

  private boolean history;

  public void withHistory() {
    history = true;
  }

  public void withoutWatch() {
    watch = false;
  }

  public World(Shape shape, long seed, Processors processors) {
    this.shape = shape;
    this.random = new Random(seed);
    this.faults = new Random(seed ^ 0x5eed_d15cL);
    this.processors = processors;
    for (var index = 0; index < shape.controlNodes(); index++) {
      add(
          "core-" + (index + 1),
          "control",
          nextIp(),
          shape.zones().get(index % shape.zones().size()));
    }
    for (var index = 0; index < shape.storageNodes(); index++) {
      add(
          "storage-" + (index + 1),
          "storage",
          nextIp(),
          shape.zones().get(index % shape.zones().size()));
    }
    for (var zone : shape.zones()) {
      for (var index = 0; index < shape.edgesPerZone(); index++) {
        add("edge-" + zone + "-" + (index + 1), "edge", nextIp(), zone);
      }
    }
    hosts.values().forEach(host -> at(nowUs + 1 + random.nextInt(400_000), host::start));
  }

  private String nextIp() {
    var number = hosts.size() + 1;
    return "10.0." + number / 250 + "." + number % 250;
  }

  private void add(String name, String role, String ip, String zone) {
    hosts.put(ip, new Host(name, role, ip, zone));
  }

  private NodeOptions options(Host host) {
    var seeds =
        hosts.values().stream()
            .filter(each -> each.role.equals("control"))
            .limit(3)
            .map(each -> "\"" + each.ip + ":8741\"")
            .toList();
    try {
      return NodeOptions.read(
          "{\"NodeName\":\""
              + host.name
              + "\",\"Ip\":\""
              + host.ip
              + "\",\"Zone\":\""
              + host.zone
              + "\",\"ListenOn\":{\"Control\":\""
              + host.ip
              + ":8741\"},"
              + "\"InternalPorts\":[7100,7115],\"SeedNodes\":"
              + seeds
              + ",\"FirstBoot\":"
              + host.firstBoot
              + ",\"Survive\":{\"Machines\":"
              + shape.survive()
              + "},\"Watch\":{\"Enabled\":"
              + watch
              + "},\"History\":{\"Enabled\":"
              + history
              + ",\"IntervalS\":5,\"FlushS\":1},\"Admission\":{\"SyncEveryMs\":"
              + shape.syncEveryUs() / 1000
              + "}}");
    } catch (NodeOptions.Unusable e) {
      throw new IllegalStateException(e);
    }
  }

  private long delayUs(String from, String to) {
    var baseUs = from.equals(to) ? shape.inZoneUs() : shape.crossZoneUs();
    return baseUs
        + random.nextInt((int) Math.max(1, baseUs / 4))
        + (random.nextInt(400) == 0 ? random.nextInt(30_000) : 0);
  }

  public void at(long atUs, Runnable task) {
    events.add(new Event(Math.max(atUs, nowUs), turn++, task));
  }

  public void after(long waitUs, Runnable task) {
    at(nowUs + waitUs, task);
  }

  public void runFor(long spanUs) {
    runFor(spanUs, () -> {});
  }

  public void runFor(long spanUs, Runnable check) {
    var untilUs = nowUs + spanUs;
    var checkedUs = nowUs;
    while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
      var event = events.poll();
      nowUs = event.atUs();
      event.task().run();
      if (nowUs - checkedUs > 10_000) {
        checkedUs = nowUs;
        check.run();
      }
    }
    nowUs = untilUs;
  }

  public long nowUs() {
    return nowUs;
  }

  public Random random() {
    return random;
  }

  public long crossBytes() {
    return crossBytes;
  }

  public Map<String, Long> crossByKind() {
    return Map.copyOf(crossByKind);
  }

  public void resetCounts() {
    traffic.clear();
    hosts
        .values()
        .forEach(
            host -> {
              host.spentNs = 0;
              host.wakeUps = 0;
            });
  }

  public Map<String, long[]> traffic() {
    return traffic;
  }

  public long journalBytes(String role) {
    return hosts(role).stream()
        .flatMap(host -> host.disk.files.values().stream())
        .mapToLong(file -> file.synced.size())
        .max()
        .orElse(0);
  }

  public long journalBytesInAll(String role) {
    return hosts(role).stream()
        .flatMap(host -> host.disk.files.values().stream())
        .mapToLong(file -> file.synced.size())
        .sum();
  }

  public long frames() {
    return frames;
  }

  public List<Host> hosts(String role) {
    return hosts.values().stream().filter(host -> host.role.equals(role)).toList();
  }

  public List<Host> upHosts(String role) {
    return hosts(role).stream().filter(Host::up).toList();
  }

  public Optional<Host> leader() {
    return upHosts("control").stream()
        .filter(host -> host.control().raft().leadsFreshly())
        .findFirst();
  }

  public void kill(Host host) {
    if (host.up) {
      host.disk.die();
    }
    host.end();
    after(shape.restartUs(), () -> restart(host));
  }

  private void restart(Host host) {
    if (!host.up) {
      host.start();
    }
  }

  public void powerOff(Host host, long darkUs) {
    host.end();
    host.powered = false;
    host.disk.losePower();
    host.disk.files.forEach(
        (name, file) -> diskListener.kept(host, name, true, file.synced.toByteArray()));
    after(darkUs, () -> restart(host));
  }

  public void wipe(Host host, long darkUs) {
    powerOff(host, darkUs);
    host.disk.files.keySet().forEach(name -> diskListener.kept(host, name, true, new byte[0]));
    host.disk.files.clear();
  }

  public void spoil(Host host, double part, long darkUs) {
    powerOff(host, darkUs);
    host.disk.spoil(part);
  }

  public void term(Host host) {
    if (!host.up) {
      return;
    }
    var life = host.life;
    host.storage.ifPresent(StorageNode::leave);
    host.edge.ifPresent(EdgeNode::leave);
    awaitLeave(host, life, nowUs + GRACE_US);
  }

  private void awaitLeave(Host host, int life, long lastUs) {
    after(
        TICK_US,
        () -> {
          if (!host.up || host.life != life) {
            return;
          }
          var may =
              host.storage.map(StorageNode::mayLeave).orElse(true)
                  && host.control.map(control -> control.raft().leave()).orElse(true);
          if (may || nowUs > lastUs) {
            after(host.control.isPresent() ? 150_000 : 1_000, () -> kill(host));
          } else {
            awaitLeave(host, life, lastUs);
          }
        });
  }

  public void remove(Host host) {
    host.end();
    host.powered = false;
  }

  public void comeBack(Host host) {
    restart(host);
  }

  public Host join(String name, String role, String zone) {
    var ip = "10.1." + hosts.size() / 250 + "." + hosts.size() % 250;
    add(name, role, ip, zone);
    var host = hosts.get(ip);
    host.firstBoot = false;
    host.start();
    return host;
  }

  public void cutOff(Host host, long spanUs) {
    linkFaults.cutOff(host.ip, spanUs);
  }

  public void freeze(Host host, long spanUs) {
    host.frozenUntilUs = nowUs + spanUs;
  }

  public void slowDisk(Host host, long times) {
    host.diskTimes = times;
  }

  public void lagNews(Host host, long moreUs) {
    lagUs.put(host.ip, moreUs);
  }

  public void skew(Host host, long stepUs) {
    host.wallSkewUs += stepUs;
  }

  public void cutPair(Host one, Host other, long spanUs) {
    linkFaults.cutPair(one.ip, other.ip, spanUs);
  }

  /** The link from one host to another holds what is sent, and delivers it when it opens. */
  public void hold(Host from, Host to, long spanUs) {
    linkFaults.hold(from.ip, to.ip, spanUs);
  }

  public void ask(
      Host host,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      Consumer<Optional<Exchange.Answer>> done) {
    if (!host.up) {
      after(1_000, () -> done.accept(Optional.empty()));
      return;
    }
    var ask = new Ask(host, method, target, headers, body, done);
    openPulls.add(ask);
    var life = host.life;
    after(300, () -> host.awake(life, () -> host.edge().onExchange(ask)));
  }

  public void configure(byte[] config, long base, Consumer<ControlNode.Reply> done) {
    leader()
        .ifPresentOrElse(
            host ->
                host.control()
                    .replace(
                        config, Optional.of(base), reply -> at(nowUs, () -> done.accept(reply))),
            () -> after(100_000, () -> configure(config, base, done)));
  }
}
