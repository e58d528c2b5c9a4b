package wellwheel.simulation;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import wellwheel.cluster.ClusterView;
import wellwheel.queue.DeliveryClient;

final class HistoryChecker implements World.Processors {
  static final String HOST = "line.example";

  static final class Entry {
    final String id;
    final String service;
    final String orderKey;
    final long sentUs;
    String tenant = "acme";
    byte[] body;
    long acceptedUs = Long.MAX_VALUE;
    long firstStartUs = Long.MAX_VALUE;
    long endedUs = Long.MAX_VALUE;
    String name = "";

    /** Whether it is asked for by its name only, as any of its tries may have made it. */
    boolean byNameOnly;

    int fails;
    int successes;
    boolean refusedForGood;
    boolean answerLost;
    boolean endTried;

    /** The end that its worker or a client has been told of; empty if none was told. */
    String toldEnd = "";

    long doneUs = Long.MAX_VALUE;
    List<Entry> after = List.of();
    boolean promisedNotToRun;
    final Set<String> seals = new HashSet<>();
    final Set<String> endedLeases = new HashSet<>();

    /** The identifier of the accepted message. */
    String keptId() {
      return byNameOnly ? name.substring(name.indexOf('-') + 1) : id;
    }

    Entry(String id, String service, String orderKey, long sentUs) {
      this.id = id;
      this.service = service;
      this.orderKey = orderKey;
      this.sentUs = sentUs;
      this.body = ("body of " + id).getBytes(StandardCharsets.UTF_8);
    }
  }

  final Map<String, Entry> entries = new LinkedHashMap<>();
  final Map<String, List<Entry>> byKey = new HashMap<>();
  final List<Long> endpointArrivals = new ArrayList<>();
  final List<String> faults = new ArrayList<>();
  int reruns;

  /** Names of the tries that processors were handed. */
  final Set<String> startedIds = new HashSet<>();

  /** Names of the tries that were promised never to run. */
  final Set<String> refusedIds = new HashSet<>();

  World world;
  long darkUntilUs;
  double lossShare = 0.01;

  static String config(long revision, String key, int tries) {
    return "{\"Revision\":"
        + revision
        + ",\"Routing\":["
        + path("quote", tries, false)
        + ","
        + path("book", tries, true)
        + ","
        + path("carrier", tries, false)
        + ","
        + path("notice", tries, false)
        + "],\"Backends\":["
        + "{\"Name\":\"quote\",\"MaxConns\":100,\"RatePerS\":0.0,\"DropsRepeats\":false,\"WorkerPull\":true,\"Endpoint\":null},"
        + "{\"Name\":\"book\",\"MaxConns\":100,\"RatePerS\":0.0,\"DropsRepeats\":true,\"WorkerPull\":false,\"Endpoint\":null},"
        + "{\"Name\":\"notice\",\"MaxConns\":100,\"RatePerS\":0.0,\"DropsRepeats\":false,\"WorkerPull\":false,\"Endpoint\":null},"
        + "{\"Name\":\"carrier\",\"MaxConns\":24,\"RatePerS\":25.0,\"DropsRepeats\":false,\"WorkerPull\":false,\"Endpoint\":\"10.9.0.9:80\"}],"
        + "\"Customers\":[{\"Name\":\"acme\",\"ApiKeys\":[\""
        + key
        + "\"],\"RatePerS\":1000,\"Burst\":1000},{\"Name\":\"beta\",\"ApiKeys\":[\"beta-key\"],\"RatePerS\":1000,\"Burst\":1000},{\"Name\":\"gamma\",\"ApiKeys\":[\"gamma-key\"],\"RatePerS\":1000,\"Burst\":1000},{\"Name\":\"hot\",\"ApiKeys\":[\"hot-key\"],\"RatePerS\":20,\"Burst\":20}]}";
  }

  private static String path(String service, int tries, boolean inOrder) {
    return "{\"Name\":\"r-"
        + service
        + "\",\"Host\":\""
        + HOST
        + "\",\"PathStart\":\"/"
        + service
        + "/\",\"Type\":\"background\",\"GiveUpMs\":600,\"TargetMs\":100,\"Rank\":1,\"Backend\":\""
        + service
        + "\",\"Tries\":"
        + tries
        + ",\"InOrder\":"
        + inOrder
        + ",\"KeepForS\":90.0,\"StartTargetMs\":500,\"Public\":false}";
  }

  String newHow = "well";
  boolean newListed;
  boolean countNew;
  int newLegs;
  int newAfterRevert;
  final Set<String> triedOnNew = new HashSet<>();
  final List<String> twiceOnNew = new ArrayList<>();

  boolean onNew(Entry entry) {
    newLegs++;
    newAfterRevert += countNew ? 1 : 0;
    if (!newHow.equals("well") && !triedOnNew.add(entry.id)) {
      twiceOnNew.add(entry.id);
    }
    return !newHow.equals("well");
  }

