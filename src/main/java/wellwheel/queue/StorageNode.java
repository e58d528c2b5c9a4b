package wellwheel.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import wellwheel.cluster.ClusterLease;
import wellwheel.cluster.ClusterView;
import wellwheel.cluster.Rollout;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.history.QueueHistory;
import wellwheel.receipts.MalformedMessageException;
import wellwheel.receipts.Receipt;
import wellwheel.receipts.ReceiptMessage;
import wellwheel.receipts.RequestDigest;
import wellwheel.replication.ReplicatedRecord;
import wellwheel.runtime.Clock;
import wellwheel.runtime.ResultCode;
import wellwheel.storage.Disk;
import wellwheel.storage.Journal;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/**
 * State machine of a storage node: its copies of partitions, their replication, the messages in
 * them, their attempts and ends.
 */
public final class StorageNode implements Network.MessageHandler {
  private static final System.Logger LOG = System.getLogger("storage");
  private static final long LEG_FRESH_US = 2_500_000;
  private static final long RESEND_US = 250_000;
  private static final long RESEND_ALIVE_US = 1_500_000;
  private static final long OVERDUE_US = 3_000_000;
  private static final int HANDED_AT_ONCE = 128;
  private static final int HOSTS_MOST = 4096;
  private static final long LOST_US = 600_000;
  private static final long STALL_US = 300_000;
  private static final long LULL_US = 300_000;
  private static final long LEG_SLACK_US = 150_000;
  private static final int ORPHANS_MOST = 1024;
  private static final long ORPHAN_US = 8_000_000;

  /**
   * Bodies of messages that ended so shortly before the newest record of the journal are kept when
   * it is read, as their ends may turn out not to stand on every copy.
   */
  private static final long UNCONFIRMED_BODY_US = 60_000;

  private static final long FORGET_SLACK_US = 10_000_000;
  private static final int DEMANDS_MOST = 4096;
  private static final int ASIDE_MOST = 64;
  private static final int ASKED_MOST = 12;

  /** Leaves room for as many claims and questions as a life of the process can make. */
  private static final int CLAIM_NUMBER_SHIFT = 3;

  /** Kind of a record that changes nothing and shows that the copies still follow this primary. */
  private static final String BARRIER = "b";

  private record Timed(long atUs, Message message, long stamp) {}

  private final NodeOptions options;
  private final Clock clock;
  private final Network wire;
  private final Journal journal;
  private final JournalCompaction compaction;
  private final CopyPressure copyPressure;
  private final StorageMemory memory = StorageMemory.ofHeap(Runtime.getRuntime().maxMemory());
  private final DeliveryClient deliveryClient;
  private final Random random;
  private final ClusterLease clusterLease;
  private final StragglerDetector stragglers = new StragglerDetector();
  private final RolloutRouter versions = new RolloutRouter();
  private final QueueHistory history;
  private final HistoryFeed historyFeed;
  private final StepDependencies steps;
  private final StepsReport stepsReport;
  private final ReceiptCoordinator receipts;
  private final StateQueries stateQueries;
  private final AwaitingConfiguration awaitingConfiguration = new AwaitingConfiguration();
  private final String id;
  private final Map<String, Long> heardUs = new HashMap<>();
  private final Map<String, Long> brokenUs = new HashMap<>();
  private final Map<Integer, Partition> partitions = new TreeMap<>();
  private final Map<String, Dispatcher> dispatchers = new HashMap<>();
  private final PriorityQueue<Timed> agenda =
      new PriorityQueue<>((a, b) -> Long.compare(a.atUs(), b.atUs()));
  private long agendaAtUs = Long.MAX_VALUE;
  private long tickedUs;
  private long awakeSinceUs;
  private long inTouchSinceUs;
  private long liveBytes;
  private boolean leaving;
  private int attemptsRunning;
  private long purgedUs;
  private int asks;
  private String diskId = "";
  private boolean fresh;

  public StorageNode(
      NodeOptions options,
      Clock clock,
      Network wire,
      Disk disk,
      DeliveryClient deliveryClient,
      long seed) {
    this.options = options;
    this.clock = clock;
    this.wire = wire;
    this.deliveryClient = deliveryClient;
    this.random = new Random(seed);
    this.journal = new Journal(disk, "keeper.journal", options.node());
    this.compaction = new JournalCompaction(journal);
    this.copyPressure = new CopyPressure(clock);
    replay();
    if (diskId.isEmpty()) {
      fresh = true;
      diskId = Long.toHexString(random.nextLong() & 0xffffffffffL);
      journal.append(Frame.of("disk").with("id", diskId).pack(), () -> {});
    }
    id = options.node() + "#" + diskId;
    var lifeNumber = random.nextLong();
    var life = Long.toHexString(lifeNumber);
    var seeds = options.seeds().stream().map(NodeOptions::hostOf).toList();
    steps = new StepDependencies(clock, this::askStep);
    receipts =
        new ReceiptCoordinator(
            partitionAccess(), options.receipts(), clock, lifeNumber >>> CLAIM_NUMBER_SHIFT);
    history = new QueueHistory(options, life, Optional.of(disk), this::coreNowUs);
    clusterLease =
        new ClusterLease(
            clock,
            wire,
            id,
            seeds,
            () ->
                Frame.of("claim")
                    .with("role", "storage")
                    .with("zone", options.zone())
                    .with("leaving", leaving)
                    .with("life", life)
                    .with("tally", versions.rows()),
            this::onNews);
    stepsReport = new StepsReport(partitions.values(), steps, clusterLease);
    stateQueries = new StateQueries(partitions, wire, clusterLease::ageUs, this::confirmPrimary);
    historyFeed = new HistoryFeed(history, clusterLease, partitions.values(), dispatchers.values());
  }

  private void sendToNextStorageNodes(Frame frame) {
    var storageNodes = clusterLease.view().members("storage");
    var mine = storageNodes.stream().map(ClusterView.Member::id).toList().indexOf(id);
    for (var step = 1; step <= Math.min(options.survive(), storageNodes.size() - 1); step++) {
      wire.send(storageNodes.get((mine + step) % storageNodes.size()).ip(), frame);
    }
  }

  private long coreNowUs() {
    return clusterLease.coreUs();
  }

  public ClusterLease clusterLease() {
    return clusterLease;
  }

  public String id() {
    return id;
  }

  private Partition partition(int number) {
    return partitions.computeIfAbsent(number, Partition::new);
  }

  private void replay() {
    var recovery = new JournalRecovery(recoveryOwner(), UNCONFIRMED_BODY_US, forgetUs());
    journal.replay(record -> recover(recovery, Frame.unpack(record)));
    var wanted = recovery.bodiesWanted();
    if (!wanted.isEmpty()) {
      journal.replay(record -> restoreBody(wanted, Frame.unpack(record)));
    }
  }

  private JournalRecovery.Owner recoveryOwner() {
    return new JournalRecovery.Owner() {
      @Override
      public void shedBody(Message message) {
        shed(message);
      }

      @Override
      public void forget(Message message) {
        if (!keyCounts(message, message.endedUs + forgetUs())) {
          drop(partition(message.partition), message.id);
        }
      }
    };
  }

  private void restoreBody(Map<String, Message> wanted, Frame record) {
    var message = wanted.get(record.text("i"));
    if (message != null
        && record.kind().equals("m")
        && message.partition == record.small("l")
        && message.body.length == 0) {
      message.body = record.bytes("b");
      liveBytes += message.body.length;
    }
  }

  private void recover(JournalRecovery recovery, Frame record) {
    switch (record.kind()) {
      case "disk" -> diskId = record.text("id");
      case "m", "u" -> upsert(partition(record.small("l")), record).ifPresent(recovery::read);
      case Receipt.KIND -> partition(record.small("l")).receipts.take(record);
      case "f" -> forget(partition(record.small("line")));
      case Message.REMOVAL -> drop(partition(record.small("line")), record.text("id"));
      default -> {}
    }
  }

  private boolean drop(Partition partition, String recordId) {
    var receipt = partition.receipts.get(recordId);
    partition.receipts.remove(recordId);
    var message = partition.remove(recordId);
    message.ifPresent(old -> liveBytes -= old.body.length);
    message.ifPresent(awaitingConfiguration::remove);
    return receipt.isPresent() || message.isPresent();
  }

  private Optional<Message> upsert(Partition partition, Frame record) {
    var message = partition.messageOrNull(record.text("i"));
    if (message != null) {
      if (!message.olderThan(record)) {
        return Optional.of(message);
      }
      message.update(record);
      if (record.kind().equals("m") && message.body.length == 0) {
        message.body = record.bytes("b");
        liveBytes += message.body.length;
      }
    } else if (record.kind().equals("m")) {
      message = new Message(record);
      partition.add(message);
      partition.lastNumber = Math.max(partition.lastNumber, message.number);
      liveBytes += message.body.length;
    }
    return Optional.ofNullable(message);
  }

  private void forget(Partition partition) {
    partition
        .messages()
        .forEach(
            message -> {
              liveBytes -= message.body.length;
              leaveTarget(message);
            });
    removeFromDispatchers(message -> message.partition == partition.number);
    partition.clear();
  }

  private void removeFromDispatchers(Predicate<Message> leaves) {
    dispatchers.values().forEach(dispatcher -> dispatcher.removeIf(leaves));
    awaitingConfiguration.removeIf(leaves);
  }

  public synchronized void tick() {
    clusterLease.tick();
    var nowUs = clock.steadyUs();
    noteOwnTrouble(nowUs);
    partitions.values().forEach(partition -> tickPartition(partition, nowUs));
    refreshDispatchers();
    dispatchers.values().forEach(this::pump);
    steps.tick(
        message ->
            partition(message.partition).open
                && present(partition(message.partition), message)
                && message.waiting()
                && !message.after.isEmpty()
                && message.heldBy.isEmpty());
    historyFeed.tick().ifPresent(this::sendToNextStorageNodes);
    if (options.watch()) {
      stragglers
          .report(dispatchers, clusterLease.coreUs())
          .ifPresent(frame -> report(frame.with("node", id)));
    }
    if (nowUs - purgedUs > 1_000_000) {
      purgedUs = nowUs;
      purge();
      compact();
    }
    compaction.step();
  }

  private void noteOwnTrouble(long nowUs) {
    if (nowUs - tickedUs > STALL_US) {
      awakeSinceUs = nowUs;
    }
    if (nowUs - tickedUs > STALL_US || clusterLease.ageUs() > LOST_US) {
      inTouchSinceUs = nowUs;
    }
    tickedUs = nowUs;
  }

