package wellwheel.functions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import wellwheel.cluster.ClusterView;
import wellwheel.transport.Frame;

/**
 * Which node owns a function: the one with the highest score among the edge nodes (rendezvous
 * hashing), so that a change of members moves only what the leaver owned. A hot function has owners
 * in each zone, several if need be, and a front passes its calls to one in its own zone.
 *
 * @param version of the table; greater is newer
 * @param owners the nodes that may own functions
 * @param hot owners in each zone, by function, of those that have more than one owner
 */
record OwnerTable(long version, List<ClusterView.Member> owners, Map<String, Integer> hot) {
  static final String KIND = "owners";
  static final OwnerTable NONE = new OwnerTable(0, List.of(), Map.of());
  private static final int TERM_BITS = 24;

  /** The table that follows this one, under the leader of a term. */
  OwnerTable next(long term, List<ClusterView.Member> newOwners, Map<String, Integer> newHot) {
    return new OwnerTable(
        Math.max(version, term << TERM_BITS) + 1, List.copyOf(newOwners), Map.copyOf(newHot));
  }

  /** The term of the leader that made it. */
  long term() {
    return version >> TERM_BITS;
  }

  Frame toFrame() {
    var rows = new ArrayList<Object>();
    hot.forEach((service, shards) -> rows.add(new Frame().with("s", service).with("n", shards)));
    return Frame.of(KIND)
        .with("v", version)
        .with("o", owners.stream().<Object>map(ClusterView.Member::frame).toList())
        .with("h", rows);
  }

  static OwnerTable read(Frame frame) {
    var hot = new HashMap<String, Integer>();
    frame.frames("h").forEach(row -> hot.put(row.text("s"), Math.max(1, row.small("n"))));
    return new OwnerTable(
        frame.number("v"),
        frame.frames("o").stream().map(ClusterView.Member::read).toList(),
        Map.copyOf(hot));
  }

  /**
   * The address of the owner to which a front passes a call.
   *
   * @param zone the front's zone
   * @param turn a number that spreads calls over the owners of a hot function
   * @param usable whether the node at an address can be reached
   * @return the address, empty if no owner can be reached
   */
  String ownerOf(String service, String zone, int turn, Predicate<String> usable) {
    var shards = hot.getOrDefault(service, 0);
    if (shards > 0) {
      var near = best(service + "/" + Math.floorMod(turn, shards), zone, usable);
      if (!near.isEmpty()) {
        return near;
      }
    }
    return best(service, "", usable);
  }

  private String best(String key, String zone, Predicate<String> usable) {
    var best = "";
    var bestScore = Long.MIN_VALUE;
    for (var owner : owners) {
      if (!zone.isEmpty() && !owner.zone().equals(zone)) {
        continue;
      }
      var score = score(key, owner.id());
      if ((best.isEmpty() || score > bestScore) && usable.test(owner.ip())) {
        best = owner.ip();
        bestScore = score;
      }
    }
    return best;
  }

  private static long score(String key, String id) {
    var mixed = key.hashCode() * 0x9e3779b97f4a7c15L ^ id.hashCode() * 0xc2b2ae3d27d4eb4fL;
    mixed = (mixed ^ mixed >>> 31) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 29) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 32;
  }
}
