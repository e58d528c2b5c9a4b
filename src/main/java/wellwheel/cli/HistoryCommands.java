package wellwheel.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import picocli.CommandLine.Option;
import wellwheel.forecast.Forecast;
import wellwheel.forecast.Season;
import wellwheel.forecast.Sizing;

/** The subcommands that read queue history and forecast from it. */
final class HistoryCommands {
  private static final int HORIZON_MOST = 14 * 24;
  private static final String SPAN = "([0-9]{1,4})([hdw])";

  static final class Choice {
    @Option(
        names = "--last",
        defaultValue = "60d",
        paramLabel = "SPAN",
        description = "how far back, as 36h, 14d or 8w; default ${DEFAULT-VALUE}")
    String last;

    @Option(
        names = "--from",
        paramLabel = "TIME",
        description = "start, as 2026-11-02T08:00:00Z, in place of --last")
    String from;

    @Option(names = "--to", paramLabel = "TIME", description = "end; now without it")
    String to;

    @Option(names = "--tenant", paramLabel = "NAME", description = "only this team")
    String tenant;

    @Option(names = "--service", paramLabel = "NAME", description = "only this service")
    String service;

    @Option(
        names = "--file",
        paramLabel = "FILE",
        description = "a history saved with --json in place of asking")
    Path file;

    @Option(
        names = "--config-file",
        paramLabel = "FILE",
        description = "the configuration to take aims from, with --file")
    Path config;
  }

  private final WellwheelCtl tender;
  private final Choice choice;

  HistoryCommands(WellwheelCtl tender, Choice choice) {
    this.tender = tender;
    this.choice = choice;
  }

  private static Instant time(String text) {
    try {
      return Instant.parse(text);
    } catch (DateTimeParseException e) {
      throw new WellwheelCtl.Failure(WellwheelCtl.USAGE, "not a time: " + text);
    }
  }

  private static Duration span(String text) {
    if (!text.matches(SPAN)) {
      throw new WellwheelCtl.Failure(WellwheelCtl.USAGE, "not a span: " + text);
    }
    var count = Long.parseLong(text.replaceAll(SPAN, "$1"));
    return switch (text.charAt(text.length() - 1)) {
      case 'h' -> Duration.ofHours(count);
      case 'd' -> Duration.ofDays(count);
      default -> Duration.ofDays(7 * count);
    };
  }

  private JsonObject found() {
    if (choice.file != null) {
      try {
        return JsonParser.parseString(
                new String(WellwheelCtl.file(choice.file), StandardCharsets.UTF_8))
            .getAsJsonObject();
      } catch (JsonParseException | IllegalStateException e) {
        throw new WellwheelCtl.Failure(
            WellwheelCtl.INVALID, choice.file + ": not a whole JSON object");
      }
    }
    var to = choice.to == null ? Instant.now() : time(choice.to);
    var from = choice.from == null ? to.minus(span(choice.last)) : time(choice.from);
    if (!from.isBefore(to) || from.toEpochMilli() < 0) {
      throw new WellwheelCtl.Failure(WellwheelCtl.USAGE, "--from must lie before --to");
    }
    return tender.read(
        "/History.Read?from=" + from.toEpochMilli() * 1000 + "&to=" + to.toEpochMilli() * 1000);
  }

  private boolean wanted(JsonObject row) {
    return (choice.tenant == null || choice.tenant.equals(row.get("Tenant").getAsString()))
        && (choice.service == null || choice.service.equals(row.get("Service").getAsString()));
  }

  private static JsonArray kept(JsonArray rows, Predicate<JsonObject> which) {
    var list = new JsonArray();
    rows.forEach(
        row -> {
          if (which.test(row.getAsJsonObject())) {
            list.add(row);
          }
        });
    return list;
  }

  private void known(Season season) {
    if (choice.service != null && !season.services().contains(choice.service)) {
      throw new WellwheelCtl.Failure(
          WellwheelCtl.UNKNOWN, "no history of service " + choice.service);
    }
    if (choice.tenant != null
        && season.teams().stream().noneMatch(team -> team.tenant().equals(choice.tenant))) {
      throw new WellwheelCtl.Failure(WellwheelCtl.UNKNOWN, "no history of team " + choice.tenant);
    }
  }

