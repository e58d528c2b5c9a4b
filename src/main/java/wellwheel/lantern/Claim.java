package wellwheel.lantern;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

public final class Claim {
    private static final System.Logger LOG = System.getLogger("claim");
    private static final long RENEW_US = 400_000;
    private static final long RETRY_US = 120_000;
    private final Clock clock;
    private final Wire wire;
    private final String id;
    private final Supplier<Frame> introduction;
    private final Runnable onNews;
    private final List<String> pilots = new ArrayList<>();
    private int guess;
    private long askedUs = Long.MIN_VALUE / 2;
    private boolean answered = true;
    private long confirmedUs = Long.MIN_VALUE / 2;
    private long coreOffsetUs;
    private boolean coreKnown;
    private Charter charter = Charter.NONE;
    private Layout layout = Layout.NONE;
    private long rosterVersion;
    private List<Layout.Processor> roster = List.of();
    private long shiftsVersion;
    private List<Shift> shifts = List.of();

    public Claim(Clock clock, Wire wire, String id, List<String> seeds, Supplier<Frame> introduction, Runnable onNews) {
        this.clock = clock;
        this.wire = wire;
        this.id = id;
        this.introduction = introduction;
        this.onNews = onNews;
        pilots.addAll(seeds);
        guess = Math.floorMod(id.hashCode(), seeds.size());
    }

    public Charter charter() {
        return charter;
    }

    public Layout layout() {
        return layout;
    }

    public List<Layout.Processor> roster() {
        return roster;
    }

    public List<Shift> shifts() {
        return shifts;
    }

    public String pilot() {
        return pilots.get(guess);
    }

    public long ageUs() {
        return clock.steadyUs() - confirmedUs;
    }

    public boolean knowsCore() {
        return coreKnown;
    }

    public long coreUs() {
        return coreKnown ? clock.steadyUs() + coreOffsetUs : clock.wallUs();
    }

    public void tick() {
        var nowUs = clock.steadyUs();
        if (nowUs - askedUs < (answered ? RENEW_US : RETRY_US)) {
            return;
        }
        if (!answered) {
            guess = (guess + 1) % pilots.size();
        }
        renew();
    }

    public long dueUs() {
        return askedUs + (answered ? RENEW_US : RETRY_US);
    }

    public void renew() {
        askedUs = clock.steadyUs();
        answered = false;
        wire.send(pilot(), introduction.get().with("id", id).with("sent", askedUs).with("rev", charter.revision())
            .with("lay", layout.version()).with("mem", layout.memberVersion()).with("ros", rosterVersion).with("shi", shiftsVersion));
    }

    public void onDown(String ip) {
        if (ip.equals(pilot()) && !answered) {
            askedUs = Math.min(askedUs, clock.steadyUs() - RETRY_US + 50_000);
        }
    }

    public void onFrame(String from, Frame frame) {
        switch (frame.kind()) {
            case "claim.ok" -> {
                if (frame.number("sent") >= confirmedUs) {
                    confirm(from, frame);
                }
                takeNews(frame);
            }
            case "claim.no" -> redirect(from, frame.text("leader"));
            case "news" -> takeNews(frame);
            default -> { }
        }
    }

    private void confirm(String from, Frame frame) {
        var nowUs = clock.steadyUs();
        confirmedUs = frame.number("sent");
        answered = true;
        if (!pilot().equals(from)) {
            redirect(from, from);
            answered = true;
        }
        var offsetUs = frame.number("core") + (nowUs - confirmedUs) / 2 - nowUs;
        coreOffsetUs = offsetUs;
        coreKnown = true;
        addPilots(frame.texts("voters"));
    }

    public void addPilots(List<String> ips) {
        ips.forEach(this::addPilot);
    }

    private void addPilot(String ip) {
        if (!pilots.contains(ip) && pilots.size() < 16) {
            pilots.add(ip);
        }
    }

    private void redirect(String from, String leader) {
        if (!from.equals(pilot()) && !leader.equals(from)) {
            return;
        }
        if (leader.isEmpty()) {
            return;
        }
        addPilot(leader);
        var index = pilots.indexOf(leader);
        if (index >= 0 && index != guess) {
            guess = index;
            if (!leader.equals(from)) {
                renew();
            }
        }
    }

    private void takeNews(Frame frame) {
        var changed = takeCharter(frame);
        var lines = frame.frames("lines");
        var missed = frame.number("since") > layout.version();
        if (!lines.isEmpty() && !missed) {
            layout = layout.withLines(lines.stream().map(Layout.Line::read).toList());
            changed = true;
        }
        if (frame.has("members") && frame.number("mem") > layout.memberVersion()) {
            layout = layout.withMembers(frame.number("mem"), frame.frames("members").stream().map(Layout.Member::read).toList());
            changed = true;
        }
        if (frame.has("roster") && frame.number("ros") > rosterVersion) {
            rosterVersion = frame.number("ros");
            roster = frame.frames("roster").stream().map(Layout.Processor::read).toList();
            changed = true;
        }
        if (frame.has("shifts") && frame.number("shi") > shiftsVersion) {
            shiftsVersion = frame.number("shi");
            shifts = frame.frames("shifts").stream().map(Shift::read).toList();
            changed = true;
        }
        if (changed) {
            onNews.run();
        }
        if (missed && answered) {
            renew();
        }
    }

    private boolean takeCharter(Frame frame) {
        if (!frame.has("config") || frame.number("rev") <= charter.revision()) {
            return false;
        }
        try {
            charter = Charter.read(frame.bytes("config"));
            return true;
        } catch (Charter.Invalid e) {
            LOG.log(System.Logger.Level.ERROR, "a committed configuration cannot be read: " + e.getMessage());
            return false;
        }
    }

    public Optional<Layout.Line> line(int number) {
        return layout.line(number);
    }
}
