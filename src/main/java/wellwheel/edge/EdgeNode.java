package wellwheel.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import wellwheel.admission.RequestAdmission;
import wellwheel.cluster.ClusterLease;
import wellwheel.cluster.ClusterView;
import wellwheel.cluster.PartitionHash;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.history.QueueHistory;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.receipts.RequestDigest;
import wellwheel.runtime.Clock;
import wellwheel.runtime.ResultCode;
import wellwheel.runtime.WakeUpTimer;
import wellwheel.transport.Exchange;
import wellwheel.transport.Exchange.Answer;
import wellwheel.transport.Frame;
import wellwheel.transport.GracefulShutdown;
import wellwheel.transport.HeaderText;
import wellwheel.transport.Network;
import wellwheel.transport.RequestFields;

/** State machine of an edge node: admission, hand-ins, look-ups, pulls and ends of jobs. */
public final class EdgeNode implements Network.MessageHandler, GracefulShutdown.Node {
  private static final System.Logger LOG = System.getLogger("edge");
  private static final long ASK_AGAIN_US = 250_000;
  private static final long RETRY_US = 25_000;
  private static final long LOOK_US = 1_700_000;
  private static final long END_US = 1_500_000;
  private static final long HEARD_US = 700_000;
  private static final long BEAT_US = 250_000;
  private static final long ASK_HITS_US = 150_000;
  private static final long CATCH_UP_US = 200_000;
  private static final long URGENT_US = 20_000;
  private static final int ASKED_MOST = 3;
  private static final int QUIET_INTERVALS = 4;
  private static final int OPEN_MOST = 8192;
  private static final int STEPS_MOST = 8;
  private static final int PARTITION_DIGITS_MOST = 2;
  private static final long WAIT_MOST_US = 10_000_000;
  private static final long DEFAULT_TIME_LEFT_MS = 2000;

  private static final class Put {
    Exchange exchange;
    Frame frame;
    String tenantKey;
    String channelKey;
    Optional<Integer> fixedPartition;
    int partition;
    String sentTo = "";
    long sentUs;
    long holdUntilUs;
    long giveUpUs;
    boolean unsure;
    boolean held;
    int tries;
  }

  private static final class Look {
    Exchange exchange;
    Frame frame;
    boolean body;
    int partition;
    long untilUs;
    final Set<String> asked = new HashSet<>();
    final Set<String> sure = new HashSet<>();
    boolean wide;
    Optional<Consumer<String>> step = Optional.empty();
  }

  private static final class End {
    Exchange exchange;
    Frame frame;
    int partition;
    long sentUs;
    long untilUs;
  }

  private static final class Pull {
    final long token;
    final Exchange exchange;
    final String service;
    final String worker;
    final String version;
    final long untilUs;
    String storageIp = "";

    Pull(long token, Exchange exchange, String service, String worker, long untilUs) {
      this.worker = worker;
      this.version =
          exchange.header("Server-Revision").filter(text -> text.length() <= 64).orElse("");
      this.token = token;
      this.exchange = exchange;
      this.service = service;
      this.untilUs = untilUs;
    }
  }

  private final NodeOptions options;
  private final Clock clock;
  private final Network wire;
  private final ClusterLease clusterLease;
  private final RequestAdmission admission;
  private final String id;
  private final RateLimiter limiter;
  private final HitRelays relays;
  private final QueueHistory history;
  private final WakeUpTimer wakeUps;
  private List<ClusterView.Member> peers = List.of();
  private long peersVersion = -1;
  private int askedPeers;
  private final Map<String, Long> askedHitsUs = new HashMap<>();
  private final Map<Long, Put> puts = new LinkedHashMap<>();
  private final Map<Long, Look> looks = new LinkedHashMap<>();
  private final Map<Long, End> ends = new LinkedHashMap<>();
  private final Map<Long, Pull> pulls = new LinkedHashMap<>();
  private final Map<String, Long> heard = new HashMap<>();
  private final Map<String, Long> downUs = new HashMap<>();
  private final Set<String> caughtUp = new HashSet<>();
  private long startedUs;
  private long lastRid;
  private long turn;
  private long drainedUs;
  private long askedPeersUs;
  private boolean leaving;
  private boolean closing;

  public EdgeNode(NodeOptions options, Clock clock, Network wire, long incarnation) {
    this.options = options;
    this.clock = clock;
    this.wire = wire;
    this.id = options.node() + "#" + Long.toHexString(incarnation & 0xffffffffL);
    var seeds = options.seeds().stream().map(NodeOptions::hostOf).toList();
    clusterLease =
        new ClusterLease(
            clock,
            wire,
            id,
            seeds,
            () ->
                Frame.of("claim")
                    .with("role", "edge")
                    .with("zone", options.zone())
                    .with("leaving", leaving),
            this::onNews);
    admission =
        new RequestAdmission(clusterLease, RequestAdmission.KeyRule.ALWAYS, options.revokeUs());
    limiter = new RateLimiter(id, options.windowUs(), clusterLease::coreUs);
    history =
        new QueueHistory(
            options,
            Long.toHexString(incarnation & 0xffffffffL),
            Optional.empty(),
            clusterLease::coreUs);
    wakeUps = new WakeUpTimer(clock, this::tick);
    relays = new HitRelays(clock, wire, options.zone());
    relays.named(options.node());
    startedUs = clock.steadyUs();
    lastRid = (incarnation & 0x7fffffffL) << 32;
  }

