package wellwheel.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import wellwheel.runtime.Clock;
import wellwheel.storage.Disk;
import wellwheel.storage.Journal;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/**
 * Replicated log of the control nodes: elections with pre-vote, check-quorum, membership changes
 * one voter at a time, snapshots, read index.
 */
public final class Raft {
  private static final System.Logger LOG = System.getLogger("raft");
  private static final long BEAT_US = 150_000;
  private static final long ELECTION_US = 700_000;
  private static final long FIRST_ELECTION_US = 100_000;
  private static final long LEASE_US = 600_000;
  private static final long READ_WAIT_US = 700_000;
  private static final int READS_MOST = 512;
  private static final long SILENT_VOTER_US = 2_000_000;
  private static final long LEARNER_KEPT_US = 6_000_000;
  private static final long LEARNER_HOPED_US = 1_500_000;
  private static final int LEARNERS_MOST = 16;
  private static final long OUTSIDE_US = 3_000_000;
  private static final long LEAVE_ASK_US = 100_000;
  private static final long LONG_JOURNAL = 8 << 20;
  private static final int LONG_LOG = 4096;
  private static final int BATCH = 64;
  private static final int BATCH_BYTES = 128 << 10;

  /** What the replicated log drives. */
  public interface Host {
    void apply(long index, byte[] command);

    byte[] snapshot();

    void restore(byte[] state);

    void onLead();

    void onYield();

    long coreUs();

    void hearCore(long coreUs);
  }

  private enum Role {
    FOLLOWER,
    PRE,
    CANDIDATE,
    LEADER
  }

  private record Entry(long term, byte[] command, List<String> voters) {
    Frame frame() {
      return new Frame()
          .with("term", term)
          .with("command", command)
          .with("voters", List.<Object>copyOf(voters));
    }

    static Entry read(Frame frame) {
      return new Entry(
          frame.number("term"), frame.bytes("command"), List.copyOf(frame.texts("voters")));
    }
  }

  /** How a member stands with the leader, for operators. */
  public record Standing(
      String ip, boolean votes, long behind, long silentUs, boolean blank, boolean leaving) {}

  private record Read(long stamp, long sinceUs, Consumer<Boolean> done) {}

  private final String self;
  private final Clock clock;
  private final Network wire;
  private final Journal journal;
  private final Host host;
  private final Random random;
  private final int target;
  private List<String> seeds;
  private List<String> firstVoters = List.of();
  private List<String> voters = List.of();
  private List<String> learners = List.of();
  private long votersIndex;
  private long outsideUntilUs;
  private boolean amnesiac;
  private long diskId;
  private long term;
  private String votedFor = "";
  private long snapIndex;
  private long snapTerm;
  private byte[] snapState = {};
  private final List<Entry> entries = new ArrayList<>();
  private long synced;
  private long cuts;
  private long verified;
  private long commit;
  private long applied;
  private Role role = Role.FOLLOWER;
  private String leader = "";
  private long heardLeaderUs;
  private long electionAtUs;
  private final Set<String> votes = new HashSet<>();
  private final Map<String, Follower> followers = new HashMap<>();
  private final TreeMap<Long, Pending> pending = new TreeMap<>();
  private final ArrayDeque<Read> reads = new ArrayDeque<>();
  private final ChunkReceiver incoming = new ChunkReceiver();
  private long stamp;
  private long batches;
  private long strange;
  private long majoritySinceUs;
  private boolean transferring;
  private boolean leaving;
  private boolean mayGo;
  private long askedLeaveUs = Long.MIN_VALUE / 2;
  private boolean rewriting;

  private record Pending(long term, Consumer<Boolean> done) {}

  public Raft(
      String self,
      List<String> seeds,
      int target,
      boolean firstBoot,
      Clock clock,
      Network wire,
      Disk disk,
      Host host,
      long seed) {
    this.self = self;
    this.clock = clock;
    this.wire = wire;
    this.host = host;
    this.random = new Random(seed);
    this.journal = new Journal(disk, "pilot.journal", self);
    this.target = target;
    this.seeds = List.copyOf(seeds);
    var found = journal.replay(record -> recover(Frame.unpack(record)));
    if (firstVoters.isEmpty()) {
      firstVoters = List.copyOf(seeds);
      amnesiac = !firstBoot || found.syncedDamaged();
    }
    if (diskId == 0) {
      diskId = random.nextLong() | 1;
      journal.append(votersRecord(), () -> {});
    }
    findVoters();
    commit = snapIndex;
    applied = snapIndex;
    if (snapState.length > 0) {
      host.restore(snapState);
    }
    heardLeaderUs = clock.steadyUs() - ELECTION_US;
    soonAgain();
  }

