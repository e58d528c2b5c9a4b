package wellwheel.functions;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import wellwheel.cluster.ClusterView;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.Clock;
import wellwheel.runtime.EventQueue;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;
import wellwheel.transport.GracefulShutdown;
import wellwheel.transport.ModelLinks;
import wellwheel.transport.Network;

/** Fronts, scalers and a platform in simulated time, with the calls of clients and their ends. */
final class FunctionsWorld {
  static final long SECOND = 1_000_000;
  static final double RETRY_RATIO = 0.05;
  static final int EXTRA_RETRIES = 24;

  /** The default of the options. */
  static final long RETRY_WINDOW_US = 10 * SECOND;

  private static final int SERVICES = 12;
  private static final int SLOTS = 2;
  private static final int LEFT_MS = 4_000;

  /** How long clients wait for an answer. */
  static final long LEFT_US = LEFT_MS * 1_000L;

  private static final GracefulShutdown.Clients NO_CLIENTS =
      new GracefulShutdown.Clients() {
        @Override
        public void drain() {}

        @Override
        public void closeIdle() {}

        @Override
        public void refuseNew() {}

        @Override
        public void answerOpen() {}

        @Override
        public int connections() {
          return 0;
        }
      };

  /** A client's call and its answer. */
  static final class Call implements Exchange {
    final String id;
    final String target;
    final boolean safe;
    final long sentUs;
    final String key;
    int status;
    String seal = "";
    int answers;
    long answeredUs = Long.MAX_VALUE / 2;
    boolean closed;
    private Runnable onClose = () -> {};

    private final EventQueue time;

    Call(String id, String target, boolean safe, EventQueue time, String key) {
      this.time = time;
      this.key = key;
      this.id = id;
      this.target = target;
      this.safe = safe;
      this.sentUs = time.nowUs;
    }

    @Override
    public String method() {
      return "POST";
    }

    @Override
    public String target() {
      return target;
    }

    @Override
    public Optional<String> header(String name) {
      return Optional.ofNullable(
          Map.of(
                  "Host",
                  "h",
                  "Attempt-Id",
                  id,
                  "Time-Left-Ms",
                  Integer.toString(LEFT_MS),
                  "Authorization",
                  "Bearer " + key)
              .get(name));
    }

    @Override
    public byte[] body() {
      return new byte[0];
    }

    @Override
    public List<String> fields() {
      return List.of("Host", "h", "Attempt-Id", id);
    }

    @Override
    public void answer(Answer answer) {
      answered();
      status = answer.code().status();
    }

    @Override
    public void relay(Relayed answer) {
      answered();
      status = answer.status();
      seal = answer.fields().get(answer.fields().indexOf("server-seal") + 1);
    }

    private void answered() {
      answers++;
      answeredUs = time.nowUs;
    }

    @Override
    public boolean open() {
      return answers == 0;
    }

    @Override
    public void onClose(Runnable task) {
      onClose = task;
    }

    /** The client closes its connection. */
    void close() {
      closed = true;
      onClose.run();
    }
  }

  private final class Front {
    final String ip;
    final int life;
    final FrontNode node;
    boolean up = true;
    boolean frozen;
    private final List<Runnable> deferred = new ArrayList<>();

    Front(String ip, int life) throws Exception {
      this.ip = ip;
      this.life = life;
      var options =
          NodeOptions.read(
              "{\"NodeName\":\"front-"
                  + ip
                  + "\",\"Ip\":\""
                  + ip
                  + "\",\"Zone\":\"z\",\"ListenOn\":{},\"InternalPorts\":[7100,7115],\"SeedNodes\":[\"10.1.0.1:1\",\"10.1.0.2:1\"],\"Rollout\":\"functions\",\"Timing\":{\"RetryRatio\":"
                  + RETRY_RATIO
                  + ",\"ExtraRetries\":"
                  + EXTRA_RETRIES
                  + "}}");
      node =
          new FrontNode(
              options,
              new ProcessClock(this),
              networkOf(ip, () -> up),
              platform.clientOf(this::run),
              random.nextLong());
    }

    /** Runs a task of the process once it is neither dead nor frozen. */
    void run(Runnable task) {
      if (frozen) {
        deferred.add(task);
      } else if (up) {
        task.run();
      }
    }

    void thaw() {
      frozen = false;
      var due = List.copyOf(deferred);
      deferred.clear();
      due.forEach(this::run);
    }
  }

  /** The clock of a process, whose timers stand still with it. */
  private final class ProcessClock implements Clock {
    private final Front front;
    private final Clock clock = time.clock(() -> true);

    ProcessClock(Front front) {
      this.front = front;
    }

    @Override
    public long steadyUs() {
      return clock.steadyUs();
    }

    @Override
    public long wallUs() {
      return clock.wallUs();
    }

