package wellwheel.keeper;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import wellwheel.lantern.Charter;
import wellwheel.lantern.Claim;
import wellwheel.lantern.Clock;
import wellwheel.lantern.Codes;
import wellwheel.lantern.Disk;
import wellwheel.lantern.Frame;
import wellwheel.lantern.Journal;
import wellwheel.lantern.Layout;
import wellwheel.lantern.Options;
import wellwheel.lantern.QueueHistory;
import wellwheel.lantern.Shift;
import wellwheel.lantern.Wire;

public final class KeeperNode implements Wire.Ear {
    private static final System.Logger LOG = System.getLogger("keeper");
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
    private static final long LIVE_BYTES_MOST = 64L << 20;
    private static final long LONG_JOURNAL = 48L << 20;
    private static final int ORPHANS_MOST = 1024;
    private static final long ORPHAN_US = 8_000_000;
    private static final long UNTOLD_US = 60_000;
    private static final int STEP_ROWS_MOST = 400;
    private static final int MESSAGES_MOST = 150_000;
    private static final int DEMANDS_MOST = 4096;
    private static final int ASIDE_MOST = 64;
    private static final int ASKED_MOST = 12;

    private static final class Joining {
        final String node;
        boolean asked;
        boolean spoken;
        boolean level;
        int owed;
        final Set<Message> missing = new LinkedHashSet<>();
        final Set<String> absent = new HashSet<>();
        final Set<String> bodiless = new HashSet<>();
        long askedUs;
        final long sinceUs;
        final long epoch;

        Joining(String node, long epoch, long nowUs) {
            this.node = node;
            this.epoch = epoch;
            this.sinceUs = nowUs;
        }
    }

    private static final class Pending {
        final long seq;
        final Supplier<Frame> record;
        final boolean sync;
        final Set<String> owing = new HashSet<>();
        final Runnable then;
        final long sinceUs;
        long sentUs;
        boolean local;

        Pending(long seq, Supplier<Frame> record, boolean sync, Runnable then, long nowUs) {
            this.seq = seq;
            this.record = record;
            this.sync = sync;
            this.then = then;
            this.sinceUs = nowUs;
            this.sentUs = nowUs;
        }
    }

    private static final class Line {
        final int number;
        Layout.Line place;
        boolean seen;
        Optional<Runnable> askedUnseen = Optional.empty();
        boolean open;
        boolean member;
        boolean comparing;
        long epoch;
        long seq;
        long lastNumber;
        long openedEpoch;
        long low;
        long lowTold;
        long spokeUs;
        final Map<String, Message> messages = new LinkedHashMap<>();
        final Map<String, ArrayDeque<Message>> orders = new HashMap<>();
        final TreeMap<Long, Pending> pending = new TreeMap<>();
        final Map<String, Joining> peers = new LinkedHashMap<>();
        final Map<String, Orphan> orphans = new LinkedHashMap<>();

        Line(int number) {
            this.number = number;
            this.place = Layout.Line.unknown(number);
        }

        boolean whole() {
            return place.whole() && place.backups().stream().allMatch(node -> peers.containsKey(node) && peers.get(node).level);
        }
    }

    private record Orphan(Frame outcome, long untilUs) { }

    private record Timed(long atUs, Message message, long stamp) { }

    private final Options options;
    private final Clock clock;
    private final Wire wire;
    private final Journal journal;
    private final Courier courier;
    private final Random luck;
    private final Claim claim;
    private final Lookout lookout = new Lookout();
    private final Versions versions = new Versions();
    private final QueueHistory history;
    private final Steps steps;
    private final String id;
    private final Map<String, Long> heardUs = new HashMap<>();
    private final Map<String, Long> brokenUs = new HashMap<>();
    private final Map<Integer, Line> lines = new TreeMap<>();
    private final Map<String, Desk> desks = new HashMap<>();
    private final PriorityQueue<Timed> agenda = new PriorityQueue<>((a, b) -> Long.compare(a.atUs(), b.atUs()));
    private long agendaAtUs = Long.MAX_VALUE;
    private long tickedUs;
    private long awakeSinceUs;
    private long inTouchSinceUs;
    private long liveBytes;
    private boolean leaving;
    private boolean rewriting;
    private long rewrittenBytes;
    private int legsRunning;
    private long purgedUs;
    private int asks;
    private String diskId = "";
    private boolean fresh;

    public KeeperNode(Options options, Clock clock, Wire wire, Disk disk, Courier courier, long seed) {
        this.options = options;
        this.clock = clock;
        this.wire = wire;
        this.courier = courier;
        this.luck = new Random(seed);
        this.journal = new Journal(disk, "keeper.journal", options.node());
        journal.replay(record -> recover(Frame.unpack(record)));
        doubtLastEnds();
        if (diskId.isEmpty()) {
            fresh = true;
            diskId = Long.toHexString(luck.nextLong() & 0xffffffffffL);
            journal.append(Frame.of("disk").with("id", diskId).pack(), () -> { });
        }
        id = options.node() + "#" + diskId;
        var life = Long.toHexString(luck.nextLong());
        var seeds = options.seeds().stream().map(Options::hostOf).toList();
        steps = new Steps(clock, this::askStep);
        history = new QueueHistory(options, life, Optional.of(disk), this::coreNowUs);
        claim = new Claim(clock, wire, id, seeds, () -> Frame.of("claim").with("role", "keeper").with("zone", options.zone()).with("leaving", leaving).with("life", life).with("tally", versions.rows()), this::onNews);
    }

    private long coreNowUs() {
        return claim.coreUs();
    }

    private String serviceOf(Message message) {
        return claim.charter().path(message.host, message.target).map(Charter.Path::service).orElse("");
    }

    private void keepHistory() {
        if (!claim.knowsCore()) {
            return;
        }
        history.tick();
        if (!history.flushDue()) {
            return;
        }
        claim.roster().stream().map(Layout.Processor::service).distinct().forEach(service -> history.slots(service, claim.roster().stream().filter(each -> each.service().equals(service)).mapToLong(Layout.Processor::capacity).sum()));
        desks.values().stream().filter(desk -> claim.charter().service(desk.service).map(Charter.Service::pull).orElse(false)).forEach(desk -> history.slots(desk.service, desk.demands.size() + running(desk.service)));
        var waiting = new HashMap<List<String>, Long>();
        lines.values().stream().filter(line -> line.open).flatMap(line -> line.messages.values().stream()).filter(message -> message.waiting() && message.dueUs <= claim.coreUs()).forEach(message -> waiting.merge(List.of(message.tenant, serviceOf(message)), 1L, Long::sum));
        waiting.forEach((key, count) -> history.waits(key.get(0), key.get(1), count));
        var keepers = claim.layout().members("keeper");
        var mine = keepers.stream().map(Layout.Member::id).toList().indexOf(id);
        history.flush().ifPresent(frame -> {
            for (var step = 1; step <= Math.min(options.survive(), keepers.size() - 1); step++) {
                wire.send(keepers.get((mine + step) % keepers.size()).ip(), frame);
            }
        });
    }

    private long running(String service) {
        return lines.values().stream().filter(line -> line.open).flatMap(line -> line.messages.values().stream()).filter(message -> message.running && serviceOf(message).equals(service)).count();
    }

    private void startCounted(Message message, String service) {
        message.legSinceUs = claim.coreUs();
        history.starts(message.tenant, service, message.legSinceUs - Math.max(message.freedUs, message.dueUs), message.aimUs, message.leg == 1);
    }

    private void legCounted(Message message) {
        if (message.legSinceUs > 0 && history.enabled()) {
            history.legEnds(message.tenant, serviceOf(message), claim.coreUs() - message.legSinceUs);
        }
        message.legSinceUs = 0;
    }

    public Claim claim() {
        return claim;
    }

    public String id() {
        return id;
    }

    private void doubtLastEnds() {
        var all = lines.values().stream().flatMap(line -> line.messages.values().stream()).toList();
        var lastUs = all.stream().mapToLong(message -> Math.max(message.acceptedUs, message.endedUs)).max().orElse(0);
        all.stream().filter(message -> message.endedByWorker && message.state == Message.State.FINISHED && message.endedUs > lastUs - UNTOLD_US).forEach(message -> message.untold = true);
    }

    private Line line(int number) {
        return lines.computeIfAbsent(number, Line::new);
    }

    private void recover(Frame record) {
        switch (record.kind()) {
            case "disk" -> diskId = record.text("id");
            case "m", "u" -> upsert(line(record.small("l")), record);
            case "f" -> forget(line(record.small("line")));
            case "x" -> Optional.ofNullable(line(record.small("line")).messages.remove(record.text("id"))).ifPresent(old -> liveBytes -= old.body.length);
            default -> { }
        }
    }