  public ClusterLease clusterLease() {
    return clusterLease;
  }

  public RateLimiter limiter() {
    return limiter;
  }

  public synchronized boolean ready() {
    return !leaving
        && admission.isSure()
        && clusterLease.configuration().revision() > 0
        && caughtUp()
        && clusterLease.view().partitions().stream().anyMatch(ClusterView.Partition::whole);
  }

  private List<ClusterView.Member> peers() {
    if (clusterLease.view().memberVersion() != peersVersion) {
      peersVersion = clusterLease.view().memberVersion();
      peers =
          clusterLease.view().members("edge").stream()
              .filter(member -> !member.id().equals(id))
              .toList();
    }
    return peers;
  }

  private boolean caughtUp() {
    if (clock.steadyUs() - startedUs > 2_000_000) {
      return true;
    }
    return clusterLease.knowsCore()
        && clusterLease.view().memberVersion() > 0
        && (HitRelays.few(peers())
            ? peers().stream().allMatch(peer -> caughtUp.contains(peer.id()))
            : caughtUp.size() >= ASKED_MOST);
  }

  private List<ClusterView.Member> askedForAll() {
    var asked = peers().stream().filter(peer -> !caughtUp.contains(peer.id())).toList();
    if (HitRelays.few(peers()) || asked.size() <= ASKED_MOST) {
      return asked;
    }
    var from = Math.floorMod(id.hashCode() + ASKED_MOST * askedPeers++, asked.size());
    return java.util.stream.IntStream.range(0, ASKED_MOST)
        .mapToObj(step -> asked.get((from + step * (asked.size() / ASKED_MOST)) % asked.size()))
        .toList();
  }

  private double share() {
    var nowUs = clock.steadyUs();
    var peers = peers();
    var heardNow =
        HitRelays.few(peers)
            ? peers.stream()
                .filter(
                    peer -> nowUs - heard.getOrDefault(peer.id(), Long.MIN_VALUE / 2) < HEARD_US)
                .count()
            : relays.heard(peers, options.ip());
    return (1.0 + heardNow) / (1.0 + peers.size());
  }

  public synchronized void tick() {
    var nowUs = clock.steadyUs();
    try {
      clusterLease.tick();
      drainHits(nowUs);
      tickPuts(nowUs);
      tickLooks(nowUs);
      tickEnds(nowUs);
      tickPulls(nowUs);
    } finally {
      wakeUps.by(Math.max(nowUs + 2_000, dueUs()));
    }
  }

  private long dueUs() {
    var due = Math.min(clusterLease.dueUs(), hitsDueUs());
    for (var put : puts.values()) {
      due =
          Math.min(
              due,
              put.sentTo.isEmpty()
                  ? put.sentUs + RETRY_US
                  : Math.min(put.sentUs + ASK_AGAIN_US, put.giveUpUs));
    }
    for (var end : ends.values()) {
      due = Math.min(due, Math.min(end.sentUs + ASK_AGAIN_US, end.untilUs));
    }
    var soonUs = clock.steadyUs() + RETRY_US;
    return looks.isEmpty() && pulls.values().stream().noneMatch(pull -> pull.storageIp.isEmpty())
        ? due
        : Math.min(due, soonUs);
  }

  private long hitsDueUs() {
    if (!clusterLease.knowsCore()) {
      return Long.MAX_VALUE;
    }
    var due =
        drainedUs
            + (limiter.urgent()
                ? URGENT_US
                : Math.min(BEAT_US, limiter.idle() ? BEAT_US : options.syncUs() * QUIET_INTERVALS));
    due = caughtUp() ? due : Math.min(due, askedPeersUs + CATCH_UP_US);
    return HitRelays.few(peers()) ? due : Math.min(due, relays.dueUs(options.ip()));
  }

  private void drainHits(long nowUs) {
    if (!clusterLease.knowsCore()) {
      return;
    }
    if (!caughtUp() && nowUs - askedPeersUs >= CATCH_UP_US) {
      askedPeersUs = nowUs;
      askedForAll().forEach(peer -> wire.send(peer.ip(), Frame.of("hits.all").with("s", id)));
    }
    var idleUs = nowUs - drainedUs;
    var due =
        limiter.urgent() && idleUs >= URGENT_US
            || !limiter.idle() && idleUs >= options.syncUs() * QUIET_INTERVALS
            || idleUs >= BEAT_US;
    if (due) {
      flushHits();
    }
    if (!HitRelays.few(peers())) {
      relays.tick(peers(), options.ip());
    }
  }

  private void flushHits() {
    drainedUs = clock.steadyUs();
    var now = limiter.urgent();
    var frame = limiter.drain();
    var peers = peers();
    if (HitRelays.few(peers)) {
      peers.forEach(peer -> wire.send(peer.ip(), frame));
    } else {
      relays.send(frame, now, peers, options.ip());
    }
  }