  private void tickPartition(Partition partition, long nowUs) {
    if (partition.seen && !partition.open && partition.place.primary().equals(id)) {
      report(
          Frame.of("line.reopen")
              .with("line", partition.number)
              .with("epoch", partition.place.epoch())
              .with("node", id));
    }
    if (!partition.orphans.isEmpty()) {
      partition.orphans.values().removeIf(orphan -> nowUs > orphan.untilUs());
      bringHome(partition);
    }
    if (!partition.open) {
      return;
    }
    for (var join : partition.peers.values()) {
      tickJoin(partition, join, nowUs);
    }
    receipts.tick(partition);
    if (partition.pending.isEmpty()
        && partition.lowTold < partition.seq
        && nowUs - partition.spokeUs > LULL_US) {
      tellLow(partition);
    }
    for (var pending : partition.pending.values()) {
      if (pending.owing.isEmpty() || nowUs - pending.sentUs < RESEND_US) {
        continue;
      }
      var backInTouch = pending.sentUs < inTouchSinceUs && inTouchSinceUs < nowUs;
      var again =
          pending.owing.stream()
              .filter(
                  node ->
                      backInTouch
                          || nowUs - pending.sentUs > RESEND_ALIVE_US
                          || brokenUs.getOrDefault(clusterLease.view().ipOf(node), Long.MIN_VALUE)
                              >= pending.sentUs)
              .toList();
      if (!again.isEmpty()) {
        pending.sentUs = nowUs;
        again.forEach(node -> sendRep(partition, pending, node));
      }
      pending.owing.stream()
          .filter(node -> overdue(node, pending.sinceUs, nowUs))
          .toList()
          .forEach(node -> reportLost(partition, node));
    }
  }

  private boolean overdue(String node, long sinceUs, long nowUs) {
    var silentUs =
        nowUs
            - Math.max(
                Math.max(sinceUs, inTouchSinceUs),
                heardUs.getOrDefault(clusterLease.view().ipOf(node), Long.MIN_VALUE / 2));
    return silentUs > LOST_US || nowUs - Math.max(sinceUs, awakeSinceUs) > OVERDUE_US;
  }

  private void tickJoin(Partition partition, JoiningReplica join, long nowUs) {
    if (join.level && join.node.equals(partition.place.joining())) {
      report(
          Frame.of("line.level")
              .with("line", partition.number)
              .with("epoch", partition.place.epoch())
              .with("node", join.node));
    } else if (!join.spoken && nowUs - join.askedUs > RESEND_US) {
      if (nowUs - join.askedUs > RESEND_ALIVE_US
          || brokenUs.getOrDefault(clusterLease.view().ipOf(join.node), Long.MIN_VALUE)
              >= join.askedUs) {
        askJoin(partition, join);
      }
      if (nowUs - join.sinceUs > 2 * LOST_US && overdue(join.node, join.sinceUs, nowUs)) {
        reportLost(partition, join.node);
      }
    }
  }

  private void report(Frame frame) {
    wire.send(clusterLease.control(), frame);
  }

  private void reportLost(Partition partition, String node) {
    report(
        Frame.of("line.lost")
            .with("line", partition.number)
            .with("epoch", partition.place.epoch())
            .with("node", node));
  }

  private synchronized void onNews() {
    versions.take(clusterLease.rollouts(), clusterLease.coreUs());
    for (var place : clusterLease.view().partitions()) {
      var partition = partition(place.number());
      if (place.version() > partition.place.version()) {
        moved(partition, place);
        partition.askedUnseen.ifPresent(Runnable::run);
        partition.askedUnseen = Optional.empty();
      }
    }
    refreshDispatchers();
    awaitingConfiguration
        .takeDecidable(clusterLease.configuration().revision())
        .forEach(this::configurationArrived);
    dispatchers.values().forEach(this::pump);
  }

  /** Goes on with a message whose configuration has come; only now its attempt time is known. */
  private void configurationArrived(Message message) {
    if (message.mayBeRunning()) {
      message.nextUs = Math.max(message.nextUs, clusterLease.coreUs() + attemptTimeUs(message));
    }
    arrange(partition(message.partition), message);
  }

  private void moved(Partition partition, ClusterView.Partition place) {
    var first = !partition.seen;
    var old = partition.place;
    partition.place = place;
    partition.seen = true;
    if (place.epoch() < partition.epoch) {
      return;
    }
    partition.epoch = place.epoch();
    var mine = place.primary().equals(id);
    if (!mine) {
      stepDown(partition);
      bringHome(partition);
    }
    if (!place.has(id)) {
      partition.member = false;
      if (place.whole() && !partition.records().isEmpty()) {
        forget(partition);
        journal.append(Frame.of("f").with("line", partition.number).pack(), () -> {});
      }
      return;
    }
    var newborn = place.epoch() == 1 && fresh;
    partition.member |= newborn;
    if (!mine) {
      return;
    }
    if (!partition.open && (!first || newborn)) {
      open(partition);
    }
    if (partition.open) {
      reconcile(partition, old);
    }
  }

  private void stepDown(Partition partition) {
    if (!partition.open) {
      return;
    }
    partition.open = false;
    partition.comparing = false;
    partition.low = low(partition);
    partition.pending.clear();
    partition.peers.clear();
    partition.orders.clear();
    partition
        .messages()
        .forEach(
            message -> {
              if (message.settling
                  && message.endedLease.equals(message.lease)
                  && !message.lease.isEmpty()) {
                var result =
                    message.state == Message.State.FINISHED
                        ? DeliveryClient.Result.DONE
                        : message.waiting()
                            ? DeliveryClient.Result.FAILED
                            : DeliveryClient.Result.REFUSED;
                orphan(partition, message, message.lease, result, message.seal);
              }
              message.stamp++;
              leaveTarget(message);
              message.settling = false;
              message.doubted = false;
              message.settleWaiters.clear();
              message.keptWaiters.clear();
              message.claim = Optional.empty();
              message.stored = false;
            });
    partition.claiming.clear();
    partition.receipts.all().forEach(Receipt::dropWaiters);
    removeFromDispatchers(message -> message.partition == partition.number);
  }

  private void open(Partition partition) {
    partition.open = true;
    partition.openedEpoch = partition.epoch;
    var wasMember = partition.member;
    partition.member = true;
    var nowUs = clusterLease.coreUs();
    var ordered = new ArrayList<>(partition.messages());
    ordered.sort((a, b) -> Long.compare(a.number, b.number));
    var unsure =
        new HashSet<>(
            ordered.stream()
                .filter(message -> wasMember && message.sequence > partition.low)
                .toList());
    partition.comparing =
        !wasMember && partition.place.whole() && !partition.place.backups().isEmpty();
    partition.seq = Math.max(partition.seq, partition.epoch << 32);
    receipts.claimAgain(partition);
    for (var message : ordered) {
      message.stored = !unsure.contains(message) && !partition.comparing;
      message.kept = message.stored && message.claim.isEmpty();
      message.unlisted = false;
      message.settling = unsure.contains(message);
      message.revision =
          message.settling
              ? Math.max(message.revision, partition.epoch << Partition.REVISION_BITS)
              : message.revision;
      message.doubted = partition.comparing;
      if (message.waiting()) {
        enlist(partition, message);
        if (message.mayBeRunning() || !wasMember) {
          message.nextUs = Math.max(message.nextUs, nowUs + attemptTimeUs(message));
        }
        message.running = false;
      }
    }
    for (var message : ordered) {
      if (message.waiting()) {
        arrange(partition, message);
      }
    }
    ordered.stream()
        .filter(unsure::contains)
        .forEach(message -> replicateUnsure(partition, message));
    openReceipts(partition, wasMember);
    dispatchers
        .values()
        .forEach(
            dispatcher -> {
              dispatcher.tokens = 0;
              dispatcher.tokensAtUs = nowUs;
            });
  }

  /** Brings a record that may not stand on every copy to all of them before it counts. */
  private void replicateUnsure(Partition partition, Message message) {
    replicate(
        partition,
        message,
        message::whole,
        true,
        () -> {
          message.settling = false;
          keptNow(partition, message);
          runSettleWaiters(message);
          arrange(partition, message);
        });
  }

  private void openReceipts(Partition partition, boolean wasMember) {
    for (var receipt : List.copyOf(partition.receipts.all())) {
      if (wasMember && receipt.sequence > partition.low) {
        receipt.revision = Math.max(receipt.revision, partition.epoch << Partition.REVISION_BITS);
        receipts.store(partition, receipt);
      } else if (partition.comparing) {
        receipt.changing();
      } else {
        receipt.settle();
      }
    }
  }

  private long attemptTimeUs(Message message) {
    var path = clusterLease.configuration().path(message.host, message.target);
    var pulled =
        path.flatMap(p -> clusterLease.configuration().service(p.service()))
            .map(Configuration.Service::pull)
            .orElse(true);
    return pulled ? options.visibleUs() + 50_000 : path.get().giveUpUs() + LEG_SLACK_US;
  }

  private void enlist(Partition partition, Message message) {
    if (!message.orderKey.isEmpty()) {
      partition.orderOf(message).addLast(message);
    }
  }

  private void reconcile(Partition partition, ClusterView.Partition old) {
    var place = partition.place;
    if (place.epoch() > old.epoch() + 1) {
      partition.peers.clear();
    }
    if (place.whole() != old.whole()) {
      LOG.log(
          System.Logger.Level.DEBUG,
          "partition "
              + partition.number
              + " epoch "
              + place.epoch()
              + (place.whole() ? " is whole" : " has too few copies"));
    }
    var members = new ArrayList<>(place.backups());
    if (!place.joining().isEmpty()) {
      members.add(place.joining());
    }
    partition.peers.keySet().retainAll(members);
    if (!place.joining().equals(old.joining()) && old.has(place.joining())) {
      partition.peers.remove(place.joining());
    }
    members.stream()
        .filter(node -> !partition.peers.containsKey(node))
        .forEach(node -> meet(partition, node));
    for (var pending : List.copyOf(partition.pending.values())) {
      pending.owing.retainAll(members);
      pending.sentUs = clock.steadyUs();
      pending.owing.forEach(node -> sendRep(partition, pending, node));
      settle(partition, pending);
    }
    if (partition.comparing && (partition.whole() || !place.whole())) {
      compared(partition);
    }
    if (partition.whole() && !old.backups().equals(place.backups())) {
      keepAll(partition);
    }
  }