    private Optional<Message> upsert(Line line, Frame record) {
        var message = line.messages.get(record.text("i"));
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
            line.messages.put(message.id, message);
            line.lastNumber = Math.max(line.lastNumber, message.number);
            liveBytes += message.body.length;
        }
        return Optional.ofNullable(message);
    }

    private void forget(Line line) {
        line.messages.values().forEach(message -> {
            liveBytes -= message.body.length;
            leaveBerth(message);
        });
        desks.values().forEach(desk -> desk.removeIf(message -> message.line == line.number));
        line.messages.clear();
        line.orders.clear();
        line.pending.clear();
        line.peers.clear();
        line.comparing = false;
    }

    public synchronized void tick() {
        claim.tick();
        var nowUs = clock.steadyUs();
        noteOwnTrouble(nowUs);
        lines.values().forEach(line -> tickLine(line, nowUs));
        refreshDesks();
        desks.values().forEach(this::pump);
        steps.tick(message -> line(message.line).open && present(line(message.line), message) && message.waiting() && !message.after.isEmpty() && message.heldBy.isEmpty());
        if (history.enabled()) {
            keepHistory();
        }
        if (options.watch()) {
            lookout.report(desks, claim.coreUs()).ifPresent(frame -> report(frame.with("node", id)));
        }
        if (nowUs - purgedUs > 1_000_000) {
            purgedUs = nowUs;
            purge();
            compact();
        }
    }

    private void noteOwnTrouble(long nowUs) {
        if (nowUs - tickedUs > STALL_US) {
            awakeSinceUs = nowUs;
        }
        if (nowUs - tickedUs > STALL_US || claim.ageUs() > LOST_US) {
            inTouchSinceUs = nowUs;
        }
        tickedUs = nowUs;
    }

    private void tickLine(Line line, long nowUs) {
        if (line.seen && !line.open && line.place.primary().equals(id)) {
            report(Frame.of("line.reopen").with("line", line.number).with("epoch", line.place.epoch()).with("node", id));
        }
        if (!line.orphans.isEmpty()) {
            line.orphans.values().removeIf(orphan -> nowUs > orphan.untilUs());
            bringHome(line);
        }
        if (!line.open) {
            return;
        }
        line.peers.values().forEach(join -> tickJoin(line, join, nowUs));
        if (line.pending.isEmpty() && line.lowTold < line.seq && nowUs - line.spokeUs > LULL_US) {
            tellLow(line);
        }
        for (var pending : line.pending.values()) {
            if (pending.owing.isEmpty() || nowUs - pending.sentUs < RESEND_US) {
                continue;
            }
            var backInTouch = pending.sentUs < inTouchSinceUs && inTouchSinceUs < nowUs;
            var again = pending.owing.stream().filter(node -> backInTouch || nowUs - pending.sentUs > RESEND_ALIVE_US || brokenUs.getOrDefault(claim.layout().ipOf(node), Long.MIN_VALUE) >= pending.sentUs).toList();
            if (!again.isEmpty()) {
                pending.sentUs = nowUs;
                again.forEach(node -> sendRep(line, pending, node));
            }
            pending.owing.stream().filter(node -> overdue(node, pending.sinceUs, nowUs)).toList().forEach(node -> reportLost(line, node));
        }
    }

    private boolean overdue(String node, long sinceUs, long nowUs) {
        var silentUs = nowUs - Math.max(Math.max(sinceUs, inTouchSinceUs), heardUs.getOrDefault(claim.layout().ipOf(node), Long.MIN_VALUE / 2));
        return silentUs > LOST_US || nowUs - Math.max(sinceUs, awakeSinceUs) > OVERDUE_US;
    }

    private void tickJoin(Line line, Joining join, long nowUs) {
        if (join.level && join.node.equals(line.place.joining())) {
            report(Frame.of("line.level").with("line", line.number).with("epoch", line.place.epoch()).with("node", join.node));
        } else if (!join.spoken && nowUs - join.askedUs > RESEND_US) {
            if (nowUs - join.askedUs > RESEND_ALIVE_US || brokenUs.getOrDefault(claim.layout().ipOf(join.node), Long.MIN_VALUE) >= join.askedUs) {
                askJoin(line, join);
            }
            if (nowUs - join.sinceUs > 2 * LOST_US && overdue(join.node, join.sinceUs, nowUs)) {
                reportLost(line, join.node);
            }
        }
    }

    private void report(Frame frame) {
        wire.send(claim.pilot(), frame);
    }

    private void reportLost(Line line, String node) {
        report(Frame.of("line.lost").with("line", line.number).with("epoch", line.place.epoch()).with("node", node));
    }

    private synchronized void onNews() {
        versions.take(claim.shifts(), claim.coreUs());
        for (var place : claim.layout().lines()) {
            var line = line(place.number());
            if (place.version() > line.place.version()) {
                moved(line, place);
                line.askedUnseen.ifPresent(Runnable::run);
                line.askedUnseen = Optional.empty();
            }
        }
        refreshDesks();
        desks.values().forEach(this::pump);
    }

    private void moved(Line line, Layout.Line place) {
        var first = !line.seen;
        var old = line.place;
        line.place = place;
        line.seen = true;
        if (place.epoch() < line.epoch) {
            return;
        }
        line.epoch = place.epoch();
        var mine = place.primary().equals(id);
        if (!mine) {
            stepDown(line);
            bringHome(line);
        }
        if (!place.has(id)) {
            line.member = false;
            if (place.whole() && !line.messages.isEmpty()) {
                forget(line);
                journal.append(Frame.of("f").with("line", line.number).pack(), () -> { });
            }
            return;
        }
        var newborn = place.epoch() == 1 && fresh;
        line.member |= newborn;
        if (!mine) {
            return;
        }
        if (!line.open && (!first || newborn)) {
            open(line);
        }
        if (line.open) {
            reconcile(line, old);
        }
    }

    private void stepDown(Line line) {
        if (!line.open) {
            return;
        }
        line.open = false;
        line.comparing = false;
        line.low = low(line);
        line.pending.clear();
        line.peers.clear();
        line.orders.clear();
        line.messages.values().forEach(message -> {
            if (message.settling && message.endedLease.equals(message.lease) && !message.lease.isEmpty()) {
                var result = message.state == Message.State.FINISHED ? Courier.Result.DONE : message.waiting() ? Courier.Result.FAILED : Courier.Result.REFUSED;
                orphan(line, message, message.lease, result, message.seal);
            }
            message.stamp++;
            leaveBerth(message);
            message.settling = false;
            message.doubted = false;
            message.settleWaiters.clear();
            var waiters = List.copyOf(message.keptWaiters);
            message.keptWaiters.clear();
            waiters.forEach(waiter -> waiter.accept(false));
        });
        desks.values().forEach(desk -> desk.removeIf(message -> message.line == line.number));
    }

    private void open(Line line) {
        line.open = true;
        line.openedEpoch = line.epoch;
        var wasMember = line.member;
        line.member = true;
        var nowUs = claim.coreUs();
        var ordered = new ArrayList<>(line.messages.values());
        ordered.sort((a, b) -> Long.compare(a.number, b.number));
        var unsure = new HashSet<>(ordered.stream().filter(message -> wasMember && message.seq > line.low).toList());
        line.comparing = !wasMember && line.place.whole() && !line.place.backups().isEmpty();
        line.seq = Math.max(line.seq, line.epoch << 32);
        for (var message : ordered) {
            message.kept = !unsure.contains(message) && !line.comparing;
            message.settling = unsure.contains(message);
            message.rev = message.settling ? Math.max(message.rev, line.epoch << 20) : message.rev;
            message.doubted = line.comparing;
            if (message.waiting()) {
                enlist(line, message);
                var maybeRunning = !message.lease.isEmpty() && !message.lease.equals(message.endedLease);
                if (maybeRunning || !wasMember) {
                    message.nextUs = Math.max(message.nextUs, nowUs + legTimeUs(message));
                }
                message.running = false;
            }
        }
        for (var message : ordered) {
            if (message.waiting()) {
                arrange(line, message);
            }
        }
        ordered.stream().filter(unsure::contains).forEach(message -> replicate(line, message, message::whole, true, () -> {
            message.kept |= line.whole();
            message.settling = false;
            keptNow(line, message);
            runSettleWaiters(message);
            arrange(line, message);
        }));
        desks.values().forEach(desk -> {
            desk.tokens = 0;
            desk.tokensAtUs = nowUs;
        });
    }

    private long legTimeUs(Message message) {
        var path = claim.charter().path(message.host, message.target);
        var pulled = path.flatMap(p -> claim.charter().service(p.service())).map(Charter.Service::pull).orElse(true);
        return pulled ? options.visibleUs() + 50_000 : path.get().giveUpUs() + LEG_SLACK_US;
    }

    private void enlist(Line line, Message message) {
        if (!message.orderKey.isEmpty()) {
            line.orders.computeIfAbsent(message.orderName(), name -> new ArrayDeque<>()).addLast(message);
        }
    }

    private void reconcile(Line line, Layout.Line old) {
        var place = line.place;
        if (place.epoch() > old.epoch() + 1) {
            line.peers.clear();
        }
        if (place.whole() != old.whole()) {
            LOG.log(System.Logger.Level.DEBUG, "line " + line.number + " epoch " + place.epoch() + (place.whole() ? " is whole" : " has too few copies"));
        }
        var members = new ArrayList<>(place.backups());
        if (!place.joining().isEmpty()) {
            members.add(place.joining());
        }
        line.peers.keySet().retainAll(members);
        if (!place.joining().equals(old.joining()) && old.has(place.joining())) {
            line.peers.remove(place.joining());
        }
        members.stream().filter(node -> !line.peers.containsKey(node)).forEach(node -> meet(line, node));
        for (var pending : List.copyOf(line.pending.values())) {
            pending.owing.retainAll(members);
            pending.sentUs = clock.steadyUs();
            pending.owing.forEach(node -> sendRep(line, pending, node));
            settle(line, pending);
        }
        if (line.comparing && (line.whole() || !place.whole())) {
            compared(line);
        }
        if (line.whole() && !old.backups().equals(place.backups())) {
            keepAll(line);
        }
    }

    private void compared(Line line) {
        line.comparing = false;
        for (var message : List.copyOf(line.messages.values())) {
            if (message.doubted) {
                message.doubted = false;
                message.kept |= line.whole();
                if (message.kept) {
                    flushWaiters(message);
                }
                if (!message.settling) {
                    runSettleWaiters(message);
                    tellSteps(message);
                }
                arrange(line, message);
            }
        }
    }

    private void meet(Line line, String node) {
        var join = new Joining(node, line.place.epoch(), clock.steadyUs());
        line.peers.put(node, join);
        if (line.place.epoch() == 1) {
            join.spoken = true;
            join.level = true;
        } else {
            askJoin(line, join);
        }
    }

    private void keepAll(Line line) {
        for (var message : List.copyOf(line.messages.values())) {
            if (message.kept) {
                flushWaiters(message);
            } else {
                replicate(line, message, message::whole, true, () -> keptNow(line, message));
            }
        }
    }

    private void flushWaiters(Message message) {
        var waiters = List.copyOf(message.keptWaiters);
        message.keptWaiters.clear();
        waiters.forEach(waiter -> waiter.accept(true));
    }

    private void askJoin(Line line, Joining join) {
        join.asked = true;
        join.askedUs = clock.steadyUs();
        send(join.node, Frame.of("join.ask").with("line", line.number).with("epoch", line.place.epoch()));
    }

    private void send(String node, Frame frame) {
        var ip = claim.layout().ipOf(node);
        if (!ip.isEmpty()) {
            wire.send(ip, frame);
        }
    }

    private void replicate(Line line, Message message, Supplier<Frame> record, boolean sync, Runnable then) {
        line.peers.values().stream().filter(join -> join.missing.contains(message)).toList().forEach(join -> handOver(line, join, message));
        var pending = new Pending(++line.seq, record, sync, then, clock.steadyUs());
        line.pending.put(pending.seq, pending);
        message.seq = pending.seq;
        message.epoch = line.place.epoch();
        pending.owing.addAll(line.place.backups());
        line.peers.values().stream().filter(join -> join.spoken).forEach(join -> pending.owing.add(join.node));
        pending.owing.forEach(node -> sendRep(line, pending, node));
        if (!sync) {
            pending.local = true;
            settle(line, pending);
            return;
        }
        journal.append(record.get().pack(), () -> {
            synchronized (this) {
                pending.local = true;
                settle(line, pending);
            }
        });
    }

    private void sendRep(Line line, Pending pending, String node) {
        send(node, Frame.of("rep").with("l", line.number).with("e", line.place.epoch()).with("s", pending.seq).with("y", pending.sync).with("w", pending.seq - low(line)).with("c", pending.record.get()));
        line.lowTold = low(line);
        line.spokeUs = clock.steadyUs();
    }

    private static long low(Line line) {
        return line.pending.isEmpty() ? line.seq : line.pending.firstKey() - 1;
    }

    private void tellLow(Line line) {
        line.lowTold = line.seq;
        var frame = Frame.of("rep.low").with("line", line.number).with("epoch", line.place.epoch()).with("low", line.seq);
        line.peers.values().stream().filter(join -> join.spoken).forEach(join -> send(join.node, frame));
    }

    private void onRepLow(Frame frame) {
        var line = line(frame.small("line"));
        if (!line.open && line.member && frame.number("epoch") == line.epoch) {
            line.low = Math.max(line.low, frame.number("low"));
        }
    }

    private void settle(Line line, Pending pending) {
        if (pending.local && pending.owing.isEmpty() && line.pending.remove(pending.seq) != null) {
            pending.then.run();
        }
    }

    @Override
    public synchronized void onFrame(String from, Frame frame) {
        switch (frame.kind()) {
            case "claim.ok", "claim.no", "news" -> claim.onFrame(from, frame);
            case "rep" -> onRep(from, frame);
            case "rep.low" -> onRepLow(frame);
            case "ok" -> onRepOk(from, frame);
            case "rep.no" -> onRepNo(frame);
            case "join.ask" -> onJoinAsk(from, frame);
            case "join.have" -> onJoinHave(frame);
            case "join.drop" -> onJoinDrop(frame);
            case "put" -> onPut(from, frame);
            case "look" -> onLook(from, frame);
            case "end" -> onEnd(from, frame);
            case "extend" -> onExtend(from, frame);
            case "demand" -> onDemand(from, frame);
            case "withdraw" -> onWithdraw(from, frame);
            case "giveback" -> onGiveBack(frame);
            case "outcome" -> onForwarded(from, frame);
            case "outcome.ok" -> onOutcomeOk(frame);
            case "step.ask" -> onStepAsk(from, frame);
            case "step.ok" -> stepTold(frame.text("step"), Steps.Ended.values()[Math.floorMod(frame.small("ended"), Steps.Ended.values().length)]);
            case "steps.read" -> onStepsRead(from, frame);
            case "steps.order" -> onStepsOrder(from, frame);
            case "history.keep" -> history.keep(frame);
            case "history.ask" -> wire.send(from, history.answer(frame));
            case "watch.ask" -> wire.send(from, lookout.rows(desks, frame.texts("services"), claim.coreUs()).with("node", id));
            default -> { }
        }
    }

    @Override
    public synchronized void onDown(String ip) {
        claim.onDown(ip);
        if (brokenUs.size() > HOSTS_MOST) {
            brokenUs.clear();
        }
        brokenUs.put(ip, clock.steadyUs());
        desks.values().forEach(desk -> desk.demands.removeIf(demand -> demand.galleryIp().equals(ip)));
    }

    @Override
    public synchronized void onUnsent(String ip, Frame frame) {
        brokenUs.put(ip, clock.steadyUs());
        if (frame.kind().equals("job")) {
            onGiveBack(frame);
        }
    }

    private void onRep(String from, Frame frame) {
        var line = line(frame.small("l"));
        var epoch = frame.number("e");
        var seq = frame.number("s");
        var answer = Frame.of("rep.no").with("l", line.number).with("e", Math.max(line.epoch, epoch)).with("from", id);
        if (epoch < line.epoch || line.open && epoch == line.epoch) {
            wire.send(from, answer.with("why", "stale"));
            return;
        }
        if (epoch > line.epoch) {
            line.epoch = epoch;
            stepDown(line);
        }
        if (!line.member) {
            wire.send(from, answer.with("why", "unjoined"));
            return;
        }
        var record = frame.inner("c");
        if (!record.has("ep")) {
            record.with("ep", epoch);
        }
        line.seq = Math.max(line.seq, seq);
        var message = upsert(line, record);
        if (message.isEmpty() && record.small("st") == Message.State.WAITING.ordinal()) {
            wire.send(from, answer.with("why", "unjoined"));
            return;
        }
        line.low = Math.max(line.low, seq - frame.number("w"));
        message.ifPresent(each -> each.seq = Math.max(each.seq, seq));
        var ok = Frame.of("ok").with("l", line.number).with("s", seq);
        if (frame.flag("y")) {
            journal.append(record.pack(), () -> wire.send(from, ok));
        } else {
            wire.send(from, ok);
        }
    }

    private void onRepOk(String from, Frame frame) {
        var line = line(frame.small("l"));
        var pending = line.pending.get(frame.number("s"));
        if (!line.open || pending == null) {
            return;
        }
        if (heardUs.size() > HOSTS_MOST) {
            heardUs.clear();
        }
        heardUs.put(from, clock.steadyUs());
        pending.owing.removeIf(node -> claim.layout().ipOf(node).equals(from));
        settle(line, pending);
    }

    private void onRepNo(Frame frame) {
        var line = line(frame.small("l"));
        if (!line.open) {
            return;
        }
        if (frame.number("e") > line.epoch) {
            line.epoch = frame.number("e");
            stepDown(line);
            claim.renew();
        } else if (frame.text("why").equals("unjoined") && Optional.ofNullable(line.peers.get(frame.text("from"))).map(join -> join.spoken).orElse(false)) {
            reportLost(line, frame.text("from"));
        }
    }

    private void onJoinAsk(String from, Frame frame) {
        var line = line(frame.small("line"));
        var epoch = frame.number("epoch");
        if (!line.seen) {
            line.askedUnseen = Optional.of(() -> onJoinAsk(from, frame));
            return;
        }
        if (epoch < line.epoch || line.open && epoch <= line.epoch) {
            return;
        }
        line.epoch = epoch;
        stepDown(line);
        line.member = true;
        line.low = 0;
        var have = new ArrayList<Object>();
        line.messages.values().forEach(message -> have.add(new Frame().with("id", message.id).with("v", message.version())
            .with("seal", message.seal).with("state", message.state.ordinal()).with("w", message.endedByWorker).with("nb", message.body.length == 0)));
        var answer = Frame.of("join.have").with("line", line.number).with("epoch", epoch).with("have", have).with("from", id);
        journal.append(Frame.of("j").with("line", line.number).with("epoch", epoch).pack(), () -> {
            synchronized (this) {
                if (line.member && line.epoch == epoch) {
                    wire.send(from, answer);
                }
            }
        });
    }

    private void onJoinHave(Frame frame) {
        var line = line(frame.small("line"));
        var waited = Optional.ofNullable(line.peers.get(frame.text("from"))).filter(each -> !each.spoken && each.epoch <= frame.number("epoch"));
        if (!line.open || waited.isEmpty()) {
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
            var known = line.messages.get(each.text("id"));
            if (known == null) {
                extra.add(each.text("id"));
            } else if (known.waiting() && !each.flag("w") && each.small("state") == Message.State.FINISHED.ordinal() && !known.settling) {
                finish(line, known, Message.State.FINISHED, each.text("seal"), "", () -> { });
            }
        }
        send(join.node, Frame.of("join.drop").with("line", line.number).with("epoch", line.place.epoch()).with("ids", extra));
        heardUs.put(claim.layout().ipOf(join.node), clock.steadyUs());
        for (var message : line.messages.values()) {
            var theirs = have.get(message.id);
            if (theirs == null || !theirs.equals(message.version()) || message.waiting() && !message.lease.isEmpty()) {
                if (theirs != null && !theirs.equals(message.version())) {
                    message.epoch = line.place.epoch();
                    message.rev = Math.max(message.rev, line.epoch << 20);
                }
                join.missing.add(message);
            }
            if (theirs == null) {
                join.absent.add(message.id);
            }
        }
        join.owed = 1;
        levelled(line, join);
    }

    private void handOver(Line line, Joining join, Message message) {
        join.missing.remove(message);
        if (line.messages.get(message.id) != message) {
            return;
        }
        join.owed++;
        var absent = join.absent.contains(message.id);
        var bodiless = join.bodiless.contains(message.id);
        Supplier<Frame> record = () -> absent || bodiless && message.state != Message.State.FINISHED ? message.whole() : message.change();
        var pending = new Pending(++line.seq, record, true, () -> levelled(line, join), clock.steadyUs());
        pending.local = true;
        pending.owing.add(join.node);
        line.pending.put(pending.seq, pending);
        sendRep(line, pending, join.node);
    }

    private void levelled(Line line, Joining join) {
        join.owed--;
        if (line.peers.get(join.node) != join) {
            return;
        }
        while (join.owed < HANDED_AT_ONCE && !join.missing.isEmpty()) {
            handOver(line, join, join.missing.iterator().next());
        }
        if (join.owed == 0) {
            join.level = true;
            tickJoin(line, join, clock.steadyUs());
            if (line.place.backups().contains(join.node) && line.whole()) {
                if (line.comparing) {
                    compared(line);
                }
                keepAll(line);
            }
        }
    }

    private void onJoinDrop(Frame frame) {
        var line = line(frame.small("line"));
        if (frame.number("epoch") < line.epoch || line.open) {
            return;
        }
        frame.texts("ids").forEach(each -> Optional.ofNullable(line.messages.remove(each)).ifPresent(old -> {
            liveBytes -= old.body.length;
            journal.append(Frame.of("x").with("line", line.number).with("id", each).pack(), () -> { });
        }));
    }

    private void onPut(String from, Frame frame) {
        var line = line(frame.small("l"));
        var rid = frame.number("rid");
        var known = line.messages.get(frame.text("i"));
        if (!line.open || known != null && !known.isHandInOf(frame) || known == null && (!line.whole() || leaving && !line.place.primary().equals(id) || liveBytes > LIVE_BYTES_MOST || liveMessages() > MESSAGES_MOST)) {
            wire.send(from, Frame.of("put.ok").with("rid", rid).with("r", "no"));
            return;
        }
        if (known != null) {
            answerPut(line, known, from, rid);
            return;
        }
        var nowUs = claim.coreUs();
        frame.with("v", line.epoch << 20).with("n", ++line.lastNumber).with("a", nowUs).with("d", nowUs + frame.number("delay")).with("x", nowUs + frame.number("keep"));
        var message = new Message(frame);
        line.messages.put(message.id, message);
        liveBytes += message.body.length;
        message.nextUs = message.dueUs;
        if (history.enabled()) {
            history.arrived(message.tenant, serviceOf(message), message.dueUs);
        }
        enlist(line, message);
        answerPut(line, message, from, rid);
        replicate(line, message, message::whole, true, () -> keptNow(line, message));
    }

    private void answerPut(Line line, Message message, String from, long rid) {
        if (message.kept && line.whole()) {
            wire.send(from, Frame.of("put.ok").with("rid", rid).with("r", "kept"));
            return;
        }
        message.keptWaiters.add(kept -> {
            if (kept) {
                wire.send(from, Frame.of("put.ok").with("rid", rid).with("r", "kept"));
            }
        });
    }

    private void keptNow(Line line, Message message) {
        if (!line.whole()) {
            return;
        }
        message.kept = true;
        flushWaiters(message);
        arrange(line, message);
    }

    private void onLook(String from, Frame frame) {
        var answer = Frame.of("look.ok").with("rid", frame.number("rid"));
        var found = frame.small("line") >= 0 ? Optional.ofNullable(line(frame.small("line")).messages.get(frame.text("id"))) : anywhere(frame.text("id"));
        var seen = found.filter(message -> message.tenant.equals(frame.text("tenant")) && (frame.flag("any") || message.host.equals(frame.text("host"))));
        var sure = frame.small("line") < 0 ? claim.ageUs() < 1_000_000 : line(frame.small("line")).open;
        answer.with("sure", sure).with("found", seen.isPresent());
        if (seen.filter(message -> (message.settling || message.doubted) && message.state == Message.State.FINISHED && message.body.length == 0).isPresent()) {
            return;
        }
        seen.ifPresent(message -> {
            var authority = line(message.line).open;
            var settled = message.waiting() || !message.settling && !message.doubted && !message.untold;
            answer.with("state", settled ? message.state.ordinal() : 0).with("seal", settled ? message.seal : "").with("authority", authority);
            if (frame.flag("any")) {
                answer.with("step", Steps.name(message));
            }
            if (frame.flag("body")) {
                answer.with("body", message.body).with("type", message.contentType);
            }
        });
        wire.send(from, answer);
    }

    private Optional<Message> anywhere(String wanted) {
        Optional<Message> found = Optional.empty();
        for (var line : lines.values()) {
            var message = line.messages.get(wanted);
            if (message != null && (line.open || found.isEmpty())) {
                found = Optional.of(message);
            }
        }
        return found;
    }

    private static boolean present(Line line, Message message) {
        return line.messages.get(message.id) == message;
    }

    private void arrange(Line line, Message message) {
        if (!line.open || !present(line, message) || !message.waiting() || message.running || message.queued || message.settling || message.doubted) {
            return;
        }
        var nowUs = claim.coreUs();
        if (!message.orderKey.isEmpty() && line.orders.get(message.orderName()).peekFirst() != message) {
            return;
        }
        if (nowUs >= message.expireUs) {
            fail(line, message, "its KeepForS is over");
            return;
        }
        if (waitsForSteps(line, message)) {
            return;
        }
        var atUs = Math.max(message.nextUs, message.dueUs);
        if (atUs > nowUs) {
            agenda.add(new Timed(Math.min(atUs, message.expireUs), message, ++message.stamp));
            armAgenda();
            return;
        }
        offer(line, message);
    }

    private boolean waitsForSteps(Line line, Message message) {
        if (message.after.isEmpty() && message.heldBy.isEmpty()) {
            return false;
        }
        for (var step : message.after) {
            var ended = endedHere(step);
            if (message.heldBy.isEmpty() && ended != Steps.Ended.NOT_YET) {
                stepEnded(line, message, step, ended);
            }
        }
        if (message.heldBy.isEmpty()) {
            steps.await(message);
        }
        return !message.after.isEmpty() || !message.heldBy.isEmpty();
    }

    private Steps.Ended endedHere(String step) {
        var line = Steps.lineOf(step).map(lines::get).filter(each -> each != null && each.open);
        return line.isEmpty() ? Steps.Ended.NOT_YET : ended(line.get().messages.get(Steps.idOf(step)));
    }

    private static Steps.Ended ended(Message message) {
        if (message == null) {
            return Steps.Ended.FORGOTTEN;
        }
        if (message.waiting() || message.settling || message.doubted) {
            return Steps.Ended.NOT_YET;
        }
        return message.state == Message.State.FINISHED ? Steps.Ended.WELL : Steps.Ended.FAILED;
    }

    private void stepEnded(Line line, Message message, String step, Steps.Ended ended) {
        message.rev++;
        if (ended == Steps.Ended.WELL) {
            message.after = message.after.stream().filter(each -> !each.equals(step)).toList();
            message.freedUs = claim.coreUs();
            replicate(line, message, message::change, true, () -> { });
            return;
        }
        message.heldBy = step;
        LOG.log(System.Logger.Level.WARNING, "code=" + Codes.STEP_HOLDS.number() + " " + Steps.name(message) + " is held: step " + step + (ended == Steps.Ended.FAILED ? " failed" : " is not known any more"));
        replicate(line, message, message::change, true, () -> { });
    }

    private void askStep(String step) {
        Steps.lineOf(step).flatMap(number -> claim.line(number)).ifPresent(place -> send(place.primary(), Frame.of("step.ask").with("step", step)));
    }

    private void onStepAsk(String from, Frame frame) {
        var step = frame.text("step");
        var line = Steps.lineOf(step).map(lines::get).filter(each -> each != null && each.open);
        if (line.isEmpty()) {
            return;
        }
        var ended = ended(line.get().messages.get(Steps.idOf(step)));
        if (ended == Steps.Ended.NOT_YET) {
            steps.subscribe(step, from);
        } else {
            wire.send(from, Frame.of("step.ok").with("step", step).with("ended", ended.ordinal()));
        }
    }

    private void stepTold(String step, Steps.Ended ended) {
        if (ended == Steps.Ended.NOT_YET) {
            return;
        }
        for (var message : steps.take(step)) {
            var line = line(message.line);
            if (line.open && present(line, message) && message.waiting() && message.after.contains(step) && message.heldBy.isEmpty()) {
                stepEnded(line, message, step, ended);
                arrange(line, message);
            }
        }
    }

    private void tellSteps(Message message) {
        if (steps.none()) {
            return;
        }
        var step = Steps.name(message);
        var ended = ended(message);
        if (ended == Steps.Ended.NOT_YET || !steps.relied(step)) {
            return;
        }
        steps.unsubscribeAll(step).forEach(ip -> wire.send(ip, Frame.of("step.ok").with("step", step).with("ended", ended.ordinal())));
        stepTold(step, ended);
    }

    private void onStepsRead(String from, Frame frame) {
        var rows = new ArrayList<Frame>();
        if (frame.flag("failed")) {
            failedSteps(rows);
        }
        for (var asked : frame.texts("steps")) {
            lines.values().stream().filter(line -> line.open).forEach(line -> {
                var id = Steps.lineOf(asked).filter(number -> number == line.number).isPresent() ? Steps.idOf(asked) : asked;
                Optional.ofNullable(line.messages.get(id)).ifPresent(message -> {
                    rows.add(stepRow(line, message, "", ""));
                    followers(line, message).forEach(later -> rows.add(stepRow(line, later, Steps.name(message), "order")));
                });
                line.messages.values().stream().filter(later -> later.waiting() && (later.after.contains(asked) || later.heldBy.equals(asked))).forEach(later -> rows.add(stepRow(line, later, asked, "named")));
            });
        }
        var rest = Math.max(0, rows.size() - STEP_ROWS_MOST);
        wire.send(from, Frame.of("steps.rows").with("rid", frame.number("rid")).with("rows", List.<Object>copyOf(rows.subList(0, rows.size() - rest))).with("rest", rest));
    }

    private List<Message> followers(Line line, Message message) {
        var order = message.orderKey.isEmpty() ? null : line.orders.get(message.orderName());
        return order == null ? List.of() : order.stream().dropWhile(each -> each != message).skip(1).toList();
    }

    private void failedSteps(List<Frame> rows) {
        for (var line : lines.values()) {
            if (!line.open) {
                continue;
            }
            for (var message : line.messages.values()) {
                if (message.waiting() && !message.lastOutcome.isEmpty() && (steps.relied(Steps.name(message)) || !followers(line, message).isEmpty())) {
                    rows.add(stepRow(line, message, "", ""));
                } else if (message.waiting() && !message.heldBy.isEmpty()) {
                    rows.add(stepRow(line, message, message.heldBy, "named"));
                } else if (message.waiting()) {
                    message.after.forEach(step -> rows.add(stepRow(line, message, step, "waits")));
                }
            }
        }
    }

    private Frame stepRow(Line line, Message message, String of, String how) {
        var nowUs = claim.coreUs();
        return new Frame().with("k", Steps.name(message)).with("t", message.tenant).with("s", serviceOf(message)).with("st", message.state.ordinal()).with("w", message.ranAt)
            .with("o", message.state == Message.State.FINISHED ? "ran" : message.running ? "runs now" : message.lastOutcome.isEmpty() ? message.leg == 0 ? "not run yet" : "may have run" : message.lastOutcome)
            .with("at", List.<Object>copyOf(message.attempts)).with("n", Math.max(0, Math.max(message.nextUs, message.dueUs) - nowUs)).with("aim", Math.max(0, message.dueUs + message.aimUs - nowUs)).with("of", of).with("how", how).with("h", hold(line, message, nowUs)).with("f", followers(line, message).size());
    }

    private String hold(Line line, Message message, long nowUs) {
        if (!message.waiting()) {
            return "";
        }
        if (!message.heldBy.isEmpty()) {
            return "held until an operator decides: step " + message.heldBy + " failed or is forgotten";
        }
        if (!message.after.isEmpty()) {
            return "waits for step " + String.join(", ", message.after);
        }
        var order = message.orderKey.isEmpty() ? null : line.orders.get(message.orderName());
        if (order != null && order.peekFirst() != message) {
            return "waits for " + Steps.name(order.peekFirst()) + ", which is before it in its order";
        }
        if (message.running) {
            return "runs at " + (message.ranAt.isEmpty() ? "a worker" : message.ranAt) + "; another runs it only if this one fails or stays silent";
        }
        if (message.dueUs > nowUs) {
            return "its delay is not over";
        }
        return message.nextUs > nowUs ? "waits before its next attempt, by whichever machine is free then" : "waits for a free machine";
    }

    private void onStepsOrder(String from, Frame frame) {
        var step = frame.text("step");
        var answer = Frame.of("steps.done").with("rid", frame.number("rid"));
        var line = Steps.lineOf(step).map(lines::get).filter(each -> each != null && each.open);
        var message = line.map(each -> each.messages.get(Steps.idOf(step)));
        if (message.isEmpty() || !message.get().waiting()) {
            wire.send(from, answer.with("r", line.isPresent() ? "none" : "elsewhere"));
        } else if (message.get().after.isEmpty() && message.get().heldBy.isEmpty()) {
            wire.send(from, answer.with("r", "free"));
        } else if (frame.flag("drop")) {
            finish(line.get(), message.get(), Message.State.FAILED, "", "", () -> wire.send(from, answer.with("r", "done")));
        } else {
            release(line.get(), message.get(), () -> wire.send(from, answer.with("r", "done")));
        }
    }

    private void release(Line line, Message message, Runnable then) {
        message.after = List.of();
        message.heldBy = "";
        message.freedUs = claim.coreUs();
        message.rev++;
        replicate(line, message, message::change, true, () -> {
            then.run();
            arrange(line, message);
        });
    }

    private void armAgenda() {
        var first = agenda.peek();
        if (first == null || first.atUs() >= agendaAtUs) {
            return;
        }
        agendaAtUs = first.atUs();
        clock.after(Math.max(500, first.atUs() - claim.coreUs()), this::runAgenda);
    }

    private synchronized void runAgenda() {
        agendaAtUs = Long.MAX_VALUE;
        var nowUs = claim.coreUs();
        while (!agenda.isEmpty() && agenda.peek().atUs() <= nowUs) {
            var timed = agenda.poll();
            if (timed.stamp() == timed.message().stamp) {
                arrange(line(timed.message().line), timed.message());
            }
        }
        armAgenda();
    }

    private void offer(Line line, Message message) {
        var path = claim.charter().path(message.host, message.target);
        if (path.isEmpty()) {
            if (claim.charter().revision() > 0) {
                fail(line, message, "its path was dropped");
            }
            return;
        }
        message.aimUs = path.get().startAimUs();
        var desk = desks.computeIfAbsent(path.get().service(), Desk::new);
        desk.offer(message, path.get().rank(), claim.coreUs());
        pump(desk);
    }

    private boolean mayStart() {
        return claim.ageUs() < LEG_FRESH_US;
    }

    private void refreshDesks() {
        var keepers = Math.max(1, claim.layout().members("keeper").size());
        for (var desk : desks.values()) {
            var service = claim.charter().service(desk.service);
            if (service.isEmpty() || service.get().pull()) {
                continue;
            }
            if (service.get().endpoint().isEmpty()) {
                desk.berthsOf(claim.roster(), 1.0 / keepers);
            } else if (!desk.berths.containsKey(service.get().endpoint())) {
                desk.berths.clear();
                var processor = new Layout.Processor("", desk.service, service.get().endpoint(), "", 8, false, 0, "");
                desk.berths.put(service.get().endpoint(), new Desk.Berth(service.get().endpoint(), processor, 8));
            }
        }
    }

    private void pump(Desk desk) {
        if (desk.empty() || !mayStart()) {
            return;
        }
        var service = claim.charter().service(desk.service);
        if (service.isEmpty()) {
            return;
        }
        var shift = versions.of(desk.service);
        if (shift.isPresent()) {
            refreshDesks();
            pumpShifted(desk, service.get(), shift.get());
        } else if (service.get().pull()) {
            pumpPull(desk);
        } else {
            if (desk.berths.isEmpty()) {
                refreshDesks();
            }
            pumpPush(desk, service.get());
        }
    }

    private int tries(Message message) {
        return claim.charter().path(message.host, message.target).map(Charter.Path::tries).orElse(Integer.MAX_VALUE);
    }

    private void pumpShifted(Desk desk, Charter.Service service, Shift shift) {
        var aside = new ArrayList<Message>();
        var nowUs = claim.coreUs();
        desk.berths.values().forEach(berth -> versions.sees(desk.service, berth.processor.version(), nowUs));
        desk.demands.removeIf(demand -> demand.expiresUs() <= clock.steadyUs());
        while (!desk.empty() && aside.size() < ASIDE_MOST && (service.pull() ? !desk.demands.isEmpty() : hasToken(desk, service, nowUs))) {
            var picked = pick(desk);
            if (picked.isEmpty()) {
                break;
            }
            var started = service.pull() ? handOutShifted(desk, shift, picked.get(), nowUs) : pushShifted(desk, service, shift, picked.get(), nowUs);
            if (!started) {
                aside.add(picked.get());
            }
        }
        desk.putBack(aside);
        if (service.pull() && !desk.empty()) {
            askDemand(desk);
        }
    }

    private boolean handOutShifted(Desk desk, Shift shift, Message message, long nowUs) {
        Desk.Demand best = null;
        var bestOrder = Versions.NEVER;
        for (var demand : desk.demands) {
            var order = versions.order(shift, message, tries(message), demand.version(), nowUs);
            if (order < bestOrder) {
                best = demand;
                bestOrder = order;
            }
        }
        if (best == null) {
            return false;
        }
        var chosen = best;
        desk.demands.remove(chosen);
        handOutTo(desk, message, chosen);
        return true;
    }

    private boolean pushShifted(Desk desk, Charter.Service service, Shift shift, Message message, long nowUs) {
        for (var order = 0; order < Versions.NEVER; order++) {
            var wanted = order;
            var berth = choose(desk, nowUs, each -> versions.order(shift, message, tries(message), each.processor.version(), nowUs) == wanted);
            if (berth.isPresent()) {
                pushTo(desk, service, berth.get(), message);
                return true;
            }
        }
        return false;
    }

    private void runs(Message message, String service, String version) {
        message.ranVersion = version;
        message.spentOnNew |= versions.of(service).map(shift -> !version.isEmpty() && shift.next().equals(version)).orElse(false);
    }

    private void judged(Message message, boolean bad) {
        claim.charter().path(message.host, message.target).ifPresent(path -> {
            if (versions.outcome(path.service(), message.ranVersion, bad)) {
                LOG.log(System.Logger.Level.WARNING, "code=" + Codes.SHIFT_MOVES.number() + " " + path.service() + ": errors of the new version passed the tolerance here; no more work for it");
                claim.renew();
            }
        });
    }

    private void handOutTo(Desk desk, Message message, Desk.Demand demand) {
        runs(message, desk.service, demand.version());
        message.ranAt = demand.worker().isEmpty() ? "a worker at " + demand.galleryIp() : demand.worker();
        grant(message, options.visibleUs(), (line, granted) -> handOut(line, granted, demand, desk.service));
    }

    private void pumpPull(Desk desk) {
        var nowUs = clock.steadyUs();
        while (!desk.empty()) {
            var demand = desk.demands.pollFirst();
            if (demand == null) {
                askDemand(desk);
                return;
            }
            if (demand.expiresUs() > nowUs) {
                var picked = pick(desk);
                if (picked.isEmpty()) {
                    desk.demands.addFirst(demand);
                    return;
                }
                handOutTo(desk, picked.get(), demand);
            }
        }
    }

    private void askDemand(Desk desk) {
        if (!desk.asked) {
            desk.asked = true;
            askedGalleries().forEach(gallery -> wire.send(gallery.ip(), Frame.of("hungry").with("service", desk.service).with("n", desk.waiting)));
            clock.after(20_000, () -> {
                synchronized (this) {
                    desk.asked = false;
                    pump(desk);
                }
            });
        }
    }

    private List<Layout.Member> askedGalleries() {
        var all = claim.layout().members("gallery");
        if (all.size() <= ASKED_MOST) {
            return all;
        }
        var from = asks++ * ASKED_MOST % all.size();
        var asked = new ArrayList<Layout.Member>();
        for (var step = 0; step < ASKED_MOST; step++) {
            asked.add(all.get((from + step) % all.size()));
        }
        return asked;
    }

    private Optional<Message> pick(Desk desk) {
        while (!desk.empty()) {
            var next = desk.next(claim.coreUs());
            if (next.isEmpty()) {
                return next;
            }
            var message = next.get();
            if (claim.coreUs() < message.expireUs && claim.charter().path(message.host, message.target).map(path -> path.service().equals(desk.service)).orElse(false)) {
                return next;
            }
            arrange(line(message.line), message);
        }
        return Optional.empty();
    }

    private interface Start {
        void start(Line line, Message message);
    }

    private void grant(Message message, long runUs, Start start) {
        var line = line(message.line);
        message.running = true;
        message.leg++;
        message.rev++;
        message.lease = line.number + "." + line.place.epoch() + "." + message.leg;
        message.untilUs = claim.coreUs() + runUs;
        var lease = message.lease;
        replicate(line, message, message::change, false, () -> {
            if (line.open && present(line, message) && message.lease.equals(lease)) {
                message.berthed = () -> { };
                start.start(line, message);
            } else {
                leaveBerth(message);
            }
        });
    }

    private static void leaveBerth(Message message) {
        message.berthed.run();
        message.berthed = () -> { };
    }

    private void handOut(Line line, Message message, Desk.Demand demand, String service) {
        if (options.watch()) {
            lookout.begins(service, demand.worker(), message.host + message.target, message.lease, claim.coreUs());
        }
        startCounted(message, service);
        wire.send(demand.galleryIp(), Frame.of("job").with("token", demand.token()).with("line", line.number).with("id", message.id).with("lease", message.lease)
            .with("method", message.method).with("target", message.target).with("tenant", message.tenant).with("type", message.contentType).with("okey", message.orderKey).with("body", message.body));
        message.untilUs = claim.coreUs() + options.visibleUs();
        watchLease(line, message, message.lease);
    }

    private void watchLease(Line line, Message message, String lease) {
        clock.after(Math.max(1000, message.untilUs + 60_000 - claim.coreUs()), () -> {
            synchronized (this) {
                if (!line.open || !present(line, message) || !message.running || !message.lease.equals(lease) || !message.waiting() || message.settling) {
                    return;
                }
                if (claim.coreUs() < message.untilUs + 50_000) {
                    watchLease(line, message, lease);
                    return;
                }
                legCounted(message);
                message.notes("silent; may have run");
                message.running = false;
                message.nextUs = 0;
                lookout.ends(lease, false, claim.coreUs());
                judged(message, true);
                arrange(line, message);
            }
        });
    }

    private void onGiveBack(Frame frame) {
        var line = line(frame.small("line"));
        var message = line.messages.get(frame.text("id"));
        if (line.open && message != null && message.running && message.lease.equals(frame.text("lease")) && message.waiting() && !message.settling) {
            lookout.ends(message.lease, false, claim.coreUs());
            message.notes("given back; did not run");
            unrun(line, message, 0);
        }
    }

    private void unrun(Line line, Message message, long waitUs) {
        message.running = false;
        message.endedLease = message.lease;
        message.rev++;
        message.nextUs = claim.coreUs() + waitUs;
        replicate(line, message, message::change, false, () -> { });
        arrange(line, message);
    }

    private void pumpPush(Desk desk, Charter.Service service) {
        var nowUs = claim.coreUs();
        while (!desk.empty()) {
            if (!hasToken(desk, service, nowUs)) {
                return;
            }
            var berth = choose(desk, nowUs, each -> true);
            if (berth.isEmpty()) {
                return;
            }
            var picked = pick(desk);
            if (picked.isEmpty()) {
                return;
            }
            pushTo(desk, service, berth.get(), picked.get());
        }
    }

    private void pushTo(Desk desk, Charter.Service service, Desk.Berth berth, Message picked) {
        desk.tokens -= 1;
        var path = claim.charter().path(picked.host, picked.target).get();
        berth.running++;
        legsRunning++;
        picked.berthed = () -> {
            berth.running--;
            legsRunning--;
        };
        runs(picked, desk.service, berth.processor.version());
        picked.ranAt = berth.processor.id().isEmpty() ? berth.address : berth.processor.id();
        grant(picked, path.giveUpUs() + LEG_SLACK_US, (line, message) -> push(desk, service, berth, line, message, path));
    }

    private boolean hasToken(Desk desk, Charter.Service service, long nowUs) {
        if (service.perS() <= 0) {
            return true;
        }
        var rate = service.perS() * 0.985;
        desk.tokens = Math.min(3, desk.tokens + Math.max(0, nowUs - desk.tokensAtUs) * rate / 1e6);
        desk.tokensAtUs = nowUs;
        if (desk.tokens >= 1) {
            return true;
        }
        if (!desk.asked) {
            desk.asked = true;
            clock.after((long) ((1 - desk.tokens) / rate * 1e6) + 500, () -> {
                synchronized (this) {
                    desk.asked = false;
                    pump(desk);
                }
            });
        }
        return false;
    }

    private Optional<Desk.Berth> choose(Desk desk, long nowUs, Predicate<Desk.Berth> fits) {
        Desk.Berth best = null;
        for (var berth : desk.berths.values()) {
            var probing = berth.restUs > 0;
            if (!fits.test(berth) || berth.restUntilUs > nowUs || berth.running >= (probing ? 1 : Math.max(1, (int) berth.most))) {
                continue;
            }
            if (best == null || berth.weight() < best.weight()) {
                best = berth;
            }
        }
        return Optional.ofNullable(best);
    }

    private void push(Desk desk, Charter.Service service, Desk.Berth berth, Line line, Message message, Charter.Path path) {
        var keepers = Math.max(1, claim.layout().members("keeper").size());
        var connections = service.endpoint().isEmpty() ? Math.max(1, service.maxConns() / keepers) : Math.max(1, service.maxConns() / 2);
        var lease = message.lease;
        var leg = new Courier.Leg(berth.address, message.host, message.target, berth.processor.id(), message.id, message.tenant, message.orderKey, message.method, message.contentType, message.body, path.giveUpUs(), connections);
        if (options.watch()) {
            lookout.begins(desk.service, berth.processor.id(), path.name(), lease, claim.coreUs());
        }
        startCounted(message, desk.service);
        courier.deliver(leg, outcome -> {
            synchronized (this) {
                legCounted(message);
                berth.running--;
                legsRunning--;
                judge(berth, outcome);
                lookout.ends(lease, outcome.result() == Courier.Result.DONE, claim.coreUs());
                switch (outcome.result()) {
                    case DONE -> judged(message, false);
                    case FAILED, REFUSED, UNKNOWN -> judged(message, true);
                    default -> { }
                }
                conclude(line, message, lease, outcome, service.dropsRepeats());
                pump(desk);
            }
        });
    }

    private void judge(Desk.Berth berth, Courier.Outcome outcome) {
        var nowUs = claim.coreUs();
        var ceiling = berth.processor.id().isEmpty() ? 10 : Math.ceil((double) berth.processor.capacity() / Math.max(1, claim.layout().members("keeper").size())) + 1;
        var parts = outcome.load().split(",");
        if (parts.length == 3) {
            try {
                berth.load = Integer.parseInt(parts[0].trim()) + Integer.parseInt(parts[1].trim());
                berth.slots = Integer.parseInt(parts[2].trim());
            } catch (NumberFormatException e) {
                berth.load = 0;
            }
        }
        switch (outcome.result()) {
            case DONE, FAILED, REFUSED -> berth.well(ceiling);
            case NOT_RUN -> berth.unwell(nowUs, 0.7);
            case WRONG -> {
                berth.unwell(nowUs, 1);
                courier.forget(berth.address);
            }
            case UNKNOWN -> berth.unwell(nowUs, 0.6);
        }
    }

    private void conclude(Line line, Message told, String lease, Courier.Outcome outcome, boolean safeAgain) {
        if (!line.open) {
            orphan(line, told, lease, outcome.result(), outcome.seal());
            return;
        }
        var message = line.messages.getOrDefault(told.id, told);
        if (!message.lease.equals(lease) || !message.waiting() || message.endedLease.equals(lease)) {
            return;
        }
        if (message.settling) {
            orphan(line, message, lease, outcome.result(), outcome.seal());
            return;
        }
        if (message.queued) {
            desks.values().forEach(desk -> desk.removeIf(each -> each == message));
        }
        if (outcome.result() != Courier.Result.DONE) {
            message.notes(switch (outcome.result()) {
                case FAILED -> "ran and failed";
                case REFUSED -> "refused for good";
                case UNKNOWN -> "no whole answer; may have run";
                default -> "did not run";
            });
        }
        switch (outcome.result()) {
            case DONE -> finish(line, message, Message.State.FINISHED, outcome.seal(), lease, () -> { });
            case REFUSED -> finish(line, message, Message.State.FAILED, "", lease, () -> { });
            case FAILED -> failed(line, message, lease, () -> { });
            case NOT_RUN, WRONG -> unrun(line, message, bounceUs(message));
            case UNKNOWN -> unrun(line, message, safeAgain ? bounceUs(message) : bounceUs(message) + 20_000);
        }
    }

    private void orphan(Line line, Message message, String lease, Courier.Result result, String seal) {
        if (line.orphans.size() < ORPHANS_MOST) {
            var outcome = Frame.of("outcome").with("line", line.number).with("id", message.id).with("lease", lease).with("result", result.ordinal()).with("seal", seal);
            line.orphans.put(message.id, new Orphan(outcome, clock.steadyUs() + ORPHAN_US));
            bringHome(line);
        }
    }

    private void bringHome(Line line) {
        line.orphans.values().forEach(orphan -> send(line.place.primary(), orphan.outcome()));
    }

    private long bounceUs(Message message) {
        message.bounces++;
        return (long) (Math.min(400_000, 10_000L << Math.min(6, message.bounces)) * (0.5 + luck.nextDouble()));
    }

    private void onForwarded(String from, Frame frame) {
        var line = line(frame.small("line"));
        if (!line.open) {
            return;
        }
        var message = line.messages.get(frame.text("id"));
        if (message != null && message.doubted) {
            return;
        }
        if (message == null || !message.waiting() || !message.lease.equals(frame.text("lease")) || message.endedLease.equals(message.lease)) {
            if (message == null || !message.settling) {
                wire.send(from, Frame.of("outcome.ok").with("line", line.number).with("id", frame.text("id")));
            }
            return;
        }
        if (message.settling) {
            return;
        }
        if (message.queued) {
            desks.values().forEach(desk -> desk.removeIf(each -> each == message));
        }
        message.running = true;
        message.stamp++;
        conclude(line, message, message.lease, new Courier.Outcome(Courier.Result.values()[frame.small("result")], frame.text("seal"), ""), true);
    }

    private void onOutcomeOk(Frame frame) {
        line(frame.small("line")).orphans.remove(frame.text("id"));
    }

    private void failed(Line line, Message message, String lease, Runnable then) {
        var tries = claim.charter().path(message.host, message.target).map(Charter.Path::tries).orElse(Integer.MAX_VALUE);
        message.fails++;
        message.rev++;
        if (message.fails >= tries) {
            finish(line, message, Message.State.FAILED, "", lease, then);
            return;
        }
        message.endedLease = lease;
        message.settling = true;
        var fromNew = message.spentOnNew && message.fails == 1;
        replicate(line, message, message::change, true, () -> {
            message.nextUs = fromNew ? 0 : claim.coreUs() + (long) (Math.min(1_000_000, 20_000L << Math.min(6, message.fails)) * (0.5 + luck.nextDouble()));
            settled(message, then);
            arrange(line, message);
        });
    }

    private void finish(Line line, Message message, Message.State state, String seal, String lease, Runnable then) {
        message.rev++;
        if (history.enabled()) {
            history.ended(message.tenant, serviceOf(message), state == Message.State.FINISHED);
        }
        message.state = state;
        message.seal = seal;
        message.endedLease = lease;
        message.endedUs = claim.coreUs();
        message.settling = true;
        message.stamp++;
        replicate(line, message, message::change, true, () -> {
            settled(message, then);
            nextInOrder(line, message);
        });
    }

    private void fail(Line line, Message message, String why) {
        LOG.log(System.Logger.Level.INFO, "message " + message.id + " ends unserved: " + why);
        finish(line, message, Message.State.FAILED, "", "", () -> { });
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

    private void nextInOrder(Line line, Message message) {
        if (message.orderKey.isEmpty()) {
            return;
        }
        var order = line.orders.get(message.orderName());
        if (order == null) {
            return;
        }
        order.remove(message);
        if (order.isEmpty()) {
            line.orders.remove(message.orderName());
        } else {
            arrange(line, order.peekFirst());
        }
    }

    private void onEnd(String from, Frame frame) {
        var line = line(frame.small("line"));
        var answer = Frame.of("end.ok").with("rid", frame.number("rid"));
        var message = line.messages.get(frame.text("id"));
        if (!line.open || Message.epochOf(frame.text("lease")) > line.epoch || message != null && message.doubted && !message.endedLease.equals(frame.text("lease"))) {
            wire.send(from, answer.with("r", 503));
            return;
        }
        var lease = frame.text("lease");
        recognise(line, message, lease);
        if (message == null || lease.isEmpty() || !message.lease.equals(lease)) {
            wire.send(from, answer.with("r", 409));
            return;
        }
        if ((message.settling || message.doubted) && message.endedLease.equals(lease)) {
            message.settleWaiters.add(() -> wire.send(from, answer.with("r", 200)));
            return;
        }
        if (message.endedLease.equals(lease)) {
            confirm(line, message);
            wire.send(from, answer.with("r", 200));
            return;
        }
        if (!message.waiting()) {
            wire.send(from, answer.with("r", 409));
            return;
        }
        if (message.queued) {
            desks.values().forEach(desk -> desk.removeIf(each -> each == message));
        }
        message.running = true;
        message.stamp++;
        endTaken(line, message, lease, frame, () -> wire.send(from, answer.with("r", 200)));
    }

    private void confirm(Line line, Message message) {
        if (message.untold) {
            message.untold = false;
            message.rev++;
            replicate(line, message, message::change, false, () -> { });
        }
    }

    private void recognise(Line line, Message message, String lease) {
        if (message != null && message.waiting() && !message.settling && message.yieldsTo(lease, line.openedEpoch)) {
            message.takeOver(lease);
        }
    }

    private void endTaken(Line line, Message message, String lease, Frame frame, Runnable then) {
        var result = frame.small("result");
        legCounted(message);
        lookout.ends(lease, result / 100 == 2, claim.coreUs());
        if (result != 503 && result != 429 && result != 400) {
            judged(message, result / 100 != 2 || frame.text("seal").isEmpty());
        }
        message.endedByWorker = result < 400 || result == 422 || result == 500;
        if (result >= 300 || frame.text("seal").isEmpty()) {
            message.notes(result == 503 || result == 429 || result == 400 ? "did not run" : result == 422 ? "refused for good" : "ran and failed");
        }
        if (result >= 200 && result < 300 && !frame.text("seal").isEmpty()) {
            finish(line, message, Message.State.FINISHED, frame.text("seal"), lease, then);
        } else if (result == 422) {
            finish(line, message, Message.State.FAILED, "", lease, then);
        } else if (result == 503 || result == 429 || result == 400) {
            unrun(line, message, bounceUs(message));
            then.run();
        } else {
            failed(line, message, lease, then);
        }
    }

    private void onExtend(String from, Frame frame) {
        var line = line(frame.small("line"));
        var answer = Frame.of("end.ok").with("rid", frame.number("rid"));
        var message = line.messages.get(frame.text("id"));
        if (!line.open || Message.epochOf(frame.text("lease")) > line.epoch || message != null && message.doubted) {
            wire.send(from, answer.with("r", 503));
            return;
        }
        recognise(line, message, frame.text("lease"));
        var held = message != null && message.waiting() && message.lease.equals(frame.text("lease")) && !message.endedLease.equals(message.lease) && !message.queued;
        if (held) {
            message.untilUs = claim.coreUs() + options.visibleUs();
            if (!message.running) {
                message.running = true;
                message.stamp++;
                watchLease(line, message, message.lease);
            }
        }
        wire.send(from, answer.with("r", held ? 200 : 409));
    }

    private void onDemand(String from, Frame frame) {
        var desk = desks.computeIfAbsent(frame.text("service"), Desk::new);
        var nowUs = clock.steadyUs();
        for (var each : frame.frames("tokens")) {
            if (desk.demands.size() < DEMANDS_MOST) {
                versions.sees(desk.service, each.text("r"), claim.coreUs());
                var demand = new Desk.Demand(from, each.number("t"), nowUs + each.number("w") - 20_000, frame.text("zone").equals(options.zone()), each.text("s"), each.text("r"));
                if (demand.near()) {
                    desk.demands.addFirst(demand);
                } else {
                    desk.demands.addLast(demand);
                }
            }
        }
        pump(desk);
    }

    private void onWithdraw(String from, Frame frame) {
        var desk = desks.computeIfAbsent(frame.text("service"), Desk::new);
        var gone = new HashSet<Long>();
        frame.frames("tokens").forEach(each -> gone.add(each.number("t")));
        desk.demands.removeIf(demand -> demand.galleryIp().equals(from) && gone.contains(demand.token()));
    }

    private void purge() {
        var oldUs = claim.coreUs() - options.statusUs() - 10_000_000;
        var nowUs = claim.coreUs();
        for (var line : lines.values()) {
            line.messages.values().stream().filter(message -> message.state == Message.State.FINISHED && !message.settling && !message.doubted && !message.untold && message.body.length > 0 && (line.open || message.seq <= line.low)).forEach(this::shed);
            line.messages.values().removeIf(message -> {
                var old = !message.waiting() && message.endedUs < oldUs && !message.settling;
                if (old) {
                    liveBytes -= message.body.length;
                }
                return old;
            });
            if (line.open) {
                List.copyOf(line.messages.values()).stream().filter(message -> message.waiting() && !message.running && !message.queued && nowUs >= message.expireUs).forEach(message -> arrange(line, message));
            }
        }
    }

    private void compact() {
        if (rewriting || journal.bytesLong() < Math.max(LONG_JOURNAL, 2 * rewrittenBytes)) {
            return;
        }
        rewriting = true;
        var records = new ArrayList<byte[]>();
        records.add(Frame.of("disk").with("id", diskId).pack());
        lines.values().forEach(line -> line.messages.values().forEach(message -> records.add(message.whole().pack())));
        rewrittenBytes = records.stream().mapToLong(record -> record.length).sum();
        journal.rewrite(records, () -> {
            synchronized (this) {
                rewriting = false;
            }
        });
    }

    public synchronized void leave() {
        leaving = true;
        claim.renew();
    }

    public synchronized boolean mayLeave() {
        return legsRunning == 0 && lines.values().stream().allMatch(line -> line.orphans.isEmpty()) && claim.layout().lines().stream().noneMatch(line -> line.has(id));
    }

    public synchronized int liveMessages() {
        return lines.values().stream().mapToInt(line -> line.messages.size()).sum();
    }

    public synchronized Map<Integer, Long> openEpochs() {
        var found = new TreeMap<Integer, Long>();
        lines.values().stream().filter(line -> line.open).forEach(line -> found.put(line.number, line.epoch));
        return found;
    }
}