  public synchronized void onExchange(Exchange exchange) {
    var target = exchange.target();
    var segments = target.split("\\?", 2)[0].split("/", -1);
    var call = segments.length == 3 ? exchange.method() + " " + segments[1] : "";
    switch (call) {
      case "GET message" -> look(exchange, segments[2], false);
      case "GET message-body" -> look(exchange, segments[2], true);
      case "POST pull" -> pull(exchange, segments[2]);
      case "POST job-end" -> end(exchange, segments[2], "end");
      case "POST job-extend" -> end(exchange, segments[2], "extend");
      default -> handIn(exchange);
    }
  }

  private void handIn(Exchange exchange) {
    var verdict = admission.admit(exchange);
    if (verdict instanceof RequestAdmission.Admitted admitted) {
      handIn(exchange, admitted.path(), admitted.tenant());
      return;
    }
    var code = ((RequestAdmission.Refused) verdict).code();
    exchange.answer(code == ResultCode.NO_CLAIM ? Answer.later(code, 1) : Answer.of(code));
  }

  private void handIn(
      Exchange exchange, Configuration.Path path, Optional<Configuration.Tenant> tenant) {
    var name = exchange.header("Attempt-Id").orElse("");
    if (!RequestFields.isName(name)) {
      exchange.answer(Answer.of(ResultCode.NO_ID));
      return;
    }
    var delayMs = number(exchange, "Delay-Ms", 0);
    if (delayMs < 0 || delayMs > 1_000_000_000L) {
      exchange.answer(Answer.of(ResultCode.BAD_DELAY));
      return;
    }
    if (!IdempotencyKey.valid(exchange.headers(IdempotencyKey.HEADER))) {
      exchange.answer(Answer.of(ResultCode.BAD_IDEMPOTENCY_KEY));
      return;
    }
    if (puts.size() >= OPEN_MOST) {
      exchange.answer(Answer.later(ResultCode.NOT_KEPT, 1).closing());
      return;
    }
    var steps = exchange.header("Runs-After");
    if (steps.isPresent()) {
      checkSteps(exchange, steps.get(), path, tenant, name, delayMs * 1000);
    } else {
      admit(exchange, path, tenant, name, delayMs * 1000, List.of());
    }
  }

  private void checkSteps(
      Exchange exchange,
      String list,
      Configuration.Path path,
      Optional<Configuration.Tenant> tenant,
      String name,
      long delayUs) {
    var names = List.of(list.trim().split(" *, *", -1));
    if (names.size() > STEPS_MOST
        || names.stream().anyMatch(each -> !RequestFields.isName(each))
        || tenant.isEmpty()) {
      exchange.answer(Answer.of(ResultCode.BAD_STEPS));
      return;
    }
    var found = new ArrayList<String>();
    names.forEach(
        each -> {
          var look = new Look();
          look.exchange = exchange;
          look.untilUs = clock.steadyUs() + LOOK_US;
          look.step =
              Optional.of(
                  step -> {
                    if (step.isEmpty()) {
                      exchange.answer(Answer.of(ResultCode.NO_STEP));
                      return;
                    }
                    found.add(step);
                    if (found.size() == names.size()) {
                      admit(
                          exchange,
                          path,
                          tenant,
                          name,
                          delayUs,
                          List.copyOf(new LinkedHashSet<>(found)));
                    }
                  });
          startLook(look, each, tenant.get().name(), "");
        });
  }

  private void admit(
      Exchange exchange,
      Configuration.Path path,
      Optional<Configuration.Tenant> tenant,
      String name,
      long delayUs,
      List<String> steps) {
    var share = share();
    var put = new Put();
    put.channelKey = "c:" + path.name();
    put.tenantKey = tenant.map(each -> "t:" + each.name()).orElse("");
    var channel =
        limiter.hit(
            put.channelKey,
            new RateLimiter.Limit(options.channelPerS(), options.channelPerS()),
            share);
    if (!channel.admitted()) {
      history.refused(tenant.map(Configuration.Tenant::name).orElse(""), path.service());
      refuse(exchange, put.channelKey, channel);
      return;
    }
    if (tenant.isPresent()) {
      var verdict =
          limiter.hit(
              put.tenantKey,
              new RateLimiter.Limit(tenant.get().perS(), tenant.get().burst()),
              share);
      if (!verdict.admitted()) {
        limiter.giveBack(put.channelKey);
        history.refused(tenant.get().name(), path.service());
        refuse(exchange, put.tenantKey, verdict);
        return;
      }
    }
    if (limiter.urgent()) {
      wakeUps.by(drainedUs + URGENT_US);
    }
    keep(exchange, put, path, tenant, name, delayUs, steps);
  }

  private void refuse(Exchange exchange, String key, RateLimiter.Verdict verdict) {
    if (turn++ % 64 == 0) {
      LOG.log(
          System.Logger.Level.INFO,
          "code="
              + ResultCode.LIMIT_EXCEEDED.number()
              + " bucket="
              + (key.startsWith("c:") ? "inbound" : "tenant")
              + " key="
              + key.substring(2)
              + " limit="
              + verdict.limit()
              + " scaleMs="
              + verdict.scaleUs() / 1000
              + " retryAfterMs="
              + verdict.retryAfterUs() / 1000);
    }
    exchange.answer(
        Answer.later(
            ResultCode.OVER_QUOTA, Math.max(1, (verdict.retryAfterUs() + 999_999) / 1_000_000)));
  }