  private void compared(Partition partition) {
    partition.comparing = false;
    for (var message : List.copyOf(partition.messages())) {
      if (message.doubted) {
        message.doubted = false;
        message.stored |= partition.whole();
        message.kept |= partition.whole() && message.claim.isEmpty();
        if (message.kept) {
          flushWaiters(message);
        }
        if (!message.settling) {
          runSettleWaiters(message);
          tellSteps(message);
        }
        arrange(partition, message);
      }
    }
    if (partition.whole()) {
      partition.receipts.all().forEach(Receipt::settle);
    }
  }

  private void meet(Partition partition, String node) {
    var join = new JoiningReplica(node, partition.place.epoch(), clock.steadyUs());
    partition.peers.put(node, join);
    if (partition.place.epoch() == 1) {
      join.spoken = true;
      join.level = true;
    } else {
      askJoin(partition, join);
    }
  }

  private void keepAll(Partition partition) {
    for (var message : List.copyOf(partition.messages())) {
      if (message.kept) {
        flushWaiters(message);
      } else {
        replicate(partition, message, message::whole, true, () -> keptNow(partition, message));
      }
    }
    partition.receipts.all().stream()
        .filter(receipt -> !receipt.stored())
        .toList()
        .forEach(receipt -> receipts.store(partition, receipt));
  }

  private void flushWaiters(Message message) {
    tellPutWaiters(message, PutOutcome.kept(message));
  }

  private static void tellPutWaiters(Message message, PutOutcome outcome) {
    var waiters = List.copyOf(message.keptWaiters);
    message.keptWaiters.clear();
    waiters.forEach(waiter -> waiter.accept(outcome));
  }

  private void askJoin(Partition partition, JoiningReplica join) {
    join.asked = true;
    join.askedUs = clock.steadyUs();
    send(
        join.node,
        Frame.of("join.ask").with("line", partition.number).with("epoch", partition.place.epoch()));
  }

  private void send(String node, Frame frame) {
    var ip = clusterLease.view().ipOf(node);
    if (!ip.isEmpty()) {
      wire.send(ip, frame);
    }
  }

  private void replicate(
      Partition partition,
      ReplicatedRecord record,
      Supplier<Frame> change,
      boolean sync,
      Runnable then) {
    partition.peers.values().stream()
        .filter(join -> join.missing.contains(record))
        .toList()
        .forEach(join -> handOver(partition, join, record));
    var pending = new PendingRecord(++partition.seq, change, sync, then, clock.steadyUs());
    record.sequence = pending.sequence;
    record.epoch = partition.place.epoch();
    sendToCopies(partition, pending);
  }

  /** Runs the task once every copy has confirmed that this node still is the primary. */
  private void confirmPrimary(Partition partition, Runnable then) {
    Supplier<Frame> barrier = () -> Frame.of(BARRIER);
    sendToCopies(
        partition, new PendingRecord(++partition.seq, barrier, false, then, clock.steadyUs()));
  }

  private void sendToCopies(Partition partition, PendingRecord pending) {
    partition.pending.put(pending.sequence, pending);
    pending.owing.addAll(partition.place.backups());
    partition.peers.values().stream()
        .filter(join -> join.spoken)
        .forEach(join -> pending.owing.add(join.node));
    var record = pending.record.get();
    var packed = record.pack();
    if (!pending.owing.isEmpty()) {
      var frame = repFrame(partition, pending, record);
      pending.owing.forEach(node -> send(node, frame));
    }
    if (!pending.sync) {
      pending.local = true;
      settle(partition, pending);
      return;
    }
    journal.append(
        packed,
        () -> {
          synchronized (this) {
            pending.local = true;
            settle(partition, pending);
          }
        });
  }

  private void sendRep(Partition partition, PendingRecord pending, String node) {
    send(node, repFrame(partition, pending, pending.record.get()));
  }

  private Frame repFrame(Partition partition, PendingRecord pending, Frame record) {
    var low = low(partition);
    partition.lowTold = low;
    partition.spokeUs = clock.steadyUs();
    return Frame.of("rep")
        .with("l", partition.number)
        .with("e", partition.place.epoch())
        .with("s", pending.sequence)
        .with("y", pending.sync)
        .with("w", pending.sequence - low)
        .with("c", record);
  }

  private static long low(Partition partition) {
    return partition.pending.isEmpty() ? partition.seq : partition.pending.firstKey() - 1;
  }

  private void tellLow(Partition partition) {
    partition.lowTold = partition.seq;
    var frame =
        Frame.of("rep.low")
            .with("line", partition.number)
            .with("epoch", partition.place.epoch())
            .with("low", partition.seq);
    partition.peers.values().stream()
        .filter(join -> join.spoken)
        .forEach(join -> send(join.node, frame));
  }

  private void onRepLow(Frame frame) {
    var partition = partition(frame.small("line"));
    if (!partition.open && partition.member && frame.number("epoch") == partition.epoch) {
      partition.low = Math.max(partition.low, frame.number("low"));
    }
  }

  private void settle(Partition partition, PendingRecord pending) {
    if (pending.local
        && pending.owing.isEmpty()
        && partition.pending.remove(pending.sequence) != null) {
      pending.then.run();
    }
  }

  @Override
  public synchronized void onFrame(String from, Frame frame) {
    switch (frame.kind()) {
      case "claim.ok", "claim.no", "news" -> clusterLease.onFrame(from, frame);
      case "rep" -> onRep(from, frame);
      case "rep.low" -> onRepLow(frame);
      case "ok" -> onRepOk(from, frame);
      case "rep.no" -> onRepNo(frame);
      case "join.ask" -> onJoinAsk(from, frame);
      case "join.have" -> onJoinHave(frame);
      case "join.drop" -> onJoinDrop(frame);
      case "put" -> onPut(from, frame);
      case "look" -> stateQueries.onQuery(from, frame);
      case "end" -> onEnd(from, frame);
      case "extend" -> onExtend(from, frame);
      case "demand" -> onDemand(from, frame);
      case "withdraw" -> onWithdraw(from, frame);
      case "giveback" -> onGiveBack(frame);
      case "outcome" -> onForwarded(from, frame);
      case "outcome.ok" -> onOutcomeOk(frame);
      case "step.ask" -> onStepAsk(from, frame);
      case "step.ok" ->
          stepTold(
              frame.text("step"),
              StepDependencies.Ended.values()[
                  Math.floorMod(frame.small("ended"), StepDependencies.Ended.values().length)]);
      case "steps.read" -> wire.send(from, stepsReport.answer(frame));
      case "steps.order" -> onStepsOrder(from, frame);
      case "receipts.read" ->
          wire.send(
              from, ReceiptQueries.answer(id, partitions.values(), frame, clusterLease.coreUs()));
      case "history.keep" -> history.keep(frame);
      case "history.ask" -> wire.send(from, history.answer(frame));
      case "watch.ask" ->
          wire.send(
              from,
              stragglers
                  .rows(dispatchers, frame.texts("services"), clusterLease.coreUs())
                  .with("node", id));
      default -> {
        if (ReceiptMessage.isOne(frame)) {
          onReceiptMessage(from, frame);
        }
      }
    }
  }

  @Override
  public synchronized void onDown(String ip) {
    clusterLease.onDown(ip);
    if (brokenUs.size() > HOSTS_MOST) {
      brokenUs.clear();
    }
    brokenUs.put(ip, clock.steadyUs());
    dispatchers
        .values()
        .forEach(dispatcher -> dispatcher.demands.removeIf(demand -> demand.edgeIp().equals(ip)));
  }

  @Override
  public synchronized void onUnsent(String ip, Frame frame) {
    brokenUs.put(ip, clock.steadyUs());
    if (frame.kind().equals("job")) {
      onGiveBack(frame);
    }
  }

  private void onRep(String from, Frame frame) {
    var partition = partition(frame.small("l"));
    var epoch = frame.number("e");
    var seq = frame.number("s");
    var answer =
        Frame.of("rep.no")
            .with("l", partition.number)
            .with("e", Math.max(partition.epoch, epoch))
            .with("from", id);
    if (epoch < partition.epoch || partition.open && epoch == partition.epoch) {
      wire.send(from, answer.with("why", "stale"));
      return;
    }
    if (epoch > partition.epoch) {
      partition.epoch = epoch;
      stepDown(partition);
    }
    if (!partition.member) {
      wire.send(from, answer.with("why", "unjoined"));
      return;
    }
    var record = frame.inner("c");
    if (!record.has("ep")) {
      record.with("ep", epoch);
    }
    partition.seq = Math.max(partition.seq, seq);
    var taken = take(partition, record);
    if (taken.isEmpty() && needsItsWhole(record)) {
      wire.send(from, answer.with("why", "unjoined"));
      return;
    }
    partition.low = Math.max(partition.low, seq - frame.number("w"));
    taken.ifPresent(each -> each.sequence = Math.max(each.sequence, seq));
    var ok = Frame.of("ok").with("l", partition.number).with("s", seq).with("fu", !hasRoom());
    if (frame.flag("y")) {
      journal.append(record.pack(), () -> wire.send(from, ok));
    } else {
      wire.send(from, ok);
    }
  }

  /** Takes a record that the primary sent into this copy; empty if nothing of it is held now. */
  private Optional<? extends ReplicatedRecord> take(Partition partition, Frame record) {
    switch (record.kind()) {
      case "m", "u":
        return upsert(partition, record);
      case Receipt.KIND:
        return Optional.of(partition.receipts.take(record));
      case Message.REMOVAL:
        drop(partition, record.text("id"));
        return Optional.empty();
      default:
        return Optional.empty();
    }
  }

  /** Whether the record only changes a message that this copy ought to hold. */
  private static boolean needsItsWhole(Frame record) {
    return record.kind().equals("u") && record.small("st") == Message.State.WAITING.ordinal();
  }

  private void onRepOk(String from, Frame frame) {
    var partition = partition(frame.small("l"));
    var pending = partition.pending.get(frame.number("s"));
    if (!partition.open || pending == null) {
      return;
    }
    if (heardUs.size() > HOSTS_MOST) {
      heardUs.clear();
    }
    heardUs.put(from, clock.steadyUs());
    copyPressure.told(from, frame.flag("fu"));
    pending.owing.removeIf(node -> clusterLease.view().ipOf(node).equals(from));
    settle(partition, pending);
  }

