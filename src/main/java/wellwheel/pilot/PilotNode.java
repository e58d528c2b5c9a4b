package wellwheel.pilot;

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
import java.util.function.Consumer;
import wellwheel.lantern.Charter;
import wellwheel.lantern.Clock;
import wellwheel.lantern.Codes;
import wellwheel.lantern.Disk;
import wellwheel.lantern.Frame;
import wellwheel.lantern.Layout;
import wellwheel.lantern.Options;
import wellwheel.lantern.Shift;
import wellwheel.lantern.Wire;

public final class PilotNode implements Wire.Ear, Raft.Host {
    private static final System.Logger LOG = System.getLogger("pilot");
    private static final long KEEPER_CLAIM_US = 1_200_000;
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

    public record Reply(Codes code, String location, byte[] body) {
        static Reply of(Codes code) {
            return new Reply(code, "", new byte[0]);
        }

        static Reply of(Codes code, String why) {
            return new Reply(code, "", Frames.json(code, why));
        }
    }

    private static final class Frames {
        static byte[] json(Codes code, String why) {
            var quoted = why.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("\\p{Cntrl}", " ");
            return ("{\"Code\":" + code.number() + ",\"Error\":\"" + quoted + "\"}").getBytes(StandardCharsets.UTF_8);
        }
    }

    private static final class Holder {
        Layout.Member member;
        long heardUs;
        long knows;
        boolean leaving;
        String life = "";
        long downUs = Long.MAX_VALUE / 2;
    }

    private final Options options;
    private final Clock clock;
    private final Wire wire;
    private final Raft raft;
    private long coreOffsetUs;
    private Consumer<String> broken = why -> {
        throw new IllegalStateException(why);
    };
    private final Orders orders = new Orders();
    private final TreeMap<Integer, Layout.Line> lines = new TreeMap<>();
    private long linesVersion;
    private final Set<String> retiring = new LinkedHashSet<>();
    private final Map<String, Holder> holders = new LinkedHashMap<>();
    private final Map<String, Long> joinReports = new HashMap<>();
    private final Set<String> restarted = new HashSet<>();
    private long memberVersion;
    private long rosterVersion;
    private List<Layout.Processor> roster = List.of();
    private long ledSinceUs = Long.MAX_VALUE / 2;
    private long firstKeeperUs = Long.MAX_VALUE / 2;
    private long newestKeeperUs;
    private boolean planning;
    private final TreeMap<Integer, Layout.Line> wanted = new TreeMap<>();
    private long lastBalanceUs;
    private final Shifts shifts = new Shifts();
    private final Warnings warnings = new Warnings();
    private long shiftsVersion;
    private long askedWatchUs;
    private final Map<Long, StepsGather> stepGathers = new HashMap<>();
    private final Map<Long, Consumer<Reply>> stepOrders = new HashMap<>();
    private final Map<Long, HistoryGather> gathers = new HashMap<>();
    private long lastGather;
    private final Set<String> shiftPending = new LinkedHashSet<>();