  private void recover(Frame record) {
    switch (record.kind()) {
      case "voters" -> {
        firstVoters = List.copyOf(record.texts("list"));
        amnesiac = record.flag("amnesiac");
        diskId = record.number("disk");
        if (firstVoters.isEmpty()) {
          throw new IllegalArgumentException("a list of voters that cannot be read whole");
        }
      }
      case "vote" -> {
        term = record.number("term");
        votedFor = record.text("for");
      }
      case "entry" -> {
        var index = record.number("index");
        if (index > snapIndex && index <= lastIndex() + 1) {
          cutFrom(index);
          entries.add(Entry.read(record));
        }
      }
      case "snapshot" -> {
        keepAfter(record.number("index"), record.number("term"));
        snapIndex = record.number("index");
        snapTerm = record.number("term");
        snapState = record.bytes("state");
        firstVoters = List.copyOf(record.texts("voters"));
      }
      default -> {}
    }
  }

  private byte[] votersRecord() {
    return Frame.of("voters")
        .with("list", List.<Object>copyOf(firstVoters))
        .with("amnesiac", amnesiac)
        .with("disk", diskId)
        .pack();
  }

  private void findVoters() {
    voters = firstVoters;
    votersIndex = snapIndex;
    for (var index = entries.size(); index > 0; index--) {
      if (!entries.get(index - 1).voters().isEmpty()) {
        voters = entries.get(index - 1).voters();
        votersIndex = snapIndex + index;
        break;
      }
    }
    if (voters.contains(self)) {
      outsideUntilUs = Long.MIN_VALUE / 2;
    }
  }

  public synchronized boolean enough() {
    return voters.size() >= target;
  }

  public synchronized boolean leads() {
    return role == Role.LEADER;
  }

  public synchronized boolean leadsFreshly() {
    return role == Role.LEADER && !transferring && applied >= leadFrom && freshMajority();
  }

  public synchronized void confirm(Consumer<Boolean> done) {
    if (role != Role.LEADER || transferring || applied < leadFrom || reads.size() >= READS_MOST) {
      done.accept(false);
      return;
    }
    reads.add(new Read(nextStamp(), clock.steadyUs(), done));
    followers.forEach(
        (ip, follower) -> {
          if (voters.contains(ip)) {
            wire.send(ip, head("raft.beat", ip, follower));
          }
        });
    confirmReads();
  }

  private void confirmReads() {
    while (!reads.isEmpty() && majoritySince(reads.peek().stamp())) {
      reads.poll().done().accept(true);
    }
  }

  private void dropReads(long olderThanUs) {
    while (!reads.isEmpty() && reads.peek().sinceUs() < olderThanUs) {
      reads.poll().done().accept(false);
    }
  }

  private long nextStamp() {
    stamp = Math.max(stamp + 1, clock.steadyUs());
    return stamp;
  }

  private long leadFrom;

  public synchronized String leader() {
    return leader.equals(self) || clock.steadyUs() - heardLeaderUs < ELECTION_US ? leader : "";
  }

  public synchronized long term() {
    return term;
  }

  /** Takes other addresses at which a leader may be looked for, beside those of the voters. */
  public synchronized void seedsAre(List<String> ips) {
    if (!ips.isEmpty()) {
      seeds = List.copyOf(ips);
    }
  }

  public synchronized void learn() {
    if (role != Role.LEADER
        && (outside()
            || !voters.contains(self)
            || amnesiac
            || clock.steadyUs() - heardLeaderUs > ELECTION_US)) {
      var known = new LinkedHashSet<>(voters);
      known.addAll(seeds);
      known.remove(self);
      known.forEach(ip -> wire.send(ip, Frame.of("raft.learn")));
    }
  }

  private boolean outside() {
    return clock.steadyUs() < outsideUntilUs;
  }

  public synchronized long strange() {
    return strange + incoming.refused();
  }

  public synchronized long majorityForUs() {
    return role == Role.LEADER && freshMajority() ? clock.steadyUs() - majoritySinceUs : 0;
  }

  public synchronized List<Standing> standings() {
    var nowUs = clock.steadyUs();
    return followers.entrySet().stream()
        .map(
            e ->
                new Standing(
                    e.getKey(),
                    voters.contains(e.getKey()),
                    lastIndex() - e.getValue().match,
                    e.getValue().silentUs(nowUs),
                    e.getValue().blank,
                    e.getValue().leaving))
        .toList();
  }