  private void onRepNo(Frame frame) {
    var partition = partition(frame.small("l"));
    if (!partition.open) {
      return;
    }
    if (frame.number("e") > partition.epoch) {
      partition.epoch = frame.number("e");
      stepDown(partition);
      clusterLease.renew();
    } else if (frame.text("why").equals("unjoined")
        && Optional.ofNullable(partition.peers.get(frame.text("from")))
            .map(join -> join.spoken)
            .orElse(false)) {
      reportLost(partition, frame.text("from"));
    }
  }

  private void onJoinAsk(String from, Frame frame) {
    var partition = partition(frame.small("line"));
    var epoch = frame.number("epoch");
    if (!partition.seen) {
      partition.askedUnseen = Optional.of(() -> onJoinAsk(from, frame));
      return;
    }
    if (epoch < partition.epoch || partition.open && epoch <= partition.epoch) {
      return;
    }
    partition.epoch = epoch;
    stepDown(partition);
    partition.member = true;
    partition.low = 0;
    var have = new ArrayList<Object>();
    partition
        .messages()
        .forEach(
            message ->
                have.add(
                    new Frame()
                        .with("id", message.id)
                        .with("v", message.version())
                        .with("seal", message.seal)
                        .with("state", message.state.ordinal())
                        .with("w", message.endedByWorker)
                        .with("f", message.fails)
                        .with("nb", message.body.length == 0)));
    partition
        .receipts
        .all()
        .forEach(
            receipt -> have.add(new Frame().with("id", receipt.id()).with("v", receipt.version())));
    var answer =
        Frame.of("join.have")
            .with("line", partition.number)
            .with("epoch", epoch)
            .with("have", have)
            .with("from", id);
    journal.append(
        Frame.of("j").with("line", partition.number).with("epoch", epoch).pack(),
        () -> {
          synchronized (this) {
            if (partition.member && partition.epoch == epoch) {
              wire.send(from, answer);
            }
          }
        });
  }

  private void onJoinHave(Frame frame) {
    var partition = partition(frame.small("line"));
    var waited =
        Optional.ofNullable(partition.peers.get(frame.text("from")))
            .filter(each -> !each.spoken && each.epoch <= frame.number("epoch"));
    if (!partition.open || waited.isEmpty()) {
      return;
    }
    var join = waited.get();
    join.spoken = true;
    var have = new HashMap<String, String>();
    var extra = new ArrayList<Object>();
    for (var each : frame.frames("have")) {
      have.put(each.text("id"), each.text("v"));
      if (each.flag("nb") || each.small("state") == Message.State.FINISHED.ordinal()) {
        join.bodiless.add(each.text("id"));
      }
      var known = partition.messageOrNull(each.text("id"));
      if (partition.record(each.text("id")).isEmpty()) {
        extra.add(each.text("id"));
      } else if (known != null
          && known.waiting()
          && !each.flag("w")
          && each.small("state") == Message.State.FINISHED.ordinal()
          && !known.settling) {
        finish(partition, known, Message.State.FINISHED, each.text("seal"), "", () -> {});
      } else if (known != null && isUnconfirmedEnd(partition, join, known, each)) {
        undoEnd(partition, known, each.has("f") ? each.small("f") : known.fails);
      }
    }
    send(
        join.node,
        Frame.of("join.drop")
            .with("line", partition.number)
            .with("epoch", partition.place.epoch())
            .with("ids", extra));
    heardUs.put(clusterLease.view().ipOf(join.node), clock.steadyUs());
    for (var record : partition.records()) {
      compare(partition, join, record, Optional.ofNullable(have.get(record.id())));
    }
    join.owed = 1;
    levelled(partition, join);
  }

  /**
   * Whether a worker's end that this node's journal holds was never confirmed: a node that has been
   * a copy all along still holds the message as waiting, and workers are told only of ends that
   * every copy has.
   */
  private static boolean isUnconfirmedEnd(
      Partition partition, JoiningReplica join, Message message, Frame theirs) {
    var bodyHeld = message.state != Message.State.FINISHED || message.body.length > 0;
    return partition.comparing
        && partition.place.backups().contains(join.node)
        && !message.waiting()
        && message.endedByWorker
        && message.endedLease.equals(message.lease)
        && !message.lease.isEmpty()
        && theirs.small("state") == Message.State.WAITING.ordinal()
        && bodyHeld;
  }

  /**
   * Lets a message wait for its worker's end again, which then is taken as if for the first time.
   */
  private void undoEnd(Partition partition, Message message, int fails) {
    message.undoEnd(fails);
    message.revision = Math.max(message.revision, partition.epoch << Partition.REVISION_BITS) + 1;
    message.nextUs = Math.max(message.nextUs, clusterLease.coreUs() + attemptTimeUs(message));
    if (!message.orderKey.isEmpty()) {
      partition.orderOf(message).addFirst(message);
    }
    message.settling = true;
    replicate(
        partition,
        message,
        message::whole,
        true,
        () -> {
          message.settling = false;
          runSettleWaiters(message);
          arrange(partition, message);
        });
  }

  private static void compare(
      Partition partition,
      JoiningReplica join,
      ReplicatedRecord record,
      Optional<String> theirVersion) {
    if (theirVersion.isEmpty()) {
      join.absent.add(record.id());
    }
    if (theirVersion.filter(record.version()::equals).isPresent() && !record.mayLag()) {
      return;
    }
    if (theirVersion.isPresent() && !theirVersion.get().equals(record.version())) {
      record.epoch = partition.place.epoch();
      record.revision = Math.max(record.revision, partition.epoch << Partition.REVISION_BITS);
    }
    join.missing.add(record);
  }

  private void handOver(Partition partition, JoiningReplica join, ReplicatedRecord record) {
    join.missing.remove(record);
    if (!partition.holds(record)) {
      return;
    }
    var bodyBytes = record.bodyBytes();
    join.owed++;
    join.owedBytes += bodyBytes;
    var absent = join.absent.contains(record.id());
    var bodiless = join.bodiless.contains(record.id());
    Supplier<Frame> transfer = () -> record.transfer(absent, bodiless);
    var pending =
        new PendingRecord(
            ++partition.seq,
            transfer,
            true,
            () -> {
              join.owedBytes -= bodyBytes;
              levelled(partition, join);
            },
            clock.steadyUs());
    pending.local = true;
    pending.owing.add(join.node);
    partition.pending.put(pending.sequence, pending);
    sendRep(partition, pending, join.node);
  }

  private void levelled(Partition partition, JoiningReplica join) {
    join.owed--;
    if (partition.peers.get(join.node) != join) {
      return;
    }
    while (mayHandOverMore(join) && !join.missing.isEmpty()) {
      handOver(partition, join, join.missing.iterator().next());
    }
    if (join.owed == 0) {
      join.level = true;
      tickJoin(partition, join, clock.steadyUs());
      if (partition.place.backups().contains(join.node) && partition.whole()) {
        if (partition.comparing) {
          compared(partition);
        }
        keepAll(partition);
      }
    }
  }

  /** One record of a partition may always be under way, so that none waits for another for good. */
  private boolean mayHandOverMore(JoiningReplica join) {
    return join.owed == 0
        || join.owed < HANDED_AT_ONCE && handedOverBytes() < StorageMemory.HANDED_OVER_BYTES_MOST;
  }

  private long handedOverBytes() {
    var sum = 0L;
    for (var partition : partitions.values()) {
      for (var join : partition.peers.values()) {
        sum += join.owedBytes;
      }
    }
    return sum;
  }

  private void onJoinDrop(Frame frame) {
    var partition = partition(frame.small("line"));
    if (frame.number("epoch") < partition.epoch || partition.open) {
      return;
    }
    for (var recordId : frame.texts("ids")) {
      if (drop(partition, recordId)) {
        journal.append(Message.removal(partition.number, recordId).pack(), () -> {});
      }
    }
  }

  private void onPut(String from, Frame frame) {
    var partition = partition(frame.small("l"));
    var requestNumber = frame.number("rid");
    var known = partition.open ? earlierTry(partition, frame) : Optional.<Message>empty();
    if (known.isPresent()) {
      answerRepeat(partition, known.get(), from, frame);
    } else if (!partition.open || !takesNew(partition) || routeDropped(frame)) {
      wire.send(from, PutOutcome.NOT_TAKEN.toFrame(requestNumber));
    } else {
      takeNew(partition, from, frame);
    }
  }

  /** The message that this try, or another one with its key, has made. */
  private static Optional<Message> earlierTry(Partition partition, Frame handIn) {
    var sameName = partition.message(handIn.text("i"));
    if (sameName.isPresent() || handIn.text("ik").isEmpty()) {
      return sameName;
    }
    var digest = RequestDigest.read(handIn.bytes("dg"));
    var underKey = partition.underKey(handIn.text("t"), handIn.text("ik"));
    return underKey.stream()
        .filter(message -> message.digest.equals(digest))
        .findFirst()
        .or(
            () ->
                underKey.stream()
                    .filter(message -> message.service.equals(handIn.text("sv")))
                    .findFirst());
  }

  private boolean takesNew(Partition partition) {
    return partition.whole()
        && !(leaving && !partition.place.primary().equals(id))
        && hasRoom()
        && partition.peers.keySet().stream()
            .noneMatch(node -> copyPressure.isFull(clusterLease.view().ipOf(node)));
  }

  private boolean hasRoom() {
    return memory.hasRoom(liveBytes, liveMessages(), journal.unsyncedBytes());
  }

  /** Whether a configuration no older than the edge node's has no route for the hand-in. */
  private boolean routeDropped(Frame handIn) {
    var configuration = clusterLease.configuration();
    return configuration.revision() > 0
        && configuration.revision() >= handIn.number("cr")
        && configuration.path(handIn.text("h"), handIn.text("p")).isEmpty();
  }

  private void answerRepeat(Partition partition, Message known, String from, Frame handIn) {
    var requestNumber = handIn.number("rid");
    var sameKey = known.keyed() && known.isUnderKeyOf(handIn);
    if (sameKey && known.isRequestOf(handIn) || known.isHandInOf(handIn)) {
      answerPut(partition, known, from, requestNumber);
    } else if (!sameKey) {
      wire.send(from, PutOutcome.NOT_TAKEN.toFrame(requestNumber));
    } else if (known.kept) {
      wire.send(from, PutOutcome.REUSED.toFrame(requestNumber));
    }
  }

