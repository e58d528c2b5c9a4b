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

    public record Line(int number, long epoch, String primary, String backup, String joining, long version) {
        public boolean whole() {
            return !backup.isEmpty();
        }

        public boolean has(String id) {
            return id.equals(primary) || id.equals(backup) || id.equals(joining);
        }

        public Line with(String newPrimary, String newBackup, String newJoining) {
            return new Line(number, epoch + 1, newPrimary, newBackup, newJoining, version);
        }

        public Line at(long newVersion) {
            return new Line(number, epoch, primary, backup, joining, newVersion);
        }

        public Frame frame() {
            return new Frame().with("n", number).with("e", epoch).with("p", primary).with("b", backup).with("j", joining).with("v", version);
        }

        public static Line read(Frame frame) {
            return new Line(frame.small("n"), frame.number("e"), frame.text("p"), frame.text("b"), frame.text("j"), frame.number("v"));
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

    public record Processor(String id, String service, String address, String zone, int capacity, boolean draining, long coldLeftUs) {
        public Frame frame() {
            return new Frame().with("id", id).with("service", service).with("address", address).with("zone", zone).with("capacity", capacity).with("draining", draining).with("cold", coldLeftUs);
        }

        public static Processor read(Frame frame) {
            return new Processor(frame.text("id"), frame.text("service"), frame.text("address"), frame.text("zone"), frame.small("capacity"), frame.flag("draining"), frame.number("cold"));
        }
    }

    private final long version;
    private final Map<Integer, Line> lines = new HashMap<>();
    private final long memberVersion;
    private final Map<String, Member> members;

    public Layout(long version, Collection<Line> lines, long memberVersion, Map<String, Member> members) {
        this.version = version;
        this.memberVersion = memberVersion;
        this.members = members;
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
        var found = new ArrayList<Member>();
        members.values().forEach(member -> {
            if (member.role().equals(role)) {
                found.add(member);
            }
        });
        found.sort((a, b) -> a.id().compareTo(b.id()));
        return found;
    }

    public String ipOf(String id) {
        return member(id).map(Member::ip).orElse("");
    }
}
