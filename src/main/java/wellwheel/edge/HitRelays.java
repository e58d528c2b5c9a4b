package wellwheel.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import wellwheel.cluster.ClusterView;
import wellwheel.runtime.Clock;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/** Passes counted hits through one edge node of each zone where there are many of them. */
final class HitRelays {
  static final int FEW = 16;
  private static final long CALM_US = 75_000;
  private static final long URGENT_US = 20_000;
  private static final long PRESENCE_US = 250_000;
  private static final long SHUNNED_US = 2_000_000;
  private static final long SILENT_US = 450_000;
  private static final long HEARD_US = 600_000;
  private static final int HELD_MOST = 4096;
  private static final int KNOWN_MOST = 4096;

  private record Presence(long alive, long sinceUs) {}

  private final Clock clock;
  private final Network wire;
  private final String zone;
  private final Map<String, Long> shunnedUs = new HashMap<>();
  private final Map<String, Long> members = new HashMap<>();
  private final Map<String, Presence> presence = new TreeMap<>();
  private final List<Frame> inward = new ArrayList<>();
  private final List<Frame> outward = new ArrayList<>();
  private List<ClusterView.Member> indexedPeers = List.of();

  /** Addresses by node name, by zone; this node among them. */
  private final Map<String, TreeMap<String, String>> byZone = new TreeMap<>();

  private String selfName = "";
  private String relay = "";
  private boolean announce;
  private long relayHeardUs;
  private long downAtUs;
  private long overAtUs;
  private boolean urgentDown;
  private boolean urgentOver;

  HitRelays(Clock clock, Network wire, String zone) {
    this.clock = clock;
    this.wire = wire;
    this.zone = zone;
  }

  static boolean few(List<ClusterView.Member> peers) {
    return peers.size() < FEW;
  }

  void named(String name) {
    selfName = name;
  }

  void send(Frame hits, boolean now, List<ClusterView.Member> peers, String self) {
    var chosen = choose(zone, peers, self);
    if (!chosen.equals(relay)) {
      relay = chosen;
      relayHeardUs = clock.steadyUs();
      announce = true;
    }
    var up = Frame.of("hits.up").with("h", hits).with("u", now).with("a", announce);
    announce = false;
    if (relay.equals(self)) {
      takeUp(up);
    } else {
      wire.send(relay, up);
    }
  }

  private void index(List<ClusterView.Member> peers, String self) {
    if (peers == indexedPeers && !byZone.isEmpty()) {
      return;
    }
    indexedPeers = peers;
    byZone.clear();
    byZone.computeIfAbsent(zone, each -> new TreeMap<>()).put(selfName, self);
    for (var peer : peers) {
      byZone.computeIfAbsent(peer.zone(), each -> new TreeMap<>()).put(nameOf(peer), peer.ip());
    }
  }

  private static String nameOf(ClusterView.Member member) {
    var end = member.id().indexOf('#');
    return end < 0 ? member.id() : member.id().substring(0, end);
  }

  private String choose(String where, List<ClusterView.Member> peers, String self) {
    index(peers, self);
    var candidates = byZone.get(where);
    if (candidates == null) {
      return "";
    }
    var nowUs = clock.steadyUs();
    for (var ip : candidates.values()) {
      if (ip.equals(self) || nowUs - shunnedUs.getOrDefault(ip, Long.MIN_VALUE / 2) > SHUNNED_US) {
        return ip;
      }
    }
    return candidates.firstEntry().getValue();
  }

  void shun(String ip) {
    if (shunnedUs.size() > 1024) {
      shunnedUs.clear();
    }
    shunnedUs.put(ip, clock.steadyUs());
  }

  private static void hold(List<Frame> where, Frame hits) {
    if (where.size() < HELD_MOST) {
      where.add(hits);
    }
  }

  void takeUp(Frame up) {
    var hits = up.inner("h");
    if (members.size() < KNOWN_MOST) {
      members.put(hits.text("s"), clock.steadyUs());
    }
    if (!hits.list("rows").isEmpty() || up.flag("a")) {
      hold(inward, hits);
      hold(outward, hits);
    }
    urgentDown |= up.flag("u");
    urgentOver |= up.flag("u");
  }