  private void takeNew(Partition partition, String from, Frame handIn) {
    var requestNumber = handIn.number("rid");
    var nowUs = clusterLease.coreUs();
    var message = newMessage(partition, handIn, nowUs);
    var claims = ReceiptCoordinator.homeIsElsewhere(message);
    if (message.keyed() && !claims) {
      var decision = receipts.decide(partition, message);
      if (decision instanceof ReceiptCoordinator.Decision.Answer answer) {
        wire.send(from, answer.outcome().toFrame(requestNumber));
      }
      if (!(decision instanceof ReceiptCoordinator.Decision.Take)) {
        return;
      }
    }
    message.number = ++partition.lastNumber;
    partition.add(message);
    liveBytes += message.body.length;
    message.nextUs = message.dueUs;
    if (claims) {
      message.unlisted = true;
      receipts.claim(partition, message);
    } else {
      list(partition, message);
    }
    answerPut(partition, message, from, requestNumber);
    replicate(partition, message, message::whole, true, () -> keptNow(partition, message));
  }

  private Message newMessage(Partition partition, Frame handIn, long nowUs) {
    var revision = Math.max(handIn.number("cr"), clusterLease.configuration().revision());
    return new Message(
        handIn
            .with("cr", revision)
            .with("v", partition.epoch << Partition.REVISION_BITS)
            .with("a", nowUs)
            .with("d", nowUs + handIn.number("delay"))
            .with("x", nowUs + handIn.number("keep")));
  }

  /** Gives a new message its place in its order and counts its arrival. */
  private void list(Partition partition, Message message) {
    message.unlisted = false;
    enlist(partition, message);
    historyFeed.arrived(message);
  }

  private void answerPut(Partition partition, Message message, String from, long requestNumber) {
    if (message.kept && partition.whole()) {
      wire.send(from, PutOutcome.kept(message).toFrame(requestNumber));
    } else {
      message.keptWaiters.add(outcome -> wire.send(from, outcome.toFrame(requestNumber)));
    }
  }

  private void keptNow(Partition partition, Message message) {
    if (!partition.whole() || message.withdrawn) {
      return;
    }
    message.stored = true;
    if (message.claim.isPresent()) {
      return;
    }
    message.kept = true;
    flushWaiters(message);
    arrange(partition, message);
  }

  private void keyGranted(Partition partition, Message message) {
    if (message.unlisted) {
      list(partition, message);
    } else {
      arrange(partition, message);
    }
    if (message.stored) {
      keptNow(partition, message);
    }
  }

  /**
   * Takes back a message that was never confirmed: its key belongs to another one. Its senders are
   * told once no copy has it, as a copy that becomes primary would claim for it again.
   */
  private void withdraw(Partition partition, Message message, PutOutcome outcome) {
    message.withdrawn = true;
    message.stamp++;
    drop(partition, message.id);
    replicate(partition, message, message::whole, true, () -> tellPutWaiters(message, outcome));
    nextInOrder(partition, message);
  }

  private void onReceiptMessage(String from, Frame frame) {
    try {
      receipts.onFrame(from, frame);
    } catch (MalformedMessageException e) {
      LOG.log(System.Logger.Level.WARNING, "skips a message of " + from + ": " + e.getMessage());
    }
  }

  private ReceiptCoordinator.Partitions partitionAccess() {
    return new ReceiptCoordinator.Partitions() {
      @Override
      public Partition partition(int number) {
        return StorageNode.this.partition(number);
      }

      @Override
      public void sendToPrimary(int partition, Frame frame) {
        clusterLease
            .partition(partition)
            .ifPresent(place -> StorageNode.this.send(place.primary(), frame));
      }

      @Override
      public void send(String ip, Frame frame) {
        wire.send(ip, frame);
      }

      @Override
      public void replicate(
          Partition partition,
          ReplicatedRecord record,
          Supplier<Frame> change,
          boolean sync,
          Runnable then) {
        StorageNode.this.replicate(partition, record, change, sync, then);
      }

      @Override
      public void confirmPrimary(Partition partition, Runnable then) {
        StorageNode.this.confirmPrimary(partition, then);
      }

      @Override
      public void keyGranted(Partition partition, Message message) {
        StorageNode.this.keyGranted(partition, message);
      }

      @Override
      public void withdraw(Partition partition, Message message, PutOutcome outcome) {
        StorageNode.this.withdraw(partition, message, outcome);
      }

      @Override
      public int receipts() {
        var count = 0;
        for (var partition : partitions.values()) {
          count += partition.receipts.size();
        }
        return count;
      }
    };
  }

  private static boolean present(Partition partition, Message message) {
    return partition.messageOrNull(message.id) == message;
  }

  private void arrange(Partition partition, Message message) {
    if (!partition.open
        || !present(partition, message)
        || !message.waiting()
        || message.running
        || message.queued
        || message.settling
        || message.claim.isPresent()
        || message.doubted) {
      return;
    }
    var nowUs = clusterLease.coreUs();
    if (!message.orderKey.isEmpty()
        && partition.orders.get(message.orderName()).peekFirst() != message) {
      return;
    }
    if (nowUs >= message.expireUs) {
      fail(partition, message, "its KeepForS is over");
      return;
    }
    if (waitsForSteps(partition, message)) {
      return;
    }
    var atUs = Math.max(message.nextUs, message.dueUs);
    if (atUs > nowUs) {
      agenda.add(new Timed(Math.min(atUs, message.expireUs), message, ++message.stamp));
      armAgenda();
      return;
    }
    offer(partition, message);
  }

  private boolean waitsForSteps(Partition partition, Message message) {
    if (message.after.isEmpty() && message.heldBy.isEmpty()) {
      return false;
    }
    for (var step : message.after) {
      var ended = endedHere(step);
      if (message.heldBy.isEmpty() && ended != StepDependencies.Ended.NOT_YET) {
        stepEnded(partition, message, step, ended);
      }
    }
    if (message.heldBy.isEmpty()) {
      steps.await(message);
    }
    return !message.after.isEmpty() || !message.heldBy.isEmpty();
  }

  private StepDependencies.Ended endedHere(String step) {
    var partition =
        StepDependencies.partitionOf(step)
            .map(partitions::get)
            .filter(each -> each != null && each.open);
    return partition.isEmpty()
        ? StepDependencies.Ended.NOT_YET
        : ended(partition.get().messageOrNull(StepDependencies.idOf(step)));
  }

  private static StepDependencies.Ended ended(Message message) {
    if (message == null) {
      return StepDependencies.Ended.FORGOTTEN;
    }
    if (message.waiting() || message.settling || message.doubted) {
      return StepDependencies.Ended.NOT_YET;
    }
    return message.state == Message.State.FINISHED
        ? StepDependencies.Ended.WELL
        : StepDependencies.Ended.FAILED;
  }

  private void stepEnded(
      Partition partition, Message message, String step, StepDependencies.Ended ended) {
    message.revision++;
    if (ended == StepDependencies.Ended.WELL) {
      message.after = message.after.stream().filter(each -> !each.equals(step)).toList();
      message.freedUs = clusterLease.coreUs();
      replicate(partition, message, message::change, true, () -> {});
      return;
    }
    message.heldBy = step;
    LOG.log(
        System.Logger.Level.WARNING,
        "code="
            + ResultCode.STEP_HOLDS.number()
            + " "
            + StepDependencies.name(message)
            + " is held: step "
            + step
            + (ended == StepDependencies.Ended.FAILED ? " failed" : " is not known any more"));
    replicate(partition, message, message::change, true, () -> {});
  }

  private void askStep(String step) {
    StepDependencies.partitionOf(step)
        .flatMap(number -> clusterLease.partition(number))
        .ifPresent(place -> send(place.primary(), Frame.of("step.ask").with("step", step)));
  }

  private void onStepAsk(String from, Frame frame) {
    var step = frame.text("step");
    var partition =
        StepDependencies.partitionOf(step)
            .map(partitions::get)
            .filter(each -> each != null && each.open);
    if (partition.isEmpty()) {
      return;
    }
    var ended = ended(partition.get().messageOrNull(StepDependencies.idOf(step)));
    if (ended == StepDependencies.Ended.NOT_YET) {
      steps.subscribe(step, from);
    } else {
      wire.send(from, Frame.of("step.ok").with("step", step).with("ended", ended.ordinal()));
    }
  }

  private void stepTold(String step, StepDependencies.Ended ended) {
    if (ended == StepDependencies.Ended.NOT_YET) {
      return;
    }
    for (var message : steps.take(step)) {
      var partition = partition(message.partition);
      if (partition.open
          && present(partition, message)
          && message.waiting()
          && message.after.contains(step)
          && message.heldBy.isEmpty()) {
        stepEnded(partition, message, step, ended);
        arrange(partition, message);
      }
    }
  }

  private void tellSteps(Message message) {
    if (steps.none()) {
      return;
    }
    var step = StepDependencies.name(message);
    var ended = ended(message);
    if (ended == StepDependencies.Ended.NOT_YET || !steps.relied(step)) {
      return;
    }
    steps
        .unsubscribeAll(step)
        .forEach(
            ip ->
                wire.send(
                    ip, Frame.of("step.ok").with("step", step).with("ended", ended.ordinal())));
    stepTold(step, ended);
  }

  private void onStepsOrder(String from, Frame frame) {
    var step = frame.text("step");
    var answer = Frame.of("steps.done").with("rid", frame.number("rid"));
    var partition =
        StepDependencies.partitionOf(step)
            .map(partitions::get)
            .filter(each -> each != null && each.open);
    var message = partition.map(each -> each.messageOrNull(StepDependencies.idOf(step)));
    if (message.isEmpty() || !message.get().waiting()) {
      wire.send(from, answer.with("r", partition.isPresent() ? "none" : "elsewhere"));
    } else if (message.get().after.isEmpty() && message.get().heldBy.isEmpty()) {
      wire.send(from, answer.with("r", "free"));
    } else if (frame.flag("drop")) {
      finish(
          partition.get(),
          message.get(),
          Message.State.FAILED,
          "",
          "",
          () -> wire.send(from, answer.with("r", "done")));
    } else {
      release(partition.get(), message.get(), () -> wire.send(from, answer.with("r", "done")));
    }
  }