  public synchronized List<String> voters() {
    return voters;
  }

  public synchronized void propose(byte[] command, Consumer<Boolean> done) {
    if (role != Role.LEADER || transferring || pending.size() > 512) {
      done.accept(false);
      return;
    }
    pending.put(lastIndex() + 1, new Pending(term, done));
    append(new Entry(term, command, List.of()));
    followers.forEach((ip, follower) -> feed(ip, follower));
  }

  public synchronized void tick() {
    var nowUs = clock.steadyUs();
    if (role == Role.LEADER) {
      tickLeader(nowUs);
    } else if (nowUs >= electionAtUs && canRun()) {
      startPreVote();
    }
    compact();
  }

  private boolean canRun() {
    return voters.contains(self) && !amnesiac && !leaving && !outside();
  }

  private void tickLeader(long nowUs) {
    dropReads(nowUs - READ_WAIT_US);
    if (!freshMajority() && nowUs - becameUs > ELECTION_US) {
      LOG.log(System.Logger.Level.INFO, "leader lost its majority in term " + term);
      follow(term, "");
      return;
    }
    tendVoters(nowUs);
    followers
        .entrySet()
        .removeIf(
            e -> !voters.contains(e.getKey()) && e.getValue().silentUs(nowUs) > LEARNER_KEPT_US);
    followers.forEach(
        (ip, follower) -> {
          if (nowUs - follower.sentUs >= BEAT_US
              || follower.batch == 0 && follower.next <= lastIndex()) {
            feed(ip, follower);
          }
        });
  }

  private void tendVoters(long nowUs) {
    if (role != Role.LEADER
        || votersIndex > commit
        || applied < leadFrom
        || transferring
        || !freshMajority()) {
      return;
    }
    var goer = goer(nowUs);
    if (voters.size() > target) {
      goer.ifPresent(ip -> changeVoters(voters.stream().filter(each -> !each.equals(ip)).toList()));
      return;
    }
    var level = level(nowUs);
    if (level.isPresent() && (voters.size() < target || goer.isPresent())) {
      var more = new ArrayList<>(voters);
      more.add(level.get());
      changeVoters(more);
    }
  }

  private Optional<String> goer(long nowUs) {
    var mostUs = voters.size() > target ? ELECTION_US : SILENT_VOTER_US;
    var silent =
        voters.stream()
            .filter(followers::containsKey)
            .filter(ip -> followers.get(ip).silentUs(nowUs) > mostUs)
            .max(
                (a, b) ->
                    Long.compare(
                        followers.get(a).silentUs(nowUs), followers.get(b).silentUs(nowUs)));
    return silent.or(
        () ->
            voters.stream()
                .filter(followers::containsKey)
                .filter(ip -> followers.get(ip).leaving)
                .findFirst());
  }