  void takeOver(Frame over) {
    over.frames("hs").forEach(hits -> hold(inward, hits));
    urgentDown |= over.flag("u");
    note(over.text("z"), over.number("m"), 0);
  }

  void takeDown(String from, Frame down) {
    var mine = from.equals(relay);
    relayHeardUs = mine ? clock.steadyUs() : relayHeardUs;
    down.frames("zs").stream()
        .filter(each -> mine || !each.text("z").equals(zone))
        .forEach(each -> note(each.text("z"), each.number("m"), each.number("o")));
  }

  private void note(String where, long alive, long oldUs) {
    var sinceUs = clock.steadyUs() - Math.max(0, oldUs);
    var known = presence.get(where);
    if (known == null ? presence.size() < KNOWN_MOST : sinceUs >= known.sinceUs()) {
      presence.put(where, new Presence(alive, sinceUs));
    }
  }

  /** How many of the peers have been heard of lately, by the counts of their zones. */
  long heard(List<ClusterView.Member> peers, String self) {
    index(peers, self);
    var nowUs = clock.steadyUs();
    var sum = 0L;
    for (var each : byZone.entrySet()) {
      var own = each.getKey().equals(zone) ? 1 : 0;
      var alive = aliveIn(each.getKey(), nowUs) - own;
      sum += Math.max(0, Math.min(each.getValue().size() - own, alive));
    }
    return sum;
  }

  private long aliveIn(String where, long nowUs) {
    return Optional.ofNullable(presence.get(where))
        .filter(each -> nowUs - each.sinceUs() < HEARD_US)
        .map(Presence::alive)
        .orElse(0L);
  }

  private long downUs() {
    return downAtUs + (inward.isEmpty() ? PRESENCE_US : urgentDown ? URGENT_US : CALM_US);
  }

  private long overUs() {
    return overAtUs + (outward.isEmpty() ? PRESENCE_US : urgentOver ? URGENT_US : CALM_US);
  }

  long dueUs(String self) {
    var silentUs =
        relay.isEmpty() || relay.equals(self) ? Long.MAX_VALUE : relayHeardUs + SILENT_US;
    return members.isEmpty() && inward.isEmpty()
        ? silentUs
        : Math.min(silentUs, Math.min(downUs(), overUs()));
  }

  void tick(List<ClusterView.Member> peers, String self) {
    var nowUs = clock.steadyUs();
    if (!relay.isEmpty() && !relay.equals(self) && nowUs - relayHeardUs > SILENT_US) {
      shun(relay);
      relay = "";
    }
    members.values().removeIf(heardUs -> nowUs - heardUs > HEARD_US);
    if (members.isEmpty() && inward.isEmpty()) {
      return;
    }
    note(zone, members.size(), 0);
    if (nowUs >= downUs()) {
      passDown(nowUs, peers);
    }
    if (nowUs >= overUs()) {
      passOver(nowUs, peers, self);
    }
  }

  private void passDown(long nowUs, List<ClusterView.Member> peers) {
    downAtUs = nowUs;
    var zones =
        presence.entrySet().stream()
            .<Object>map(
                each ->
                    new Frame()
                        .with("z", each.getKey())
                        .with("m", each.getValue().alive())
                        .with("o", nowUs - each.getValue().sinceUs()))
            .toList();
    var down = Frame.of("hits.down").with("hs", List.<Object>copyOf(inward)).with("zs", zones);
    peers.stream()
        .filter(peer -> peer.zone().equals(zone))
        .forEach(peer -> wire.send(peer.ip(), down));
    inward.clear();
    urgentDown = false;
  }

  private void passOver(long nowUs, List<ClusterView.Member> peers, String self) {
    overAtUs = nowUs;
    var over =
        Frame.of("hits.over")
            .with("hs", List.<Object>copyOf(outward))
            .with("u", urgentOver)
            .with("z", zone)
            .with("m", members.size());
    targets(peers, self).forEach(ip -> wire.send(ip, over));
    outward.clear();
    urgentOver = false;
  }

  private Set<String> targets(List<ClusterView.Member> peers, String self) {
    index(peers, self);
    Set<String> found = new LinkedHashSet<>();
    for (var each : byZone.keySet()) {
      if (!each.equals(zone)) {
        found.add(choose(each, peers, self));
      }
    }
    return found;
  }
}