  private void release(Partition partition, Message message, Runnable then) {
    message.after = List.of();
    message.heldBy = "";
    message.freedUs = clusterLease.coreUs();
    message.revision++;
    replicate(
        partition,
        message,
        message::change,
        true,
        () -> {
          then.run();
          arrange(partition, message);
        });
  }

  private void armAgenda() {
    var first = agenda.peek();
    if (first == null || first.atUs() >= agendaAtUs) {
      return;
    }
    agendaAtUs = first.atUs();
    clock.after(Math.max(500, first.atUs() - clusterLease.coreUs()), this::runAgenda);
  }

  private synchronized void runAgenda() {
    agendaAtUs = Long.MAX_VALUE;
    var nowUs = clusterLease.coreUs();
    while (!agenda.isEmpty() && agenda.peek().atUs() <= nowUs) {
      var timed = agenda.poll();
      if (timed.stamp() == timed.message().stamp) {
        arrange(partition(timed.message().partition), timed.message());
      }
    }
    armAgenda();
  }

  private void offer(Partition partition, Message message) {
    if (!AwaitingConfiguration.decidable(message, clusterLease.configuration().revision())) {
      awaitingConfiguration.add(message);
      return;
    }
    var path = clusterLease.configuration().path(message.host, message.target);
    if (path.isEmpty()) {
      fail(partition, message, "its path was dropped");
      return;
    }
    message.aimUs = path.get().startAimUs();
    var dispatcher = dispatchers.computeIfAbsent(path.get().service(), Dispatcher::new);
    dispatcher.offer(message, path.get().rank(), clusterLease.coreUs());
    pump(dispatcher);
  }

  private boolean mayStart() {
    return clusterLease.ageUs() < LEG_FRESH_US;
  }

  private void refreshDispatchers() {
    var storageNodes = Math.max(1, clusterLease.view().members("storage").size());
    for (var dispatcher : dispatchers.values()) {
      var service = clusterLease.configuration().service(dispatcher.service);
      if (service.isEmpty() || service.get().pull()) {
        continue;
      }
      if (service.get().endpoint().isEmpty()) {
        dispatcher.targetsOf(clusterLease.roster(), 1.0 / storageNodes);
      } else if (!dispatcher.targets.containsKey(service.get().endpoint())) {
        dispatcher.targets.clear();
        var processor =
            new ClusterView.Processor(
                "", dispatcher.service, service.get().endpoint(), "", 8, false, 0, "");
        dispatcher.targets.put(
            service.get().endpoint(),
            new Dispatcher.Target(service.get().endpoint(), processor, 8));
      }
    }
  }

  private void pump(Dispatcher dispatcher) {
    if (dispatcher.empty() || !mayStart()) {
      return;
    }
    var service = clusterLease.configuration().service(dispatcher.service);
    if (service.isEmpty()) {
      return;
    }
    var rollout = versions.of(dispatcher.service);
    if (rollout.isPresent()) {
      refreshDispatchers();
      pumpShifted(dispatcher, service.get(), rollout.get());
    } else if (service.get().pull()) {
      pumpPull(dispatcher);
    } else {
      if (dispatcher.targets.isEmpty()) {
        refreshDispatchers();
      }
      pumpPush(dispatcher, service.get());
    }
  }

  private int tries(Message message) {
    return clusterLease
        .configuration()
        .path(message.host, message.target)
        .map(Configuration.Path::tries)
        .orElse(Integer.MAX_VALUE);
  }

  private void pumpShifted(Dispatcher dispatcher, Configuration.Service service, Rollout rollout) {
    var aside = new ArrayList<Message>();
    var nowUs = clusterLease.coreUs();
    dispatcher
        .targets
        .values()
        .forEach(target -> versions.sees(dispatcher.service, target.processor.version(), nowUs));
    dispatcher.demands.removeIf(demand -> demand.expiresUs() <= clock.steadyUs());
    while (!dispatcher.empty()
        && aside.size() < ASIDE_MOST
        && (service.pull()
            ? !dispatcher.demands.isEmpty()
            : hasToken(dispatcher, service, nowUs))) {
      var picked = pick(dispatcher);
      if (picked.isEmpty()) {
        break;
      }
      var started =
          service.pull()
              ? handOutShifted(dispatcher, rollout, picked.get(), nowUs)
              : pushShifted(dispatcher, service, rollout, picked.get(), nowUs);
      if (!started) {
        aside.add(picked.get());
      }
    }
    dispatcher.putBack(aside);
    if (service.pull() && !dispatcher.empty()) {
      askDemand(dispatcher);
    }
  }

  private boolean handOutShifted(
      Dispatcher dispatcher, Rollout rollout, Message message, long nowUs) {
    Dispatcher.Demand best = null;
    var bestOrder = RolloutRouter.NEVER;
    for (var demand : dispatcher.demands) {
      var order = versions.order(rollout, message, tries(message), demand.version(), nowUs);
      if (order < bestOrder) {
        best = demand;
        bestOrder = order;
      }
    }
    if (best == null) {
      return false;
    }
    var chosen = best;
    dispatcher.demands.remove(chosen);
    handOutTo(dispatcher, message, chosen);
    return true;
  }

  private boolean pushShifted(
      Dispatcher dispatcher,
      Configuration.Service service,
      Rollout rollout,
      Message message,
      long nowUs) {
    for (var order = 0; order < RolloutRouter.NEVER; order++) {
      var wanted = order;
      var target =
          choose(
              dispatcher,
              nowUs,
              each ->
                  versions.order(rollout, message, tries(message), each.processor.version(), nowUs)
                      == wanted);
      if (target.isPresent()) {
        pushTo(dispatcher, service, target.get(), message);
        return true;
      }
    }
    return false;
  }

  private void runs(Message message, String service, String version) {
    message.ranVersion = version;
    message.spentOnNew |=
        versions
            .of(service)
            .map(rollout -> !version.isEmpty() && rollout.next().equals(version))
            .orElse(false);
  }

  private void judged(Message message, boolean bad) {
    clusterLease
        .configuration()
        .path(message.host, message.target)
        .ifPresent(
            path -> {
              if (versions.outcome(path.service(), message.ranVersion, bad)) {
                LOG.log(
                    System.Logger.Level.WARNING,
                    "code="
                        + ResultCode.SHIFT_MOVES.number()
                        + " "
                        + path.service()
                        + ": errors of the new version passed the tolerance here; no more work for it");
                clusterLease.renew();
              }
            });
  }

  private void handOutTo(Dispatcher dispatcher, Message message, Dispatcher.Demand demand) {
    runs(message, dispatcher.service, demand.version());
    message.ranAt = demand.worker().isEmpty() ? "a worker at " + demand.edgeIp() : demand.worker();
    grant(
        message,
        options.visibleUs(),
        (partition, granted) -> handOut(partition, granted, demand, dispatcher.service));
  }

  private void pumpPull(Dispatcher dispatcher) {
    var nowUs = clock.steadyUs();
    while (!dispatcher.empty()) {
      var demand = dispatcher.demands.pollFirst();
      if (demand == null) {
        askDemand(dispatcher);
        return;
      }
      if (demand.expiresUs() > nowUs) {
        var picked = pick(dispatcher);
        if (picked.isEmpty()) {
          dispatcher.demands.addFirst(demand);
          return;
        }
        handOutTo(dispatcher, picked.get(), demand);
      }
    }
  }

  private void askDemand(Dispatcher dispatcher) {
    if (!dispatcher.asked) {
      dispatcher.asked = true;
      askedEdges()
          .forEach(
              edge ->
                  wire.send(
                      edge.ip(),
                      Frame.of("hungry")
                          .with("service", dispatcher.service)
                          .with("n", dispatcher.waiting)));
      clock.after(
          20_000,
          () -> {
            synchronized (this) {
              dispatcher.asked = false;
              pump(dispatcher);
            }
          });
    }
  }

  private List<ClusterView.Member> askedEdges() {
    var all = clusterLease.view().members("edge");
    if (all.size() <= ASKED_MOST) {
      return all;
    }
    var from = asks++ * ASKED_MOST % all.size();
    var asked = new ArrayList<ClusterView.Member>();
    for (var step = 0; step < ASKED_MOST; step++) {
      asked.add(all.get((from + step) % all.size()));
    }
    return asked;
  }

  private Optional<Message> pick(Dispatcher dispatcher) {
    while (!dispatcher.empty()) {
      var next = dispatcher.next(clusterLease.coreUs());
      if (next.isEmpty()) {
        return next;
      }
      var message = next.get();
      if (clusterLease.coreUs() < message.expireUs
          && clusterLease
              .configuration()
              .path(message.host, message.target)
              .map(path -> path.service().equals(dispatcher.service))
              .orElse(false)) {
        return next;
      }
      arrange(partition(message.partition), message);
    }
    return Optional.empty();
  }

  private interface Start {
    void start(Partition partition, Message message);
  }

  private void grant(Message message, long runUs, Start start) {
    var partition = partition(message.partition);
    message.running = true;
    message.attempt++;
    message.revision++;
    message.lease = partition.number + "." + partition.place.epoch() + "." + message.attempt;
    message.untilUs = clusterLease.coreUs() + runUs;
    var lease = message.lease;
    replicate(
        partition,
        message,
        message::change,
        false,
        () -> {
          if (partition.open && present(partition, message) && message.lease.equals(lease)) {
            message.onLeave = () -> {};
            start.start(partition, message);
          } else {
            leaveTarget(message);
          }
        });
  }

  private static void leaveTarget(Message message) {
    message.onLeave.run();
    message.onLeave = () -> {};
  }

  private void handOut(
      Partition partition, Message message, Dispatcher.Demand demand, String service) {
    if (options.watch()) {
      stragglers.begins(
          service,
          demand.worker(),
          message.host + message.target,
          message.lease,
          clusterLease.coreUs());
    }
    historyFeed.attemptBegins(message, service);
    wire.send(
        demand.edgeIp(),
        Frame.of("job")
            .with("token", demand.token())
            .with("line", partition.number)
            .with("id", message.id)
            .with("lease", message.lease)
            .with("method", message.method)
            .with("target", message.target)
            .with("tenant", message.tenant)
            .with("type", message.contentType)
            .with("okey", message.orderKey)
            .with("body", message.body));
    message.untilUs = clusterLease.coreUs() + options.visibleUs();
    watchLease(partition, message, message.lease);
  }

