package wellwheel.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
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
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import wellwheel.cluster.ClusterView;
import wellwheel.cluster.Rollout;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.consensus.Raft;
import wellwheel.functions.Scaler;
import wellwheel.runtime.Clock;
import wellwheel.runtime.ResultCode;
import wellwheel.storage.Disk;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/**
 * State machine of a control node: applies the replicated log, grants leases, plans the partition
 * table, answers operators.
 */
public final class ControlNode implements Network.MessageHandler, Raft.Host, Scaler.Leadership {
  private static final System.Logger LOG = System.getLogger("control");
  private static final long STORAGE_CLAIM_US = 1_200_000;
  private static final long DOWN_CLAIM_US = 500_000;
  private static final int HOLDERS_MOST = 4096;
  private static final int TERM_BITS = 24;
  private static final int BALANCED_AT_ONCE = 8;
  private static final long HISTORY_MOST_US = 400L * 86_400_000_000L;
  private static final long HISTORY_ASK_US = 500_000;
  private static final int HISTORY_TRIES = 5;
  private static final int GATHERS_MOST = 4;
  private static final int STEP_ROUNDS = 4;
  private static final long STEP_ASK_US = 700_000;
  private static final long FAR = 1_000_000;
  private static final long NEAR = 1_000;
  private static final int FAR_BALANCE = 3;
  private static final long WATCH_ASK_US = 100_000;
  private static final long WANTED_US = 2_000;
  private static final long GATHER_US = 5_000_000;

  /**
   * The plan is looked at so often, in microseconds, where nothing that it rests on has changed.
   */
  private static final long PLAN_US = 250_000;

  /** The answer to an operator: result, place to go to if it is another node, body. */
  public record Reply(ResultCode code, String location, byte[] body) {
    static Reply of(ResultCode code) {
      return new Reply(code, "", new byte[0]);
    }

    static Reply json(JsonObject root) {
      return new Reply(ResultCode.FINE, "", root.toString().getBytes(StandardCharsets.UTF_8));
    }

    static Reply of(ResultCode code, String why) {
      return new Reply(code, "", Frames.json(code, why));
    }
  }

  private static final class Frames {
    static byte[] json(ResultCode code, String why) {
      var quoted = why.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("\\p{Cntrl}", " ");
      return ("{\"Code\":" + code.number() + ",\"Error\":\"" + quoted + "\"}")
          .getBytes(StandardCharsets.UTF_8);
    }
  }

  private static final class Holder {
    ClusterView.Member member;
    long heardUs;
    long knows;
    boolean leaving;
    String life = "";
    long downUs = Long.MAX_VALUE / 2;
  }

  private final NodeOptions options;
  private final Clock clock;
  private final Network wire;
  private final Raft raft;
  private long coreOffsetUs;
  private Consumer<String> broken =
      why -> {
        throw new IllegalStateException(why);
      };
  private BiConsumer<String, Frame> extension = (from, frame) -> {};
  private final ConfigurationChanges orders = new ConfigurationChanges();
  private PackedConfiguration packedConfiguration = PackedConfiguration.NONE;
  private final TreeMap<Integer, ClusterView.Partition> partitions = new TreeMap<>();
  private long partitionsVersion;
  private final Set<String> retiring = new LinkedHashSet<>();
  private final Map<String, Holder> holders = new LinkedHashMap<>();
  private final Map<String, Long> joinReports = new HashMap<>();
  private final Set<String> restarted = new HashSet<>();
  private long memberVersion;
  private long rosterVersion;
  private List<ClusterView.Processor> roster = List.of();
  private long ledSinceUs = Long.MAX_VALUE / 2;
  private long firstStorageUs = Long.MAX_VALUE / 2;
  private long newestStorageUs;
  private boolean planning;
  private boolean planDue = true;
  private boolean plannedSettled;
  private long plannedUs;
  private final TreeMap<Integer, ClusterView.Partition> wanted = new TreeMap<>();
  private long lastBalanceUs;
  private final Rollouts rollouts = new Rollouts();
  private final Warnings warnings = new Warnings();
  private long shiftsVersion;
  private long askedWatchUs;
  private final Map<Long, StepsGather> stepGathers = new HashMap<>();
  private final Map<Long, Consumer<Reply>> stepOrders = new HashMap<>();
  private final Map<Long, HistoryGather> gathers = new HashMap<>();
  private long lastGather;
  private final ReceiptGather receiptGather;
  private final Set<String> shiftPending = new LinkedHashSet<>();

  public ControlNode(NodeOptions options, Clock clock, Network wire, Disk disk, long seed) {
    this.options = options;
    this.clock = clock;
    this.wire = wire;
    coreOffsetUs = clock.wallUs() - clock.steadyUs();
    lastGather = (seed & 0x7fffffffL) << 20;
    receiptGather = new ReceiptGather(clock, wire, this, lastGather);
    var seeds = options.seeds().stream().map(NodeOptions::hostOf).toList();
    raft =
        new Raft(
            options.ip(),
            seeds,
            2 * options.survive() + 1,
            options.firstBoot(),
            clock,
            wire,
            disk,
            this,
            seed);
  }

  public Raft raft() {
    return raft;
  }

  @Override
  public synchronized long coreUs() {
    return clock.steadyUs() + coreOffsetUs;
  }

  @Override
  public synchronized void hearCore(long coreUs) {
    coreOffsetUs = coreUs - clock.steadyUs();
  }

  @Override
  public synchronized void apply(long index, byte[] command) {
    var frame = Frame.unpack(command);
    try {
      apply(index, frame);
    } catch (IllegalArgumentException e) {
      broken.accept(e.getMessage());
    }
  }

  public void onBroken(Consumer<String> newBroken) {
    broken = newBroken;
  }

  private void apply(long index, Frame frame) {
    switch (frame.kind()) {
      case "config" -> applyConfig(frame);
      case "lines" -> applyPartitions(index, frame);
      case "retire" -> {
        retiring.add(frame.text("node"));
        planDue = true;
      }
      case "shift" -> applyShift(index, Rollout.read(frame.inner("shift")));
      default -> {}
    }
  }

  private void applyConfig(Frame frame) {
    var form =
        frame.flag("patch") ? ConfigurationChanges.Form.PATCH : ConfigurationChanges.Form.WHOLE;
    orders.apply(form, frame.number("base"), frame.bytes("bytes"));
    pushNews();
  }

  private void applyShift(long index, Rollout rollout) {
    if (rollouts.apply(rollout)) {
      shiftsVersion = index;
      LOG.log(
          System.Logger.Level.INFO,
          "code="
              + ResultCode.SHIFT_MOVES.number()
              + " "
              + rollout.json(rollouts.tally(rollout.service())));
      pushNews();
    }
  }

