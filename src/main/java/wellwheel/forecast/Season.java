package wellwheel.forecast;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The hours of a week, or of a day while history is short. */
public final class Season {
  public static final double COVERED_LEAST = 0.5;
  private static final long DAY_US = 86_400_000_000L;

  /** A tenant and a service. */
  public record Team(String tenant, String service) implements Comparable<Team> {
    @Override
    public int compareTo(Team other) {
      var byService = service.compareTo(other.service);
      return byService != 0 ? byService : tenant.compareTo(other.tenant);
    }
  }

  /** What a team went through in one interval. */
  public record Point(
      long offered, long refused, long started, long late, long attempts, long slotUs) {}

  /** History that cannot be read. */
  public static final class Invalid extends Exception {
    Invalid(String why) {
      super(why);
    }
  }

  private final long stepUs;
  private final Map<Team, TreeMap<Long, Point>> points = new TreeMap<>();
  private final TreeMap<Long, Double> coverage = new TreeMap<>();
  private final Map<String, TreeMap<Long, Long>> slots = new TreeMap<>();

  public Season(long stepUs) {
    this.stepUs = stepUs;
  }

  public static Season read(JsonObject history) throws Invalid {
    try {
      var intervals = history.getAsJsonArray("Intervals");
      if (intervals.isEmpty()) {
        throw new Invalid("there is no history in this range");
      }
      var stepUs = intervals.get(0).getAsJsonObject().get("SpanUs").getAsLong();
      var season = new Season(stepUs);
      var nowUs = history.get("NowUs").getAsLong();
      for (var each : intervals) {
        var row = each.getAsJsonObject();
        if (row.get("SpanUs").getAsLong() != stepUs) {
          throw new Invalid(
              "intervals of several lengths; ask for a range in which IntervalS did not change");
        }
        if (row.get("StartUs").getAsLong() + stepUs <= nowUs) {
          season.covered(
              row.get("StartUs").getAsLong() / stepUs, row.get("Coverage").getAsDouble());
        }
      }
      history
          .getAsJsonArray("Rows")
          .forEach(
              each -> {
                var row = each.getAsJsonObject();
                season.add(
                    new Team(row.get("Tenant").getAsString(), row.get("Service").getAsString()),
                    row.get("StartUs").getAsLong() / stepUs,
                    new Point(
                        row.get("Offered").getAsLong(),
                        row.get("Refused").getAsLong(),
                        row.get("Started").getAsLong(),
                        row.get("Late").getAsLong(),
                        row.get("Legs").getAsLong(),
                        row.get("SlotUs").getAsLong()));
              });
      history
          .getAsJsonArray("Slots")
          .forEach(
              each -> {
                var row = each.getAsJsonObject();
                season.slots(
                    row.get("Service").getAsString(),
                    row.get("StartUs").getAsLong() / stepUs,
                    row.get("Slots").getAsLong());
              });
      return season;
    } catch (RuntimeException e) {
      throw new Invalid("this is not a history as `tender history --json` prints it");
    }
  }

  public void covered(long step, double share) {
    coverage.put(step, share);
  }

  public void add(Team team, long step, Point point) {
    points.computeIfAbsent(team, each -> new TreeMap<>()).put(step, point);
  }

  public void slots(String service, long step, long count) {
    slots.computeIfAbsent(service, each -> new TreeMap<>()).put(step, count);
  }

  public long stepUs() {
    return stepUs;
  }

  public int stepsPerDay() {
    return (int) Math.max(1, DAY_US / stepUs);
  }

  public Set<Team> teams() {
    return points.keySet();
  }

  public Set<String> services() {
    var found = new TreeSet<String>();
    points.keySet().forEach(team -> found.add(team.service()));
    return found;
  }

  public List<Team> teamsOf(String service) {
    return points.keySet().stream().filter(team -> team.service().equals(service)).toList();
  }

  public long first() {
    return coverage.isEmpty() ? 0 : coverage.firstKey();
  }

  public long last() {
    return coverage.isEmpty() ? -1 : coverage.lastKey();
  }

  public long first(Team team) {
    return points.get(team).firstKey();
  }

  public boolean known(long step) {
    return coverage.getOrDefault(step, 0.0) >= COVERED_LEAST;
  }

  public double coverage(long step) {
    return coverage.getOrDefault(step, 0.0);
  }

  public Optional<Point> point(Team team, long step) {
    return Optional.ofNullable(points.getOrDefault(team, new TreeMap<>()).get(step));
  }

  public Optional<Long> slots(String service, long step) {
    return Optional.ofNullable(slots.getOrDefault(service, new TreeMap<>()).floorEntry(step))
        .map(Map.Entry::getValue);
  }

  public double legUs(String service, long untilStep) {
    var attempts = 0L;
    var slotUs = 0L;
    for (var team : teamsOf(service)) {
      for (var point : points.get(team).headMap(untilStep, true).values()) {
        attempts += point.attempts();
        slotUs += point.slotUs();
      }
    }
    return attempts == 0 ? 0 : (double) slotUs / attempts;
  }

  public Map<Team, double[]> work(long untilStep) {
    var found = new HashMap<Team, double[]>();
    points.forEach(
        (team, series) -> {
          var started = 0L;
          var slotUs = 0L;
          for (var point : series.headMap(untilStep, true).values()) {
            started += point.started();
            slotUs += point.slotUs();
          }
          var perMessageUs = started == 0 ? 0 : (double) slotUs / started;
          var values = new ArrayList<Double>();
          for (var step = first(); step <= last(); step++) {
            var offered = point(team, step).map(Point::offered).orElse(0L);
            values.add(
                !known(step)
                    ? Double.NaN
                    : step < series.firstKey()
                        ? Double.NaN
                        : offered * perMessageUs / stepUs / coverage(step));
          }
          found.put(team, values.stream().mapToDouble(Double::doubleValue).toArray());
        });
    return found;
  }

  public boolean late(String service, long step) {
    var started = 0L;
    var late = 0L;
    for (var team : teamsOf(service)) {
      started += point(team, step).map(Point::started).orElse(0L);
      late += point(team, step).map(Point::late).orElse(0L);
    }
    return started >= Sizing.STARTS_LEAST && late > Sizing.LATE_PART * started;
  }
}