  private void keep(
      Exchange exchange,
      Put put,
      Configuration.Path path,
      Optional<Configuration.Tenant> tenant,
      String name,
      long delayUs,
      List<String> steps) {
    var nowUs = clock.steadyUs();
    var orderKey = exchange.header("Order-Key").orElse("");
    var tenantName = tenant.map(Configuration.Tenant::name).orElse("");
    put.exchange = exchange;
    put.holdUntilUs = nowUs + path.aimUs() / 5;
    put.giveUpUs = nowUs + waitUs(exchange);
    put.frame =
        Frame.of("put")
            .with("i", name)
            .with("t", tenantName)
            .with("h", Configuration.plainHost(exchange.header("Host").orElse("")))
            .with("m", exchange.method())
            .with("p", exchange.target())
            .with("ct", exchange.header("Content-Type").orElse(""))
            .with("o", path.inOrder() ? orderKey : "")
            .with("delay", delayUs)
            .with("keep", path.keepUs())
            .with("cr", clusterLease.configuration().revision())
            .with("b", exchange.body());
    if (!steps.isEmpty()) {
      put.frame.with("ra", List.<Object>copyOf(steps));
    }
    var key = exchange.header(IdempotencyKey.HEADER).orElse("");
    if (!key.isEmpty()) {
      addKey(put, exchange, path, key);
    }
    var service = clusterLease.configuration().service(path.service());
    if (path.inOrder() && !orderKey.isEmpty()) {
      put.fixedPartition = Optional.of(PartitionHash.partitionOf(tenantName + "\n" + orderKey));
    } else if (service.map(Configuration.Service::paced).orElse(false)) {
      put.fixedPartition = Optional.of(PartitionHash.partitionOf(path.service()));
    } else if (!key.isEmpty()) {
      put.fixedPartition = Optional.of(IdempotencyKey.homePartition(tenantName, key));
    } else {
      put.fixedPartition = Optional.empty();
    }
    var rid = ++lastRid;
    puts.put(rid, put);
    send(rid, put);
  }

  /** How long an answer may be waited for, counted from the request's arrival. */
  private long waitUs(Exchange exchange) {
    var leftUs = number(exchange, "Time-Left-Ms", DEFAULT_TIME_LEFT_MS) * 1000;
    var keyed = exchange.header(IdempotencyKey.HEADER).isPresent();
    return Math.min(keyed ? options.receipts().waitUs() : WAIT_MOST_US, leftUs);
  }

  private static void addKey(Put put, Exchange exchange, Configuration.Path path, String key) {
    var runsAfter = exchange.header("Runs-After").map(List::of).orElse(List.of());
    var digest =
        RequestDigest.of(
            exchange.method(),
            put.frame.text("h"),
            exchange.target(),
            exchange.header("Order-Key").orElse(""),
            runsAfter,
            exchange.body());
    put.frame.with("ik", key).with("sv", path.service()).with("dg", digest.toBytes());
  }

  private void send(long rid, Put put) {
    var nowUs = clock.steadyUs();
    if (nowUs >= put.giveUpUs) {
      giveUp(rid, put);
      return;
    }
    var partition =
        put.unsure
            ? clusterLease.partition(put.partition)
            : put.fixedPartition.isPresent()
                ? clusterLease.partition(put.fixedPartition.get())
                : choosePartition();
    var ip = partition.map(each -> clusterLease.view().ipOf(each.primary())).orElse("");
    var usable = !ip.isEmpty() && (put.unsure || partition.get().whole() && !down(ip));
    put.sentUs = nowUs;
    wakeUps.by(Math.min(put.giveUpUs, nowUs + (usable ? ASK_AGAIN_US : RETRY_US)));
    if (!usable) {
      put.sentTo = "";
      holdOrGiveUp(rid, put);
      return;
    }
    put.partition = partition.get().number();
    put.sentTo = ip;
    put.tries++;
    wire.send(ip, put.frame.with("rid", rid).with("l", put.partition));
  }

  private void holdOrGiveUp(long rid, Put put) {
    if (put.unsure) {
      return;
    }
    var leftUs = put.holdUntilUs - clock.steadyUs();
    if (leftUs <= 0) {
      giveUp(rid, put);
    } else if (!put.held) {
      put.held = true;
      clock.after(
          leftUs,
          () -> {
            synchronized (this) {
              if (puts.get(rid) == put && put.sentTo.isEmpty() && !put.unsure) {
                send(rid, put);
              }
            }
          });
    }
  }

  private boolean down(String ip) {
    return clock.steadyUs() - downUs.getOrDefault(ip, Long.MIN_VALUE / 2) < 200_000;
  }

  private Optional<ClusterView.Partition> choosePartition() {
    var near = new ArrayList<ClusterView.Partition>();
    var any = new ArrayList<ClusterView.Partition>();
    for (var partition : clusterLease.view().partitions()) {
      var primary = clusterLease.view().member(partition.primary());
      if (!partition.whole() || primary.isEmpty() || down(primary.get().ip())) {
        continue;
      }
      any.add(partition);
      if (primary.get().zone().equals(options.zone())) {
        near.add(partition);
      }
    }
    var from = near.isEmpty() ? any : near;
    return from.isEmpty() ? Optional.empty() : Optional.of(from.get((int) (turn++ % from.size())));
  }

