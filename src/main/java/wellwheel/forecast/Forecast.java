package wellwheel.forecast;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.statistics.descriptive.Median;
import org.apache.commons.statistics.descriptive.Quantile;

/**
 * Forecast of the work of a service from its history, with an error band taken from past forecasts.
 */
public final class Forecast {
  private static final int DAYS_LEAST = 2;
  private static final int WEEKS_FOR_WEEKLY = 2;
  private static final int SEASONS_LOOKED_AT = 4;
  private static final int LEVEL_DAYS = 7;
  private static final int RESIDUAL_DAYS = 21;
  private static final double LOW = 0.1;
  private static final double HIGH = 0.9;
  private static final double LEVEL_MOST = 2.5;

  /** A value with its error band. */
  public record Range(double low, double middle, double high) {}

  private final Season season;
  private final int origin;
  private final int perDay;
  private final int length;
  private final Map<Season.Team, double[]> work;
  private final Map<Season.Team, Double> levels = new HashMap<>();
  private final Map<Season.Team, Range> spreads = new HashMap<>();

  public Forecast(Season season, long originStep) throws Season.Invalid {
    this.season = season;
    this.origin = (int) (originStep - season.first());
    this.perDay = season.stepsPerDay();
    if (origin + 1 < DAYS_LEAST * perDay) {
      throw new Season.Invalid(
          "too little history: "
              + (origin + 1) * season.stepUs() / 3_600_000_000L
              + " h, a forecast needs "
              + DAYS_LEAST
              + " days");
    }
    this.length = origin + 1 >= WEEKS_FOR_WEEKLY * 7 * perDay ? 7 * perDay : perDay;
    this.work = season.work(originStep);
  }

  public int seasonSteps() {
    return length;
  }

  private double base(double[] values, int target, int knownUntil) {
    var seasons = before(values, target, knownUntil, length);
    if (seasons.length > 0) {
      return Median.withDefaults().evaluate(seasons);
    }
    return Arrays.stream(before(values, target, knownUntil, perDay)).average().orElse(0);
  }

  private static double[] before(double[] values, int target, int knownUntil, int period) {
    var back = period * Math.max(1, (target - knownUntil + period - 1) / period);
    return IntStream.iterate(target - back, at -> at >= 0, at -> at - period)
        .filter(at -> at < values.length && !Double.isNaN(values[at]))
        .limit(SEASONS_LOOKED_AT)
        .mapToDouble(at -> values[at])
        .toArray();
  }

  private double level(double[] values, int knownUntil) {
    var ratios = new ArrayList<Double>();
    for (var day = 0; day < LEVEL_DAYS; day++) {
      var actual = 0.0;
      var expected = 0.0;
      for (var at = knownUntil - day * perDay;
          at > knownUntil - (day + 1) * perDay && at >= length;
          at--) {
        if (!Double.isNaN(values[at])) {
          actual += values[at];
          expected += base(values, at, at - 1);
        }
      }
      if (expected > 0) {
        ratios.add(Math.max(1 / LEVEL_MOST, Math.min(LEVEL_MOST, actual / expected)));
      }
    }
    return ratios.isEmpty()
        ? 1
        : Median.withDefaults()
            .evaluate(ratios.stream().mapToDouble(Double::doubleValue).toArray());
  }

  private Range spread(double[] values) {
    var errors = new ArrayList<Double>();
    for (var day = 1; day <= RESIDUAL_DAYS; day++) {
      var known = origin - day * perDay;
      if (known < length + perDay) {
        break;
      }
      var level = level(values, known);
      for (var at = known + 1; at <= known + perDay; at++) {
        var expected = base(values, at, known) * level;
        if (!Double.isNaN(values[at]) && expected > 0) {
          errors.add(values[at] / expected);
        }
      }
    }
    if (errors.size() < perDay) {
      return new Range(0.5, 1, 1.5);
    }
    var found =
        Quantile.withDefaults()
            .evaluate(errors.stream().mapToDouble(Double::doubleValue).toArray(), LOW, HIGH);
    return new Range(Math.min(1, found[0]), 1, Math.max(1, found[1]));
  }