  private void watchLease(Partition partition, Message message, String lease) {
    clock.after(
        Math.max(1000, message.untilUs + 60_000 - clusterLease.coreUs()),
        () -> {
          synchronized (this) {
            if (!partition.open
                || !present(partition, message)
                || !message.running
                || !message.lease.equals(lease)
                || !message.waiting()
                || message.settling) {
              return;
            }
            if (clusterLease.coreUs() < message.untilUs + 50_000) {
              watchLease(partition, message, lease);
              return;
            }
            historyFeed.attemptEnds(message);
            message.notes("silent; may have run");
            message.running = false;
            message.nextUs = 0;
            stragglers.ends(lease, false, clusterLease.coreUs());
            judged(message, true);
            arrange(partition, message);
          }
        });
  }

  private void onGiveBack(Frame frame) {
    var partition = partition(frame.small("line"));
    var message = partition.messageOrNull(frame.text("id"));
    if (partition.open
        && message != null
        && message.running
        && message.lease.equals(frame.text("lease"))
        && message.waiting()
        && !message.settling) {
      stragglers.ends(message.lease, false, clusterLease.coreUs());
      message.notes("given back; did not run");
      unrun(partition, message, 0);
    }
  }

  private void unrun(Partition partition, Message message, long waitUs) {
    unrun(partition, message, waitUs, () -> {});
  }

  /** Frees a message whose attempt did not run; the task runs once every copy knows of it. */
  private void unrun(Partition partition, Message message, long waitUs, Runnable then) {
    message.running = false;
    message.endedLease = message.lease;
    message.revision++;
    message.nextUs = clusterLease.coreUs() + waitUs;
    replicate(partition, message, message::change, false, then);
    arrange(partition, message);
  }

  private void pumpPush(Dispatcher dispatcher, Configuration.Service service) {
    var nowUs = clusterLease.coreUs();
    while (!dispatcher.empty()) {
      if (!hasToken(dispatcher, service, nowUs)) {
        return;
      }
      var target = choose(dispatcher, nowUs, each -> true);
      if (target.isEmpty()) {
        return;
      }
      var picked = pick(dispatcher);
      if (picked.isEmpty()) {
        return;
      }
      pushTo(dispatcher, service, target.get(), picked.get());
    }
  }

  private void pushTo(
      Dispatcher dispatcher,
      Configuration.Service service,
      Dispatcher.Target target,
      Message picked) {
    dispatcher.tokens -= 1;
    var path = clusterLease.configuration().path(picked.host, picked.target).get();
    target.running++;
    attemptsRunning++;
    picked.onLeave =
        () -> {
          target.running--;
          attemptsRunning--;
        };
    runs(picked, dispatcher.service, target.processor.version());
    picked.ranAt = target.processor.id().isEmpty() ? target.address : target.processor.id();
    grant(
        picked,
        path.giveUpUs() + LEG_SLACK_US,
        (partition, message) -> push(dispatcher, service, target, partition, message, path));
  }

  private boolean hasToken(Dispatcher dispatcher, Configuration.Service service, long nowUs) {
    if (service.perS() <= 0) {
      return true;
    }
    var rate = service.perS() * 0.985;
    dispatcher.tokens =
        Math.min(3, dispatcher.tokens + Math.max(0, nowUs - dispatcher.tokensAtUs) * rate / 1e6);
    dispatcher.tokensAtUs = nowUs;
    if (dispatcher.tokens >= 1) {
      return true;
    }
    if (!dispatcher.asked) {
      dispatcher.asked = true;
      clock.after(
          (long) ((1 - dispatcher.tokens) / rate * 1e6) + 500,
          () -> {
            synchronized (this) {
              dispatcher.asked = false;
              pump(dispatcher);
            }
          });
    }
    return false;
  }

  private Optional<Dispatcher.Target> choose(
      Dispatcher dispatcher, long nowUs, Predicate<Dispatcher.Target> fits) {
    Dispatcher.Target best = null;
    for (var target : dispatcher.targets.values()) {
      var probing = target.restUs > 0;
      if (!fits.test(target)
          || target.restUntilUs > nowUs
          || target.running >= (probing ? 1 : Math.max(1, (int) target.most))) {
        continue;
      }
      if (best == null || target.weight() < best.weight()) {
        best = target;
      }
    }
    return Optional.ofNullable(best);
  }

  private void push(
      Dispatcher dispatcher,
      Configuration.Service service,
      Dispatcher.Target target,
      Partition partition,
      Message message,
      Configuration.Path path) {
    var storageNodes = Math.max(1, clusterLease.view().members("storage").size());
    var connections =
        service.endpoint().isEmpty()
            ? Math.max(1, service.maxConns() / storageNodes)
            : Math.max(1, service.maxConns() / 2);
    var lease = message.lease;
    var attempt =
        new DeliveryClient.Attempt(
            target.address,
            message.host,
            message.target,
            target.processor.id(),
            message.id,
            message.tenant,
            message.orderKey,
            message.method,
            message.contentType,
            message.body,
            path.giveUpUs(),
            connections);
    if (options.watch()) {
      stragglers.begins(
          dispatcher.service, target.processor.id(), path.name(), lease, clusterLease.coreUs());
    }
    historyFeed.attemptBegins(message, dispatcher.service);
    deliveryClient.deliver(
        attempt,
        outcome -> {
          synchronized (this) {
            historyFeed.attemptEnds(message);
            target.running--;
            attemptsRunning--;
            judge(target, outcome);
            stragglers.ends(
                lease, outcome.result() == DeliveryClient.Result.DONE, clusterLease.coreUs());
            switch (outcome.result()) {
              case DONE -> judged(message, false);
              case FAILED, REFUSED, UNKNOWN -> judged(message, true);
              default -> {}
            }
            conclude(partition, message, lease, outcome, service.dropsRepeats());
            pump(dispatcher);
          }
        });
  }

  private void judge(Dispatcher.Target target, DeliveryClient.Outcome outcome) {
    var nowUs = clusterLease.coreUs();
    var ceiling =
        target.processor.id().isEmpty()
            ? 10
            : Math.ceil(
                    (double) target.processor.capacity()
                        / Math.max(1, clusterLease.view().members("storage").size()))
                + 1;
    var parts = outcome.load().split(",");
    if (parts.length == 3) {
      try {
        target.load = Integer.parseInt(parts[0].trim()) + Integer.parseInt(parts[1].trim());
        target.slots = Integer.parseInt(parts[2].trim());
      } catch (NumberFormatException e) {
        target.load = 0;
      }
    }
    switch (outcome.result()) {
      case DONE, FAILED, REFUSED -> target.well(ceiling);
      case NOT_RUN -> target.unwell(nowUs, 0.7);
      case WRONG -> {
        target.unwell(nowUs, 1);
        deliveryClient.forget(target.address);
      }
      case UNKNOWN -> target.unwell(nowUs, 0.6);
    }
  }

  private void conclude(
      Partition partition,
      Message told,
      String lease,
      DeliveryClient.Outcome outcome,
      boolean safeAgain) {
    if (!partition.open) {
      orphan(partition, told, lease, outcome.result(), outcome.seal());
      return;
    }
    var message = partition.message(told.id).orElse(told);
    if (!message.lease.equals(lease) || !message.waiting() || message.endedLease.equals(lease)) {
      return;
    }
    if (message.settling) {
      orphan(partition, message, lease, outcome.result(), outcome.seal());
      return;
    }
    if (message.queued) {
      dispatchers.values().forEach(dispatcher -> dispatcher.removeIf(each -> each == message));
    }
    if (outcome.result() != DeliveryClient.Result.DONE) {
      message.notes(
          switch (outcome.result()) {
            case FAILED -> "ran and failed";
            case REFUSED -> "refused for good";
            case UNKNOWN -> "no whole answer; may have run";
            default -> "did not run";
          });
    }
    switch (outcome.result()) {
      case DONE ->
          finish(partition, message, Message.State.FINISHED, outcome.seal(), lease, () -> {});
      case REFUSED -> finish(partition, message, Message.State.FAILED, "", lease, () -> {});
      case FAILED -> failed(partition, message, lease, () -> {});
      case NOT_RUN, WRONG -> unrun(partition, message, bounceUs(message));
      case UNKNOWN ->
          unrun(partition, message, safeAgain ? bounceUs(message) : bounceUs(message) + 20_000);
    }
  }

  private void orphan(
      Partition partition,
      Message message,
      String lease,
      DeliveryClient.Result result,
      String seal) {
    if (partition.orphans.size() < ORPHANS_MOST) {
      var outcome =
          Frame.of("outcome")
              .with("line", partition.number)
              .with("id", message.id)
              .with("lease", lease)
              .with("result", result.ordinal())
              .with("seal", seal)
              .with("es", SettledLease.pack(message.settledUnder(lease)));
      partition.orphans.put(
          message.id, new Partition.UnownedOutcome(outcome, clock.steadyUs() + ORPHAN_US));
      bringHome(partition);
    }
  }

  private void bringHome(Partition partition) {
    partition.orphans.values().forEach(orphan -> send(partition.place.primary(), orphan.outcome()));
  }

  private long bounceUs(Message message) {
    message.bounces++;
    return (long)
        (Math.min(400_000, 10_000L << Math.min(6, message.bounces)) * (0.5 + random.nextDouble()));
  }

  private void onForwarded(String from, Frame frame) {
    var partition = partition(frame.small("line"));
    if (!partition.open) {
      return;
    }
    var message = partition.messageOrNull(frame.text("id"));
    if (message != null && message.doubted) {
      return;
    }
    if (message == null
        || !message.waiting()
        || !message.lease.equals(frame.text("lease"))
        || message.endedLease.equals(message.lease)) {
      if (message == null || !message.settling) {
        wire.send(
            from,
            Frame.of("outcome.ok").with("line", partition.number).with("id", frame.text("id")));
      }
      return;
    }
    if (message.settling) {
      return;
    }
    if (message.queued) {
      dispatchers.values().forEach(dispatcher -> dispatcher.removeIf(each -> each == message));
    }
    message.running = true;
    message.stamp++;
    SettledLease.unpack(frame.numbers("es")).forEach(message::settles);
    conclude(
        partition,
        message,
        message.lease,
        new DeliveryClient.Outcome(
            DeliveryClient.Result.values()[frame.small("result")], frame.text("seal"), ""),
        true);
  }

  private void onOutcomeOk(Frame frame) {
    partition(frame.small("line")).orphans.remove(frame.text("id"));
  }

