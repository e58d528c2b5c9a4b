package wellwheel.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import wellwheel.cluster.ClusterView;
import wellwheel.history.HistoryRow;
import wellwheel.history.QueueHistory;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;

/** Asks all nodes for queue history and adds up what they answer. */
final class HistoryGather {
  private record Place(long startUs, long spanUs, String tenant, String service) {}

  private final long fromUs;
  private final long toUs;
  private final List<ClusterView.Member> asked;
  private final Consumer<ControlNode.Reply> answer;
  private final Set<String> answered = new HashSet<>();
  private final Map<String, HistoryRow> rows = new LinkedHashMap<>();
  private long damaged;

  HistoryGather(
      long fromUs, long toUs, List<ClusterView.Member> asked, Consumer<ControlNode.Reply> answer) {
    this.fromUs = fromUs;
    this.toUs = toUs;
    this.asked = asked;
    this.answer = answer;
  }

  long fromUs() {
    return fromUs;
  }

  long toUs() {
    return toUs;
  }

  List<ClusterView.Member> missing() {
    return asked.stream().filter(member -> !answered.contains(member.ip())).toList();
  }

  boolean whole() {
    return missing().isEmpty();
  }

  void take(String ip, Frame frame) {
    if (answered.add(ip)) {
      damaged += frame.number("damaged");
    }
    for (var each : frame.frames("rows")) {
      try {
        QueueHistory.merge(rows, HistoryRow.read(each));
      } catch (IllegalArgumentException e) {
        damaged++;
      }
    }
  }

  void tell(Predicate<String> pulled, long nowUs) {
    answer.accept(
        new ControlNode.Reply(
            ResultCode.FINE, "", json(pulled, nowUs).toString().getBytes(StandardCharsets.UTF_8)));
  }

  JsonObject json(Predicate<String> pulled, long nowUs) {
    var sums = new HashMap<Place, HistoryRow.Counts>();
    var slots = new TreeMap<Long, Map<String, Long>>();
    var present = new TreeMap<Long, Map<String, Long>>();
    var spans = new HashMap<Long, Long>();
    rows.values()
        .forEach(
            row -> {
              spans.put(row.startUs(), row.spanUs());
              if (row.service().isEmpty() && row.tenant().isEmpty()) {
                present
                    .computeIfAbsent(row.startUs(), at -> new HashMap<>())
                    .merge(row.node(), row.counts().coveredUs(), Long::sum);
              } else if (row.tenant().isEmpty() && row.counts().slots() > 0) {
                slots
                    .computeIfAbsent(row.startUs(), at -> new HashMap<>())
                    .merge(
                        row.service(),
                        row.counts().slots(),
                        pulled.test(row.service()) ? Long::sum : Math::max);
              } else {
                sums.merge(
                    new Place(row.startUs(), row.spanUs(), row.tenant(), row.service()),
                    row.counts(),
                    HistoryRow.Counts::plus);
              }
            });
    var root = new JsonObject();
    root.addProperty("NowUs", nowUs);
    root.addProperty("Damaged", damaged);
    root.add("Intervals", intervals(present, spans, nowUs));
    root.add("Rows", rowsJson(sums));
    root.add("Slots", slotsJson(slots));
    root.add("Silent", texts(missing().stream().map(ClusterView.Member::id).toList()));
    return root;
  }

  private static JsonArray texts(Iterable<String> all) {
    var list = new JsonArray();
    all.forEach(list::add);
    return list;
  }

  private static JsonArray intervals(
      TreeMap<Long, Map<String, Long>> present, Map<Long, Long> spans, long nowUs) {
    var list = new JsonArray();
    spans.keySet().stream()
        .sorted()
        .forEach(
            startUs -> {
              var spanUs = spans.get(startUs);
              var here = present.getOrDefault(startUs, Map.of());
              var expected = new TreeSet<>(here.keySet());
              var after = present.getOrDefault(startUs + spanUs, Map.of()).keySet();
              present.getOrDefault(startUs - spanUs, Map.of()).keySet().stream()
                  .filter(after::contains)
                  .forEach(expected::add);
              var elapsedUs = Math.max(1, Math.min(spanUs, nowUs - startUs));
              var share =
                  expected.stream()
                      .mapToDouble(
                          node -> Math.min(1, here.getOrDefault(node, 0L) / (double) elapsedUs))
                      .average()
                      .orElse(0);
              var row = new JsonObject();
              row.addProperty("StartUs", startUs);
              row.addProperty("SpanUs", spanUs);
              row.addProperty("Coverage", Math.round(share * 1000) / 1000.0);
              row.add(
                  "Away",
                  texts(
                      expected.stream()
                          .filter(node -> here.getOrDefault(node, 0L) < elapsedUs * 9 / 10)
                          .toList()));
              list.add(row);
            });
    return list;
  }

  private static JsonArray rowsJson(Map<Place, HistoryRow.Counts> sums) {
    var list = new JsonArray();
    sums.entrySet().stream()
        .sorted(
            (a, b) ->
                a.getKey().startUs() != b.getKey().startUs()
                    ? Long.compare(a.getKey().startUs(), b.getKey().startUs())
                    : (a.getKey().tenant() + "\n" + a.getKey().service())
                        .compareTo(b.getKey().tenant() + "\n" + b.getKey().service()))
        .forEach(
            entry -> {
              var counts = entry.getValue();
              var row = new JsonObject();
              row.addProperty("StartUs", entry.getKey().startUs());
              row.addProperty("Tenant", entry.getKey().tenant());
              row.addProperty("Service", entry.getKey().service());
              row.addProperty("Offered", counts.offered());
              row.addProperty("Refused", counts.refused());
              row.addProperty("Started", counts.started());
              row.addProperty("Late", counts.late());
              row.addProperty("Legs", counts.attempts());
              row.addProperty("SlotUs", counts.slotUs());
              row.addProperty("Finished", counts.finished());
              row.addProperty("Failed", counts.failed());
              row.addProperty("Waiting", counts.waiting());
              row.addProperty("Wait95Us", wait(counts, 0.95));
              list.add(row);
            });
    return list;
  }

  private static long wait(HistoryRow.Counts counts, double part) {
    var all = counts.waits().stream().mapToLong(Long::longValue).sum();
    var seen = 0L;
    for (var bucket = 0; bucket < counts.waits().size(); bucket++) {
      seen += counts.waits().get(bucket);
      if (seen >= all * part && all > 0) {
        return 1000L << bucket;
      }
    }
    return 0;
  }

  private static JsonArray slotsJson(TreeMap<Long, Map<String, Long>> slots) {
    var list = new JsonArray();
    slots.forEach(
        (startUs, byService) ->
            new TreeMap<>(byService)
                .forEach(
                    (service, count) -> {
                      var row = new JsonObject();
                      row.addProperty("StartUs", startUs);
                      row.addProperty("Service", service);
                      row.addProperty("Slots", count);
                      list.add(row);
                    }));
    return list;
  }
}