  public Range work(Season.Team team, long step) {
    var values = work.get(team);
    var level = levels.computeIfAbsent(team, each -> level(values, origin));
    var spread = spreads.computeIfAbsent(team, each -> spread(values));
    var middle = base(values, (int) (step - season.first()), origin) * level;
    return new Range(middle * spread.low(), middle, middle * spread.high());
  }

  public Range service(String service, long step) {
    var middle = 0.0;
    var below = 0.0;
    var above = 0.0;
    for (var team : season.teamsOf(service)) {
      var range = work(team, step);
      middle += range.middle();
      below += Math.pow(range.middle() - range.low(), 2);
      above += Math.pow(range.high() - range.middle(), 2);
    }
    return new Range(Math.max(0, middle - Math.sqrt(below)), middle, middle + Math.sqrt(above));
  }

  public double legS(String service) {
    return season.legUs(service, season.first() + origin) / 1e6;
  }

  public boolean late(String service, long step, long slots, double aimS) {
    return Sizing.lateShare(service(service, step).middle(), slots, legS(service), aimS)
        > Sizing.LATE_PART;
  }

  /** How far past forecasts were off. */
  public record Score(int steps, double error, double naiveError, double insideBand) {}

  /** How many late hours a past forecast would have named. */
  public record Lateness(int lateHours, int named, int rightlyNamed) {}

  /** Scores of past forecasts by team and service. */
  public record Backtest(Map<Season.Team, Score> teams, Map<String, Lateness> services) {}

  public static Backtest backtest(Season season, int days, Map<String, Double> aimS)
      throws Season.Invalid {
    var perDay = season.stepsPerDay();
    var sums = new TreeMap<Season.Team, double[]>();
    var late = new TreeMap<String, int[]>();
    var truth = season.work(season.last());
    for (var day = days; day >= 1; day--) {
      var origin = season.last() - (long) day * perDay;
      var forecast = new Forecast(season, origin);
      for (var step = origin + 1; step <= origin + perDay; step++) {
        if (season.known(step)) {
          score(season, forecast, truth, origin, step, sums);
          judge(season, forecast, step, aimS, late);
        }
      }
    }
    var teams = new TreeMap<Season.Team, Score>();
    sums.forEach(
        (team, sum) ->
            teams.put(
                team,
                new Score(
                    (int) sum[0],
                    sum[1] / Math.max(1e-9, sum[3]),
                    sum[2] / Math.max(1e-9, sum[3]),
                    sum[4] / Math.max(1, sum[0]))));
    var services = new TreeMap<String, Lateness>();
    late.forEach(
        (service, counts) -> services.put(service, new Lateness(counts[0], counts[1], counts[2])));
    return new Backtest(teams, services);
  }

  private static void score(
      Season season,
      Forecast forecast,
      Map<Season.Team, double[]> truth,
      long origin,
      long step,
      Map<Season.Team, double[]> sums) {
    truth.forEach(
        (team, values) -> {
          var actual = values[(int) (step - season.first())];
          var naiveAt = (int) (step - season.first()) - forecast.length;
          if (season.first(team) > origin - forecast.length
              || Double.isNaN(actual)
              || Double.isNaN(values[naiveAt])) {
            return;
          }
          var range = forecast.work(team, step);
          var sum = sums.computeIfAbsent(team, each -> new double[5]);
          sum[0]++;
          sum[1] += Math.abs(range.middle() - actual);
          sum[2] += Math.abs(values[naiveAt] - actual);
          sum[3] += actual;
          sum[4] += actual >= range.low() && actual <= range.high() ? 1 : 0;
        });
  }

  private static void judge(
      Season season,
      Forecast forecast,
      long step,
      Map<String, Double> aimS,
      Map<String, int[]> late) {
    for (var service : season.services()) {
      var slots = season.slots(service, step);
      if (slots.isEmpty() || !aimS.containsKey(service)) {
        continue;
      }
      var counts = late.computeIfAbsent(service, each -> new int[3]);
      var was = season.late(service, step);
      var said = forecast.late(service, step, slots.get(), aimS.get(service));
      counts[0] += was ? 1 : 0;
      counts[1] += said ? 1 : 0;
      counts[2] += was && said ? 1 : 0;
    }
  }

  public List<Long> steps(int count) {
    var found = new ArrayList<Long>();
    for (var step = season.first() + origin + 1; found.size() < count; step++) {
      found.add(step);
    }
    return found;
  }
}