  private Optional<String> level(long nowUs) {
    return followers.entrySet().stream()
        .filter(
            e ->
                !voters.contains(e.getKey())
                    && !e.getValue().leaving
                    && e.getValue().counts()
                    && nowUs - e.getValue().contactUs < LEASE_US
                    && e.getValue().match >= commit)
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private void changeVoters(List<String> next) {
    LOG.log(System.Logger.Level.INFO, "voters change from " + voters + " to " + next);
    append(new Entry(term, new byte[0], List.copyOf(next)));
    followers.forEach(this::feed);
  }

  private long becameUs;

  private boolean freshMajority() {
    return majoritySince(clock.steadyUs() - LEASE_US + 1);
  }

  private boolean majoritySince(long since) {
    return heardSince(since, self) * 2 > voters.size();
  }

  private int heardSince(long since, String without) {
    var heard = voters.contains(self) ? 1 : 0;
    for (var ip : voters) {
      var follower = followers.get(ip);
      heard +=
          follower != null
                  && !ip.equals(without)
                  && follower.counts()
                  && follower.contactUs >= since
              ? 1
              : 0;
    }
    return heard;
  }

  public synchronized boolean leave() {
    leaving = true;
    if (role == Role.LEADER) {
      return !transfers();
    }
    if (mayGo || !voters.contains(self)) {
      return true;
    }
    if (clock.steadyUs() - askedLeaveUs >= LEAVE_ASK_US && !leader.isEmpty()) {
      askedLeaveUs = clock.steadyUs();
      wire.send(leader, Frame.of("raft.leaving").with("term", term));
    }
    return false;
  }

  private boolean transfers() {
    var nowUs = clock.steadyUs();
    var best =
        followers.entrySet().stream()
            .filter(
                e ->
                    voters.contains(e.getKey())
                        && e.getValue().counts()
                        && !e.getValue().leaving
                        && nowUs - e.getValue().contactUs < LEASE_US)
            .max((a, b) -> Long.compare(a.getValue().match, b.getValue().match));
    if (best.isEmpty()) {
      return false;
    }
    transferring = true;
    if (best.get().getValue().match == lastIndex()) {
      wire.send(best.get().getKey(), Frame.of("raft.now").with("term", term));
    } else {
      feed(best.get().getKey(), best.get().getValue());
    }
    return true;
  }

  private void onLeaving(String from) {
    var follower = followers.get(from);
    if (role != Role.LEADER || follower == null) {
      return;
    }
    follower.leaving = true;
    var nowUs = clock.steadyUs();
    if (voters.size() <= target && learners(nowUs).isEmpty()) {
      wire.send(from, Frame.of("raft.go").with("term", term));
    } else {
      tendVoters(nowUs);
    }
  }

  private List<String> learners(long nowUs) {
    return followers.entrySet().stream()
        .filter(
            e ->
                !voters.contains(e.getKey())
                    && !e.getValue().leaving
                    && e.getValue().silentUs(nowUs) < LEARNER_HOPED_US)
        .map(Map.Entry::getKey)
        .toList();
  }

  private long lastIndex() {
    return snapIndex + entries.size();
  }

  private long termAt(long index) {
    if (index == snapIndex) {
      return snapTerm;
    }
    return index < snapIndex || index > lastIndex()
        ? -1
        : entries.get((int) (index - snapIndex - 1)).term();
  }

  private void keepAfter(long index, long atTerm) {
    if (termAt(index) == atTerm) {
      entries.subList(0, (int) (index - snapIndex)).clear();
    } else {
      entries.clear();
    }
  }

  private void cutFrom(long index) {
    cuts += lastIndex() >= index ? 1 : 0;
    while (lastIndex() >= index && !entries.isEmpty()) {
      entries.remove(entries.size() - 1);
    }
    if (votersIndex >= index) {
      findVoters();
    }
  }

  private long append(Entry entry) {
    entries.add(entry);
    var index = lastIndex();
    var atCuts = cuts;
    if (!entry.voters().isEmpty()) {
      findVoters();
      voters.stream()
          .filter(ip -> role == Role.LEADER && !ip.equals(self) && !followers.containsKey(ip))
          .forEach(this::addFollower);
    }
    journal.append(entryRecord(index, entry), () -> onSynced(index, atCuts));
    return index;
  }

  private static byte[] entryRecord(long index, Entry entry) {
    return entry.frame().with("k", "entry").with("index", index).pack();
  }

  private synchronized void onSynced(long index, long atCuts) {
    if (atCuts == cuts && index <= lastIndex()) {
      synced = Math.max(synced, index);
    }
    if (role == Role.LEADER) {
      advance();
    }
  }

  private void resetElection() {
    electionAtUs =
        clock.steadyUs() + ELECTION_US + (long) (random.nextDouble() * ELECTION_US * 0.7);
  }

  private void soonAgain() {
    electionAtUs =
        clock.steadyUs() + FIRST_ELECTION_US + (long) (random.nextDouble() * FIRST_ELECTION_US);
  }

  private void startPreVote() {
    role = Role.PRE;
    soonAgain();
    leader = "";
    votes.clear();
    votes.add(self);
    ask("raft.pre", term + 1);
    tally();
  }

  private void startVote() {
    role = Role.CANDIDATE;
    resetElection();
    leader = "";
    votes.clear();
    var at = term + 1;
    saveVote(
        at,
        self,
        () -> {
          if (term == at && role == Role.CANDIDATE) {
            votes.add(self);
            ask("raft.vote", at);
            tally();
          }
        });
  }

  private void saveVote(long newTerm, String choice, Runnable then) {
    term = newTerm;
    votedFor = choice;
    journal.append(
        Frame.of("vote").with("term", term).with("for", choice).pack(),
        () -> {
          synchronized (this) {
            then.run();
          }
        });
  }

  private void ask(String kind, long at) {
    voters.stream()
        .filter(ip -> !ip.equals(self))
        .forEach(
            ip ->
                wire.send(
                    ip,
                    Frame.of(kind)
                        .with("term", at)
                        .with("last", lastIndex())
                        .with("lastTerm", termAt(lastIndex()))
                        .with("forced", at == forcedTerm)));
  }

  private long forcedTerm;

  private void tally() {
    if (votes.size() * 2 <= voters.size()) {
      return;
    }
    if (role == Role.PRE) {
      startVote();
    } else if (role == Role.CANDIDATE) {
      lead();
    }
  }

  private void lead() {
    role = Role.LEADER;
    leader = self;
    transferring = false;
    becameUs = clock.steadyUs();
    majoritySinceUs = becameUs;
    followers.clear();
    voters.stream().filter(ip -> !ip.equals(self)).forEach(this::addFollower);
    learners.stream()
        .filter(ip -> !ip.equals(self) && !followers.containsKey(ip))
        .forEach(this::addFollower);
    LOG.log(System.Logger.Level.INFO, "leads term " + term);
    append(new Entry(term, new byte[0], voters));
    leadFrom = lastIndex();
    followers.forEach(this::feed);
    host.onLead();
  }

  private Follower addFollower(String ip) {
    var follower = new Follower(lastIndex() + 1, clock.steadyUs());
    followers.put(ip, follower);
    return follower;
  }

  private void follow(long newTerm, String newLeader) {
    var led = role == Role.LEADER;
    role = Role.FOLLOWER;
    leader = newLeader;
    transferring = false;
    verified = 0;
    if (newTerm > term) {
      saveVote(newTerm, "", () -> {});
    }
    if (led) {
      var lost = List.copyOf(pending.values());
      pending.clear();
      lost.forEach(each -> each.done().accept(false));
      dropReads(Long.MAX_VALUE);
      host.onYield();
    }
    resetElection();
  }

  public synchronized void onFrame(String from, Frame frame) {
    switch (frame.kind()) {
      case "raft.pre" -> onPre(from, frame);
      case "raft.pre.ok" -> onVoteAnswer(from, frame, Role.PRE);
      case "raft.vote" -> onVote(from, frame);
      case "raft.vote.ok" -> onVoteAnswer(from, frame, Role.CANDIDATE);
      case "raft.feed" -> onFeed(from, frame);
      case "raft.beat" -> onBeat(from, frame);
      case "raft.chunk" -> onChunk(from, frame);
      case "raft.chunked" -> onChunked(from, frame);
      case "raft.fed" -> onFed(from, frame);
      case "raft.now" -> onNow(frame);
      case "raft.learn" -> onLearner(from);
      case "raft.leaving" -> onLeaving(from);
      case "raft.go" -> mayGo |= leaving && frame.number("term") == term;
      case "raft.leader" -> wire.send(frame.text("ip"), Frame.of("raft.learn"));
      default -> strange++;
    }
  }

  public synchronized void onDown(String ip) {
    Optional.ofNullable(followers.get(ip)).ifPresent(Follower::broken);
  }

  private void onLearner(String from) {
    if (role == Role.LEADER
        && followers.size() < voters.size() + LEARNERS_MOST
        && !followers.containsKey(from)) {
      feed(from, addFollower(from));
    } else if (role != Role.LEADER && !leader().isEmpty()) {
      wire.send(from, Frame.of("raft.leader").with("ip", leader));
    }
  }

  private boolean hearsLeader() {
    return role == Role.LEADER && freshMajority() && !transferring
        || !leader.isEmpty()
            && !leader.equals(self)
            && clock.steadyUs() - heardLeaderUs < ELECTION_US;
  }

  private boolean level(Frame frame) {
    var lastTerm = frame.number("lastTerm");
    return lastTerm > termAt(lastIndex())
        || lastTerm == termAt(lastIndex()) && frame.number("last") >= lastIndex();
  }

  private void onPre(String from, Frame frame) {
    var granted = !amnesiac && frame.number("term") > term && level(frame) && !hearsLeader();
    var outsider = !voters.contains(from) && hearsLeader();
    wire.send(
        from,
        Frame.of("raft.pre.ok")
            .with("term", frame.number("term"))
            .with("granted", granted)
            .with("seen", term)
            .with("outside", outsider)
            .with("last", lastIndex())
            .with("lastTerm", termAt(lastIndex())));
  }

  private void onVote(String from, Frame frame) {
    var at = frame.number("term");
    if (at > term && (frame.flag("forced") || !hearsLeader())) {
      follow(at, "");
    }
    var granted =
        !amnesiac && at == term && level(frame) && (votedFor.isEmpty() || votedFor.equals(from));
    var answer =
        Frame.of("raft.vote.ok").with("term", at).with("granted", granted).with("seen", term);
    if (!granted) {
      wire.send(from, answer);
      return;
    }
    resetElection();
    saveVote(at, from, () -> wire.send(from, answer));
  }

  private void onVoteAnswer(String from, Frame frame, Role stage) {
    if (frame.flag("outside") && stage == Role.PRE && role == Role.PRE && level(frame)) {
      outsideUntilUs = clock.steadyUs() + OUTSIDE_US;
      follow(term, "");
      return;
    }
    if (frame.number("seen") > term && !frame.flag("granted")) {
      follow(frame.number("seen"), "");
      return;
    }
    var wanted = stage == Role.PRE ? term + 1 : term;
    if (role == stage
        && frame.number("term") == wanted
        && frame.flag("granted")
        && voters.contains(from)) {
      votes.add(from);
      tally();
    }
  }

  private void onNow(Frame frame) {
    if (frame.number("term") == term && canRun()) {
      forcedTerm = term + 1;
      startVote();
    }
  }

  private Frame head(String kind, String ip, Follower follower) {
    var clear = follower.blank && heardSince(follower.blankStamp + 1, ip) * 2 > voters.size();
    var frame =
        Frame.of(kind)
            .with("term", term)
            .with("commit", commit)
            .with("core", host.coreUs())
            .with("sent", nextStamp())
            .with("clear", clear);
    var learning = learners(clock.steadyUs());
    return learning.isEmpty() ? frame : frame.with("learners", List.<Object>copyOf(learning));
  }

  private void feed(String ip, Follower follower) {
    var nowUs = clock.steadyUs();
    follower.sentUs = nowUs;
    if (follower.underWay(nowUs)) {
      wire.send(ip, head("raft.beat", ip, follower));
      pump(ip, follower);
    } else if (follower.next <= snapIndex) {
      var whole =
          Frame.of("snapshot")
              .with("snapIndex", snapIndex)
              .with("snapTerm", snapTerm)
              .with("snapState", snapState)
              .with("snapVoters", List.<Object>copyOf(firstVoters))
              .with("prev", snapIndex)
              .with("prevTerm", snapTerm);
      inChunks(ip, follower, snapIndex, whole);
    } else {
      feedEntries(ip, follower, nowUs);
    }
  }

  private void feedEntries(String ip, Follower follower, long nowUs) {
    var batch = new ArrayList<Object>();
    var bytes = 0;
    var index = follower.next;
    while (!follower.probing
        && index <= lastIndex()
        && batch.size() < BATCH
        && (batch.isEmpty() || bytes + size(index) <= BATCH_BYTES)) {
      bytes += size(index);
      batch.add(entries.get((int) (index++ - snapIndex - 1)).frame());
    }
    var prev = follower.next - 1;
    if (bytes > BATCH_BYTES) {
      inChunks(
          ip,
          follower,
          index - 1,
          Frame.of("entries")
              .with("prev", prev)
              .with("prevTerm", termAt(prev))
              .with("entries", batch));
      return;
    }
    var frame =
        head("raft.feed", ip, follower)
            .with("prev", prev)
            .with("prevTerm", termAt(prev))
            .with("entries", batch);
    if (!batch.isEmpty()) {
      follower.begins(++batches, index - 1, nowUs);
      frame.with("batch", batches);
    }
    wire.send(ip, frame);
  }

  private int size(long index) {
    return entries.get((int) (index - snapIndex - 1)).command().length;
  }

  private void inChunks(String ip, Follower follower, long last, Frame whole) {
    follower.begins(++batches, last, clock.steadyUs());
    follower.chunks = Optional.of(new ChunkSender(batches, whole.pack()));
    wire.send(ip, head("raft.beat", ip, follower));
    pump(ip, follower);
  }

  private void pump(String ip, Follower follower) {
    follower.chunks.ifPresent(
        chunks ->
            chunks.pump(
                chunk -> wire.send(ip, chunk.with("term", term).with("sent", nextStamp()))));
  }

  private void onChunk(String from, Frame chunk) {
    if (chunk.number("term") != term || role != Role.FOLLOWER || !leader.equals(from)) {
      strange++;
      return;
    }
    var taken = incoming.take(from, chunk);
    if (taken.answers()) {
      wire.send(
          from,
          fed(term)
              .with("k", "raft.chunked")
              .with("sent", chunk.number("sent"))
              .with("id", chunk.number("id"))
              .with("have", taken.have()));
    }
    taken.whole().ifPresent(bytes -> takeWhole(from, chunk, bytes));
  }

  private void takeWhole(String from, Frame chunk, byte[] bytes) {
    try {
      takeFeed(
          from,
          Frame.unpack(bytes)
              .with("term", term)
              .with("sent", chunk.number("sent"))
              .with("commit", 0L)
              .with("batch", chunk.number("id")));
    } catch (IllegalArgumentException e) {
      strange++;
    }
  }

  private void onChunked(String from, Frame frame) {
    answered(from, frame)
        .ifPresent(
            follower -> {
              if (follower.chunks.map(each -> each.id() != frame.number("id")).orElse(true)) {
                strange++;
                return;
              }
              if (follower.chunks.get().acknowledged(frame.number("have"))) {
                follower.moves(clock.steadyUs());
              }
              pump(from, follower);
            });
  }

  private Frame fed(long at) {
    return Frame.of("raft.fed")
        .with("term", at)
        .with("disk", diskId)
        .with("blank", amnesiac)
        .with("leaving", leaving);
  }

  private boolean hears(String from, Frame frame) {
    var at = frame.number("term");
    if (at < term) {
      wire.send(from, fed(term).with("ok", false));
      return false;
    }
    if (at > term || role != Role.FOLLOWER || !leader.equals(from)) {
      follow(at, from);
    }
    heardLeaderUs = clock.steadyUs();
    resetElection();
    host.hearCore(frame.number("core") + frame.delayUs());
    learners = frame.texts("learners").stream().limit(LEARNERS_MOST).toList();
    return true;
  }

  private void onBeat(String from, Frame frame) {
    if (hears(from, frame)) {
      wire.send(
          from,
          fed(term).with("ok", true).with("match", verified).with("sent", frame.number("sent")));
      commitTo(Math.min(frame.number("commit"), verified));
    }
  }

  private void onFeed(String from, Frame frame) {
    if (hears(from, frame)) {
      takeFeed(from, frame);
    }
  }

  private void takeFeed(String from, Frame frame) {
    var at = term;
    if (frame.has("snapState") && frame.number("snapIndex") > commit) {
      install(frame);
    }
    var answer = fed(at).with("sent", frame.number("sent")).with("batch", frame.number("batch"));
    var prev = frame.number("prev");
    if (prev > lastIndex() || prev >= snapIndex && termAt(prev) != frame.number("prevTerm")) {
      wire.send(from, answer.with("ok", false).with("match", Math.min(prev - 1, lastIndex())));
      return;
    }
    takeEntries(prev, frame.frames("entries"));
    var match = prev + frame.frames("entries").size();
    var leaderCommit = Math.min(frame.number("commit"), match);
    journalSync(
        match,
        () -> {
          if (term != at) {
            return;
          }
          verified = Math.max(verified, match);
          if (amnesiac && frame.flag("clear") && match >= frame.number("commit")) {
            recovered();
          }
          wire.send(from, answer.with("ok", true).with("match", match).with("blank", amnesiac));
        });
    commitTo(leaderCommit);
  }

  private void recovered() {
    amnesiac = false;
    votedFor = "?";
    journal.append(votersRecord(), () -> {});
    journal.append(Frame.of("vote").with("term", term).with("for", votedFor).pack(), () -> {});
    LOG.log(
        System.Logger.Level.INFO, "caught up after an empty disk; votes again after term " + term);
  }

  private void journalSync(long match, Runnable then) {
    if (match <= synced) {
      then.run();
      return;
    }
    var atCuts = cuts;
    journal.append(
        Frame.of("mark").pack(),
        () -> {
          synchronized (this) {
            if (atCuts == cuts) {
              synced = Math.max(synced, match);
              then.run();
            }
          }
        });
  }

  private void takeEntries(long prev, List<Frame> incoming) {
    var index = prev;
    for (var each : incoming) {
      index++;
      if (index <= snapIndex || termAt(index) == each.number("term")) {
        continue;
      }
      cutFrom(index);
      synced = Math.min(synced, index - 1);
      append(Entry.read(each));
    }
  }

  private void install(Frame frame) {
    var index = frame.number("snapIndex");
    if (termAt(index) != frame.number("snapTerm")) {
      cuts++;
      synced = 0;
    }
    keepAfter(index, frame.number("snapTerm"));
    snapIndex = index;
    snapTerm = frame.number("snapTerm");
    snapState = frame.bytes("snapState");
    firstVoters = List.copyOf(frame.texts("snapVoters"));
    findVoters();
    commit = snapIndex;
    applied = snapIndex;
    journal.append(snapshotRecord(), () -> {});
    host.restore(snapState);
  }

  private byte[] snapshotRecord() {
    return Frame.of("snapshot")
        .with("index", snapIndex)
        .with("term", snapTerm)
        .with("state", snapState)
        .with("voters", List.<Object>copyOf(firstVoters))
        .pack();
  }

  private Optional<Follower> answered(String from, Frame frame) {
    if (frame.number("term") > term) {
      follow(frame.number("term"), "");
      return Optional.empty();
    }
    var follower = followers.get(from);
    var sent = frame.number("sent");
    if (role != Role.LEADER
        || follower == null
        || frame.number("term") < term
        || sent == 0
        || sent > stamp
        || !follower.hears(frame, stamp, lastIndex())) {
      strange++;
      return Optional.empty();
    }
    hadContact(follower, sent);
    return Optional.of(follower);
  }

  private void onFed(String from, Frame frame) {
    answered(from, frame)
        .ifPresent(
            follower -> {
              if (frame.number("batch") != 0 && frame.number("batch") == follower.batch) {
                follower.ends();
              }
              if (frame.flag("ok")) {
                follower.holds(Math.min(frame.number("match"), lastIndex()));
                advance();
              } else if (follower.batch == 0) {
                follower.misses(frame.number("match"));
              }
              if (role == Role.LEADER && follower.batch == 0 && follower.next <= lastIndex()) {
                feed(from, follower);
              }
            });
  }

  private void hadContact(Follower follower, long sent) {
    var held = freshMajority();
    follower.contactUs = Math.max(follower.contactUs, sent);
    if (!held && freshMajority()) {
      majoritySinceUs = clock.steadyUs();
    }
    confirmReads();
  }

  private void advance() {
    var levels = new ArrayList<Long>();
    levels.add(synced);
    followers.forEach(
        (ip, follower) -> {
          if (voters.contains(ip)) {
            levels.add(follower.counts() ? follower.match : 0L);
          }
        });
    while (levels.size() < voters.size()) {
      levels.add(0L);
    }
    levels.sort((a, b) -> Long.compare(b, a));
    var agreed = levels.get(voters.size() / 2);
    if (agreed > commit && termAt(agreed) == term) {
      commitTo(agreed);
      followers.forEach(this::feed);
      tendVoters(clock.steadyUs());
    }
  }

  private void commitTo(long index) {
    commit = Math.max(commit, Math.min(index, lastIndex()));
    while (applied < commit) {
      applied++;
      var entry = entries.get((int) (applied - snapIndex - 1));
      if (entry.command().length > 0) {
        host.apply(applied, entry.command());
      }
      Optional.ofNullable(pending.remove(applied))
          .ifPresent(each -> each.done().accept(each.term() == entry.term()));
    }
  }

  private void compact() {
    if (rewriting
        || journal.bytesLong() < Math.max(LONG_JOURNAL, 2L * snapState.length)
            && entries.size() < LONG_LOG
        || applied <= snapIndex) {
      return;
    }
    rewriting = true;
    var newTerm = termAt(applied);
    var keep = new ArrayList<>(entries.subList((int) (applied - snapIndex), entries.size()));
    snapState = host.snapshot();
    snapTerm = newTerm;
    snapIndex = applied;
    for (var entry : entries.subList(0, entries.size() - keep.size())) {
      firstVoters = entry.voters().isEmpty() ? firstVoters : entry.voters();
    }
    entries.clear();
    entries.addAll(keep);
    findVoters();
    var records = new ArrayList<byte[]>();
    records.add(votersRecord());
    records.add(Frame.of("vote").with("term", term).with("for", votedFor).pack());
    records.add(snapshotRecord());
    var index = snapIndex;
    for (var entry : keep) {
      records.add(entryRecord(++index, entry));
    }
    journal.rewrite(
        records,
        () -> {
          synchronized (this) {
            rewriting = false;
          }
        });
  }

  /** A moment's state of the member, for checkers. */
  public record View(
      long term,
      boolean leads,
      boolean mayVote,
      long snapIndex,
      long snapTerm,
      long last,
      long lastTerm,
      long commit,
      long applied,
      List<List<String>> quorums) {}

  public synchronized View view() {
    return new View(
        term,
        role == Role.LEADER,
        !amnesiac,
        snapIndex,
        snapTerm,
        lastIndex(),
        termAt(lastIndex()),
        commit,
        applied,
        List.of(voters));
  }

  public synchronized byte[] entryAt(long index) {
    return entries.get((int) (index - snapIndex - 1)).frame().pack();
  }

  public synchronized byte[] snapshotNow() {
    return snapState;
  }
}
