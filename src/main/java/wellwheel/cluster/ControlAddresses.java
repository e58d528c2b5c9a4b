package wellwheel.cluster;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * The control nodes that a node may ask for its lease: the one it believes to lead, the voters that
 * the leader named last, and the seeds of the options file. Each newer list takes the place of the
 * older one, so that replaced control nodes are forgotten and there is always room for new ones.
 */
final class ControlAddresses {
  /** The longest list that is taken; a control group is far smaller. */
  static final int LIST_MOST = 64;

  private List<String> seeds;
  private List<String> voters = List.of();
  private String current;

  /**
   * @param seeds where to begin, one at least
   * @param start chooses the seed to begin with
   */
  ControlAddresses(List<String> seeds, int start) {
    this.seeds = bounded(seeds);
    current = this.seeds.get(Math.floorMod(start, this.seeds.size()));
  }

  private static List<String> bounded(List<String> list) {
    return list.stream().filter(ip -> !ip.isEmpty()).distinct().limit(LIST_MOST).toList();
  }

  /** The control node to ask. */
  String current() {
    return current;
  }

  /** Goes on to the next control node, as the current one does not answer. */
  void next() {
    var known = new LinkedHashSet<>(voters);
    known.addAll(seeds);
    var all = new ArrayList<>(known);
    current = all.get((all.indexOf(current) + 1) % all.size());
  }

  /** Takes over the node that is said to lead, whether it was known or not. */
  void leaderIs(String ip) {
    current = ip;
  }

  /** Takes the voters as the leader names them. */
  void votersAre(List<String> ips) {
    if (!ips.isEmpty()) {
      voters = bounded(ips);
    }
  }

  /** Takes the seeds of a changed options file. */
  void seedsAre(List<String> ips) {
    if (!ips.isEmpty()) {
      seeds = bounded(ips);
    }
  }
}
