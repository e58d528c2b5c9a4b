package wellwheel.lantern;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

public final class Layout {
    public static final int LINES = 48;
    public static final Layout NONE = new Layout(0, List.of(), 0, Map.of());

    public record Line(int number, long epoch, List<String> copies, String joining, int need, long version) {
        public static Line unknown(int number) {
            return new Line(number, 0, List.of(), "", 1, 0);
        }

        public String primary() {
            return copies.isEmpty() ? "" : copies.get(0);
        }

        public List<String> backups() {
            return copies.isEmpty() ? List.of() : copies.subList(1, copies.size());
        }

        public boolean whole() {
            return copies.size() >= need;
        }

        public boolean has(String id) {
            return copies.contains(id) || id.equals(joining);
        }

        public Line with(List<String> newCopies, String newJoining, int newNeed) {
            return new Line(number, epoch + 1, List.copyOf(newCopies), newJoining, newNeed, version);
        }

        public Line at(long newVersion) {
            return new Line(number, epoch, copies, joining, need, newVersion);
        }

        public Frame frame() {
            return new Frame().with("n", number).with("e", epoch).with("c", List.<Object>copyOf(copies)).with("j", joining).with("q", need).with("v", version);
        }

        public static Line read(Frame frame) {
            var line = new Line(frame.small("n"), frame.number("e"), List.copyOf(frame.texts("c")), frame.text("j"), frame.small("q"), frame.number("v"));
            if (line.number < 0 || line.number >= LINES || line.epoch < 1 || line.need < 1 || line.copies.isEmpty() || line.copies.contains("")) {
                throw new IllegalArgumentException("a line that cannot be read whole: " + line);
            }
            return line;
        }
    }

    public record Member(String id, String role, String ip, String zone) {
        public Frame frame() {
            return new Frame().with("id", id).with("role", role).with("ip", ip).with("zone", zone);
        }

        public static Member read(Frame frame) {
            return new Member(frame.text("id"), frame.text("role"), frame.text("ip"), frame.text("zone"));
        }
    }

    public record Processor(String id, String service, String address, String zone, int capacity, boolean draining, long coldLeftUs, String version) {
        public Frame frame() {
            return new Frame().with("id", id).with("service", service).with("address", address).with("zone", zone).with("capacity", capacity).with("draining", draining).with("cold", coldLeftUs).with("version", version);
        }

        public static Processor read(Frame frame) {
            return new Processor(frame.text("id"), frame.text("service"), frame.text("address"), frame.text("zone"), frame.small("capacity"), frame.flag("draining"), frame.number("cold"), frame.text("version"));
        }
    }

    private final long version;
    private final Map<Integer, Line> lines = new HashMap<>();
    private final long memberVersion;
    private final Map<String, Member> members;
    private final Map<String, List<Member>> byRole = new HashMap<>();

    public Layout(long version, Collection<Line> lines, long memberVersion, Map<String, Member> members) {
        this.version = version;
        this.memberVersion = memberVersion;
        this.members = members;
        members.values().forEach(member -> byRole.computeIfAbsent(member.role(), role -> new ArrayList<>()).add(member));
        byRole.replaceAll((role, list) -> list.stream().sorted((a, b) -> a.id().compareTo(b.id())).toList());
        lines.forEach(line -> this.lines.put(line.number(), line));
    }

    public Layout withLines(Collection<Line> changed) {
        var merged = new HashMap<>(lines);
        var newest = version;
        for (var line : changed) {
            var old = merged.get(line.number());
            if (old == null || old.version() < line.version()) {
                merged.put(line.number(), line);
                newest = Math.max(newest, line.version());
            }
        }
        return new Layout(newest, merged.values(), memberVersion, members);
    }

    public Layout withMembers(long newVersion, List<Member> newMembers) {
        var byId = new HashMap<String, Member>();
        newMembers.forEach(member -> byId.put(member.id(), member));
        return new Layout(version, lines.values(), newVersion, Map.copyOf(byId));
    }

    public long version() {
        return version;
    }

    public long memberVersion() {
        return memberVersion;
    }

    public Collection<Line> lines() {
        return lines.values();
    }

    public Optional<Line> line(int number) {
        return Optional.ofNullable(lines.get(number));
    }

    public Optional<Member> member(String id) {
        return Optional.ofNullable(members.get(id));
    }

    public List<Member> members(String role) {
        return byRole.getOrDefault(role, List.of());
    }

    public String ipOf(String id) {
        return member(id).map(Member::ip).orElse("");
    }
}