    @Override
    public Schedule after(long waitUs, Runnable task) {
      boolean[] cancelled = {false};
      clock.after(
          waitUs,
          () ->
              front.run(
                  () -> {
                    if (!cancelled[0]) {
                      task.run();
                    }
                  }));
      return () -> cancelled[0] = true;
    }
  }

  private final class Control implements Scaler.Leadership {
    final String ip;
    final Scaler scaler;

    Control(String ip) {
      this.ip = ip;
      var clock = time.clock(() -> true);
      scaler =
          new Scaler(
              clock,
              networkOf(ip, () -> true),
              platform.seenBy(() -> true),
              this,
              ip,
              3 * SECOND,
              300);
      tick();
    }

    private void tick() {
      scaler.tick();
      time.after(Scaler.tickUs(), this::tick);
    }

    @Override
    public boolean leads() {
      return leader.equals(ip);
    }

    @Override
    public long term() {
      return term;
    }

    @Override
    public Configuration configuration() {
      return configuration;
    }

    @Override
    public List<ClusterView.Member> owners() {
      return members();
    }

    void hear(String from, Frame frame) {
      if (!frame.kind().equals("claim")) {
        scaler.onFrame(from, frame);
      } else if (leads()) {
        ids.put(from, frame.text("id"));
        if (frame.flag("leaving")) {
          ids.remove(from);
        }
        send(
            ip,
            from,
            Frame.of("claim.ok")
                .with("sent", frame.number("sent"))
                .with("core", time.nowUs)
                .with("voters", List.of("10.1.0.1", "10.1.0.2"))
                .with("rev", configuration.revision())
                .with("config", json)
                .with("mem", ++memberVersion)
                .with(
                    "members", members().stream().<Object>map(ClusterView.Member::frame).toList()));
      } else {
        send(ip, from, Frame.of("claim.no").with("leader", leader));
      }
    }
  }

  final EventQueue time = new EventQueue();
  final Random random;
  final SimulatedPlatform platform;
  final ArrivalChecker checker = new ArrivalChecker();
  final List<Call> calls = new ArrayList<>();
  private final Map<String, Front> fronts = new LinkedHashMap<>();
  private final Map<String, Control> controls = new LinkedHashMap<>();
  private final Map<String, String> ids = new HashMap<>();
  private final ModelLinks links;
  private final Set<String> cutOff = new HashSet<>();
  private Configuration configuration;
  private byte[] json;
  private String leader = "10.1.0.1";
  private long term = 1;
  private long memberVersion;
  private int lives;

  FunctionsWorld(long seed, int frontCount) throws Exception {
    random = new Random(seed);
    links = new ModelLinks(time, random, new Nodes());
    platform = new SimulatedPlatform(time, random, SLOTS, checker);
    configure(configurationJson());
    for (var number = 1; number <= 2; number++) {
      controls.put("10.1.0." + number, new Control("10.1.0." + number));
    }
    for (var number = 1; number <= frontCount; number++) {
      boot("10.2.0." + number);
    }
  }

  /** The control nodes take a configuration; nodes hear of it with their next renewal. */
  void configure(String text) throws Exception {
    json = text.getBytes(StandardCharsets.UTF_8);
    configuration = Configuration.read(json);
  }

  /** Nothing passes between a front and the control nodes for some time. */
  void cutOff(String ip, long spanUs) {
    cutOff.add(ip);
    time.after(spanUs, () -> cutOff.remove(ip));
  }

  private boolean isCut(String from, String to) {
    return controls.containsKey(to) && cutOff.contains(from)
        || controls.containsKey(from) && cutOff.contains(to);
  }

  static String configurationJson() {
    var routes = new ArrayList<String>();
    var services = new ArrayList<String>();
    for (var number = 0; number < SERVICES; number++) {
      services.add(
          "{\"Name\":\"s"
              + number
              + "\",\"MaxConns\":50,\"MemoryMb\":128,\"StartupMs\":300,\"MaxInFlight\":"
              + SLOTS
              + "}");
      for (var kind : List.of("safe", "unsafe")) {
        routes.add(
            "{\"Name\":\"r"
                + number
                + kind
                + "\",\"Host\":\"h\",\"PathStart\":\"/"
                + kind
                + number
                + "/\",\"Type\":\""
                + kind
                + "\",\"GiveUpMs\":4000,\"TargetMs\":500,\"Rank\":2,\"Backend\":\"s"
                + number
                + "\",\"Tries\":"
                + (kind.equals("safe") ? 3 : 1)
                + "}");
      }
    }
    return "{\"Revision\":1,\"Routing\":["
        + String.join(",", routes)
        + "],\"Backends\":["
        + String.join(",", services)
        + "]}";
  }

  private List<ClusterView.Member> members() {
    var found = new ArrayList<ClusterView.Member>();
    ids.forEach(
        (ip, id) -> {
          if (fronts.get(ip).up) {
            found.add(new ClusterView.Member(id, "edge", ip, "z"));
          }
        });
    found.sort((a, b) -> a.id().compareTo(b.id()));
    return found;
  }

