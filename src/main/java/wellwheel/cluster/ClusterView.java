package wellwheel.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wellwheel.transport.Frame;

/** An immutable view of the partition table and the members of the cluster. */
public final class ClusterView {
  public static final int PARTITIONS = 48;
  public static final ClusterView NONE = new ClusterView(0, List.of(), 0, Map.of());

  /**
   * A partition's place: its epoch, its copies with the primary first, the copy that joins, and how
   * many copies acceptance needs.
   */
  public record Partition(
      int number, long epoch, List<String> copies, String joining, int need, long version) {
    public static Partition unknown(int number) {
      return new Partition(number, 0, List.of(), "", 1, 0);
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

    public Partition with(List<String> newCopies, String newJoining, int newNeed) {
      return new Partition(number, epoch + 1, List.copyOf(newCopies), newJoining, newNeed, version);
    }

    public Partition at(long newVersion) {
      return new Partition(number, epoch, copies, joining, need, newVersion);
    }

    public Frame frame() {
      return new Frame()
          .with("n", number)
          .with("e", epoch)
          .with("c", List.<Object>copyOf(copies))
          .with("j", joining)
          .with("q", need)
          .with("v", version);
    }

    public static Partition read(Frame frame) {
      var partition =
          new Partition(
              frame.small("n"),
              frame.number("e"),
              List.copyOf(frame.texts("c")),
              frame.text("j"),
              frame.small("q"),
              frame.number("v"));
      if (partition.number < 0
          || partition.number >= PARTITIONS
          || partition.epoch < 1
          || partition.need < 1
          || partition.copies.isEmpty()
          || partition.copies.contains("")) {
        throw new IllegalArgumentException("a partition that cannot be read whole: " + partition);
      }
      return partition;
    }
  }

  /** A node that holds a lease. The identifier changes with its disk or its life. */
  public record Member(String id, String role, String ip, String zone) {
    public Frame frame() {
      return new Frame().with("id", id).with("role", role).with("ip", ip).with("zone", zone);
    }

    public static Member read(Frame frame) {
      return new Member(frame.text("id"), frame.text("role"), frame.text("ip"), frame.text("zone"));
    }
  }

  /** A processor on the platform's list. */
  public record Processor(
      String id,
      String service,
      String address,
      String zone,
      int capacity,
      boolean draining,
      long coldLeftUs,
      String version) {
    public Frame frame() {
      return new Frame()
          .with("id", id)
          .with("service", service)
          .with("address", address)
          .with("zone", zone)
          .with("capacity", capacity)
          .with("draining", draining)
          .with("cold", coldLeftUs)
          .with("version", version);
    }

    public static Processor read(Frame frame) {
      return new Processor(
          frame.text("id"),
          frame.text("service"),
          frame.text("address"),
          frame.text("zone"),
          frame.small("capacity"),
          frame.flag("draining"),
          frame.number("cold"),
          frame.text("version"));
    }
  }

  private final long version;
  private final Map<Integer, Partition> partitions = new HashMap<>();
  private final long memberVersion;
  private final Map<String, Member> members;
  private final Map<String, List<Member>> byRole = new HashMap<>();

  public ClusterView(
      long version,
      Collection<Partition> partitions,
      long memberVersion,
      Map<String, Member> members) {
    this.version = version;
    this.memberVersion = memberVersion;
    this.members = members;
    members
        .values()
        .forEach(
            member -> byRole.computeIfAbsent(member.role(), role -> new ArrayList<>()).add(member));
    byRole.replaceAll(
        (role, list) -> list.stream().sorted((a, b) -> a.id().compareTo(b.id())).toList());
    partitions.forEach(partition -> this.partitions.put(partition.number(), partition));
  }

  public ClusterView withPartitions(Collection<Partition> changed) {
    var merged = new HashMap<>(partitions);
    var newest = version;
    for (var partition : changed) {
      var old = merged.get(partition.number());
      if (old == null || old.version() < partition.version()) {
        merged.put(partition.number(), partition);
        newest = Math.max(newest, partition.version());
      }
    }
    return new ClusterView(newest, merged.values(), memberVersion, members);
  }

  public ClusterView withMembers(long newVersion, List<Member> newMembers) {
    var byId = new HashMap<String, Member>();
    newMembers.forEach(member -> byId.put(member.id(), member));
    return new ClusterView(version, partitions.values(), newVersion, Map.copyOf(byId));
  }

  public long version() {
    return version;
  }

  public long memberVersion() {
    return memberVersion;
  }

  public Collection<Partition> partitions() {
    return partitions.values();
  }

  public Optional<Partition> partition(int number) {
    return Optional.ofNullable(partitions.get(number));
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