  private Season season(JsonObject found) {
    try {
      var season = Season.read(found);
      known(season);
      return season;
    } catch (Season.Invalid e) {
      throw new WellwheelCtl.Failure(WellwheelCtl.REFUSED, e.getMessage());
    }
  }

  void history(boolean late) {
    var found = found();
    season(found);
    var coverage = new HashMap<Long, JsonObject>();
    found
        .getAsJsonArray("Intervals")
        .forEach(
            each ->
                coverage.put(
                    each.getAsJsonObject().get("StartUs").getAsLong(), each.getAsJsonObject()));
    var rows = kept(found.getAsJsonArray("Rows"), row -> wanted(row) && (!late || isLate(row)));
    if (tender.json) {
      found.add("Rows", rows);
      tender.show(found);
      return;
    }
    var shown = new JsonObject();
    var list = new JsonArray();
    rows.forEach(each -> list.add(line(each.getAsJsonObject(), coverage)));
    shown.add("History", list);
    tender.table(shown, "History");
    notes(found);
  }

  private static boolean isLate(JsonObject row) {
    return row.get("Started").getAsLong() >= Sizing.STARTS_LEAST
        && row.get("Late").getAsLong() > Sizing.LATE_PART * row.get("Started").getAsLong();
  }

  private static JsonObject line(JsonObject row, Map<Long, JsonObject> coverage) {
    var line = new JsonObject();
    var startUs = row.get("StartUs").getAsLong();
    line.addProperty("From", Instant.ofEpochMilli(startUs / 1000).toString());
    for (var name :
        new String[] {
          "Service",
          "Tenant",
          "Offered",
          "Refused",
          "Started",
          "Late",
          "Finished",
          "Failed",
          "Waiting"
        }) {
      line.add(name, row.get(name));
    }
    line.addProperty(
        "Slots",
        String.format(
            java.util.Locale.ROOT,
            "%.2f",
            row.get("SlotUs").getAsDouble()
                / Optional.ofNullable(coverage.get(startUs))
                    .map(each -> each.get("SpanUs").getAsDouble())
                    .orElse(1.0)));
    line.addProperty("Wait95Ms", row.get("Wait95Us").getAsLong() / 1000);
    line.addProperty(
        "Coverage",
        Optional.ofNullable(coverage.get(startUs))
            .map(each -> each.get("Coverage").getAsString())
            .orElse("0"));
    return line;
  }

  private void notes(JsonObject found) {
    found
        .getAsJsonArray("Intervals")
        .forEach(
            each -> {
              var away = each.getAsJsonObject().getAsJsonArray("Away");
              if (!away.isEmpty()) {
                tender
                    .out()
                    .println(
                        Instant.ofEpochMilli(
                                each.getAsJsonObject().get("StartUs").getAsLong() / 1000)
                            + ": "
                            + each.getAsJsonObject().get("Coverage").getAsString()
                            + " covered, for a part without "
                            + String.join(" ", texts(away)));
              }
            });
    if (!found.getAsJsonArray("Silent").isEmpty()) {
      tender
          .out()
          .println(
              "did not answer, to be asked again: "
                  + String.join(" ", texts(found.getAsJsonArray("Silent"))));
    }
    if (found.get("Damaged").getAsLong() > 0) {
      tender.out().println("damaged records skipped: " + found.get("Damaged").getAsLong());
    }
  }

  private static java.util.List<String> texts(JsonArray list) {
    return list.asList().stream().map(JsonElement::getAsString).toList();
  }

  private Map<String, Double> aims() {
    var config =
        choice.file == null
            ? tender.read("/Config.Read")
            : choice.config == null
                ? new JsonObject()
                : JsonParser.parseString(
                        new String(WellwheelCtl.file(choice.config), StandardCharsets.UTF_8))
                    .getAsJsonObject();
    var aims = new HashMap<String, Double>();
    if (config.has("Routing")) {
      config
          .getAsJsonArray("Routing")
          .forEach(
              each -> {
                var path = each.getAsJsonObject();
                if (path.has("StartTargetMs")) {
                  aims.merge(
                      path.get("Backend").getAsString(),
                      path.get("StartTargetMs").getAsDouble() / 1000,
                      Math::min);
                }
              });
    }
    return aims;
  }