  private Network networkOf(String ip, java.util.function.BooleanSupplier lives) {
    return (peerIp, frame) -> {
      if (lives.getAsBoolean()) {
        send(ip, peerIp, frame);
      }
    };
  }

  private void send(String from, String to, Frame frame) {
    links.send(from, to, frame);
  }

  private final class Nodes implements ModelLinks.Host {
    @Override
    public void deliver(String from, String to, Supplier<Frame> read) {
      var front = fronts.get(to);
      if (isCut(from, to)) {
        return;
      }
      if (controls.containsKey(to)) {
        controls.get(to).hear(from, read.get());
      } else if (front != null && front.up) {
        front.run(() -> front.node.onFrame(from, read.get()));
      } else {
        unsent(from, to, read.get());
      }
    }

    @Override
    public void unsent(String from, String to, Frame frame) {
      Optional.ofNullable(fronts.get(from))
          .ifPresent(front -> front.run(() -> front.node.onUnsent(to, frame)));
    }

    @Override
    public void down(String from, String to) {
      Optional.ofNullable(fronts.get(from))
          .ifPresent(front -> front.run(() -> front.node.onDown(to)));
    }
  }

  /** Starts a front anew at an address. */
  void boot(String ip) throws Exception {
    var front = new Front(ip, ++lives);
    fronts.put(ip, front);
    time.after(100, () -> front.node.tick());
  }

  /** Starts a front anew from a timer of the model. */
  void startAnew(String ip) {
    try {
      boot(ip);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  List<String> frontIps() {
    return List.copyOf(fronts.keySet());
  }

  /** Kills a front; the others see their connections to it break. */
  void kill(String ip) {
    fronts.get(ip).up = false;
    links.reset(ip);
    fronts
        .values()
        .forEach(
            front -> time.after(ModelLinks.LINK_US, () -> front.run(() -> front.node.onDown(ip))));
  }

  /** Stops a front as its process does at SIGTERM, within a grace of some microseconds. */
  void stop(String ip, long graceUs) {
    var front = fronts.get(ip);
    new GracefulShutdown(new ProcessClock(front), graceUs, NO_CLIENTS, front.node, () -> kill(ip))
        .begin();
  }

  /** Stops a front in order. */
  void term(String ip) {
    var front = fronts.get(ip);
    front.node.leave();
    time.after(3 * SECOND, () -> kill(ip));
  }

  /** The other control node leads under the next term. */
  void changeLeader() {
    term++;
    leader = leader.equals("10.1.0.1") ? "10.1.0.2" : "10.1.0.1";
  }

  /** Sends calls at a rate to fronts that are ready. */
  void call(double perS, long spanUs) {
    var untilUs = time.nowUs + spanUs;
    nextCall(perS, untilUs);
  }

  private void nextCall(double perS, long untilUs) {
    if (time.nowUs >= untilUs) {
      return;
    }
    var ready =
        fronts.values().stream()
            .filter(each -> each.up && !each.frozen && each.node.ready())
            .toList();
    if (!ready.isEmpty()) {
      var safe = random.nextBoolean();
      var service = Math.min(random.nextInt(SERVICES), random.nextInt(SERVICES));
      var target = "/" + (safe ? "safe" : "unsafe") + service + "/x";
      var call = new Call("c-" + calls.size(), target, safe, time, "");
      calls.add(call);
      checker.sent(call);
      var front = ready.get(random.nextInt(ready.size()));
      front.run(() -> front.node.onExchange(call));
    }
    time.after(
        (long) (-Math.log(1 - random.nextDouble()) / perS * 1e6), () -> nextCall(perS, untilUs));
  }

  /** The link from one front to another fails for some time. */
  void failLink(String from, String to, ModelLinks.Fault fault, long spanUs) {
    links.fail(from, to, fault, spanUs);
  }

  /** A front's process stands still for some time; what is sent to it waits. */
  void freeze(String ip, long spanUs) {
    var front = fronts.get(ip);
    if (!front.up || front.frozen) {
      return;
    }
    front.frozen = true;
    fronts.keySet().forEach(each -> links.fail(each, ip, ModelLinks.Fault.HELD, spanUs));
    time.after(spanUs, front::thaw);
  }

  /** Sends one call on an open connection, whether the front wants new clients or not. */
  Call callAt(String ip, String key) {
    var call = new Call("c-" + calls.size(), "/safe0/x", true, time, key);
    calls.add(call);
    checker.sent(call);
    fronts.get(ip).node.onExchange(call);
    return call;
  }

  /** Calls of fronts that were killed get no answer; the others do. */
  long unanswered() {
    return calls.stream().filter(call -> call.answers == 0).count();
  }
}