  private void failed(Partition partition, Message message, String lease, Runnable then) {
    var tries =
        clusterLease
            .configuration()
            .path(message.host, message.target)
            .map(Configuration.Path::tries)
            .orElse(Integer.MAX_VALUE);
    message.fails++;
    message.revision++;
    if (message.fails >= tries) {
      finish(partition, message, Message.State.FAILED, "", lease, then);
      return;
    }
    message.endedLease = lease;
    message.settling = true;
    var fromNew = message.spentOnNew && message.fails == 1;
    replicate(
        partition,
        message,
        message::change,
        true,
        () -> {
          message.nextUs =
              fromNew
                  ? 0
                  : clusterLease.coreUs()
                      + (long)
                          (Math.min(1_000_000, 20_000L << Math.min(6, message.fails))
                              * (0.5 + random.nextDouble()));
          settled(message, then);
          arrange(partition, message);
        });
  }

  private void finish(
      Partition partition,
      Message message,
      Message.State state,
      String seal,
      String lease,
      Runnable then) {
    message.revision++;
    historyFeed.ended(message, state == Message.State.FINISHED);
    message.state = state;
    message.seal = seal;
    message.endedLease = lease;
    message.endedUs = clusterLease.coreUs();
    message.settling = true;
    message.stamp++;
    replicate(
        partition,
        message,
        message::change,
        true,
        () -> {
          settled(message, then);
          nextInOrder(partition, message);
        });
  }

  private void fail(Partition partition, Message message, String why) {
    LOG.log(System.Logger.Level.INFO, "message " + message.id + " ends unserved: " + why);
    finish(partition, message, Message.State.FAILED, "", "", () -> {});
  }

  private void settled(Message message, Runnable then) {
    message.settling = false;
    message.running = false;
    if (message.state == Message.State.FINISHED) {
      shed(message);
    }
    then.run();
    runSettleWaiters(message);
    tellSteps(message);
  }

  private static void runSettleWaiters(Message message) {
    var waiters = List.copyOf(message.settleWaiters);
    message.settleWaiters.clear();
    waiters.forEach(Runnable::run);
  }

  private void shed(Message message) {
    liveBytes -= message.body.length;
    message.body = new byte[0];
  }

  private void nextInOrder(Partition partition, Message message) {
    if (message.orderKey.isEmpty()) {
      return;
    }
    var order = partition.orders.get(message.orderName());
    if (order == null) {
      return;
    }
    order.remove(message);
    if (order.isEmpty()) {
      partition.orders.remove(message.orderName());
    } else {
      arrange(partition, order.peekFirst());
    }
  }

  private void onEnd(String from, Frame frame) {
    var partition = partition(frame.small("line"));
    var answer = Frame.of("end.ok").with("rid", frame.number("rid"));
    var message = partition.messageOrNull(frame.text("id"));
    if (!partition.open
        || Message.epochOf(frame.text("lease")) > partition.epoch
        || message != null && message.doubted && !message.endedLease.equals(frame.text("lease"))) {
      wire.send(from, answer.with("r", 503));
      return;
    }
    var lease = frame.text("lease");
    recognise(partition, message, lease);
    var end = SettledLease.of(lease, frame.small("result"), frame.text("seal"));
    var settled = Optional.ofNullable(message).flatMap(each -> each.settlementOf(end));
    if (settled.isPresent() && !message.lease.equals(lease)) {
      wire.send(from, answer.with("r", settled.get().equals(end) ? 200 : 409));
      return;
    }
    if (message == null
        || !message.lease.equals(lease)
        || settled.filter(each -> !each.equals(end)).isPresent()) {
      wire.send(from, answer.with("r", 409));
      return;
    }
    if ((message.settling || message.doubted) && message.endedLease.equals(lease)) {
      message.settleWaiters.add(() -> wire.send(from, answer.with("r", 200)));
      return;
    }
    if (message.endedLease.equals(lease)) {
      wire.send(from, answer.with("r", 200));
      return;
    }
    if (!message.waiting()) {
      wire.send(from, answer.with("r", 409));
      return;
    }
    if (message.queued) {
      dispatchers.values().forEach(dispatcher -> dispatcher.removeIf(each -> each == message));
    }
    message.running = true;
    message.stamp++;
    endTaken(partition, message, lease, frame, () -> wire.send(from, answer.with("r", 200)));
  }

  private void recognise(Partition partition, Message message, String lease) {
    if (message != null
        && message.waiting()
        && !message.settling
        && message.yieldsTo(lease, partition.openedEpoch)) {
      message.takeOver(lease);
    }
  }

  private void endTaken(
      Partition partition, Message message, String lease, Frame frame, Runnable then) {
    var result = frame.small("result");
    historyFeed.attemptEnds(message);
    stragglers.ends(lease, result / 100 == 2, clusterLease.coreUs());
    if (result != 503 && result != 429 && result != 400) {
      judged(message, result / 100 != 2 || frame.text("seal").isEmpty());
    }
    message.endedByWorker = result < 400 || result == 422 || result == 500;
    message.settles(SettledLease.of(lease, result, frame.text("seal")));
    if (result >= 300 || frame.text("seal").isEmpty()) {
      message.notes(
          result == 503 || result == 429 || result == 400
              ? "did not run"
              : result == 422 ? "refused for good" : "ran and failed");
    }
    if (result >= 200 && result < 300 && !frame.text("seal").isEmpty()) {
      finish(partition, message, Message.State.FINISHED, frame.text("seal"), lease, then);
    } else if (result == 422) {
      finish(partition, message, Message.State.FAILED, "", lease, then);
    } else if (result == 503 || result == 429 || result == 400) {
      unrun(partition, message, bounceUs(message), then);
    } else {
      failed(partition, message, lease, then);
    }
  }

  private void onExtend(String from, Frame frame) {
    var partition = partition(frame.small("line"));
    var answer = Frame.of("end.ok").with("rid", frame.number("rid"));
    var message = partition.messageOrNull(frame.text("id"));
    if (!partition.open
        || Message.epochOf(frame.text("lease")) > partition.epoch
        || message != null && message.doubted) {
      wire.send(from, answer.with("r", 503));
      return;
    }
    recognise(partition, message, frame.text("lease"));
    var held =
        message != null
            && message.waiting()
            && message.lease.equals(frame.text("lease"))
            && !message.endedLease.equals(message.lease)
            && !message.queued;
    if (held) {
      message.untilUs = clusterLease.coreUs() + options.visibleUs();
      if (!message.running) {
        message.running = true;
        message.stamp++;
        watchLease(partition, message, message.lease);
      }
    }
    wire.send(from, answer.with("r", held ? 200 : 409));
  }

  private void onDemand(String from, Frame frame) {
    var dispatcher = dispatchers.computeIfAbsent(frame.text("service"), Dispatcher::new);
    var nowUs = clock.steadyUs();
    for (var each : frame.frames("tokens")) {
      if (dispatcher.demands.size() < DEMANDS_MOST) {
        versions.sees(dispatcher.service, each.text("r"), clusterLease.coreUs());
        var demand =
            new Dispatcher.Demand(
                from,
                each.number("t"),
                nowUs + frame.remainingUs(each.number("w")) - 20_000,
                frame.text("zone").equals(options.zone()),
                each.text("s"),
                each.text("r"));
        if (demand.near()) {
          dispatcher.demands.addFirst(demand);
        } else {
          dispatcher.demands.addLast(demand);
        }
      }
    }
    pump(dispatcher);
  }

  private void onWithdraw(String from, Frame frame) {
    var dispatcher = dispatchers.computeIfAbsent(frame.text("service"), Dispatcher::new);
    var gone = new HashSet<Long>();
    frame.frames("tokens").forEach(each -> gone.add(each.number("t")));
    dispatcher.demands.removeIf(
        demand -> demand.edgeIp().equals(from) && gone.contains(demand.token()));
  }

  private void purge() {
    var oldUs = clusterLease.coreUs() - forgetUs();
    var nowUs = clusterLease.coreUs();
    for (var partition : partitions.values()) {
      partition.messages().stream()
          .filter(
              message ->
                  message.state == Message.State.FINISHED
                      && !message.settling
                      && !message.doubted
                      && message.body.length > 0
                      && (partition.open || partition.member && message.sequence <= partition.low))
          .forEach(this::shed);
      partition.messages().stream()
          .filter(message -> !message.waiting() && !message.settling)
          .filter(message -> message.endedUs < oldUs && !keyCounts(message, nowUs))
          .map(Message::id)
          .toList()
          .forEach(old -> drop(partition, old));
      partition.receipts.purge(nowUs);
      if (partition.open) {
        endExpired(partition, nowUs);
      }
    }
  }

  /** Ends what has waited too long, also where no processor ever asked for it. */
  private void endExpired(Partition partition, long nowUs) {
    var expired =
        partition.messages().stream()
            .filter(message -> message.waiting() && !message.running && nowUs >= message.expireUs)
            .toList();
    if (expired.stream().anyMatch(message -> message.queued)) {
      removeFromDispatchers(
          message ->
              message.partition == partition.number
                  && message.waiting()
                  && nowUs >= message.expireUs);
    }
    expired.forEach(message -> arrange(partition, message));
  }

  /** How long after its end a message is forgotten. */
  private long forgetUs() {
    return options.statusUs() + FORGET_SLACK_US;
  }

  /** Whether a repeat of the message's key may still come. */
  private boolean keyCounts(Message message, long nowUs) {
    return message.keyed() && nowUs < message.acceptedUs + options.receipts().keepUs();
  }

  private void compact() {
    if (compaction.due()) {
      compaction.start(Frame.of("disk").with("id", diskId).pack(), partitions.values());
    }
  }

  public synchronized void leave() {
    leaving = true;
    clusterLease.renew();
  }

  public synchronized boolean mayLeave() {
    return attemptsRunning == 0
        && partitions.values().stream().allMatch(partition -> partition.orphans.isEmpty())
        && clusterLease.view().partitions().stream().noneMatch(partition -> partition.has(id));
  }

  public synchronized int liveMessages() {
    var count = 0;
    for (var partition : partitions.values()) {
      count += partition.size();
    }
    return count;
  }

  public synchronized Map<Integer, Long> openEpochs() {
    var found = new TreeMap<Integer, Long>();
    partitions.values().stream()
        .filter(partition -> partition.open)
        .forEach(partition -> found.put(partition.number, partition.epoch));
    return found;
  }
}
