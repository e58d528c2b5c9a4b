package wellwheel.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;

/** Asks all storage nodes for a message and those that rely on it, round by round. */
final class StepsGather {
  private static final int NAMES_MOST = 200;
  private static final String[] STATES = {"waiting", "finished", "failed"};

  private final String wanted;
  private final Set<String> storageNodes = new HashSet<>();
  private final Set<String> asked = new HashSet<>();
  private final Set<String> silent;
  private final Map<String, Frame> rows = new LinkedHashMap<>();
  private final Consumer<StepsGather> done;
  private List<String> names;
  private int rounds;
  private long rest;

  StepsGather(String wanted, int rounds, Consumer<StepsGather> done) {
    this.wanted = wanted;
    this.rounds = rounds;
    this.done = done;
    this.silent = new LinkedHashSet<>();
    this.names = wanted.isEmpty() ? List.of() : List.of(wanted);
  }

  Frame round(long rid, Set<String> ips) {
    storageNodes.clear();
    storageNodes.addAll(ips);
    asked.addAll(names);
    rounds--;
    return Frame.of("steps.read")
        .with("rid", rid)
        .with("failed", wanted.isEmpty())
        .with("steps", List.<Object>copyOf(names));
  }

  void take(String ip, Frame frame) {
    if (!storageNodes.remove(ip)) {
      return;
    }
    rest += frame.number("rest");
    frame
        .frames("rows")
        .forEach(row -> rows.putIfAbsent(row.text("k") + "\n" + row.text("of"), row));
  }

  boolean heardAll() {
    return storageNodes.isEmpty();
  }

  boolean goesOn() {
    silent.addAll(storageNodes);
    names =
        rows.values().stream()
            .map(row -> row.text("k"))
            .distinct()
            .filter(name -> !asked.contains(name))
            .limit(Math.max(0, NAMES_MOST - asked.size()))
            .toList();
    return rounds > 0 && !names.isEmpty();
  }

  void finish() {
    done.accept(this);
  }

  private Optional<Frame> first() {
    return rows.values().stream()
        .filter(row -> row.text("of").isEmpty())
        .filter(row -> row.text("k").equals(wanted) || row.text("k").endsWith("-" + wanted))
        .findFirst();
  }

  ControlNode.Reply reply() {
    var first = first();
    if (first.isEmpty()) {
      return silent.isEmpty()
          ? ControlNode.Reply.of(ResultCode.NO_MESSAGE, "no step " + wanted)
          : ControlNode.Reply.of(ResultCode.NO_LEADER, "not all storage nodes answered; ask again");
    }
    var root = json(first.get());
    var later = new JsonArray();
    later().forEach(row -> later.add(json(row)));
    root.add("LaterSteps", later);
    root.addProperty("MoreLaterSteps", rest);
    root.addProperty("KeepersSilent", silent.size());
    return new ControlNode.Reply(
        ResultCode.FINE, "", root.toString().getBytes(StandardCharsets.UTF_8));
  }

  private List<Frame> later() {
    var found = new LinkedHashMap<String, Frame>();
    rows.values().stream()
        .filter(row -> !row.text("of").isEmpty())
        .forEach(row -> found.putIfAbsent(row.text("k"), row));
    return new ArrayList<>(found.values());
  }

  JsonArray failed() {
    var counts = new LinkedHashMap<String, JsonObject>();
    rows.values().stream()
        .filter(row -> !row.text("how").equals("waits"))
        .forEach(
            row -> {
              var held = !row.text("of").isEmpty();
              var step = held ? row.text("of") : row.text("k");
              var one =
                  counts.computeIfAbsent(
                      step,
                      key -> {
                        var fresh = new JsonObject();
                        fresh.addProperty("Kind", "step-holds-others");
                        fresh.addProperty("Step", step);
                        fresh.addProperty("Service", held ? "" : row.text("s"));
                        fresh.addProperty("Tenant", row.text("t"));
                        fresh.addProperty(
                            "Cause",
                            held
                                ? "failed or forgotten; an operator decides"
                                : row.text("o") + " at " + row.text("w"));
                        fresh.addProperty("Later", 0);
                        fresh.addProperty("NearestAimUs", Long.MAX_VALUE);
                        return fresh;
                      });
              count(one, row, held ? 1 : row.number("f"));
            });
    rows.values().stream()
        .filter(row -> row.text("how").equals("waits") && counts.containsKey(row.text("of")))
        .forEach(row -> count(counts.get(row.text("of")), row, 1));
    var list = new JsonArray();
    counts.values().forEach(list::add);
    return list;
  }

  private static void count(JsonObject one, Frame row, long more) {
    one.addProperty("Later", one.get("Later").getAsLong() + more);
    one.addProperty(
        "NearestAimUs", Math.min(one.get("NearestAimUs").getAsLong(), row.number("aim")));
  }

  private static JsonObject json(Frame row) {
    var one = new JsonObject();
    one.addProperty("Step", row.text("k"));
    one.addProperty("Service", row.text("s"));
    one.addProperty("Tenant", row.text("t"));
    one.addProperty("State", STATES[Math.floorMod(row.small("st"), STATES.length)]);
    one.addProperty("Outcome", row.text("o"));
    one.addProperty("Machine", row.text("w"));
    var attempts = new JsonArray();
    row.texts("at").forEach(attempts::add);
    one.add("Attempts", attempts);
    one.addProperty("EarliestMs", row.number("n") / 1000);
    one.addProperty("Holds", row.text("h"));
    if (!row.text("of").isEmpty()) {
      one.addProperty("ReliesOn", row.text("of"));
      one.addProperty("By", row.text("how").equals("order") ? "order key" : "Runs-After");
    }
    return one;
  }
}
