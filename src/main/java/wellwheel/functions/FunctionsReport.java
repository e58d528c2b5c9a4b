package wellwheel.functions;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Tells operators how each function stands. */
final class FunctionsReport {
  private FunctionsReport() {}

  /** A row for each function that has instances or owners, by name. */
  static JsonArray rows(
      InstanceRegistry instances, Map<String, Map<String, OwnerDemand>> demands, long nowUs) {
    var byFunction = new TreeMap<String, List<ManagedInstance>>();
    demands.keySet().forEach(service -> byFunction.put(service, new ArrayList<>()));
    for (var each : instances.all()) {
      byFunction.computeIfAbsent(each.service, key -> new ArrayList<>()).add(each);
    }
    var rows = new JsonArray();
    byFunction.forEach(
        (service, all) -> {
          var owners = List.copyOf(demands.getOrDefault(service, Map.of()).values());
          rows.add(row(service, all, owners, nowUs));
        });
    return rows;
  }

  private static JsonObject row(
      String service, List<ManagedInstance> all, List<OwnerDemand> owners, long nowUs) {
    var perS = owners.stream().mapToDouble(each -> each.perS(nowUs)).sum();
    var row = new JsonObject();
    row.addProperty("Function", service);
    row.addProperty("Instances", all.size());
    row.addProperty("Starting", count(all, ManagedInstance.State.STARTING));
    row.addProperty("Draining", count(all, ManagedInstance.State.DRAINING));
    row.addProperty("Running", owners.stream().mapToInt(each -> each.running).sum());
    row.addProperty("Waiting", owners.stream().mapToInt(each -> each.waiting).sum());
    row.addProperty("PerS", Math.round(perS * 10) / 10.0);
    row.addProperty("Owners", owners.size());
    return row;
  }

  private static long count(List<ManagedInstance> all, ManagedInstance.State state) {
    return all.stream().filter(each -> each.state == state).count();
  }
}