  List<ClusterView.Processor> roster() {
    var all = new ArrayList<>(steadyRoster());
    if (newListed) {
      all.add(new ClusterView.Processor("p5", "book", "10.8.0.5:80", "north", 6, false, 0, "v2"));
      all.add(new ClusterView.Processor("p6", "notice", "10.8.0.6:80", "east", 9, false, 0, "v2"));
    }
    return all;
  }

  private static List<ClusterView.Processor> steadyRoster() {
    return List.of(
        new ClusterView.Processor("p1", "book", "10.8.0.1:80", "north", 6, false, 0, "v1"),
        new ClusterView.Processor("p2", "book", "10.8.0.2:80", "east", 6, false, 0, "v1"),
        new ClusterView.Processor("p3", "notice", "10.8.0.3:80", "north", 9, false, 0, "v1"),
        new ClusterView.Processor("p4", "notice", "10.8.0.4:80", "east", 9, false, 0, "v1"));
  }

  void handedOut(String id) {
    startedIds.add(id);
    if (refusedIds.contains(id)) {
      faults.add("REFUSED " + id + " runs");
    }
  }

  void refused(String id) {
    refusedIds.add(id);
    if (startedIds.contains(id)) {
      faults.add("REFUSED " + id + " has run");
    }
  }

  void starts(Entry entry, long nowUs) {
    if (entry.successes > 0 && !entry.answerLost) {
      reruns++;
    }
    if (entry.promisedNotToRun) {
      faults.add("REFUSED " + entry.id);
    }
    entry.firstStartUs = Math.min(entry.firstStartUs, nowUs);
    entry.after.stream()
        .filter(other -> other.doneUs > nowUs)
        .forEach(other -> faults.add("STEP " + entry.id + " starts before the end of " + other.id));
    if (entry.orderKey.isEmpty()) {
      return;
    }
    for (var other : byKey.get(entry.orderKey)) {
      if (other != entry && other.acceptedUs < entry.sentUs && other.endedUs > nowUs) {
        faults.add("ORDER " + entry.id + " starts before the end of " + other.id);
      }
    }
  }

  @Override
  public long workUs() {
    return 20_000 + world.random().nextInt(30_000);
  }

  @Override
  public Optional<DeliveryClient.Outcome> run(DeliveryClient.Attempt attempt, long nowUs) {
    if (attempt.address().equals("10.9.0.9:80")) {
      endpointArrivals.add(nowUs);
    }
    if (nowUs < darkUntilUs) {
      return Optional.empty();
    }
    var entry = entries.get(attempt.id());
    if (entry == null) {
      faults.add("UNASKED " + attempt.id());
      return Optional.empty();
    }
    handedOut(attempt.id());
    if (entry.successes > 0 && entry.service.equals("book")) {
      return Optional.of(
          new DeliveryClient.Outcome(
              DeliveryClient.Result.DONE, entry.seals.iterator().next(), "1,0,6"));
    }
    if (List.of("p5", "p6").contains(attempt.processorId()) && onNew(entry)) {
      return failing(entry, nowUs);
    }
    var random = world.random().nextDouble();
    if (random < 0.01) {
      return Optional.of(new DeliveryClient.Outcome(DeliveryClient.Result.NOT_RUN, "", ""));
    }
    starts(entry, nowUs);
    if (random < 0.04) {
      entry.fails++;
      return Optional.of(new DeliveryClient.Outcome(DeliveryClient.Result.FAILED, "", ""));
    }
    var seal = "seal-" + entry.id + "-" + entry.successes;
    succeeds(entry, seal, nowUs);
    entry.answerLost |= random < 0.04 + lossShare;
    return random < 0.04 + lossShare
        ? Optional.empty()
        : Optional.of(new DeliveryClient.Outcome(DeliveryClient.Result.DONE, seal, "1,0,6"));
  }

  private Optional<DeliveryClient.Outcome> failing(Entry entry, long nowUs) {
    if (newHow.equals("fails")) {
      starts(entry, nowUs);
      entry.fails++;
      return Optional.of(new DeliveryClient.Outcome(DeliveryClient.Result.FAILED, "", ""));
    }
    return newHow.equals("silent")
        ? Optional.empty()
        : Optional.of(new DeliveryClient.Outcome(DeliveryClient.Result.UNKNOWN, "", ""));
  }

  void succeeds(Entry entry, String seal, long nowUs) {
    entry.successes++;
    entry.seals.add(seal);
    entry.endedUs = Math.min(entry.endedUs, nowUs);
    entry.doneUs = Math.min(entry.doneUs, nowUs);
  }

  long most(long windowUs) {
    var most = 0L;
    var first = 0;
    for (var last = 0; last < endpointArrivals.size(); last++) {
      while (endpointArrivals.get(last) - endpointArrivals.get(first) >= windowUs) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  void clean() {
    assertWithMessage("broken rules").that(faults).isEmpty();
  }
}