  private void giveUp(long rid, Put put) {
    puts.remove(rid);
    if (put.unsure) {
      put.exchange.answer(Answer.of(ResultCode.UNSURE));
      return;
    }
    giveBackHits(put);
    clusterLease
        .configuration()
        .path(put.frame.text("h"), put.frame.text("p"))
        .ifPresent(path -> history.refused(put.frame.text("t"), path.service()));
    put.exchange.answer(Answer.later(ResultCode.NOT_KEPT, 1));
  }

  private void onPutOk(Frame frame) {
    var rid = frame.number("rid");
    var put = puts.get(rid);
    if (put == null) {
      return;
    }
    switch (frame.text("r")) {
      case "kept" -> {
        puts.remove(rid);
        if (!frame.text("i").equals(put.frame.text("i"))) {
          giveBackHits(put);
        }
        put.exchange.answer(
            Answer.of(ResultCode.KEPT, "Message-Name", name(frame.small("l"), frame.text("i"))));
      }
      case "reused" -> {
        puts.remove(rid);
        giveBackHits(put);
        put.exchange.answer(Answer.of(ResultCode.KEY_REUSED));
      }
      default -> retry(rid, put);
    }
  }

  /** The request runs nothing: it must not count against the limits. */
  private void giveBackHits(Put put) {
    limiter.giveBack(put.channelKey);
    if (!put.tenantKey.isEmpty()) {
      limiter.giveBack(put.tenantKey);
    }
  }

  private static String name(int partition, String id) {
    var name = partition + "-" + id;
    return name.length() <= 64 ? name : id;
  }

  private void retry(long rid, Put put) {
    put.sentTo = "";
    if (put.unsure) {
      put.sentUs = clock.steadyUs();
      wakeUps.within(RETRY_US);
    } else if (put.fixedPartition.isEmpty() && put.tries < 4) {
      send(rid, put);
    } else {
      put.sentUs = clock.steadyUs();
      wakeUps.within(RETRY_US);
      holdOrGiveUp(rid, put);
    }
  }

  private void tickPuts(long nowUs) {
    for (var entry : List.copyOf(puts.entrySet())) {
      var put = entry.getValue();
      var waitedUs = nowUs - put.sentUs;
      if (put.sentTo.isEmpty()
          ? waitedUs >= RETRY_US
          : waitedUs >= ASK_AGAIN_US || nowUs >= put.giveUpUs) {
        put.unsure |= !put.sentTo.isEmpty();
        send(entry.getKey(), put);
      }
    }
  }

  private static long number(Exchange exchange, String header, long otherwise) {
    return RequestFields.number(exchange.header(header), otherwise);
  }

  private void look(Exchange exchange, String name, boolean body) {
    if (!admission.isSure()) {
      exchange.answer(Answer.later(ResultCode.NO_CLAIM, 1));
      return;
    }
    var tenant = admission.tenantOf(exchange);
    var host = Configuration.plainHost(exchange.header("Host").orElse(""));
    if (tenant.isEmpty()) {
      exchange.answer(Answer.of(ResultCode.NO_KEY));
      return;
    }
    var look = new Look();
    look.exchange = exchange;
    look.body = body;
    look.untilUs = clock.steadyUs() + LOOK_US;
    startLook(look, name, tenant.get().name(), host);
  }

  private void startLook(Look look, String name, String tenant, String host) {
    var dash = name.indexOf('-');
    look.partition =
        dash > 0 && RequestFields.isDigits(name.substring(0, dash), PARTITION_DIGITS_MOST)
            ? Integer.parseInt(name.substring(0, dash))
            : -1;
    look.wide = look.partition < 0 || look.partition >= ClusterView.PARTITIONS;
    look.frame =
        Frame.of("look")
            .with("tenant", tenant)
            .with("host", host)
            .with("any", look.step.isPresent())
            .with("body", look.body)
            .with("id", look.wide ? name : name.substring(dash + 1))
            .with("whole", name);
    var rid = ++lastRid;
    looks.put(rid, look);
    wakeUps.within(RETRY_US);
    ask(rid, look);
  }

  private void ask(long rid, Look look) {
    if (!look.wide) {
      var ip =
          clusterLease
              .partition(look.partition)
              .map(partition -> clusterLease.view().ipOf(partition.primary()))
              .orElse("");
      if (!ip.isEmpty()) {
        wire.send(ip, look.frame.with("rid", rid).with("line", look.partition));
      }
      return;
    }
    for (var storage : clusterLease.view().members("storage")) {
      if (!look.sure.contains(storage.ip())) {
        look.asked.add(storage.ip());
        wire.send(
            storage.ip(),
            look.frame.with("rid", rid).with("line", -1).with("id", look.frame.text("whole")));
      }
    }
  }

  private void onLookOk(String from, Frame frame) {
    var rid = frame.number("rid");
    var look = looks.get(rid);
    if (look == null) {
      return;
    }
    if (frame.flag("found")) {
      if (frame.flag("authority")) {
        tell(rid, look, frame);
      }
      return;
    }
    if (!look.wide && frame.flag("sure")) {
      looks.remove(rid);
      look.wide = true;
      looks.put(++lastRid, look);
      ask(lastRid, look);
      return;
    }
    if (look.wide && frame.flag("sure")) {
      look.sure.add(from);
      if (look.sure.containsAll(look.asked)) {
        looks.remove(rid);
        if (look.step.isPresent()) {
          look.step.get().accept("");
        } else {
          look.exchange.answer(Answer.of(ResultCode.NO_MESSAGE));
        }
      }
    }
  }