  private void applyPartitions(long index, Frame frame) {
    planDue = true;
    for (var each : frame.frames("lines")) {
      var partition = ClusterView.Partition.read(each);
      var old = partitions.get(partition.number());
      if (old == null ? partition.epoch() == 1 : old.epoch() + 1 == partition.epoch()) {
        partitions.put(partition.number(), partition.at(index));
        partitionsVersion = index;
        restarted.removeIf(
            key ->
                key.startsWith(partition.number() + "/")
                    && !partition.copies().contains(key.substring(key.indexOf("/") + 1)));
      }
    }
    pushNews();
  }

  @Override
  public synchronized byte[] snapshot() {
    var state =
        Frame.of("state")
            .with("version", partitionsVersion)
            .with("retiring", new ArrayList<Object>(retiring))
            .with("lines", partitions.values().stream().map(ClusterView.Partition::frame).toList())
            .with("shiftsVersion", shiftsVersion)
            .with("shifts", rollouts.all().stream().map(Rollout::frame).toList());
    orders.save(state);
    return state.pack();
  }

  @Override
  public synchronized void restore(byte[] state) {
    var frame = Frame.unpack(state);
    orders.restore(frame);
    retiring.clear();
    retiring.addAll(frame.texts("retiring"));
    partitionsVersion = frame.number("version");
    shiftsVersion = frame.number("shiftsVersion");
    rollouts.restore(frame.frames("shifts").stream().map(Rollout::read).toList());
    partitions.clear();
    frame
        .frames("lines")
        .forEach(each -> partitions.put(each.small("n"), ClusterView.Partition.read(each)));
  }

  @Override
  public synchronized void onLead() {
    ledSinceUs = clock.steadyUs();
    holders.clear();
    joinReports.clear();
    restarted.clear();
    wanted.clear();
    planning = false;
    planDue = true;
    rollouts.forgetMemory();
    warnings.clear();
    shiftPending.clear();
    memberVersion = raft.term() << TERM_BITS;
    rosterVersion = raft.term() << TERM_BITS;
    firstStorageUs = Long.MAX_VALUE / 2;
  }

  @Override
  public synchronized void onYield() {
    holders.clear();
    roster = List.of();
  }

  @Override
  public void onFrame(String from, Frame frame) {
    if (frame.kind().startsWith("raft.")) {
      raft.onFrame(from, frame);
      return;
    }
    switch (frame.kind()) {
      case "claim" -> onHeartbeat(from, frame);
      case "line.level" -> onLevel(frame);
      case "line.lost" -> onLost(frame);
      case "line.reopen" -> onReopen(frame);
      case "watch" -> onWatch(frame);
      case "steps.rows" -> onSteps(from, frame);
      case "receipts.rows" -> onReceipts(from, frame);
      case "steps.done" -> onStepsDone(frame);
      case "history.rows" -> onHistory(from, frame);
      default -> extension.accept(from, frame);
    }
  }

  /** Hands messages of kinds that are not the control node's own to another part of its process. */
  public void onOther(BiConsumer<String, Frame> newExtension) {
    extension = newExtension;
  }

  @Override
  public boolean leads() {
    return raft.leadsFreshly();
  }

  @Override
  public long term() {
    return raft.term();
  }

  /** The edge nodes that hold a lease and are not about to leave. */
  @Override
  public synchronized List<ClusterView.Member> owners() {
    var nowUs = clock.steadyUs();
    return holders.values().stream()
        .filter(holder -> holder.member.role().equals("edge") && !holder.leaving)
        .filter(holder -> alive(holder, nowUs) && nowUs - holder.downUs < DOWN_CLAIM_US)
        .map(holder -> holder.member)
        .toList();
  }

  @Override
  public synchronized void onDown(String ip) {
    holders.values().stream()
        .filter(holder -> holder.member.ip().equals(ip))
        .forEach(holder -> holder.downUs = Math.min(holder.downUs, clock.steadyUs()));
    raft.onDown(ip);
  }

  @Override
  public void onUnsent(String ip, Frame frame) {
    if (frame.kind().startsWith("raft.")) {
      raft.onDown(ip);
    }
  }

  private void onHeartbeat(String from, Frame frame) {
    if (!raft.leadsFreshly()) {
      var leader = raft.leader();
      wire.send(
          from, Frame.of("claim.no").with("leader", leader.equals(options.ip()) ? "" : leader));
      return;
    }
    var answer =
        Frame.of("claim.ok")
            .with("sent", frame.number("sent"))
            .with("core", coreUs())
            .with("voters", raft.voters());
    synchronized (this) {
      renew(from, frame);
      rollouts.hear(frame.text("id"), frame.frames("tally"));
      fill(
          answer,
          frame.number("rev"),
          frame.number("lay"),
          tells(frame.number("mem")) ? frame.number("mem") : memberVersion,
          frame.number("ros"),
          frame.number("shi"));
    }
    wire.send(from, answer);
  }

  private void renew(String from, Frame frame) {
    var id = frame.text("id");
    var nowUs = clock.steadyUs();
    if (holders.size() > HOLDERS_MOST) {
      return;
    }
    var holder = holders.get(id);
    if (holder == null) {
      holder = new Holder();
      holder.member = new ClusterView.Member(id, frame.text("role"), from, frame.text("zone"));
      var node = nodeOf(id);
      holders.values().removeIf(old -> nodeOf(old.member.id()).equals(node));
      holders.put(id, holder);
      if (frame.text("role").equals("storage")) {
        firstStorageUs = Math.min(firstStorageUs, nowUs);
        newestStorageUs = nowUs;
      }
      holder.life = frame.text("life");
      memberVersion++;
      planDue = true;
    }
    if (!holder.life.equals(frame.text("life"))) {
      holder.life = frame.text("life");
      partitions.values().stream()
          .filter(partition -> partition.backups().contains(id))
          .forEach(
              partition -> {
                restarted.add(partition.number() + "/" + id);
                want(without(partition, id));
              });
    }
    planDue |= holder.leaving != frame.flag("leaving");
    holder.heardUs = nowUs;
    holder.knows = frame.number("mem");
    holder.leaving = frame.flag("leaving");
    holder.downUs = Long.MAX_VALUE / 2;
  }

  private static String nodeOf(String id) {
    var hash = id.indexOf('#');
    return hash < 0 ? id : id.substring(0, hash);
  }

  private void fill(
      Frame answer, long revision, long view, long members, long rosterSeen, long shiftsSeen) {
    if (configuration().revision() > revision) {
      fillConfiguration(answer, revision);
    }
    if (partitionsVersion > view) {
      answer.with(
          "lines",
          partitions.values().stream()
              .filter(partition -> partition.version() > view)
              .map(ClusterView.Partition::frame)
              .toList());
    }
    if (memberVersion > members) {
      answer
          .with("mem", memberVersion)
          .with("members", holders.values().stream().map(holder -> holder.member.frame()).toList());
    }
    if (shiftsVersion > shiftsSeen) {
      answer
          .with("shi", shiftsVersion)
          .with("shifts", rollouts.all().stream().map(Rollout::frame).toList());
    }
    if (rosterVersion > rosterSeen && !roster.isEmpty()) {
      answer
          .with("ros", rosterVersion)
          .with("roster", roster.stream().map(ClusterView.Processor::frame).toList());
    }
  }

