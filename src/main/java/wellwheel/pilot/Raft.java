package wellwheel.pilot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import wellwheel.lantern.Clock;
import wellwheel.lantern.Disk;
import wellwheel.lantern.Frame;
import wellwheel.lantern.Journal;
import wellwheel.lantern.Wire;

public final class Raft {
    private static final System.Logger LOG = System.getLogger("raft");
    private static final long BEAT_US = 150_000;
    private static final long ELECTION_US = 700_000;
    private static final long FIRST_ELECTION_US = 100_000;
    private static final long QUORUM_FRESH_US = 600_000;
    private static final long LONG_JOURNAL = 8 << 20;
    private static final int BATCH = 64;

    public interface Host {
        void apply(long index, byte[] command);

        byte[] snapshot();

        void restore(byte[] state);

        void onLead();

        void onYield();

        long coreUs();

        void hearCore(long coreUs);
    }

    private enum Role { FOLLOWER, PRE, CANDIDATE, LEADER }

    private record Entry(long term, byte[] command) { }

    private static final class Follower {
        long next;
        long match;
        long heardUs = Long.MIN_VALUE / 2;
        long sentUs;
        boolean waiting;
    }

    private final String self;
    private final Clock clock;
    private final Wire wire;
    private final Journal journal;
    private final Host host;
    private final Random luck;
    private List<String> voters;
    private boolean amnesiac;
    private long term;
    private String votedFor = "";
    private long snapIndex;
    private long snapTerm;
    private byte[] snapState = {};
    private final List<Entry> entries = new ArrayList<>();
    private long synced;
    private long commit;
    private long applied;
    private Role role = Role.FOLLOWER;
    private String leader = "";
    private long heardLeaderUs;
    private long electionAtUs;
    private final Set<String> votes = new HashSet<>();
    private final Map<String, Follower> followers = new HashMap<>();
    private final TreeMap<Long, Pending> pending = new TreeMap<>();
    private boolean transferring;
    private boolean leaving;
    private boolean rewriting;

    private record Pending(long term, Consumer<Boolean> done) { }