  private void tell(long rid, Look look, Frame frame) {
    looks.remove(rid);
    if (look.step.isPresent()) {
      look.step.get().accept(frame.text("step"));
      return;
    }
    var state = frame.small("state");
    if (look.body) {
      if (state == 1) {
        look.exchange.answer(Answer.of(ResultCode.NO_MESSAGE));
        return;
      }
      var type = frame.text("type").isEmpty() ? "application/octet-stream" : frame.text("type");
      look.exchange.answer(Answer.of(ResultCode.FINE).with(type, frame.bytes("body")));
      return;
    }
    var text =
        state == 1
            ? "{\"State\":\"finished\",\"Seal\":\""
                + frame.text("seal").replace("\"", "").replace("\\", "")
                + "\"}"
            : state == 2 ? "{\"State\":\"failed\"}" : "{\"State\":\"waiting\"}";
    look.exchange.answer(
        Answer.of(ResultCode.FINE).with("application/json", text.getBytes(StandardCharsets.UTF_8)));
  }

  private void tickLooks(long nowUs) {
    for (var entry : List.copyOf(looks.entrySet())) {
      var look = entry.getValue();
      if (nowUs < look.untilUs) {
        if ((look.untilUs - nowUs) / 100_000 % 3 == 0) {
          ask(entry.getKey(), look);
        }
        continue;
      }
      looks.remove(entry.getKey());
      look.exchange.answer(Answer.later(ResultCode.NOT_KEPT, 1));
    }
  }

  private void end(Exchange exchange, String name, String kind) {
    var lease = exchange.header("Lease").orElse("");
    if (!RequestFields.isLease(lease)) {
      exchange.answer(Answer.of(ResultCode.LEASE_GONE));
      return;
    }
    var result = number(exchange, "Job-Result", kind.equals("end") ? -1 : 0);
    if (result < 0) {
      exchange.answer(Answer.of(ResultCode.BAD_REQUEST));
      return;
    }
    if (ends.size() >= OPEN_MOST) {
      exchange.answer(Answer.later(ResultCode.NOT_KEPT, 1));
      return;
    }
    var end = new End();
    end.exchange = exchange;
    end.partition = Integer.parseInt(lease.substring(0, lease.indexOf('.')));
    end.untilUs = clock.steadyUs() + END_US;
    end.frame =
        Frame.of(kind)
            .with("line", end.partition)
            .with("id", name)
            .with("lease", lease)
            .with("result", result)
            .with("seal", exchange.header("Server-Seal").orElse(""));
    var rid = ++lastRid;
    ends.put(rid, end);
    sendEnd(rid, end);
  }

  private void sendEnd(long rid, End end) {
    end.sentUs = clock.steadyUs();
    wakeUps.within(ASK_AGAIN_US);
    var ip =
        clusterLease
            .partition(end.partition)
            .map(partition -> clusterLease.view().ipOf(partition.primary()))
            .orElse("");
    if (!ip.isEmpty()) {
      wire.send(ip, end.frame.with("rid", rid));
    }
  }

  private void onEndOk(Frame frame) {
    var rid = frame.number("rid");
    var end = ends.get(rid);
    if (end == null || frame.small("r") == 503) {
      return;
    }
    ends.remove(rid);
    end.exchange.answer(
        Answer.of(frame.small("r") == 200 ? ResultCode.FINE : ResultCode.LEASE_GONE));
  }

  private void tickEnds(long nowUs) {
    for (var entry : List.copyOf(ends.entrySet())) {
      var end = entry.getValue();
      if (nowUs >= end.untilUs) {
        ends.remove(entry.getKey());
        end.exchange.answer(Answer.later(ResultCode.NOT_KEPT, 1));
      } else if (nowUs - end.sentUs > ASK_AGAIN_US) {
        sendEnd(entry.getKey(), end);
      }
    }
  }

  private void pull(Exchange exchange, String service) {
    var known =
        clusterLease
            .configuration()
            .service(service)
            .map(Configuration.Service::pull)
            .orElse(false);
    if (!known) {
      exchange.answer(
          clusterLease.configuration().revision() == 0
              ? Answer.later(ResultCode.NO_CLAIM, 1)
              : Answer.of(ResultCode.NO_PATH));
      return;
    }
    var waitMs = number(exchange, "Wait-Ms", 1000);
    if (waitMs < 0) {
      exchange.answer(Answer.of(ResultCode.BAD_REQUEST));
      return;
    }
    if (closing || pulls.size() >= OPEN_MOST) {
      exchange.answer(Answer.of(ResultCode.NOTHING).closing());
      return;
    }
    var pull =
        new Pull(
            ++lastRid,
            exchange,
            service,
            options.watch()
                ? exchange.header("Server-Id").filter(text -> text.length() <= 64).orElse("")
                : "",
            clock.steadyUs() + Math.min(30_000, waitMs) * 1000);
    pulls.put(pull.token, pull);
    exchange.onClose(() -> dropPull(pull));
    clock.after(
        Math.max(1000, pull.untilUs - clock.steadyUs()),
        () -> {
          synchronized (this) {
            if (pulls.remove(pull.token) != null) {
              pull.exchange.answer(Answer.of(ResultCode.NOTHING));
            }
          }
        });
    var storageNodes = clusterLease.view().members("storage");
    if (!storageNodes.isEmpty()) {
      assign(pull, nextStorage(service, storageNodes));
    }
  }