  private void fillConfiguration(Frame answer, long known) {
    var patches = orders.since(known);
    if (patches.isEmpty()) {
      packedConfiguration = packedConfiguration.of(configuration().revision(), orders::config);
      answer.with("rev", configuration().revision()).with("config", packedConfiguration.bytes());
    } else {
      answer.with(
          "patches",
          patches.stream()
              .<Object>map(
                  each -> new Frame().with("base", each.base()).with("bytes", each.bytes()))
              .toList());
    }
  }

  private static final List<String> NEWS =
      List.of("config", "patches", "lines", "shifts", "roster");

  private boolean tells(long known) {
    return known == 0 || known >> TERM_BITS == raft.term() || settled();
  }

  private long pushedRevision;
  private long pushedPartitions;
  private long pushedMembers;
  private long pushedRoster;
  private long pushedShifts;

  private void pushNews() {
    if (!raft.leads()) {
      pushedRevision = configuration().revision();
      pushedPartitions = partitionsVersion;
      pushedShifts = shiftsVersion;
      return;
    }
    var newsToAll = news(memberVersion);
    var newsWithMembers = news(pushedMembers);
    pushedShifts = shiftsVersion;
    pushedRevision = configuration().revision();
    pushedPartitions = partitionsVersion;
    pushedMembers = memberVersion;
    pushedRoster = rosterVersion;
    var toAll = NEWS.stream().anyMatch(newsToAll::has);
    holders.values().stream()
        .filter(holder -> toAll || tells(holder.knows))
        .forEach(
            holder ->
                wire.send(holder.member.ip(), tells(holder.knows) ? newsWithMembers : newsToAll));
  }

  private Frame news(long members) {
    var news = Frame.of("news").with("since", pushedPartitions);
    fill(news, pushedRevision, pushedPartitions, members, pushedRoster, pushedShifts);
    return news;
  }

  public synchronized void tick() {
    raft.tick();
    if (!raft.leadsFreshly()) {
      return;
    }
    dropLapsed();
    plan();
    tendShifts();
    tendWarnings();
    if (memberVersion > pushedMembers || rosterVersion > pushedRoster) {
      pushNews();
    }
  }

  private Map<String, Set<String>> listedVersions() {
    var found = new HashMap<String, Set<String>>();
    roster.forEach(
        each ->
            found
                .computeIfAbsent(each.service(), key -> new LinkedHashSet<>())
                .add(each.version()));
    return found;
  }

  private void tendShifts() {
    if (!rollouts.all().isEmpty()) {
      rollouts
          .due(listedVersions(), clock.steadyUs())
          .forEach(rollout -> propose(rollout, reply -> {}));
    }
  }

  private void propose(Rollout rollout, Consumer<Reply> answer) {
    if (!shiftPending.add(rollout.service())) {
      answer.accept(
          Reply.of(ResultCode.NO_LEADER, "a change of this rollout is under way; send it again"));
      return;
    }
    raft.propose(
        Frame.of("shift").with("shift", rollout.frame()).pack(),
        done -> {
          synchronized (this) {
            shiftPending.remove(rollout.service());
            var taken =
                done
                    && rollouts.of(rollout.service()).map(now -> now.equals(rollout)).orElse(false);
            answer.accept(
                taken
                    ? new Reply(ResultCode.FINE, "", json(rollout))
                    : Reply.of(
                        done ? ResultCode.OTHER_SHIFT : ResultCode.NO_LEADER,
                        "not taken; read it and send it again"));
          }
        });
  }

