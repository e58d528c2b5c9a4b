package wellwheel.forecast;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ForecastTest {
  private static final long HOUR_US = 3_600_000_000L;
  private static final double AIM_S = 20;
  private static final String SERVICE = "interpreters";

  private record Work(double atS, String tenant, double legS) {}

  static final class Maker {
    private final Random random;
    private final int weeks;
    private final int outageHour;
    private final int holiday;
    private final int mergeWeek;
    final Season season = new Season(HOUR_US);

    Maker(long seed, int weeks) {
      this.random = new Random(seed);
      this.weeks = weeks;
      this.outageHour = (weeks - 2) * 168 + 24 * random.nextInt(5) + 11;
      this.holiday = (weeks - 1) * 7 + random.nextInt(3);
      this.mergeWeek = weeks / 2;
    }

    Season make() {
      var arrivals = new ArrayList<Work>();
      var hours = weeks * 168;
      for (var hour = 0; hour < hours; hour++) {
        for (var tenant : List.of("hospital", "court", "merged-desk")) {
          var count = poisson(rate(tenant, hour));
          for (var each = 0; each < count; each++) {
            arrivals.add(
                new Work(
                    hour * 3600 + random.nextDouble() * 3600,
                    tenant,
                    120 * Math.exp(0.5 * random.nextGaussian() - 0.125)));
          }
        }
      }
      arrivals.sort((a, b) -> Double.compare(a.atS(), b.atS()));
      count(arrivals, hours);
      return season;
    }

    private double rate(String tenant, int hour) {
      var day = hour / 24;
      var ofDay = hour % 24;
      if (tenant.equals("merged-desk") && hour < mergeWeek * 168) {
        return 0;
      }
      var open =
          ofDay >= 8 && ofDay < 18
              ? 1 + 0.5 * Math.exp(-Math.pow(ofDay - 10, 2) / 3.0) + (ofDay == 15 ? 0.35 : 0)
              : 0.12;
      var weekend = day % 7 >= 5 || day == holiday ? 0.3 : 1;
      var growth = Math.pow(1.015, hour / 168.0);
      var size = tenant.equals("hospital") ? 130 : tenant.equals("court") ? 80 : 45;
      return size * open * weekend * growth * (0.93 + 0.14 * random.nextDouble());
    }

    private int poisson(double mean) {
      return (int) Math.max(0, Math.round(mean + Math.sqrt(mean) * random.nextGaussian()));
    }

    private void count(List<Work> arrivals, int hours) {
      var slots = 13;
      var free = new PriorityQueue<Double>();
      for (var slot = 0; slot < slots; slot++) {
        free.add(0.0);
      }
      var tenants = List.of("hospital", "court", "merged-desk");
      var cells = new long[tenants.size()][hours + 48][5];
      for (var work : arrivals) {
        var startS = Math.max(work.atS(), free.poll());
        if (startS >= outageHour * 3600.0 && startS < outageHour * 3600.0 + 5400) {
          startS = outageHour * 3600.0 + 5400;
        }
        free.add(startS + work.legS());
        var cell = cells[tenants.indexOf(work.tenant())];
        cell[(int) (work.atS() / 3600)][0]++;
        var startHour = (int) (startS / 3600);
        cell[startHour][1]++;
        cell[startHour][2] += startS - work.atS() > AIM_S ? 1 : 0;
        cell[startHour][3] += (long) (work.legS() * 1e6);
      }
      var away = (weeks - 1) * 168 + 60;
      for (var hour = 0; hour < hours; hour++) {
        var share = hour >= away && hour < away + 4 ? 0.75 : hour == away + 30 ? 0.2 : 1;
        season.covered(hour, share);
        season.slots(SERVICE, hour, slots);
        for (var index = 0; index < tenants.size(); index++) {
          var cell = cells[index][hour];
          if (cell[0] + cell[1] > 0) {
            season.add(
                new Season.Team(tenants.get(index), SERVICE),
                hour,
                new Season.Point(
                    Math.round(cell[0] * share),
                    0,
                    Math.round(cell[1] * share),
                    Math.round(cell[2] * share),
                    Math.round(cell[1] * share),
                    Math.round(cell[3] * share)));
          }
        }
      }
    }
  }

  private static Forecast.Backtest season(long seed) throws Season.Invalid {
    return Forecast.backtest(new Maker(seed, 8).make(), 14, Map.of(SERVICE, AIM_S));
  }

  @Test
  void aPastSeasonIsForecastCloserThanByTheWeekBeforeAndLateHoursAreNamed() throws Season.Invalid {
    var error = 0.0;
    var naive = 0.0;
    var inside = 0.0;
    var teams = 0;
    var late = 0;
    var named = 0;
    var right = 0;
    for (var seed = 1L; seed <= 6; seed++) {
      var test = season(seed);
      for (var score : test.teams().values()) {
        error += score.error();
        naive += score.naiveError();
        inside += score.insideBand();
        teams++;
      }
      late += test.services().get(SERVICE).lateHours();
      named += test.services().get(SERVICE).named();
      right += test.services().get(SERVICE).rightlyNamed();
    }
    System.out.printf(
        "FORECAST teams %d error %.3f naive %.3f inside %.3f late %d named %d right %d%n",
        teams, error / teams, naive / teams, inside / teams, late, named, right);
    assertThat(teams).isEqualTo(18);
    assertThat(error).isLessThan(0.9 * naive);
    assertThat(inside / teams).isAtLeast(0.7);
    assertThat(late).isAtLeast(30);
    assertThat((double) right / named).isAtLeast(0.6);
    assertThat((double) right / late).isAtLeast(0.6);
  }

  @Test
  void aMergedDispatcherKeepsItsOwnForecast() throws Season.Invalid {
    var season = new Maker(3, 8).make();
    var forecast = new Forecast(season, season.last());
    var step = season.last() + 1 + 10;
    var sum = season.teams().stream().mapToDouble(team -> forecast.work(team, step).middle()).sum();
    assertThat(forecast.service(SERVICE, step).middle()).isWithin(1e-9).of(sum);
    var dispatcher = forecast.work(new Season.Team("merged-desk", SERVICE), step).middle();
    var hospital = forecast.work(new Season.Team("hospital", SERVICE), step).middle();
    assertThat(dispatcher / hospital).isWithin(0.12).of(45.0 / 130);
  }

  @Test
  void anHourWithNodesAwayIsScaledAndAGapIsNotTakenForZero() throws Season.Invalid {
    var whole = new Maker(5, 4).make();
    var gaps = new Maker(5, 4).make();
    for (var hour = whole.last() - 180; hour < whole.last() - 168; hour++) {
      gaps.covered(hour, 0.1);
      for (var team : List.copyOf(gaps.teams())) {
        gaps.add(team, hour, new Season.Point(0, 0, 0, 0, 0, 0));
      }
    }
    var team = new Season.Team("court", SERVICE);
    var step = whole.last() - 174 + 168 + 168;
    var without = new Forecast(whole, whole.last()).work(team, step).middle();
    assertThat(new Forecast(gaps, gaps.last()).work(team, step).middle())
        .isWithin(0.25 * without + 0.05)
        .of(without);
  }

  @Test
  void tooLittleHistoryGivesNoForecast() {
    var season = new Season(HOUR_US);
    for (var hour = 0; hour < 40; hour++) {
      season.covered(hour, 1);
    }
    var refusal = assertThrows(Season.Invalid.class, () -> new Forecast(season, season.last()));
    assertThat(refusal.getMessage()).contains("2 days");
  }

  @Test
  void slotsNeededKeepWaitsInsideTheAim() {
    assertThat(Sizing.slotsNeeded(0, 1, 1)).isEqualTo(0);
    var needed = Sizing.slotsNeeded(10, 120, 20);
    assertThat(Sizing.lateShare(10, needed, 120, 20)).isAtMost(Sizing.LATE_PART);
    assertThat(Sizing.lateShare(10, needed - 1, 120, 20)).isGreaterThan(Sizing.LATE_PART);
    assertThat(Sizing.lateShare(10, 10, 120, 20)).isEqualTo(1.0);
  }
}