  private String nextStorage(String service, List<ClusterView.Member> storageNodes) {
    var near =
        storageNodes.stream().filter(storage -> storage.zone().equals(options.zone())).toList();
    return lightest(service, near.isEmpty() ? storageNodes : near);
  }

  private String lightest(String service, List<ClusterView.Member> storageNodes) {
    var counts = new HashMap<String, Integer>();
    pulls.values().stream()
        .filter(pull -> pull.service.equals(service))
        .forEach(pull -> counts.merge(pull.storageIp, 1, Integer::sum));
    var start = (int) (turn++ % storageNodes.size());
    var best = storageNodes.get(start);
    for (var step = 1; step < storageNodes.size(); step++) {
      var other = storageNodes.get((start + step) % storageNodes.size());
      if (counts.getOrDefault(other.ip(), 0) < counts.getOrDefault(best.ip(), 0)) {
        best = other;
      }
    }
    return best.ip();
  }

  private void assign(Pull pull, String storageIp) {
    pull.storageIp = storageIp;
    wire.send(
        storageIp,
        Frame.of("demand")
            .with("service", pull.service)
            .with("zone", options.zone())
            .with("tokens", List.of(tokenFrame(pull))));
  }

  private Frame tokenFrame(Pull pull) {
    return new Frame()
        .with("t", pull.token)
        .with("w", Math.max(0, pull.untilUs - clock.steadyUs()))
        .with("s", pull.worker)
        .with("r", pull.version);
  }

  private synchronized void dropPull(Pull pull) {
    if (pulls.remove(pull.token) != null && !pull.storageIp.isEmpty()) {
      wire.send(
          pull.storageIp,
          Frame.of("withdraw")
              .with("service", pull.service)
              .with("tokens", List.of(tokenFrame(pull))));
    }
  }

  private void onHungry(String from, Frame frame) {
    var others =
        pulls.values().stream()
            .filter(
                pull ->
                    pull.service.equals(frame.text("service"))
                        && !pull.storageIp.equals(from)
                        && pull.untilUs - clock.steadyUs() > 60_000)
            .toList();
    var most = Math.min(Math.max(1, frame.small("n")), (others.size() + 1) / 2);
    for (var pull : others.subList(0, Math.min(most, others.size()))) {
      if (!pull.storageIp.isEmpty()) {
        wire.send(
            pull.storageIp,
            Frame.of("withdraw")
                .with("service", pull.service)
                .with("tokens", List.of(tokenFrame(pull))));
      }
      assign(pull, from);
    }
  }

  private void onJob(String from, Frame frame) {
    var pull = pulls.get(frame.number("token"));
    var held = frame.delayUs() > options.visibleUs() / 2;
    if (pull == null || !pull.exchange.open() || held) {
      giveJobBack(from, frame);
      if (pull != null && pull.storageIp.equals(from)) {
        assign(pull, from);
      }
      return;
    }
    pulls.remove(pull.token);
    if (!pull.storageIp.equals(from) && !pull.storageIp.isEmpty()) {
      wire.send(
          pull.storageIp,
          Frame.of("withdraw")
              .with("service", pull.service)
              .with("tokens", List.of(tokenFrame(pull))));
    }
    var headers =
        new ArrayList<>(
            List.of(
                "Attempt-Id",
                frame.text("id"),
                "Job-Method",
                frame.text("method"),
                "Job-Path",
                frame.text("target"),
                "Lease",
                frame.text("lease")));
    addIfPresent(headers, "Customer", HeaderText.utf8(frame.text("tenant")));
    addIfPresent(headers, "Order-Key", frame.text("okey"));
    var type = frame.text("type").isEmpty() ? "application/octet-stream" : frame.text("type");
    pull.exchange.answer(new Answer(ResultCode.FINE, headers, type, frame.bytes("body"), false));
  }

  /** Nobody is to run the job under this lease: nobody waits, or most of the lease is over. */
  private void giveJobBack(String storageIp, Frame job) {
    wire.send(
        storageIp,
        Frame.of("giveback")
            .with("line", job.number("line"))
            .with("id", job.text("id"))
            .with("lease", job.text("lease")));
  }

  private static void addIfPresent(List<String> headers, String name, String value) {
    if (!value.isEmpty()) {
      headers.add(name);
      headers.add(value);
    }
  }

  private void tickPulls(long nowUs) {
    var storageNodes = clusterLease.view().members("storage");
    if (storageNodes.isEmpty()) {
      return;
    }
    var ips = storageNodes.stream().map(ClusterView.Member::ip).toList();
    pulls.values().stream()
        .filter(pull -> !ips.contains(pull.storageIp))
        .toList()
        .forEach(pull -> assign(pull, nextStorage(pull.service, storageNodes)));
  }