  private byte[] json(Rollout rollout) {
    return rollout
        .json(rollouts.tally(rollout.service()))
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  private synchronized void onWatch(Frame frame) {
    if (raft.leadsFreshly()) {
      warnings.hear(frame.text("node"), frame, clock.steadyUs());
    }
  }

  private void tendWarnings() {
    var nowUs = clock.steadyUs();
    var services = warnings.services();
    if (!services.isEmpty() && nowUs - askedWatchUs > WATCH_ASK_US) {
      askedWatchUs = nowUs;
      var ask = Frame.of("watch.ask").with("services", List.<Object>copyOf(services));
      holders.values().stream()
          .filter(holder -> holder.member.role().equals("storage"))
          .forEach(holder -> wire.send(holder.member.ip(), ask));
    }
    warnings.judge(nowUs);
  }

  public void rollout(
      String call, String service, Optional<Long> base, byte[] body, Consumer<Reply> answer) {
    proven(
        "/Shift." + call + "/" + service,
        answer,
        () -> shiftNow(call, service, base, body, answer));
  }

  private synchronized void shiftNow(
      String call, String service, Optional<Long> base, byte[] body, Consumer<Reply> answer) {
    var now = rollouts.of(service);
    if (configuration().service(service).isEmpty() || now.isEmpty() && !call.equals("Set")) {
      answer.accept(
          Reply.of(
              ResultCode.NO_SERVICE,
              configuration().service(service).isEmpty()
                  ? "no service " + service
                  : "no policy for " + service));
    } else if (base.isPresent() && !base.get().equals(now.map(Rollout::epoch).orElse(0L))) {
      answer.accept(
          Reply.of(
              ResultCode.OTHER_BASE,
              "the rollout is at epoch " + now.map(Rollout::epoch).orElse(0L)));
    } else {
      order(call, service, now, body, answer);
    }
  }

  private void order(
      String call, String service, Optional<Rollout> now, byte[] body, Consumer<Reply> answer) {
    var running = now.map(rollout -> !rollout.next().isEmpty()).orElse(false);
    if (call.equals("Set")) {
      set(service, now, running, body, answer);
    } else if (call.equals("Start")) {
      start(now.get(), running, body, answer);
    } else if (!running) {
      answer.accept(Reply.of(ResultCode.OTHER_SHIFT, "no rollout is running"));
    } else {
      propose(
          switch (call) {
            case "Hold" -> now.get().held(true);
            case "Resume" -> now.get().held(false);
            default -> now.get().takenBack();
          },
          answer);
    }
  }

  private void set(
      String service, Optional<Rollout> now, boolean running, byte[] body, Consumer<Reply> answer) {
    if (running || rollouts.full() && now.isEmpty()) {
      answer.accept(
          Reply.of(ResultCode.OTHER_SHIFT, running ? "a rollout is running" : "too many policies"));
      return;
    }
    try {
      var policy = Rollout.policy(service, body, mostListed(service));
      propose(policy.after(now.orElse(policy)), answer);
    } catch (Rollout.Invalid e) {
      answer.accept(Reply.of(ResultCode.BAD_POLICY, e.getMessage()));
    }
  }

  private List<String> mostListed(String service) {
    var counts = new TreeMap<String, Integer>();
    roster.stream()
        .filter(each -> each.service().equals(service) && !each.draining())
        .forEach(each -> counts.merge(each.version(), 1, Integer::sum));
    return counts.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .stream()
        .toList();
  }

  private void start(Rollout now, boolean running, byte[] body, Consumer<Reply> answer) {
    var version = new String(body, StandardCharsets.UTF_8).trim();
    if (running) {
      answer.accept(Reply.of(ResultCode.OTHER_SHIFT, "a rollout to " + now.next() + " is running"));
    } else if (version.isEmpty() || version.length() > 64 || now.trusted().contains(version)) {
      answer.accept(
          Reply.of(
              ResultCode.BAD_POLICY, "the body must name a version that is not in service yet"));
    } else {
      propose(now.started(version), answer);
    }
  }

  public Reply shiftState(String service) {
    return elsewhere("/Shift.Read/" + service)
        .orElseGet(
            () -> {
              synchronized (this) {
                return rollouts
                    .of(service)
                    .map(rollout -> new Reply(ResultCode.FINE, "", json(rollout)))
                    .orElseGet(() -> Reply.of(ResultCode.NO_SERVICE, "no policy for " + service));
              }
            });
  }

  public void steps(String wanted, Consumer<Reply> answer) {
    var elsewhere = elsewhere("/Steps.Read/" + wanted);
    if (elsewhere.isPresent()) {
      answer.accept(elsewhere.get());
    } else {
      gatherSteps(
          new StepsGather(wanted, STEP_ROUNDS, gather -> answer.accept(gather.reply())), answer);
    }
  }

  public void warnings(boolean stepsOnly, Consumer<Reply> answer) {
    var elsewhere = elsewhere(stepsOnly ? "/Steps.Failed" : "/Warnings.Read");
    if (elsewhere.isPresent()) {
      answer.accept(elsewhere.get());
      return;
    }
    gatherSteps(
        new StepsGather(
            "",
            1,
            gather -> {
              var list = new JsonArray();
              if (!stepsOnly) {
                warnings.all().forEach(each -> list.add(each.json()));
              }
              list.addAll(gather.failed());
              answer.accept(jsonReply("Warnings", list));
            }),
        answer);
  }

  private synchronized void gatherSteps(StepsGather gather, Consumer<Reply> answer) {
    if (stepGathers.size() >= GATHERS_MOST) {
      answer.accept(Reply.of(ResultCode.NO_LEADER, "too many questions at once"));
      return;
    }
    nextRound(++lastGather, gather);
  }

  private void nextRound(long rid, StepsGather gather) {
    var ips = storageIps();
    stepGathers.put(rid, gather);
    var ask = gather.round(rid, ips);
    ips.forEach(ip -> wire.send(ip, ask));
    clock.after(
        STEP_ASK_US,
        () -> {
          synchronized (this) {
            endRound(rid, gather);
          }
        });
  }

  private void endRound(long rid, StepsGather gather) {
    if (!stepGathers.remove(rid, gather)) {
      return;
    }
    if (gather.goesOn()) {
      nextRound(++lastGather, gather);
    } else {
      gather.finish();
    }
  }

  private synchronized void onSteps(String from, Frame frame) {
    var rid = frame.number("rid");
    Optional.ofNullable(stepGathers.get(rid))
        .ifPresent(
            gather -> {
              gather.take(from, frame);
              if (gather.heardAll()) {
                endRound(rid, gather);
              }
            });
  }

  /** Tells what is known of a key, or how many receipts each storage node holds. */
  public void receipts(ReceiptGather.Question question, String target, Consumer<Reply> answer) {
    var elsewhere = elsewhere(target);
    if (elsewhere.isPresent()) {
      answer.accept(elsewhere.get());
      return;
    }
    synchronized (this) {
      receiptGather.ask(question, storageIps(), answer);
    }
  }

  private synchronized void onReceipts(String from, Frame frame) {
    receiptGather.take(from, frame);
  }

  private Set<String> storageIps() {
    var ips = new LinkedHashSet<String>();
    holders.values().stream()
        .filter(holder -> holder.member.role().equals("storage"))
        .forEach(holder -> ips.add(holder.member.ip()));
    return ips;
  }

  public void decideStep(String step, boolean drop, Consumer<Reply> answer) {
    var elsewhere = elsewhere((drop ? "/Steps.Drop/" : "/Steps.Release/") + step);
    if (elsewhere.isPresent()) {
      answer.accept(elsewhere.get());
      return;
    }
    synchronized (this) {
      var partition =
          step.matches("[0-9]{1,2}-.+")
              ? partitions.get(Integer.parseInt(step.substring(0, step.indexOf('-'))))
              : null;
      var ip =
          partition == null
              ? ""
              : Optional.ofNullable(holders.get(partition.primary()))
                  .map(holder -> holder.member.ip())
                  .orElse("");
      if (ip.isEmpty()) {
        answer.accept(
            partition == null
                ? Reply.of(ResultCode.NO_MESSAGE, "no step " + step + "; give the Message-Name")
                : Reply.of(ResultCode.NO_LEADER, "its storage node is away; send it again"));
        return;
      }
      var rid = ++lastGather;
      stepOrders.put(rid, answer);
      wire.send(ip, Frame.of("steps.order").with("rid", rid).with("step", step).with("drop", drop));
      clock.after(
          2 * STEP_ASK_US,
          () -> {
            synchronized (this) {
              Optional.ofNullable(stepOrders.remove(rid))
                  .ifPresent(
                      waits ->
                          waits.accept(Reply.of(ResultCode.NO_LEADER, "unclear; send it again")));
            }
          });
    }
  }

  private synchronized void onStepsDone(Frame frame) {
    Optional.ofNullable(stepOrders.remove(frame.number("rid")))
        .ifPresent(
            answer ->
                answer.accept(
                    switch (frame.text("r")) {
                      case "done" -> Reply.of(ResultCode.FINE);
                      case "free" -> Reply.of(ResultCode.NOT_HELD, "it is not held back by a step");
                      case "none" -> Reply.of(ResultCode.NO_MESSAGE, "no such step waits");
                      default ->
                          Reply.of(ResultCode.NO_LEADER, "its partition moves; send it again");
                    }));
  }

  public void history(long fromUs, long toUs, Consumer<Reply> answer) {
    var elsewhere = elsewhere("/History.Read?from=" + fromUs + "&to=" + toUs);
    if (elsewhere.isPresent()) {
      answer.accept(elsewhere.get());
      return;
    }
    synchronized (this) {
      if (fromUs >= toUs || toUs - fromUs > HISTORY_MOST_US || gathers.size() >= GATHERS_MOST) {
        answer.accept(
            fromUs < toUs && toUs - fromUs <= HISTORY_MOST_US
                ? Reply.of(ResultCode.NO_LEADER, "too many questions at once")
                : Reply.of(
                    ResultCode.BAD_RANGE, "from must lie before to, 400 days apart at most"));
        return;
      }
      var rid = ++lastGather;
      var gather =
          new HistoryGather(
              fromUs,
              toUs,
              holders.values().stream()
                  .filter(holder -> !holder.member.role().equals("control"))
                  .map(holder -> holder.member)
                  .toList(),
              answer);
      gathers.put(rid, gather);
      askHistory(rid, gather, HISTORY_TRIES);
    }
  }

  private void askHistory(long rid, HistoryGather gather, int tries) {
    if (gathers.get(rid) != gather) {
      return;
    }
    if (tries == 0 || gather.whole()) {
      gathers.remove(rid);
      gather.tell(
          service ->
              configuration().service(service).map(Configuration.Service::pull).orElse(false),
          coreUs());
      return;
    }
    gather
        .missing()
        .forEach(
            member ->
                wire.send(
                    member.ip(),
                    Frame.of("history.ask")
                        .with("rid", rid)
                        .with("from", gather.fromUs())
                        .with("to", gather.toUs())));
    clock.after(
        HISTORY_ASK_US,
        () -> {
          synchronized (this) {
            askHistory(rid, gather, tries - 1);
          }
        });
  }

  private synchronized void onHistory(String from, Frame frame) {
    var rid = frame.number("rid");
    Optional.ofNullable(gathers.get(rid))
        .ifPresent(
            gather -> {
              gather.take(from, frame);
              if (gather.whole()) {
                askHistory(rid, gather, 0);
              }
            });
  }

  public Reply warningsNow() {
    return elsewhere("/Warnings.Read")
        .orElseGet(
            () -> {
              synchronized (this) {
                var list = new JsonArray();
                warnings.all().forEach(each -> list.add(each.json()));
                return jsonReply("Warnings", list);
              }
            });
  }

  private static Reply jsonReply(String field, JsonArray list) {
    var root = new JsonObject();
    root.add(field, list);
    return new Reply(ResultCode.FINE, "", root.toString().getBytes(StandardCharsets.UTF_8));
  }

  public Reply nodes() {
    return elsewhere("/Nodes.Read")
        .orElseGet(
            () -> {
              synchronized (this) {
                var list = new JsonArray();
                list.add(
                    node(
                        options.ip(),
                        "control",
                        options.zone(),
                        "leads term "
                            + raft.term()
                            + ", majority for "
                            + raft.majorityForUs() / 1000
                            + " ms, "
                            + raft.voters().size()
                            + " vote"));
                raft.standings()
                    .forEach(each -> list.add(node(each.ip(), "control", "", standing(each))));
                holders
                    .values()
                    .forEach(
                        holder ->
                            list.add(
                                node(
                                    holder.member.id(),
                                    holder.member.role(),
                                    holder.member.zone(),
                                    holder.leaving
                                        ? "leaving"
                                        : retiring.contains(nodeOf(holder.member.id()))
                                            ? "retiring"
                                            : "well")));
                return jsonReply("Nodes", list);
              }
            });
  }

  private static String standing(Raft.Standing control) {
    return (control.votes() ? "votes" : "learns")
        + ", "
        + control.behind()
        + " entries behind, heard "
        + control.silentUs() / 1000
        + " ms ago"
        + (control.blank() ? ", empty disk" : "")
        + (control.leaving() ? ", leaving" : "");
  }

  private static JsonObject node(String name, String role, String zone, String standing) {
    var row = new JsonObject();
    row.addProperty("Node", name);
    row.addProperty("Role", role);
    row.addProperty("Zone", zone);
    row.addProperty("Standing", standing);
    return row;
  }

  public Reply partitionsNow() {
    return elsewhere("/Lines.Read")
        .orElseGet(
            () -> {
              synchronized (this) {
                var list = new JsonArray();
                partitions
                    .values()
                    .forEach(
                        partition -> {
                          var row = new JsonObject();
                          row.addProperty("Line", partition.number());
                          row.addProperty("Epoch", partition.epoch());
                          row.addProperty("Copies", String.join(" ", partition.copies()));
                          row.addProperty("Joining", partition.joining());
                          row.addProperty(
                              "Missing", Math.max(0, full() - partition.copies().size()));
                          list.add(row);
                        });
                return jsonReply("Lines", list);
              }
            });
  }

  public void learn() {
    raft.learn();
  }

  /** Takes the seeds of a changed options file in place of the former ones. */
  public void seedsAre(List<String> ips) {
    raft.seedsAre(ips);
  }

  private long leaseUs(Holder holder) {
    return holder.member.role().equals("storage") ? STORAGE_CLAIM_US : options.revokeUs() - 500_000;
  }

  private boolean alive(Holder holder) {
    return alive(holder, clock.steadyUs());
  }

  private boolean alive(Holder holder, long nowUs) {
    return nowUs - holder.heardUs < leaseUs(holder)
        && !(holder.member.role().equals("storage") && nowUs - holder.downUs > DOWN_CLAIM_US);
  }

  private boolean alive(String id) {
    return Optional.ofNullable(holders.get(id)).map(this::alive).orElse(false);
  }

  private boolean settled() {
    return clock.steadyUs() - ledSinceUs > STORAGE_CLAIM_US + 400_000;
  }

  private void dropLapsed() {
    var nowUs = clock.steadyUs();
    var gone = new ArrayList<String>();
    for (var holder : holders.values()) {
      if (!alive(holder, nowUs)) {
        gone.add(holder.member.id());
      }
    }
    if (gone.isEmpty()) {
      return;
    }
    planDue = true;
    gone.forEach(holders::remove);
    LOG.log(System.Logger.Level.INFO, "leases lapsed: " + gone);
    memberVersion++;
  }

  private boolean usable(Holder holder) {
    return holder.member.role().equals("storage")
        && alive(holder)
        && !holder.leaving
        && !retiring.contains(nodeOf(holder.member.id()));
  }

  private List<String> usableStorageNodes() {
    return holders.values().stream()
        .filter(this::usable)
        .map(holder -> holder.member.id())
        .sorted()
        .toList();
  }

  private void plan() {
    var nowUs = clock.steadyUs();
    planDue |= plannedSettled != settled() || partitions.isEmpty() || nowUs - plannedUs >= PLAN_US;
    if (planning || !planDue) {
      return;
    }
    planDue = false;
    plannedUs = nowUs;
    plannedSettled = settled();
    var storageNodes = usableStorageNodes();
    var changes = partitions.isEmpty() ? firstPlacement(storageNodes) : repairs(storageNodes);
    if (changes.isEmpty()) {
      return;
    }
    proposePartitions(changes);
  }

  private void proposePartitions(List<ClusterView.Partition> changes) {
    planning = true;
    LOG.log(
        System.Logger.Level.INFO,
        "moves " + changes.size() + " partitions, first " + changes.get(0));
    var command =
        Frame.of("lines")
            .with("lines", changes.stream().map(ClusterView.Partition::frame).toList())
            .pack();
    raft.propose(
        command,
        done -> {
          synchronized (this) {
            planning = false;
            planDue = true;
          }
        });
  }

  private int full() {
    return 1 + Math.max(1, options.survive());
  }

  private int afterLoss() {
    return Math.max(2, full() - 1);
  }

  private List<ClusterView.Partition> firstPlacement(List<String> storageNodes) {
    var nowUs = clock.steadyUs();
    var patient = nowUs - newestStorageUs > 1_000_000 || nowUs - firstStorageUs > 5_000_000;
    if (storageNodes.size() < full() || !patient) {
      return List.of();
    }
    var weights = new HashMap<String, Integer>();
    var changes = new ArrayList<ClusterView.Partition>();
    for (var number = 0; number < ClusterView.PARTITIONS; number++) {
      var copies = new ArrayList<>(List.of(storageNodes.get(number % storageNodes.size())));
      weights.merge(copies.get(0), 1, Integer::sum);
      while (copies.size() < full()) {
        copies.add(pick(copies, copies, storageNodes, weights));
      }
      changes.add(new ClusterView.Partition(number, 1, List.copyOf(copies), "", full(), 0));
    }
    return changes;
  }

  private List<ClusterView.Partition> repairs(List<String> storageNodes) {
    var weights = new HashMap<String, Integer>();
    partitions
        .values()
        .forEach(
            partition -> {
              partition.copies().forEach(id -> weights.merge(id, 1, Integer::sum));
              weights.merge(partition.joining(), 1, Integer::sum);
            });
    if (!settled()) {
      return partitions.values().stream()
          .map(partition -> beforeSettled(partition, storageNodes, weights))
          .flatMap(Optional::stream)
          .toList();
    }
    var changes = new ArrayList<ClusterView.Partition>();
    var calm = true;
    for (var partition : partitions.values()) {
      var next = repair(partition, storageNodes, weights);
      calm &=
          next.isEmpty() && partition.copies().size() >= full() && partition.joining().isEmpty();
      next.ifPresent(changes::add);
    }
    return calm ? balance(storageNodes) : changes;
  }

  private Optional<ClusterView.Partition> beforeSettled(
      ClusterView.Partition partition, List<String> storageNodes, Map<String, Integer> weights) {
    var live = partition.copies().stream().filter(this::alive).toList();
    if (live.size() == partition.copies().size()) {
      return alive(partition.joining()) ? joined(partition) : Optional.empty();
    }
    var lostForGood = partition.copies().stream().allMatch(id -> live.contains(id) || reborn(id));
    return live.isEmpty() || !lostForGood
        ? Optional.empty()
        : Optional.of(
            partition.with(
                live, pick(live, partition.copies(), storageNodes, weights), afterLoss()));
  }

  private Optional<ClusterView.Partition> repair(
      ClusterView.Partition partition, List<String> storageNodes, Map<String, Integer> weights) {
    var live = partition.copies().stream().filter(this::alive).toList();
    if (live.isEmpty()) {
      return rescue(partition, storageNodes, weights);
    }
    var joins = alive(partition.joining());
    if (live.size() < partition.copies().size()) {
      return Optional.of(
          partition.with(
              live,
              joins ? partition.joining() : pick(live, partition.copies(), storageNodes, weights),
              afterLoss()));
    }
    if (!partition.joining().isEmpty()) {
      return joined(partition)
          .or(
              () ->
                  joins
                      ? joinsInstead(partition, storageNodes, weights)
                      : Optional.of(partition.with(partition.copies(), "", partition.need())));
    }
    var again =
        live.stream().filter(id -> restarted.contains(partition.number() + "/" + id)).findFirst();
    if (again.isPresent() && partition.backups().contains(again.get())) {
      return Optional.of(without(partition, again.get()));
    }
    if (live.size() < full()) {
      var joining = pick(live, live, storageNodes, weights);
      return joining.isEmpty()
          ? Optional.empty()
          : Optional.of(partition.with(live, joining, partition.need()));
    }
    return relieve(partition, storageNodes, weights);
  }

  private Optional<ClusterView.Partition> joinsInstead(
      ClusterView.Partition partition, List<String> storageNodes, Map<String, Integer> weights) {
    if (storageNodes.contains(partition.joining())) {
      return Optional.empty();
    }
    var other = pick(partition.copies(), partition.copies(), storageNodes, weights);
    return other.isEmpty()
        ? Optional.empty()
        : Optional.of(partition.with(partition.copies(), other, partition.need()));
  }

  private Optional<ClusterView.Partition> relieve(
      ClusterView.Partition partition, List<String> storageNodes, Map<String, Integer> weights) {
    if (storageNodes.containsAll(partition.copies())) {
      return Optional.empty();
    }
    var joining = pick(partition.copies(), partition.copies(), storageNodes, weights);
    if (!joining.isEmpty()) {
      return Optional.of(partition.with(partition.copies(), joining, partition.need()));
    }
    var staying = partition.backups().stream().anyMatch(storageNodes::contains);
    return storageNodes.contains(partition.primary()) || !staying
        ? Optional.empty()
        : Optional.of(
            partition.with(stayingFirst(partition.copies(), storageNodes), "", partition.need()));
  }

  private static List<String> stayingFirst(List<String> copies, List<String> storageNodes) {
    var sorted = new ArrayList<>(copies);
    sorted.sort((a, b) -> Boolean.compare(storageNodes.contains(b), storageNodes.contains(a)));
    return sorted;
  }

  private Optional<ClusterView.Partition> joined(ClusterView.Partition partition) {
    if (partition.joining().isEmpty()
        || !joinReports
            .getOrDefault(partition.number() + "/" + partition.joining(), -1L)
            .equals(partition.epoch())) {
      return Optional.empty();
    }
    var grown = new ArrayList<>(partition.copies());
    grown.add(partition.joining());
    if (partition.copies().size() < full()) {
      return Optional.of(
          partition.with(grown, "", grown.size() >= full() ? full() : partition.need()));
    }
    var storageNodes = usableStorageNodes();
    var goers = partition.copies().stream().filter(id -> !storageNodes.contains(id)).toList();
    if (!goers.isEmpty()) {
      var handsOver =
          goers.contains(partition.primary()) && goers.size() < partition.copies().size();
      grown.remove(handsOver ? partition.primary() : goers.get(goers.size() - 1));
      return Optional.of(partition.with(stayingFirst(grown, storageNodes), "", full()));
    }
    grown.remove(heaviest(partition.backups()));
    if (primaries(partition.primary()) > primaries(partition.joining()) + 1) {
      grown.remove(partition.joining());
      grown.add(0, partition.joining());
    }
    return Optional.of(partition.with(grown, "", full()));
  }

  private String zone(String id) {
    return Optional.ofNullable(holders.get(id)).map(holder -> holder.member.zone()).orElse("");
  }

  private String heaviest(List<String> copies) {
    return copies.stream().max((a, b) -> Long.compare(copies(a), copies(b))).orElseThrow();
  }

  private long copies(String id) {
    return partitions.values().stream().filter(partition -> partition.has(id)).count();
  }

  private long primaries(String id) {
    return partitions.values().stream().filter(partition -> partition.primary().equals(id)).count();
  }

  private boolean reborn(String gone) {
    return holders.keySet().stream()
        .anyMatch(id -> nodeOf(id).equals(nodeOf(gone)) && !id.equals(gone));
  }

  private Optional<ClusterView.Partition> rescue(
      ClusterView.Partition partition, List<String> storageNodes, Map<String, Integer> weights) {
    if (!partition.copies().stream().allMatch(this::reborn) || storageNodes.isEmpty()) {
      return Optional.empty();
    }
    var last = alive(partition.joining()) ? partition.joining() : "";
    LOG.log(
        System.Logger.Level.ERROR,
        "code="
            + ResultCode.LINE_LOST.number()
            + " partition "
            + partition.number()
            + " has no copy left and starts "
            + (last.isEmpty() ? "empty" : "from what " + last + " has of it"));
    var primary =
        List.of(last.isEmpty() ? storageNodes.get(partition.number() % storageNodes.size()) : last);
    return Optional.of(
        partition.with(primary, pick(primary, primary, storageNodes, weights), full()));
  }

  private String pick(
      List<String> copies,
      List<String> avoided,
      List<String> storageNodes,
      Map<String, Integer> weights) {
    var best = "";
    var bestWeight = Long.MAX_VALUE;
    for (var id : storageNodes) {
      if (copies.contains(id) || avoided.contains(id)) {
        continue;
      }
      var weight = weights.getOrDefault(id, 0) + distance(copies, id);
      if (weight < bestWeight) {
        best = id;
        bestWeight = weight;
      }
    }
    if (!best.isEmpty()) {
      weights.merge(best, 1, Integer::sum);
    }
    return best;
  }

  private long distance(List<String> copies, String id) {
    var here = copies.stream().filter(copy -> zone(copy).equals(zone(id))).count();
    var spread = options.surviveZones() > 0 || copies.size() + 1 >= full();
    if (spread) {
      return here == 0 ? 0 : options.surviveZones() > 0 || here == copies.size() ? FAR : 0;
    }
    return !copies.isEmpty() && zone(copies.get(0)).equals(zone(id)) ? 0 : NEAR;
  }

  private boolean fits(
      ClusterView.Partition partition, String goer, String id, Map<String, Integer> loads) {
    var others = partition.copies().stream().filter(copy -> !copy.equals(goer)).toList();
    if (zone(id).equals(zone(goer))) {
      return true;
    }
    var here = others.stream().filter(copy -> zone(copy).equals(zone(id))).count();
    var keeps =
        others.stream().anyMatch(copy -> zone(copy).equals(zone(goer)))
            && options.surviveZones() == 0
            && full() > 2;
    return (options.surviveZones() > 0 ? here == 0 : here < others.size())
        && (!keeps || loads.get(goer) > loads.get(id) + FAR_BALANCE);
  }

  private List<ClusterView.Partition> balance(List<String> storageNodes) {
    var nowUs = clock.steadyUs();
    if (nowUs - lastBalanceUs < 500_000 || storageNodes.size() < full()) {
      return List.of();
    }
    lastBalanceUs = nowUs;
    var loads = new HashMap<String, Integer>();
    var leads = new HashMap<String, Integer>();
    storageNodes.forEach(
        id -> {
          loads.put(id, 0);
          leads.put(id, 0);
        });
    partitions
        .values()
        .forEach(
            partition -> {
              partition.copies().forEach(id -> loads.merge(id, 1, Integer::sum));
              leads.merge(partition.primary(), 1, Integer::sum);
            });
    var changes = new ArrayList<ClusterView.Partition>();
    for (var partition : partitions.values()) {
      if (changes.size() >= BALANCED_AT_ONCE) {
        break;
      }
      balance(partition, storageNodes, loads, leads).ifPresent(changes::add);
    }
    return changes;
  }

  private Optional<ClusterView.Partition> balance(
      ClusterView.Partition partition,
      List<String> storageNodes,
      Map<String, Integer> loads,
      Map<String, Integer> leads) {
    var idlest =
        partition.backups().stream()
            .min((a, b) -> Integer.compare(leads.getOrDefault(a, 0), leads.getOrDefault(b, 0)))
            .orElseThrow();
    if (leads.get(partition.primary()) > leads.getOrDefault(idlest, 0) + 1) {
      leads.merge(partition.primary(), -1, Integer::sum);
      leads.merge(idlest, 1, Integer::sum);
      var order = new ArrayList<>(partition.copies());
      order.remove(idlest);
      order.add(0, idlest);
      return Optional.of(partition.with(order, "", partition.need()));
    }
    var heavier = heaviest(partition.backups());
    var lightest =
        storageNodes.stream()
            .filter(id -> !partition.has(id) && fits(partition, heavier, id, loads))
            .min((a, b) -> Integer.compare(loads.get(a), loads.get(b)));
    if (lightest.isEmpty() || loads.get(heavier) <= loads.get(lightest.get()) + 1) {
      return Optional.empty();
    }
    loads.merge(heavier, -1, Integer::sum);
    loads.merge(lightest.get(), 1, Integer::sum);
    return Optional.of(partition.with(partition.copies(), lightest.get(), partition.need()));
  }

  private synchronized void onLevel(Frame frame) {
    joinReports.put(frame.small("line") + "/" + frame.text("node"), frame.number("epoch"));
    if (joinReports.size() > 4096) {
      joinReports.clear();
    }
    if (raft.leadsFreshly()) {
      planDue = true;
      plan();
    }
  }

  private synchronized void onLost(Frame frame) {
    var partition = partitions.get(frame.small("line"));
    if (!raft.leadsFreshly()
        || planning
        || partition == null
        || partition.epoch() != frame.number("epoch")) {
      return;
    }
    var node = frame.text("node");
    if (partition.backups().contains(node)) {
      want(without(partition, node));
    } else if (node.equals(partition.joining())) {
      want(partition.with(partition.copies(), "", partition.need()));
    }
  }

  private synchronized void onReopen(Frame frame) {
    var partition = partitions.get(frame.small("line"));
    if (!raft.leadsFreshly()
        || planning
        || partition == null
        || partition.epoch() != frame.number("epoch")
        || !partition.primary().equals(frame.text("node"))) {
      return;
    }
    var live = partition.backups().stream().filter(this::alive).toList();
    if (live.isEmpty() && !partition.backups().isEmpty() && !settled()) {
      return;
    }
    want(
        live.isEmpty()
            ? partition.with(List.of(partition.primary()), "", afterLoss())
            : partition.with(live, partition.primary(), afterLoss()));
  }

  private ClusterView.Partition without(ClusterView.Partition partition, String node) {
    return partition.with(
        partition.copies().stream().filter(id -> !id.equals(node)).toList(),
        alive(node) ? node : "",
        afterLoss());
  }

  private void want(ClusterView.Partition partition) {
    if (wanted.isEmpty()) {
      clock.after(WANTED_US, this::proposeWanted);
    }
    wanted.putIfAbsent(partition.number(), partition);
  }

  private synchronized void proposeWanted() {
    var changes = List.copyOf(wanted.values());
    wanted.clear();
    if (raft.leadsFreshly() && !planning && !changes.isEmpty()) {
      proposePartitions(changes);
    }
  }

  /** Takes a whole configuration that builds on a version, if that is the newest. */
  public void replace(byte[] bytes, Optional<Long> base, Consumer<Reply> answer) {
    change("/Config.Replace", ConfigurationChanges.Form.WHOLE, bytes, base, answer);
  }

  /** Takes a change of named items that builds on a version, if that is the newest. */
  public void update(byte[] bytes, Optional<Long> base, Consumer<Reply> answer) {
    change("/Config.Update", ConfigurationChanges.Form.PATCH, bytes, base, answer);
  }

  private void change(
      String target,
      ConfigurationChanges.Form form,
      byte[] bytes,
      Optional<Long> base,
      Consumer<Reply> answer) {
    var elsewhere = elsewhere(target).or(this::gathering);
    if (elsewhere.isPresent()) {
      answer.accept(elsewhere.get());
      return;
    }
    var verdict = judge(form, bytes, base);
    if (verdict.proper()) {
      propose(form, bytes, base.orElse(0L), answer);
    } else if (verdict.provable()) {
      raft.confirm(sure -> answer.accept(sure ? refusal(form, bytes, base) : unclear()));
    } else {
      answer.accept(verdict.reply());
    }
  }

  private synchronized ConfigurationChanges.Verdict judge(
      ConfigurationChanges.Form form, byte[] bytes, Optional<Long> base) {
    return orders.judge(form, bytes, base);
  }

  private Reply refusal(ConfigurationChanges.Form form, byte[] bytes, Optional<Long> base) {
    var verdict = judge(form, bytes, base);
    return verdict.proper() ? unclear() : verdict.reply();
  }

  private static Reply unclear() {
    return Reply.of(ResultCode.NO_LEADER, "unclear; send it again");
  }

  private void propose(
      ConfigurationChanges.Form form, byte[] bytes, long base, Consumer<Reply> answer) {
    if (!raft.enough()) {
      LOG.log(
          System.Logger.Level.ERROR,
          "code="
              + ResultCode.FEW_VOTERS.number()
              + " a configuration is taken with "
              + raft.voters().size()
              + " voters");
    }
    raft.propose(
        Frame.of("config")
            .with("base", base)
            .with("bytes", bytes)
            .with("patch", form == ConfigurationChanges.Form.PATCH)
            .pack(),
        done -> answer.accept(done ? outcome(form, bytes, base) : unclear()));
  }

  private synchronized Reply outcome(ConfigurationChanges.Form form, byte[] bytes, long base) {
    return orders.outcome(form, bytes, base);
  }

  private synchronized Optional<Reply> gathering() {
    return !raft.enough() && clock.steadyUs() - ledSinceUs < GATHER_US
        ? Optional.of(Reply.of(ResultCode.NO_LEADER, "voters are still gathering"))
        : Optional.empty();
  }

  private void proven(String target, Consumer<Reply> answer, Runnable then) {
    var elsewhere = elsewhere(target);
    if (elsewhere.isPresent()) {
      answer.accept(elsewhere.get());
      return;
    }
    raft.confirm(
        sure -> {
          if (sure) {
            then.run();
          } else {
            answer.accept(unclear());
          }
        });
  }

  public Optional<Reply> elsewhere(String target) {
    if (raft.leadsFreshly()) {
      return Optional.empty();
    }
    var leader = raft.leader();
    if (leader.isEmpty() || leader.equals(options.ip())) {
      return Optional.of(Reply.of(ResultCode.NO_LEADER, "no leader yet"));
    }
    return Optional.of(
        new Reply(
            ResultCode.ELSEWHERE,
            "http://" + leader + ":" + NodeOptions.portOf(options.control()) + target,
            new byte[0]));
  }

  public void read(Consumer<Reply> answer) {
    proven("/Config.Read", answer, () -> answer.accept(readNow()));
  }

  private synchronized Reply readNow() {
    return new Reply(ResultCode.FINE, "", orders.readable());
  }

  public void retire(String node, Consumer<Reply> answer) {
    proven(
        "/Retire.Start/" + node,
        answer,
        () -> {
          var refusal = retireRefusal(node);
          if (refusal.isPresent()) {
            answer.accept(refusal.get());
          } else {
            raft.propose(
                Frame.of("retire").with("node", node).pack(),
                done -> answer.accept(done ? Reply.of(ResultCode.FINE) : unclear()));
          }
        });
  }

  private synchronized Optional<Reply> retireRefusal(String node) {
    if (retiring.contains(node)) {
      return Optional.of(Reply.of(ResultCode.FINE));
    }
    if (!settled()) {
      return Optional.of(Reply.of(ResultCode.NO_LEADER, "storage nodes are still gathering"));
    }
    if (holders.values().stream()
        .noneMatch(
            holder ->
                holder.member.role().equals("storage")
                    && nodeOf(holder.member.id()).equals(node))) {
      return Optional.of(Reply.of(ResultCode.NO_NODE, "no storage node " + node));
    }
    if (usableStorageNodes().stream().filter(id -> !nodeOf(id).equals(node)).count() < full()) {
      return Optional.of(Reply.of(ResultCode.TOO_FEW, "too few storage nodes would remain"));
    }
    return Optional.empty();
  }

  public void retireState(String node, Consumer<Reply> answer) {
    proven("/Retire.Read/" + node, answer, () -> answer.accept(retireStateNow(node)));
  }

  private synchronized Reply retireStateNow(String node) {
    if (!retiring.contains(node)) {
      return Reply.of(ResultCode.NO_NODE, "not retiring: " + node);
    }
    var finished =
        settled()
            && partitions.values().stream().allMatch(partition -> standsWithout(partition, node));
    return new Reply(
        ResultCode.FINE,
        "",
        ("{\"State\":\"" + (finished ? "finished" : "running") + "\"}")
            .getBytes(StandardCharsets.UTF_8));
  }

  private boolean standsWithout(ClusterView.Partition partition, String node) {
    return !nodeOf(partition.joining()).equals(node)
        && partition.copies().size() >= full()
        && partition.copies().stream().allMatch(id -> alive(id) && !nodeOf(id).equals(node));
  }

  public synchronized boolean wantsRoster() {
    if (!raft.leadsFreshly()) {
      return false;
    }
    for (var service : configuration().services()) {
      if (!service.pull() && service.endpoint().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  public synchronized void roster(List<ClusterView.Processor> fresh) {
    var same =
        fresh.size() == roster.size()
            && fresh.stream()
                .allMatch(
                    now ->
                        roster.stream()
                            .anyMatch(
                                old ->
                                    old.id().equals(now.id()) && old.draining() == now.draining()));
    if (!same && raft.leads()) {
      roster = List.copyOf(fresh);
      rosterVersion++;
    }
  }

  public synchronized Map<Integer, ClusterView.Partition> partitions() {
    return Map.copyOf(partitions);
  }

  @Override
  public synchronized Configuration configuration() {
    return orders.configuration();
  }
}