  void forecast(int horizonH, int backtestDays) {
    if (horizonH < 1 || horizonH > HORIZON_MOST || backtestDays < 0 || backtestDays > 365) {
      throw new WellwheelCtl.Failure(
          WellwheelCtl.USAGE,
          "--horizon is 1 to " + HORIZON_MOST + " hours, --backtest 0 to 365 days");
    }
    var season = season(found());
    try {
      tender.show(backtestDays > 0 ? backtest(season, backtestDays) : ahead(season, horizonH));
    } catch (Season.Invalid e) {
      throw new WellwheelCtl.Failure(WellwheelCtl.REFUSED, e.getMessage());
    }
  }

  private JsonObject ahead(Season season, int horizonH) throws Season.Invalid {
    var forecast = new Forecast(season, season.last());
    var aims = aims();
    var rows = new JsonArray();
    var steps = (int) Math.max(1, horizonH * 3_600_000_000L / season.stepUs());
    for (var step : forecast.steps(steps)) {
      for (var service : season.services()) {
        if (choice.service == null || choice.service.equals(service)) {
          rows.add(total(season, forecast, aims, service, step));
          season.teamsOf(service).stream()
              .filter(team -> choice.tenant == null || choice.tenant.equals(team.tenant()))
              .forEach(
                  team ->
                      rows.add(
                          row(
                              season,
                              step,
                              team.service(),
                              team.tenant(),
                              forecast.work(team, step))));
        }
      }
    }
    var root = new JsonObject();
    root.addProperty(
        "Season",
        forecast.seasonSteps() > season.stepsPerDay() ? "hour of the week" : "hour of the day");
    root.add("Forecast", rows);
    if (!tender.json) {
      tender.table(root, "Forecast");
      return new JsonObject();
    }
    return root;
  }

  private static JsonObject row(
      Season season, long step, String service, String tenant, Forecast.Range range) {
    var row = new JsonObject();
    row.addProperty("From", Instant.ofEpochMilli(step * season.stepUs() / 1000).toString());
    row.addProperty("Service", service);
    row.addProperty("Tenant", tenant);
    row.addProperty("Work", rounded(range.middle()));
    row.addProperty("Low", rounded(range.low()));
    row.addProperty("High", rounded(range.high()));
    return row;
  }

  private static double rounded(double value) {
    return Math.round(value * 100) / 100.0;
  }

  private static JsonObject total(
      Season season, Forecast forecast, Map<String, Double> aims, String service, long step) {
    var range = forecast.service(service, step);
    var row = row(season, step, service, "(all)", range);
    var slots = season.slots(service, step);
    slots.ifPresent(count -> row.addProperty("SlotsSeen", count));
    if (aims.containsKey(service)) {
      var needed = Sizing.slotsNeeded(range.high(), forecast.legS(service), aims.get(service));
      row.addProperty("SlotsNeeded", needed);
      row.addProperty(
          "AtRisk", slots.map(count -> needed > count ? "yes" : "no").orElse("not known"));
    }
    return row;
  }

  private JsonObject backtest(Season season, int days) throws Season.Invalid {
    var test = Forecast.backtest(season, days, aims());
    var teams = new JsonArray();
    test.teams()
        .forEach(
            (team, score) -> {
              if ((choice.tenant == null || choice.tenant.equals(team.tenant()))
                  && (choice.service == null || choice.service.equals(team.service()))) {
                var row = new JsonObject();
                row.addProperty("Service", team.service());
                row.addProperty("Tenant", team.tenant());
                row.addProperty("Hours", score.steps());
                row.addProperty("Error", rounded(score.error()));
                row.addProperty("SeasonBefore", rounded(score.naiveError()));
                row.addProperty("InsideBand", rounded(score.insideBand()));
                teams.add(row);
              }
            });
    var services = new JsonArray();
    test.services()
        .forEach(
            (service, lateness) -> {
              var row = new JsonObject();
              row.addProperty("Service", service);
              row.addProperty("LateHours", lateness.lateHours());
              row.addProperty("Named", lateness.named());
              row.addProperty("RightlyNamed", lateness.rightlyNamed());
              services.add(row);
            });
    var root = new JsonObject();
    root.add("Backtest", teams);
    root.add("LateHours", services);
    if (!tender.json) {
      tender.table(root, "Backtest");
      tender.table(root, "LateHours");
      return new JsonObject();
    }
    return root;
  }
}