  private synchronized void onNews() {
    for (var entry : List.copyOf(puts.entrySet())) {
      if (entry.getValue().sentTo.isEmpty()) {
        send(entry.getKey(), entry.getValue());
      }
    }
  }

  @Override
  public synchronized void onFrame(String from, Frame frame) {
    switch (frame.kind()) {
      case "claim.ok", "claim.no", "news" -> clusterLease.onFrame(from, frame);
      case "put.ok" -> onPutOk(frame);
      case "look.ok" -> onLookOk(from, frame);
      case "end.ok" -> onEndOk(frame);
      case "job" -> onJob(from, frame);
      case "history.ask" -> wire.send(from, history.answer(frame));
      case "hungry" -> onHungry(from, frame);
      case "hits" -> onHits(from, frame);
      case "hits.up" -> {
        relays.takeUp(frame);
        onHits(from, frame.inner("h"));
        wakeUps.by(relays.dueUs(options.ip()));
      }
      case "hits.over" -> {
        relays.takeOver(frame);
        onManyHits(frame);
        wakeUps.by(relays.dueUs(options.ip()));
      }
      case "hits.down" -> {
        relays.takeDown(from, frame);
        onManyHits(frame);
      }
      case "hits.ask" -> {
        flushHits();
        wire.send(from, limiter.totals(id));
      }
      case "hits.all" -> {
        flushHits();
        wire.send(
            from,
            Frame.of("hits.known")
                .with("s", id)
                .with("all", List.<Object>copyOf(limiter.everything())));
      }
      case "hits.known" -> {
        frame.frames("all").forEach(limiter::takeTotals);
        caughtUp.add(frame.text("s"));
      }
      case "hits.totals" -> limiter.takeTotals(frame);
      default -> {}
    }
  }

  private void onHits(String from, Frame frame) {
    if (heard.size() > 1024) {
      heard.clear();
      askedHitsUs.clear();
    }
    heard.put(frame.text("s"), clock.steadyUs());
    if (!limiter.take(frame)) {
      var nowUs = clock.steadyUs();
      if (nowUs - askedHitsUs.getOrDefault(frame.text("s"), Long.MIN_VALUE / 2) > ASK_HITS_US) {
        askedHitsUs.put(frame.text("s"), nowUs);
        var origin = clusterLease.view().ipOf(frame.text("s"));
        wire.send(origin.isEmpty() ? from : origin, Frame.of("hits.ask"));
      }
    }
  }

  private void onManyHits(Frame many) {
    many.frames("hs").stream()
        .filter(hits -> !hits.text("s").equals(id))
        .forEach(hits -> onHits(clusterLease.view().ipOf(hits.text("s")), hits));
  }

  @Override
  public synchronized void onDown(String ip) {
    clusterLease.onDown(ip);
    relays.shun(ip);
    downUs.put(ip, clock.steadyUs());
    pulls.values().stream()
        .filter(pull -> pull.storageIp.equals(ip))
        .forEach(pull -> pull.storageIp = "");
    wakeUps.within(RETRY_US);
    for (var entry : List.copyOf(puts.entrySet())) {
      var put = entry.getValue();
      if (put.sentTo.equals(ip)) {
        put.unsure = true;
        put.sentTo = "";
        put.sentUs = clock.steadyUs();
      }
    }
  }

  @Override
  public synchronized void onUnsent(String ip, Frame frame) {
    if (frame.kind().equals("put")) {
      downUs.put(ip, clock.steadyUs());
      var rid = frame.number("rid");
      Optional.ofNullable(puts.get(rid))
          .filter(put -> put.sentTo.equals(ip))
          .ifPresent(put -> retry(rid, put));
    }
  }

  @Override
  public synchronized void leave() {
    LOG.log(System.Logger.Level.INFO, "leaving");
    leaving = true;
    clusterLease.renew();
    flushHits();
  }

  @Override
  public synchronized void drain() {
    closing = true;
    List.copyOf(pulls.values())
        .forEach(
            pull -> {
              dropPull(pull);
              pull.exchange.answer(Answer.of(ResultCode.NOTHING).closing());
            });
  }

  /** Refuses hand-ins that no storage node has been sent. */
  @Override
  public synchronized void refuseWaiting() {
    puts.entrySet().stream()
        .filter(entry -> entry.getValue().sentTo.isEmpty() && !entry.getValue().unsure)
        .toList()
        .forEach(entry -> giveUp(entry.getKey(), entry.getValue()));
  }

  @Override
  public synchronized void answerRest() {
    refuseWaiting();
    for (var entry : List.copyOf(puts.entrySet())) {
      entry.getValue().unsure = true;
      giveUp(entry.getKey(), entry.getValue());
    }
    looks.values().forEach(look -> look.exchange.answer(Answer.later(ResultCode.NOT_KEPT, 1)));
    looks.clear();
    ends.values().forEach(end -> end.exchange.answer(Answer.later(ResultCode.NOT_KEPT, 1)));
    ends.clear();
  }

  @Override
  public synchronized boolean idle() {
    return puts.isEmpty() && looks.isEmpty() && ends.isEmpty();
  }

  @Override
  public synchronized void flush() {
    flushHits();
  }
}