    public Raft(String self, List<String> seeds, boolean firstBoot, Clock clock, Wire wire, Disk disk, Host host, long seed) {
        this.self = self;
        this.clock = clock;
        this.wire = wire;
        this.host = host;
        this.luck = new Random(seed);
        this.journal = new Journal(disk, "pilot.journal");
        this.voters = List.of();
        journal.replay(record -> recover(Frame.unpack(record)));
        if (voters.isEmpty()) {
            voters = List.copyOf(seeds);
            amnesiac = !firstBoot;
            journal.append(Frame.of("voters").with("list", voters).with("amnesiac", amnesiac).pack(), () -> { });
        }
        synced = lastIndex();
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
                voters = record.texts("list");
                amnesiac = record.flag("amnesiac");
            }
            case "vote" -> {
                term = record.number("term");
                votedFor = record.text("for");
            }
            case "entry" -> {
                var index = record.number("index");
                if (index > snapIndex && index <= lastIndex() + 1) {
                    cutFrom(index);
                    entries.add(new Entry(record.number("term"), record.bytes("command")));
                }
            }
            case "snapshot" -> {
                entries.clear();
                snapIndex = record.number("index");
                snapTerm = record.number("term");
                snapState = record.bytes("state");
            }
            default -> { }
        }
    }

    public synchronized boolean leads() {
        return role == Role.LEADER;
    }

    public synchronized boolean leadsFreshly() {
        return role == Role.LEADER && !transferring && applied >= leadFrom && freshMajority();
    }

    private long leadFrom;

    public synchronized String leader() {
        return leader;
    }

    public synchronized long term() {
        return term;
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
        append(new Entry(term, command));
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
        return voters.contains(self) && !amnesiac && !leaving;
    }

    private void tickLeader(long nowUs) {
        if (!freshMajority() && nowUs - becameUs > ELECTION_US) {
            LOG.log(System.Logger.Level.INFO, "leader lost its majority in term " + term);
            follow(term, "");
            return;
        }
        followers.forEach((ip, follower) -> {
            if (nowUs - follower.sentUs >= BEAT_US || !follower.waiting && follower.next <= lastIndex()) {
                feed(ip, follower);
            }
        });
    }

    private long becameUs;

    private boolean freshMajority() {
        var nowUs = clock.steadyUs();
        var fresh = 1 + followers.entrySet().stream().filter(e -> voters.contains(e.getKey()) && nowUs - e.getValue().heardUs < QUORUM_FRESH_US).count();
        return fresh * 2 > voters.size();
    }

    public synchronized boolean leave() {
        leaving = true;
        if (role != Role.LEADER) {
            return true;
        }
        var best = followers.entrySet().stream().filter(e -> voters.contains(e.getKey()) && clock.steadyUs() - e.getValue().heardUs < QUORUM_FRESH_US)
            .max((a, b) -> Long.compare(a.getValue().match, b.getValue().match));
        if (best.isEmpty()) {
            return true;
        }
        transferring = true;
        if (best.get().getValue().match == lastIndex()) {
            wire.send(best.get().getKey(), Frame.of("raft.now").with("term", term));
            return true;
        }
        feed(best.get().getKey(), best.get().getValue());
        return false;
    }

    private long lastIndex() {
        return snapIndex + entries.size();
    }

    private long termAt(long index) {
        if (index == snapIndex) {
            return snapTerm;
        }
        return index < snapIndex || index > lastIndex() ? -1 : entries.get((int) (index - snapIndex - 1)).term();
    }

    private void cutFrom(long index) {
        while (lastIndex() >= index && !entries.isEmpty()) {
            entries.remove(entries.size() - 1);
        }
    }

    private long append(Entry entry) {
        entries.add(entry);
        var index = lastIndex();
        var atTerm = term;
        journal.append(Frame.of("entry").with("index", index).with("term", entry.term()).with("command", entry.command()).pack(), () -> onSynced(index, atTerm));
        return index;
    }

    private synchronized void onSynced(long index, long atTerm) {
        if (atTerm == term && index <= lastIndex()) {
            synced = Math.max(synced, index);
        }
        if (role == Role.LEADER) {
            advance();
        }
    }

    private void resetElection() {
        electionAtUs = clock.steadyUs() + ELECTION_US + (long) (luck.nextDouble() * ELECTION_US * 0.7);
    }

    private void soonAgain() {
        electionAtUs = clock.steadyUs() + FIRST_ELECTION_US + (long) (luck.nextDouble() * FIRST_ELECTION_US);
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
        saveVote(at, self, () -> {
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
        journal.append(Frame.of("vote").with("term", term).with("for", choice).pack(), () -> {
            synchronized (this) {
                then.run();
            }
        });
    }

    private void ask(String kind, long at) {
        voters.stream().filter(ip -> !ip.equals(self)).forEach(ip ->
            wire.send(ip, Frame.of(kind).with("term", at).with("last", lastIndex()).with("lastTerm", termAt(lastIndex())).with("forced", forced)));
    }

    private boolean forced;

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
        forced = false;
        transferring = false;
        becameUs = clock.steadyUs();
        followers.clear();
        voters.stream().filter(ip -> !ip.equals(self)).forEach(this::addFollower);
        LOG.log(System.Logger.Level.INFO, "leads term " + term);
        append(new Entry(term, new byte[0]));
        leadFrom = lastIndex();
        followers.forEach(this::feed);
        host.onLead();
    }

    private Follower addFollower(String ip) {
        var follower = new Follower();
        follower.next = lastIndex() + 1;
        followers.put(ip, follower);
        return follower;
    }

    private void follow(long newTerm, String newLeader) {
        var led = role == Role.LEADER;
        role = Role.FOLLOWER;
        leader = newLeader;
        forced = false;
        transferring = false;
        if (newTerm > term) {
            saveVote(newTerm, "", () -> { });
        }
        if (led) {
            var lost = List.copyOf(pending.values());
            pending.clear();
            lost.forEach(each -> each.done().accept(false));
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
            case "raft.fed" -> onFed(from, frame);
            case "raft.now" -> onNow(frame);
            case "raft.learn" -> onLearner(from);
            default -> { }
        }
    }

    private void onLearner(String from) {
        if (role == Role.LEADER && followers.size() < 16 && !followers.containsKey(from)) {
            feed(from, addFollower(from));
        }
    }

    private boolean hearsLeader() {
        return role == Role.LEADER && freshMajority() && !transferring || !leader.isEmpty() && !leader.equals(self) && clock.steadyUs() - heardLeaderUs < ELECTION_US;
    }

    private boolean level(Frame frame) {
        var lastTerm = frame.number("lastTerm");
        return lastTerm > termAt(lastIndex()) || lastTerm == termAt(lastIndex()) && frame.number("last") >= lastIndex();
    }

    private void onPre(String from, Frame frame) {
        var granted = !amnesiac && frame.number("term") > term && level(frame) && !hearsLeader();
        wire.send(from, Frame.of("raft.pre.ok").with("term", frame.number("term")).with("granted", granted).with("seen", term));
    }

    private void onVote(String from, Frame frame) {
        var at = frame.number("term");
        if (at > term && (frame.flag("forced") || !hearsLeader())) {
            follow(at, "");
        }
        var granted = !amnesiac && at == term && level(frame) && (votedFor.isEmpty() || votedFor.equals(from));
        var answer = Frame.of("raft.vote.ok").with("term", at).with("granted", granted).with("seen", term);
        if (!granted) {
            wire.send(from, answer);
            return;
        }
        resetElection();
        saveVote(at, from, () -> wire.send(from, answer));
    }

    private void onVoteAnswer(String from, Frame frame, Role stage) {
        if (frame.number("seen") > term && !frame.flag("granted")) {
            follow(frame.number("seen"), "");
            return;
        }
        var wanted = stage == Role.PRE ? term + 1 : term;
        if (role == stage && frame.number("term") == wanted && frame.flag("granted") && voters.contains(from)) {
            votes.add(from);
            tally();
        }
    }

    private void onNow(Frame frame) {
        if (frame.number("term") == term && canRun()) {
            forced = true;
            startVote();
        }
    }

    private void feed(String ip, Follower follower) {
        follower.sentUs = clock.steadyUs();
        var frame = Frame.of("raft.feed").with("term", term).with("commit", commit).with("core", host.coreUs()).with("voters", voters);
        if (follower.next <= snapIndex) {
            follower.waiting = true;
            wire.send(ip, frame.with("snapIndex", snapIndex).with("snapTerm", snapTerm).with("snapState", snapState).with("prev", snapIndex).with("prevTerm", snapTerm));
            return;
        }
        var batch = new ArrayList<Object>();
        for (var index = follower.next; index <= lastIndex() && batch.size() < BATCH; index++) {
            var entry = entries.get((int) (index - snapIndex - 1));
            batch.add(new Frame().with("term", entry.term()).with("command", entry.command()));
        }
        follower.waiting = !batch.isEmpty();
        wire.send(ip, frame.with("prev", follower.next - 1).with("prevTerm", termAt(follower.next - 1)).with("entries", batch));
    }

    private void onFeed(String from, Frame frame) {
        var at = frame.number("term");
        if (at < term) {
            wire.send(from, Frame.of("raft.fed").with("term", term).with("ok", false).with("match", 0L));
            return;
        }
        if (at > term || role != Role.FOLLOWER || !leader.equals(from)) {
            follow(at, from);
        }
        heardLeaderUs = clock.steadyUs();
        resetElection();
        host.hearCore(frame.number("core"));
        if (frame.has("snapState") && frame.number("snapIndex") > commit) {
            install(frame);
        }
        var prev = frame.number("prev");
        if (prev > lastIndex() || prev >= snapIndex && termAt(prev) != frame.number("prevTerm")) {
            wire.send(from, Frame.of("raft.fed").with("term", term).with("ok", false).with("match", Math.min(prev - 1, lastIndex())));
            return;
        }
        takeEntries(prev, frame.frames("entries"));
        var match = prev + frame.frames("entries").size();
        var leaderCommit = Math.min(frame.number("commit"), match);
        journalSync(match, () -> {
            if (term == at) {
                wire.send(from, Frame.of("raft.fed").with("term", at).with("ok", true).with("match", match));
                if (amnesiac && leaderCommit >= frame.number("commit") && match >= leaderCommit && match >= frame.number("commit")) {
                    recovered(frame);
                }
            }
        });
        commitTo(leaderCommit);
    }

    private void recovered(Frame frame) {
        amnesiac = false;
        votedFor = "?";
        voters = frame.texts("voters").isEmpty() ? voters : frame.texts("voters");
        journal.append(Frame.of("voters").with("list", voters).with("amnesiac", false).pack(), () -> { });
        journal.append(Frame.of("vote").with("term", term).with("for", votedFor).pack(), () -> { });
        LOG.log(System.Logger.Level.INFO, "caught up after an empty disk; votes again after term " + term);
    }

    private void journalSync(long match, Runnable then) {
        if (match <= synced) {
            then.run();
            return;
        }
        journal.append(Frame.of("mark").pack(), () -> {
            synchronized (this) {
                synced = Math.max(synced, Math.min(match, lastIndex()));
                then.run();
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
            append(new Entry(each.number("term"), each.bytes("command")));
        }
    }

    private void install(Frame frame) {
        entries.clear();
        snapIndex = frame.number("snapIndex");
        snapTerm = frame.number("snapTerm");
        snapState = frame.bytes("snapState");
        commit = snapIndex;
        applied = snapIndex;
        synced = snapIndex;
        journal.append(snapshotRecord(), () -> { });
        host.restore(snapState);
    }

    private byte[] snapshotRecord() {
        return Frame.of("snapshot").with("index", snapIndex).with("term", snapTerm).with("state", snapState).pack();
    }

    private void onFed(String from, Frame frame) {
        if (frame.number("term") > term) {
            follow(frame.number("term"), "");
            return;
        }
        var follower = followers.get(from);
        if (role != Role.LEADER || follower == null || frame.number("term") < term) {
            return;
        }
        follower.heardUs = clock.steadyUs();
        follower.waiting = false;
        if (frame.flag("ok")) {
            follower.match = Math.max(follower.match, frame.number("match"));
            follower.next = Math.max(follower.next, follower.match + 1);
            advance();
        } else {
            follower.next = Math.max(1, Math.min(follower.next - 1, frame.number("match") + 1));
        }
        if (follower.next <= lastIndex()) {
            feed(from, follower);
        }
    }

    private void advance() {
        var levels = new ArrayList<Long>();
        levels.add(synced);
        followers.forEach((ip, follower) -> {
            if (voters.contains(ip)) {
                levels.add(follower.match);
            }
        });
        levels.sort((a, b) -> Long.compare(b, a));
        var agreed = levels.get(voters.size() / 2);
        if (agreed > commit && termAt(agreed) == term) {
            commitTo(agreed);
            followers.forEach(this::feed);
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
            Optional.ofNullable(pending.remove(applied)).ifPresent(each -> each.done().accept(each.term() == entry.term()));
        }
    }

    private void compact() {
        if (rewriting || journal.bytesLong() < LONG_JOURNAL && entries.size() < 4096 || applied <= snapIndex) {
            return;
        }
        rewriting = true;
        var newTerm = termAt(applied);
        var keep = new ArrayList<>(entries.subList((int) (applied - snapIndex), entries.size()));
        snapState = host.snapshot();
        snapTerm = newTerm;
        snapIndex = applied;
        entries.clear();
        entries.addAll(keep);
        var records = new ArrayList<byte[]>();
        records.add(Frame.of("voters").with("list", voters).with("amnesiac", amnesiac).pack());
        records.add(Frame.of("vote").with("term", term).with("for", votedFor).pack());
        records.add(snapshotRecord());
        var index = snapIndex;
        for (var entry : keep) {
            records.add(Frame.of("entry").with("index", ++index).with("term", entry.term()).with("command", entry.command()).pack());
        }
        journal.rewrite(records, () -> {
            synchronized (this) {
                rewriting = false;
            }
        });
    }
}