    public PilotNode(Options options, Clock clock, Wire wire, Disk disk, long seed) {
        this.options = options;
        this.clock = clock;
        this.wire = wire;
        coreOffsetUs = clock.wallUs() - clock.steadyUs();
        lastGather = (seed & 0x7fffffffL) << 20;
        var seeds = options.seeds().stream().map(Options::hostOf).toList();
        raft = new Raft(options.ip(), seeds, 2 * options.survive() + 1, options.firstBoot(), clock, wire, disk, this, seed);
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
            case "lines" -> applyLines(index, frame);
            case "retire" -> retiring.add(frame.text("node"));
            case "shift" -> applyShift(index, Shift.read(frame.inner("shift")));
            default -> { }
        }
    }

    private void applyConfig(Frame frame) {
        orders.apply(frame.number("base"), frame.bytes("bytes"));
        pushNews();
    }

    private void applyShift(long index, Shift shift) {
        if (shifts.apply(shift)) {
            shiftsVersion = index;
            LOG.log(System.Logger.Level.INFO, "code=" + Codes.SHIFT_MOVES.number() + " " + shift.json(shifts.tally(shift.service())));
            pushNews();
        }
    }

    private void applyLines(long index, Frame frame) {
        for (var each : frame.frames("lines")) {
            var line = Layout.Line.read(each);
            var old = lines.get(line.number());
            if (old == null ? line.epoch() == 1 : old.epoch() + 1 == line.epoch()) {
                lines.put(line.number(), line.at(index));
                linesVersion = index;
                restarted.removeIf(key -> key.startsWith(line.number() + "/") && !line.copies().contains(key.substring(key.indexOf("/") + 1)));
            }
        }
        pushNews();
    }

    @Override
    public synchronized byte[] snapshot() {
        var state = Frame.of("state").with("version", linesVersion).with("retiring", new ArrayList<Object>(retiring)).with("lines", lines.values().stream().map(Layout.Line::frame).toList())
            .with("shiftsVersion", shiftsVersion).with("shifts", shifts.all().stream().map(Shift::frame).toList());
        orders.save(state);
        return state.pack();
    }

    @Override
    public synchronized void restore(byte[] state) {
        var frame = Frame.unpack(state);
        orders.restore(frame);
        retiring.clear();
        retiring.addAll(frame.texts("retiring"));
        linesVersion = frame.number("version");
        shiftsVersion = frame.number("shiftsVersion");
        shifts.restore(frame.frames("shifts").stream().map(Shift::read).toList());
        lines.clear();
        frame.frames("lines").forEach(each -> lines.put(each.small("n"), Layout.Line.read(each)));
    }

    @Override
    public synchronized void onLead() {
        ledSinceUs = clock.steadyUs();
        holders.clear();
        joinReports.clear();
        restarted.clear();
        wanted.clear();
        planning = false;
        shifts.forgetMemory();
        warnings.clear();
        shiftPending.clear();
        memberVersion = raft.term() << TERM_BITS;
        rosterVersion = raft.term() << TERM_BITS;
        firstKeeperUs = Long.MAX_VALUE / 2;
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
            case "claim" -> onClaim(from, frame);
            case "line.level" -> onLevel(frame);
            case "line.lost" -> onLost(frame);
            case "line.reopen" -> onReopen(frame);
            case "watch" -> onWatch(frame);
            case "steps.rows" -> onSteps(from, frame);
            case "steps.done" -> onStepsDone(frame);
            case "history.rows" -> onHistory(from, frame);
            default -> { }
        }
    }

    @Override
    public synchronized void onDown(String ip) {
        holders.values().stream().filter(holder -> holder.member.ip().equals(ip)).forEach(holder -> holder.downUs = Math.min(holder.downUs, clock.steadyUs()));
        raft.onDown(ip);
    }

    @Override
    public void onUnsent(String ip, Frame frame) {
        if (frame.kind().startsWith("raft.")) {
            raft.onDown(ip);
        }
    }

    private void onClaim(String from, Frame frame) {
        if (!raft.leadsFreshly()) {
            var leader = raft.leader();
            wire.send(from, Frame.of("claim.no").with("leader", leader.equals(options.ip()) ? "" : leader));
            return;
        }
        var answer = Frame.of("claim.ok").with("sent", frame.number("sent")).with("core", coreUs()).with("voters", raft.voters());
        synchronized (this) {
            renew(from, frame);
            shifts.hear(frame.text("id"), frame.frames("tally"));
            fill(answer, frame.number("rev"), frame.number("lay"), tells(frame.number("mem")) ? frame.number("mem") : memberVersion, frame.number("ros"), frame.number("shi"));
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
            holder.member = new Layout.Member(id, frame.text("role"), from, frame.text("zone"));
            var node = nodeOf(id);
            holders.values().removeIf(old -> nodeOf(old.member.id()).equals(node));
            holders.put(id, holder);
            if (frame.text("role").equals("keeper")) {
                firstKeeperUs = Math.min(firstKeeperUs, nowUs);
                newestKeeperUs = nowUs;
            }
            holder.life = frame.text("life");
            memberVersion++;
        }
        if (!holder.life.equals(frame.text("life"))) {
            holder.life = frame.text("life");
            lines.values().stream().filter(line -> line.backups().contains(id)).forEach(line -> {
                restarted.add(line.number() + "/" + id);
                want(without(line, id));
            });
        }
        holder.heardUs = nowUs;
        holder.knows = frame.number("mem");
        holder.leaving = frame.flag("leaving");
        holder.downUs = Long.MAX_VALUE / 2;
    }

    private static String nodeOf(String id) {
        var hash = id.indexOf('#');
        return hash < 0 ? id : id.substring(0, hash);
    }

    private void fill(Frame answer, long revision, long layout, long members, long rosterSeen, long shiftsSeen) {
        if (charter().revision() > revision) {
            answer.with("rev", charter().revision()).with("config", orders.config());
        }
        if (linesVersion > layout) {
            answer.with("lines", lines.values().stream().filter(line -> line.version() > layout).map(Layout.Line::frame).toList());
        }
        if (memberVersion > members) {
            answer.with("mem", memberVersion).with("members", holders.values().stream().map(holder -> holder.member.frame()).toList());
        }
        if (shiftsVersion > shiftsSeen) {
            answer.with("shi", shiftsVersion).with("shifts", shifts.all().stream().map(Shift::frame).toList());
        }
        if (rosterVersion > rosterSeen && !roster.isEmpty()) {
            answer.with("ros", rosterVersion).with("roster", roster.stream().map(Layout.Processor::frame).toList());
        }
    }

    private static final List<String> NEWS = List.of("config", "lines", "shifts", "roster");

    private boolean tells(long known) {
        return known == 0 || known >> TERM_BITS == raft.term() || settled();
    }

    private long pushedRevision;
    private long pushedLines;
    private long pushedMembers;
    private long pushedRoster;
    private long pushedShifts;

    private void pushNews() {
        if (!raft.leads()) {
            pushedRevision = charter().revision();
            pushedLines = linesVersion;
            pushedShifts = shiftsVersion;
            return;
        }
        var newsToAll = news(memberVersion);
        var newsWithMembers = news(pushedMembers);
        pushedShifts = shiftsVersion;
        pushedRevision = charter().revision();
        pushedLines = linesVersion;
        pushedMembers = memberVersion;
        pushedRoster = rosterVersion;
        var toAll = NEWS.stream().anyMatch(newsToAll::has);
        holders.values().stream().filter(holder -> toAll || tells(holder.knows)).forEach(holder -> wire.send(holder.member.ip(), tells(holder.knows) ? newsWithMembers : newsToAll));
    }

    private Frame news(long members) {
        var news = Frame.of("news").with("since", pushedLines);
        fill(news, pushedRevision, pushedLines, members, pushedRoster, pushedShifts);
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
        roster.forEach(each -> found.computeIfAbsent(each.service(), key -> new LinkedHashSet<>()).add(each.version()));
        return found;
    }

    private void tendShifts() {
        if (!shifts.all().isEmpty()) {
            shifts.due(listedVersions(), clock.steadyUs()).forEach(shift -> propose(shift, reply -> { }));
        }
    }

    private void propose(Shift shift, Consumer<Reply> answer) {
        if (!shiftPending.add(shift.service())) {
            answer.accept(Reply.of(Codes.NO_LEADER, "a change of this shift is under way; send it again"));
            return;
        }
        raft.propose(Frame.of("shift").with("shift", shift.frame()).pack(), done -> {
            synchronized (this) {
                shiftPending.remove(shift.service());
                var taken = done && shifts.of(shift.service()).map(now -> now.equals(shift)).orElse(false);
                answer.accept(taken ? new Reply(Codes.FINE, "", json(shift)) : Reply.of(done ? Codes.OTHER_SHIFT : Codes.NO_LEADER, "not taken; read it and send it again"));
            }
        });
    }

    private byte[] json(Shift shift) {
        return shift.json(shifts.tally(shift.service())).toString().getBytes(StandardCharsets.UTF_8);
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
            holders.values().stream().filter(holder -> holder.member.role().equals("keeper")).forEach(holder -> wire.send(holder.member.ip(), ask));
        }
        warnings.judge(nowUs);
    }

    public void shift(String call, String service, Optional<Long> base, byte[] body, Consumer<Reply> answer) {
        proven("/Shift." + call + "/" + service, answer, () -> shiftNow(call, service, base, body, answer));
    }

    private synchronized void shiftNow(String call, String service, Optional<Long> base, byte[] body, Consumer<Reply> answer) {
        var now = shifts.of(service);
        if (charter().service(service).isEmpty() || now.isEmpty() && !call.equals("Set")) {
            answer.accept(Reply.of(Codes.NO_SERVICE, charter().service(service).isEmpty() ? "no service " + service : "no policy for " + service));
        } else if (base.isPresent() && !base.get().equals(now.map(Shift::epoch).orElse(0L))) {
            answer.accept(Reply.of(Codes.OTHER_BASE, "the shift is at epoch " + now.map(Shift::epoch).orElse(0L)));
        } else {
            order(call, service, now, body, answer);
        }
    }

    private void order(String call, String service, Optional<Shift> now, byte[] body, Consumer<Reply> answer) {
        var running = now.map(shift -> !shift.next().isEmpty()).orElse(false);
        if (call.equals("Set")) {
            set(service, now, running, body, answer);
        } else if (call.equals("Start")) {
            start(now.get(), running, body, answer);
        } else if (!running) {
            answer.accept(Reply.of(Codes.OTHER_SHIFT, "no shift is running"));
        } else {
            propose(switch (call) {
                case "Hold" -> now.get().held(true);
                case "Resume" -> now.get().held(false);
                default -> now.get().takenBack();
            }, answer);
        }
    }

    private void set(String service, Optional<Shift> now, boolean running, byte[] body, Consumer<Reply> answer) {
        if (running || shifts.full() && now.isEmpty()) {
            answer.accept(Reply.of(Codes.OTHER_SHIFT, running ? "a shift is running" : "too many policies"));
            return;
        }
        try {
            var policy = Shift.policy(service, body, mostListed(service));
            propose(policy.after(now.orElse(policy)), answer);
        } catch (Shift.Invalid e) {
            answer.accept(Reply.of(Codes.BAD_POLICY, e.getMessage()));
        }
    }

    private List<String> mostListed(String service) {
        var counts = new TreeMap<String, Integer>();
        roster.stream().filter(each -> each.service().equals(service) && !each.draining()).forEach(each -> counts.merge(each.version(), 1, Integer::sum));
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).stream().toList();
    }

    private void start(Shift now, boolean running, byte[] body, Consumer<Reply> answer) {
        var version = new String(body, StandardCharsets.UTF_8).trim();
        if (running) {
            answer.accept(Reply.of(Codes.OTHER_SHIFT, "a shift to " + now.next() + " is running"));
        } else if (version.isEmpty() || version.length() > 64 || now.trusted().contains(version)) {
            answer.accept(Reply.of(Codes.BAD_POLICY, "the body must name a version that is not in service yet"));
        } else {
            propose(now.started(version), answer);
        }
    }

    public Reply shiftState(String service) {
        return elsewhere("/Shift.Read/" + service).orElseGet(() -> {
            synchronized (this) {
                return shifts.of(service).map(shift -> new Reply(Codes.FINE, "", json(shift))).orElseGet(() -> Reply.of(Codes.NO_SERVICE, "no policy for " + service));
            }
        });
    }

    public void steps(String wanted, Consumer<Reply> answer) {
        var elsewhere = elsewhere("/Steps.Read/" + wanted);
        if (elsewhere.isPresent()) {
            answer.accept(elsewhere.get());
        } else {
            gatherSteps(new StepsGather(wanted, STEP_ROUNDS, gather -> answer.accept(gather.reply())), answer);
        }
    }

    public void warnings(boolean stepsOnly, Consumer<Reply> answer) {
        var elsewhere = elsewhere(stepsOnly ? "/Steps.Failed" : "/Warnings.Read");
        if (elsewhere.isPresent()) {
            answer.accept(elsewhere.get());
            return;
        }
        gatherSteps(new StepsGather("", 1, gather -> {
            var list = new JsonArray();
            if (!stepsOnly) {
                warnings.all().forEach(each -> list.add(each.json()));
            }
            list.addAll(gather.failed());
            answer.accept(jsonReply("Warnings", list));
        }), answer);
    }

    private synchronized void gatherSteps(StepsGather gather, Consumer<Reply> answer) {
        if (stepGathers.size() >= GATHERS_MOST) {
            answer.accept(Reply.of(Codes.NO_LEADER, "too many questions at once"));
            return;
        }
        nextRound(++lastGather, gather);
    }

    private void nextRound(long rid, StepsGather gather) {
        var ips = new LinkedHashSet<String>();
        holders.values().stream().filter(holder -> holder.member.role().equals("keeper")).forEach(holder -> ips.add(holder.member.ip()));
        stepGathers.put(rid, gather);
        var ask = gather.round(rid, ips);
        ips.forEach(ip -> wire.send(ip, ask));
        clock.after(STEP_ASK_US, () -> {
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
        Optional.ofNullable(stepGathers.get(rid)).ifPresent(gather -> {
            gather.take(from, frame);
            if (gather.heardAll()) {
                endRound(rid, gather);
            }
        });
    }

    public void decideStep(String step, boolean drop, Consumer<Reply> answer) {
        var elsewhere = elsewhere((drop ? "/Steps.Drop/" : "/Steps.Release/") + step);
        if (elsewhere.isPresent()) {
            answer.accept(elsewhere.get());
            return;
        }
        synchronized (this) {
            var line = step.matches("[0-9]{1,2}-.+") ? lines.get(Integer.parseInt(step.substring(0, step.indexOf('-')))) : null;
            var ip = line == null ? "" : Optional.ofNullable(holders.get(line.primary())).map(holder -> holder.member.ip()).orElse("");
            if (ip.isEmpty()) {
                answer.accept(line == null ? Reply.of(Codes.NO_MESSAGE, "no step " + step + "; give the Message-Name") : Reply.of(Codes.NO_LEADER, "its keeper is away; send it again"));
                return;
            }
            var rid = ++lastGather;
            stepOrders.put(rid, answer);
            wire.send(ip, Frame.of("steps.order").with("rid", rid).with("step", step).with("drop", drop));
            clock.after(2 * STEP_ASK_US, () -> {
                synchronized (this) {
                    Optional.ofNullable(stepOrders.remove(rid)).ifPresent(waits -> waits.accept(Reply.of(Codes.NO_LEADER, "unclear; send it again")));
                }
            });
        }
    }

    private synchronized void onStepsDone(Frame frame) {
        Optional.ofNullable(stepOrders.remove(frame.number("rid"))).ifPresent(answer -> answer.accept(switch (frame.text("r")) {
            case "done" -> Reply.of(Codes.FINE);
            case "free" -> Reply.of(Codes.NOT_HELD, "it is not held back by a step");
            case "none" -> Reply.of(Codes.NO_MESSAGE, "no such step waits");
            default -> Reply.of(Codes.NO_LEADER, "its line moves; send it again");
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
                answer.accept(fromUs < toUs && toUs - fromUs <= HISTORY_MOST_US ? Reply.of(Codes.NO_LEADER, "too many questions at once") : Reply.of(Codes.BAD_RANGE, "from must lie before to, 400 days apart at most"));
                return;
            }
            var rid = ++lastGather;
            var gather = new HistoryGather(fromUs, toUs, holders.values().stream().filter(holder -> !holder.member.role().equals("pilot")).map(holder -> holder.member).toList(), answer);
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
            gather.tell(service -> charter().service(service).map(Charter.Service::pull).orElse(false), coreUs());
            return;
        }
        gather.missing().forEach(member -> wire.send(member.ip(), Frame.of("history.ask").with("rid", rid).with("from", gather.fromUs()).with("to", gather.toUs())));
        clock.after(HISTORY_ASK_US, () -> {
            synchronized (this) {
                askHistory(rid, gather, tries - 1);
            }
        });
    }

    private synchronized void onHistory(String from, Frame frame) {
        var rid = frame.number("rid");
        Optional.ofNullable(gathers.get(rid)).ifPresent(gather -> {
            gather.take(from, frame);
            if (gather.whole()) {
                askHistory(rid, gather, 0);
            }
        });
    }

    public Reply warningsNow() {
        return elsewhere("/Warnings.Read").orElseGet(() -> {
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
        return new Reply(Codes.FINE, "", root.toString().getBytes(StandardCharsets.UTF_8));
    }

    public Reply nodes() {
        return elsewhere("/Nodes.Read").orElseGet(() -> {
            synchronized (this) {
                var list = new JsonArray();
                list.add(node(options.ip(), "pilot", options.zone(), "leads term " + raft.term() + ", majority for " + raft.majorityForUs() / 1000 + " ms, " + raft.voters().size() + " vote"));
                raft.standings().forEach(each -> list.add(node(each.ip(), "pilot", "", standing(each))));
                holders.values().forEach(holder -> list.add(node(holder.member.id(), holder.member.role(), holder.member.zone(), holder.leaving ? "leaving" : retiring.contains(nodeOf(holder.member.id())) ? "retiring" : "well")));
                return jsonReply("Nodes", list);
            }
        });
    }

    private static String standing(Raft.Standing pilot) {
        return (pilot.votes() ? "votes" : "learns") + ", " + pilot.behind() + " entries behind, heard " + pilot.silentUs() / 1000 + " ms ago" + (pilot.blank() ? ", empty disk" : "") + (pilot.leaving() ? ", leaving" : "");
    }

    private static JsonObject node(String name, String role, String zone, String standing) {
        var row = new JsonObject();
        row.addProperty("Node", name);
        row.addProperty("Role", role);
        row.addProperty("Zone", zone);
        row.addProperty("Standing", standing);
        return row;
    }

    public Reply linesNow() {
        return elsewhere("/Lines.Read").orElseGet(() -> {
            synchronized (this) {
                var list = new JsonArray();
                lines.values().forEach(line -> {
                    var row = new JsonObject();
                    row.addProperty("Line", line.number());
                    row.addProperty("Epoch", line.epoch());
                    row.addProperty("Copies", String.join(" ", line.copies()));
                    row.addProperty("Joining", line.joining());
                    row.addProperty("Missing", Math.max(0, full() - line.copies().size()));
                    list.add(row);
                });
                return jsonReply("Lines", list);
            }
        });
    }

    public void learn() {
        raft.learn();
    }

    private long claimUs(Holder holder) {
        return holder.member.role().equals("keeper") ? KEEPER_CLAIM_US : options.revokeUs() - 500_000;
    }

    private boolean alive(Holder holder) {
        var nowUs = clock.steadyUs();
        return nowUs - holder.heardUs < claimUs(holder) && !(holder.member.role().equals("keeper") && nowUs - holder.downUs > DOWN_CLAIM_US);
    }

    private boolean alive(String id) {
        return Optional.ofNullable(holders.get(id)).map(this::alive).orElse(false);
    }

    private boolean settled() {
        return clock.steadyUs() - ledSinceUs > KEEPER_CLAIM_US + 400_000;
    }

    private void dropLapsed() {
        var gone = holders.values().stream().filter(holder -> !alive(holder)).map(holder -> holder.member.id()).toList();
        if (gone.isEmpty()) {
            return;
        }
        gone.forEach(holders::remove);
        LOG.log(System.Logger.Level.INFO, "claims lapsed: " + gone);
        memberVersion++;
    }

    private boolean usable(Holder holder) {
        return holder.member.role().equals("keeper") && alive(holder) && !holder.leaving && !retiring.contains(nodeOf(holder.member.id()));
    }

    private List<String> usableKeepers() {
        return holders.values().stream().filter(this::usable).map(holder -> holder.member.id()).sorted().toList();
    }

    private void plan() {
        if (planning) {
            return;
        }
        var keepers = usableKeepers();
        var changes = lines.isEmpty() ? firstPlacement(keepers) : repairs(keepers);
        if (changes.isEmpty()) {
            return;
        }
        proposeLines(changes);
    }

    private void proposeLines(List<Layout.Line> changes) {
        planning = true;
        LOG.log(System.Logger.Level.INFO, "moves " + changes.size() + " lines, first " + changes.get(0));
        var command = Frame.of("lines").with("lines", changes.stream().map(Layout.Line::frame).toList()).pack();
        raft.propose(command, done -> {
            synchronized (this) {
                planning = false;
            }
        });
    }

    private int full() {
        return 1 + Math.max(1, options.survive());
    }

    private int afterLoss() {
        return Math.max(2, full() - 1);
    }

    private List<Layout.Line> firstPlacement(List<String> keepers) {
        var nowUs = clock.steadyUs();
        var patient = nowUs - newestKeeperUs > 1_000_000 || nowUs - firstKeeperUs > 5_000_000;
        if (keepers.size() < full() || !patient) {
            return List.of();
        }
        var weights = new HashMap<String, Integer>();
        var changes = new ArrayList<Layout.Line>();
        for (var number = 0; number < Layout.LINES; number++) {
            var copies = new ArrayList<>(List.of(keepers.get(number % keepers.size())));
            weights.merge(copies.get(0), 1, Integer::sum);
            while (copies.size() < full()) {
                copies.add(pick(copies, copies, keepers, weights));
            }
            changes.add(new Layout.Line(number, 1, List.copyOf(copies), "", full(), 0));
        }
        return changes;
    }

    private List<Layout.Line> repairs(List<String> keepers) {
        var weights = new HashMap<String, Integer>();
        lines.values().forEach(line -> {
            line.copies().forEach(id -> weights.merge(id, 1, Integer::sum));
            weights.merge(line.joining(), 1, Integer::sum);
        });
        if (!settled()) {
            return lines.values().stream().map(line -> beforeSettled(line, keepers, weights)).flatMap(Optional::stream).toList();
        }
        var changes = new ArrayList<Layout.Line>();
        var calm = true;
        for (var line : lines.values()) {
            var next = repair(line, keepers, weights);
            calm &= next.isEmpty() && line.copies().size() >= full() && line.joining().isEmpty();
            next.ifPresent(changes::add);
        }
        return calm ? balance(keepers) : changes;
    }

    private Optional<Layout.Line> beforeSettled(Layout.Line line, List<String> keepers, Map<String, Integer> weights) {
        var live = line.copies().stream().filter(this::alive).toList();
        if (live.size() == line.copies().size()) {
            return alive(line.joining()) ? joined(line) : Optional.empty();
        }
        var lostForGood = line.copies().stream().allMatch(id -> live.contains(id) || reborn(id));
        return live.isEmpty() || !lostForGood ? Optional.empty() : Optional.of(line.with(live, pick(live, line.copies(), keepers, weights), afterLoss()));
    }

    private Optional<Layout.Line> repair(Layout.Line line, List<String> keepers, Map<String, Integer> weights) {
        var live = line.copies().stream().filter(this::alive).toList();
        if (live.isEmpty()) {
            return rescue(line, keepers, weights);
        }
        var joins = alive(line.joining());
        if (live.size() < line.copies().size()) {
            return Optional.of(line.with(live, joins ? line.joining() : pick(live, line.copies(), keepers, weights), afterLoss()));
        }
        if (!line.joining().isEmpty()) {
            return joined(line).or(() -> joins ? joinsInstead(line, keepers, weights) : Optional.of(line.with(line.copies(), "", line.need())));
        }
        var again = live.stream().filter(id -> restarted.contains(line.number() + "/" + id)).findFirst();
        if (again.isPresent() && line.backups().contains(again.get())) {
            return Optional.of(without(line, again.get()));
        }
        if (live.size() < full()) {
            var joining = pick(live, live, keepers, weights);
            return joining.isEmpty() ? Optional.empty() : Optional.of(line.with(live, joining, line.need()));
        }
        return relieve(line, keepers, weights);
    }

    private Optional<Layout.Line> joinsInstead(Layout.Line line, List<String> keepers, Map<String, Integer> weights) {
        if (keepers.contains(line.joining())) {
            return Optional.empty();
        }
        var other = pick(line.copies(), line.copies(), keepers, weights);
        return other.isEmpty() ? Optional.empty() : Optional.of(line.with(line.copies(), other, line.need()));
    }

    private Optional<Layout.Line> relieve(Layout.Line line, List<String> keepers, Map<String, Integer> weights) {
        if (keepers.containsAll(line.copies())) {
            return Optional.empty();
        }
        var joining = pick(line.copies(), line.copies(), keepers, weights);
        if (!joining.isEmpty()) {
            return Optional.of(line.with(line.copies(), joining, line.need()));
        }
        var staying = line.backups().stream().anyMatch(keepers::contains);
        return keepers.contains(line.primary()) || !staying ? Optional.empty() : Optional.of(line.with(stayingFirst(line.copies(), keepers), "", line.need()));
    }

    private static List<String> stayingFirst(List<String> copies, List<String> keepers) {
        var sorted = new ArrayList<>(copies);
        sorted.sort((a, b) -> Boolean.compare(keepers.contains(b), keepers.contains(a)));
        return sorted;
    }

    private Optional<Layout.Line> joined(Layout.Line line) {
        if (line.joining().isEmpty() || !joinReports.getOrDefault(line.number() + "/" + line.joining(), -1L).equals(line.epoch())) {
            return Optional.empty();
        }
        var grown = new ArrayList<>(line.copies());
        grown.add(line.joining());
        if (line.copies().size() < full()) {
            return Optional.of(line.with(grown, "", grown.size() >= full() ? full() : line.need()));
        }
        var keepers = usableKeepers();
        var goers = line.copies().stream().filter(id -> !keepers.contains(id)).toList();
        if (!goers.isEmpty()) {
            var handsOver = goers.contains(line.primary()) && goers.size() < line.copies().size();
            grown.remove(handsOver ? line.primary() : goers.get(goers.size() - 1));
            return Optional.of(line.with(stayingFirst(grown, keepers), "", full()));
        }
        grown.remove(heaviest(line.backups()));
        if (primaries(line.primary()) > primaries(line.joining()) + 1) {
            grown.remove(line.joining());
            grown.add(0, line.joining());
        }
        return Optional.of(line.with(grown, "", full()));
    }

    private String zone(String id) {
        return Optional.ofNullable(holders.get(id)).map(holder -> holder.member.zone()).orElse("");
    }

    private String heaviest(List<String> copies) {
        return copies.stream().max((a, b) -> Long.compare(copies(a), copies(b))).orElseThrow();
    }

    private long copies(String id) {
        return lines.values().stream().filter(line -> line.has(id)).count();
    }

    private long primaries(String id) {
        return lines.values().stream().filter(line -> line.primary().equals(id)).count();
    }

    private boolean reborn(String gone) {
        return holders.keySet().stream().anyMatch(id -> nodeOf(id).equals(nodeOf(gone)) && !id.equals(gone));
    }

    private Optional<Layout.Line> rescue(Layout.Line line, List<String> keepers, Map<String, Integer> weights) {
        if (!line.copies().stream().allMatch(this::reborn) || keepers.isEmpty()) {
            return Optional.empty();
        }
        var last = alive(line.joining()) ? line.joining() : "";
        LOG.log(System.Logger.Level.ERROR, "code=" + Codes.LINE_LOST.number() + " line " + line.number() + " has no copy left and starts " + (last.isEmpty() ? "empty" : "from what " + last + " has of it"));
        var primary = List.of(last.isEmpty() ? keepers.get(line.number() % keepers.size()) : last);
        return Optional.of(line.with(primary, pick(primary, primary, keepers, weights), full()));
    }

    private String pick(List<String> copies, List<String> avoided, List<String> keepers, Map<String, Integer> weights) {
        var best = "";
        var bestWeight = Long.MAX_VALUE;
        for (var id : keepers) {
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

    private boolean fits(Layout.Line line, String goer, String id, Map<String, Integer> loads) {
        var others = line.copies().stream().filter(copy -> !copy.equals(goer)).toList();
        if (zone(id).equals(zone(goer))) {
            return true;
        }
        var here = others.stream().filter(copy -> zone(copy).equals(zone(id))).count();
        var keeps = others.stream().anyMatch(copy -> zone(copy).equals(zone(goer))) && options.surviveZones() == 0 && full() > 2;
        return (options.surviveZones() > 0 ? here == 0 : here < others.size()) && (!keeps || loads.get(goer) > loads.get(id) + FAR_BALANCE);
    }

    private List<Layout.Line> balance(List<String> keepers) {
        var nowUs = clock.steadyUs();
        if (nowUs - lastBalanceUs < 500_000 || keepers.size() < full()) {
            return List.of();
        }
        lastBalanceUs = nowUs;
        var loads = new HashMap<String, Integer>();
        var leads = new HashMap<String, Integer>();
        keepers.forEach(id -> {
            loads.put(id, 0);
            leads.put(id, 0);
        });
        lines.values().forEach(line -> {
            line.copies().forEach(id -> loads.merge(id, 1, Integer::sum));
            leads.merge(line.primary(), 1, Integer::sum);
        });
        var changes = new ArrayList<Layout.Line>();
        for (var line : lines.values()) {
            if (changes.size() >= BALANCED_AT_ONCE) {
                break;
            }
            balance(line, keepers, loads, leads).ifPresent(changes::add);
        }
        return changes;
    }

    private Optional<Layout.Line> balance(Layout.Line line, List<String> keepers, Map<String, Integer> loads, Map<String, Integer> leads) {
        var idlest = line.backups().stream().min((a, b) -> Integer.compare(leads.getOrDefault(a, 0), leads.getOrDefault(b, 0))).orElseThrow();
        if (leads.get(line.primary()) > leads.getOrDefault(idlest, 0) + 1) {
            leads.merge(line.primary(), -1, Integer::sum);
            leads.merge(idlest, 1, Integer::sum);
            var order = new ArrayList<>(line.copies());
            order.remove(idlest);
            order.add(0, idlest);
            return Optional.of(line.with(order, "", line.need()));
        }
        var heavier = heaviest(line.backups());
        var lightest = keepers.stream().filter(id -> !line.has(id) && fits(line, heavier, id, loads)).min((a, b) -> Integer.compare(loads.get(a), loads.get(b)));
        if (lightest.isEmpty() || loads.get(heavier) <= loads.get(lightest.get()) + 1) {
            return Optional.empty();
        }
        loads.merge(heavier, -1, Integer::sum);
        loads.merge(lightest.get(), 1, Integer::sum);
        return Optional.of(line.with(line.copies(), lightest.get(), line.need()));
    }

    private synchronized void onLevel(Frame frame) {
        joinReports.put(frame.small("line") + "/" + frame.text("node"), frame.number("epoch"));
        if (joinReports.size() > 4096) {
            joinReports.clear();
        }
        if (raft.leadsFreshly()) {
            plan();
        }
    }

    private synchronized void onLost(Frame frame) {
        var line = lines.get(frame.small("line"));
        if (!raft.leadsFreshly() || planning || line == null || line.epoch() != frame.number("epoch")) {
            return;
        }
        var node = frame.text("node");
        if (line.backups().contains(node)) {
            want(without(line, node));
        } else if (node.equals(line.joining())) {
            want(line.with(line.copies(), "", line.need()));
        }
    }

    private synchronized void onReopen(Frame frame) {
        var line = lines.get(frame.small("line"));
        if (!raft.leadsFreshly() || planning || line == null || line.epoch() != frame.number("epoch") || !line.primary().equals(frame.text("node"))) {
            return;
        }
        var live = line.backups().stream().filter(this::alive).toList();
        if (live.isEmpty() && !line.backups().isEmpty() && !settled()) {
            return;
        }
        want(live.isEmpty() ? line.with(List.of(line.primary()), "", afterLoss()) : line.with(live, line.primary(), afterLoss()));
    }

    private Layout.Line without(Layout.Line line, String node) {
        return line.with(line.copies().stream().filter(id -> !id.equals(node)).toList(), alive(node) ? node : "", afterLoss());
    }

    private void want(Layout.Line line) {
        if (wanted.isEmpty()) {
            clock.after(WANTED_US, this::proposeWanted);
        }
        wanted.putIfAbsent(line.number(), line);
    }

    private synchronized void proposeWanted() {
        var changes = List.copyOf(wanted.values());
        wanted.clear();
        if (raft.leadsFreshly() && !planning && !changes.isEmpty()) {
            proposeLines(changes);
        }
    }

    public void replace(byte[] bytes, Optional<Long> base, Consumer<Reply> answer) {
        var elsewhere = elsewhere("/Config.Replace").or(this::gathering);
        if (elsewhere.isPresent()) {
            answer.accept(elsewhere.get());
            return;
        }
        var verdict = judge(bytes, base);
        if (verdict.proper()) {
            propose(bytes, base.orElse(0L), answer);
        } else if (verdict.provable()) {
            raft.confirm(sure -> answer.accept(sure ? refusal(bytes, base) : unclear()));
        } else {
            answer.accept(verdict.reply());
        }
    }

    private synchronized Orders.Verdict judge(byte[] bytes, Optional<Long> base) {
        return orders.judge(bytes, base);
    }

    private Reply refusal(byte[] bytes, Optional<Long> base) {
        var verdict = judge(bytes, base);
        return verdict.proper() ? unclear() : verdict.reply();
    }

    private static Reply unclear() {
        return Reply.of(Codes.NO_LEADER, "unclear; send it again");
    }

    private void propose(byte[] bytes, long base, Consumer<Reply> answer) {
        if (!raft.enough()) {
            LOG.log(System.Logger.Level.ERROR, "code=" + Codes.FEW_VOTERS.number() + " a configuration is taken with " + raft.voters().size() + " voters");
        }
        raft.propose(Frame.of("config").with("base", base).with("bytes", bytes).pack(), done -> answer.accept(done ? outcome(bytes, base) : unclear()));
    }

    private synchronized Reply outcome(byte[] bytes, long base) {
        return orders.outcome(bytes, base);
    }

    private synchronized Optional<Reply> gathering() {
        return !raft.enough() && clock.steadyUs() - ledSinceUs < GATHER_US ? Optional.of(Reply.of(Codes.NO_LEADER, "voters are still gathering")) : Optional.empty();
    }

    private void proven(String target, Consumer<Reply> answer, Runnable then) {
        var elsewhere = elsewhere(target);
        if (elsewhere.isPresent()) {
            answer.accept(elsewhere.get());
            return;
        }
        raft.confirm(sure -> {
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
            return Optional.of(Reply.of(Codes.NO_LEADER, "no leader yet"));
        }
        return Optional.of(new Reply(Codes.ELSEWHERE, "http://" + leader + ":" + Options.portOf(options.control()) + target, new byte[0]));
    }

    public void read(Consumer<Reply> answer) {
        proven("/Config.Read", answer, () -> answer.accept(readNow()));
    }

    private synchronized Reply readNow() {
        return new Reply(Codes.FINE, "", orders.readable());
    }

    public void retire(String node, Consumer<Reply> answer) {
        proven("/Retire.Start/" + node, answer, () -> {
            var refusal = retireRefusal(node);
            if (refusal.isPresent()) {
                answer.accept(refusal.get());
            } else {
                raft.propose(Frame.of("retire").with("node", node).pack(), done -> answer.accept(done ? Reply.of(Codes.FINE) : unclear()));
            }
        });
    }

    private synchronized Optional<Reply> retireRefusal(String node) {
        if (retiring.contains(node)) {
            return Optional.of(Reply.of(Codes.FINE));
        }
        if (!settled()) {
            return Optional.of(Reply.of(Codes.NO_LEADER, "storage nodes are still gathering"));
        }
        if (holders.values().stream().noneMatch(holder -> holder.member.role().equals("keeper") && nodeOf(holder.member.id()).equals(node))) {
            return Optional.of(Reply.of(Codes.NO_NODE, "no storage node " + node));
        }
        if (usableKeepers().stream().filter(id -> !nodeOf(id).equals(node)).count() < full()) {
            return Optional.of(Reply.of(Codes.TOO_FEW, "too few storage nodes would remain"));
        }
        return Optional.empty();
    }

    public void retireState(String node, Consumer<Reply> answer) {
        proven("/Retire.Read/" + node, answer, () -> answer.accept(retireStateNow(node)));
    }

    private synchronized Reply retireStateNow(String node) {
        if (!retiring.contains(node)) {
            return Reply.of(Codes.NO_NODE, "not retiring: " + node);
        }
        var finished = settled() && lines.values().stream().allMatch(line -> standsWithout(line, node));
        return new Reply(Codes.FINE, "", ("{\"State\":\"" + (finished ? "finished" : "running") + "\"}").getBytes(StandardCharsets.UTF_8));
    }

    private boolean standsWithout(Layout.Line line, String node) {
        return !nodeOf(line.joining()).equals(node) && line.copies().size() >= full() && line.copies().stream().allMatch(id -> alive(id) && !nodeOf(id).equals(node));
    }

    public synchronized boolean wantsRoster() {
        if (!raft.leadsFreshly()) {
            return false;
        }
        for (var service : charter().services()) {
            if (!service.pull() && service.endpoint().isEmpty()) {
                return true;
            }
        }
        return false;
    }

    public synchronized void roster(List<Layout.Processor> fresh) {
        var same = fresh.size() == roster.size() && fresh.stream().allMatch(now -> roster.stream().anyMatch(old -> old.id().equals(now.id()) && old.draining() == now.draining()));
        if (!same && raft.leads()) {
            roster = List.copyOf(fresh);
            rosterVersion++;
        }
    }

    public synchronized Map<Integer, Layout.Line> lines() {
        return Map.copyOf(lines);
    }

    public synchronized Charter charter() {
        return orders.charter();
    }
}
