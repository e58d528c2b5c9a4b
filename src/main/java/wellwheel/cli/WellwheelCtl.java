package wellwheel.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;
import wellwheel.config.Configuration;
import wellwheel.runtime.ResultCode;

/** The operators' command line. */
@Command(
    name = "wellwheelctl",
    description = "Operates a wellwheel.",
    mixinStandardHelpOptions = true,
    version = "wellwheelctl 0.1",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      WellwheelCtl.Config.class,
      WellwheelCtl.Retire.class,
      WellwheelCtl.ShiftOrders.class,
      WellwheelCtl.MessageCalls.class
    })
public final class WellwheelCtl implements Runnable {
  static final int FINE = 0;
  static final int USAGE = 2;
  static final int UNREACHABLE = 3;
  static final int REFUSED = 4;
  static final int LOST_RACE = 5;
  static final int UNKNOWN = 6;
  static final int INVALID = 7;
  private static final long WATCH_MS = 1_000;

  static final class Failure extends RuntimeException {
    final int status;

    Failure(int status, String why) {
      super(why);
      this.status = status;
    }
  }

  @Spec CommandSpec spec;

  @Option(
      names = "--control",
      split = ",",
      scope = ScopeType.INHERIT,
      defaultValue = "${env:WELLWHEEL_CONTROL:-127.0.0.1:8741}",
      paramLabel = "HOST:PORT",
      description = "control addresses; default ${DEFAULT-VALUE}")
  List<String> control;

  @Option(names = "--json", scope = ScopeType.INHERIT, description = "print JSON")
  boolean json;

  @Option(
      names = "--wait-s",
      scope = ScopeType.INHERIT,
      defaultValue = "10",
      paramLabel = "S",
      description = "how long to try; default ${DEFAULT-VALUE}")
  int waitS;

  public static void main(String[] arguments) {
    System.exit(
        line(new PrintWriter(System.out, true), new PrintWriter(System.err, true))
            .execute(arguments));
  }

  static CommandLine line(PrintWriter out, PrintWriter err) {
    return new CommandLine(new WellwheelCtl())
        .setOut(out)
        .setErr(err)
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              line.getErr()
                  .println(
                      "wellwheelctl: "
                          + (e instanceof Failure
                              ? e.getMessage()
                              : e.getClass().getSimpleName() + ": " + e.getMessage()));
              return e instanceof Failure failure ? failure.status : 1;
            });
  }

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getErr());
    throw new Failure(USAGE, "a command is wanted");
  }

  PrintWriter out() {
    return spec.commandLine().getOut();
  }

  ControlClient.Answer call(String method, String target, List<String> headers, byte[] body) {
    try {
      return checked(
          new ControlClient(control, Duration.ofSeconds(Math.max(1, Math.min(3600, waitS))))
              .call(method, target, headers, body));
    } catch (IllegalArgumentException e) {
      throw new Failure(USAGE, e.getMessage());
    } catch (ControlClient.Unreachable e) {
      throw new Failure(UNREACHABLE, e.getMessage());
    }
  }

  private static ControlClient.Answer checked(ControlClient.Answer answer) {
    if (answer.status() / 100 == 2) {
      return answer;
    }
    var status = answer.status() == 412 ? LOST_RACE : answer.status() == 404 ? UNKNOWN : REFUSED;
    throw new Failure(status, answer.status() + ": " + why(answer));
  }

  private static String why(ControlClient.Answer answer) {
    try {
      return JsonParser.parseString(answer.text()).getAsJsonObject().get("Error").getAsString();
    } catch (RuntimeException e) {
      return answer.text().isBlank() ? "no reason given" : answer.text();
    }
  }

  JsonObject read(String target) {
    var answer = call("GET", target, List.of(), new byte[0]);
    try {
      return JsonParser.parseString(answer.text()).getAsJsonObject();
    } catch (JsonParseException | IllegalStateException e) {
      throw new Failure(REFUSED, "the answer is not JSON");
    }
  }

  static String part(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  static byte[] file(Path path) {
    try {
      return Files.readAllBytes(path);
    } catch (IOException e) {
      throw new Failure(INVALID, "cannot read " + path);
    }
  }

  void show(JsonElement found) {
    if (json) {
      out().println(new GsonBuilder().setPrettyPrinting().create().toJson(found));
    } else if (found.isJsonObject()) {
      found
          .getAsJsonObject()
          .entrySet()
          .forEach(entry -> out().println(entry.getKey() + ": " + plain(entry.getValue())));
    }
  }

  void table(JsonObject found, String field) {
    if (json) {
      show(found);
      return;
    }
    var rows = found.getAsJsonArray(field);
    var widths = new LinkedHashMap<String, Integer>();
    rows.forEach(
        row ->
            row.getAsJsonObject()
                .entrySet()
                .forEach(
                    cell ->
                        widths.merge(
                            cell.getKey(),
                            Math.max(cell.getKey().length(), plain(cell.getValue()).length()),
                            Math::max)));
    if (widths.isEmpty()) {
      out().println("none");
      return;
    }
    out().println(line(widths, Map.of()));
    rows.forEach(
        row -> {
          var cells = new LinkedHashMap<String, String>();
          widths
              .keySet()
              .forEach(
                  name ->
                      cells.put(
                          name,
                          row.getAsJsonObject().has(name)
                              ? plain(row.getAsJsonObject().get(name))
                              : ""));
          out().println(line(widths, cells));
        });
  }

  private static String line(Map<String, Integer> widths, Map<String, String> cells) {
    var text = new StringBuilder();
    widths.forEach(
        (name, width) ->
            text.append(
                String.format(
                    "%-" + width + "s  ", cells.getOrDefault(name, cells.isEmpty() ? name : ""))));
    return text.toString().stripTrailing();
  }

  private static String plain(JsonElement value) {
    if (value.isJsonArray()) {
      var parts = new ArrayList<String>();
      value.getAsJsonArray().forEach(item -> parts.add(plain(item)));
      return String.join(" ", parts);
    }
    return value.isJsonPrimitive() ? value.getAsString() : value.toString();
  }

  @Command(name = "nodes", description = "Members with their standing, and who leads.")
  void nodes() {
    table(read("/Nodes.Read"), "Nodes");
  }

  @Command(name = "partitions", description = "Lines with epoch, copies and what is missing.")
  void lines() {
    table(read("/Lines.Read"), "Lines");
  }

  @Command(
      name = "functions",
      description = "Functions with instances, calls that run and wait, starts and stops.")
  void functions() {
    var root = read("/Functions.Read");
    table(root, "Functions");
    System.out.printf(
        "%s starts, %s stops under fence %s%n",
        root.get("Starts"), root.get("Stops"), root.get("Fence"));
  }

  @Command(name = "warnings", description = "Tenants held back and workers behind their peers.")
  void warnings(
      @Option(names = "--watch", description = "ask again each second") boolean watch,
      @Option(names = "--times", defaultValue = "86400", hidden = true) int times)
      throws InterruptedException {
    table(read("/Warnings.Read"), "Warnings");
    for (var turn = 1; watch && turn < times; turn++) {
      Thread.sleep(WATCH_MS);
      table(read("/Warnings.Read"), "Warnings");
    }
  }

  @Command(
      name = "steps",
      description =
          "A step, its attempts, and the later steps that rely on it; or the failed ones that hold others.")
  void steps(
      @Parameters(paramLabel = "ID", arity = "0..1") String step,
      @Option(
              names = "--failed",
              description = "steps whose attempt failed while others rely on them")
          boolean failed,
      @Option(
              names = "--release",
              description = "let a held step run although the one before it failed")
          boolean release,
      @Option(names = "--drop", description = "end a held step as failed") boolean drop) {
    if (failed == (step != null) || release && drop || failed && (release || drop)) {
      throw new Failure(USAGE, "steps ID, steps ID --release, steps ID --drop, or steps --failed");
    }
    if (failed) {
      table(read("/Steps.Failed"), "Warnings");
    } else if (release || drop) {
      call(
          "POST",
          "/Steps." + (drop ? "Drop" : "Release") + "/" + part(step),
          List.of(),
          new byte[0]);
      out().println(drop ? "dropped" : "released");
    } else {
      oneStep(read("/Steps.Read/" + part(step)));
    }
  }

  @Command(
      name = "receipt",
      description =
          "What is known of a client's Operation-Key; without one, receipts by storage node.")
  void receipt(
      @Parameters(paramLabel = "TENANT", arity = "0..1") String tenant,
      @Parameters(paramLabel = "SERVICE", arity = "0..1") String service,
      @Parameters(paramLabel = "KEY", arity = "0..1") String key) {
    if (tenant != null && key == null) {
      throw new Failure(USAGE, "receipt TENANT SERVICE KEY, or receipt without words");
    }
    if (tenant == null) {
      table(read("/Receipts.Read"), "Nodes");
      return;
    }
    var query = "?tenant=" + part(tenant) + "&service=" + part(service) + "&key=" + part(key);
    table(read("/Receipts.Read" + query), "Receipts");
  }

  private void oneStep(JsonObject found) {
    if (json) {
      show(found);
      return;
    }
    found.entrySet().stream()
        .filter(entry -> !entry.getKey().equals("LaterSteps"))
        .forEach(entry -> out().println(entry.getKey() + ": " + plain(entry.getValue())));
    table(found, "LaterSteps");
  }

  @Command(
      name = "history",
      description = "What the queues went through, by interval, team and service.")
  void history(
      @Mixin HistoryCommands.Choice choice,
      @Option(
              names = "--late",
              description = "only intervals in which more than a twentieth started late")
          boolean late) {
    new HistoryCommands(this, choice).history(late);
  }

  @Command(
      name = "forecast",
      description = "The accelerator capacity that each team's work will need.")
  void forecast(
      @Mixin HistoryCommands.Choice choice,
      @Option(
              names = "--horizon",
              defaultValue = "24",
              paramLabel = "H",
              description = "hours ahead; default ${DEFAULT-VALUE}")
          int horizonH,
      @Option(
              names = "--backtest",
              defaultValue = "0",
              paramLabel = "DAYS",
              description =
                  "check it on the last days instead, each forecast from what came before")
          int backtestDays) {
    new HistoryCommands(this, choice).forecast(horizonH, backtestDays);
  }

  @Command(name = "codes", description = "The table of result codes.")
  void codes() {
    for (var code : ResultCode.values()) {
      out()
          .println(
              code.number()
                  + "  "
                  + (code.status() == 0 ? "log" : code.status())
                  + "  "
                  + code.meaning());
    }
  }

  @Command(
      name = "config",
      description = "Reads, checks and replaces the configuration.",
      synopsisSubcommandLabel = "COMMAND")
  static final class Config implements Runnable {
    @CommandLine.ParentCommand WellwheelCtl tender;

    @Override
    public void run() {
      throw new Failure(USAGE, "config get, validate, put or diff");
    }

    @Command(name = "get", description = "Prints the configuration in force, as it was sent.")
    void get() {
      tender.out().println(tender.call("GET", "/Config.Read", List.of(), new byte[0]).text());
    }

    @Command(
        name = "validate",
        description = "Checks a file as a control node would, without one; names all faults.")
    void validate(@Parameters(paramLabel = "FILE") Path path) {
      var faults = Configuration.faults(file(path));
      faults.forEach(fault -> tender.spec.commandLine().getErr().println(path + ": " + fault));
      if (!faults.isEmpty()) {
        throw new Failure(INVALID, faults.size() + (faults.size() == 1 ? " fault" : " faults"));
      }
      tender.out().println("valid");
    }

    @Command(name = "put", description = "Puts a file in force on top of the version it builds on.")
    void put(
        @Parameters(paramLabel = "FILE") Path path,
        @Option(names = "--based-on", required = true, paramLabel = "N") long base) {
      var bytes = file(path);
      var faults = Configuration.faults(bytes);
      if (!faults.isEmpty()) {
        throw new Failure(INVALID, path + ": " + faults.get(0));
      }
      tender.call(
          "POST", "/Config.Replace", List.of("Based-On-Version", Long.toString(base)), bytes);
      tender.out().println("in force");
    }

    @Command(name = "diff", description = "Names what a file would change.")
    void diff(@Parameters(paramLabel = "FILE") Path path) {
      try {
        var wanted =
            JsonParser.parseString(new String(file(path), StandardCharsets.UTF_8))
                .getAsJsonObject();
        var found = new ArrayList<String>();
        compare("", tender.read("/Config.Read"), wanted, found);
        found.forEach(tender.out()::println);
        tender.out().println(found.size() + " differences");
      } catch (JsonParseException | IllegalStateException e) {
        throw new Failure(INVALID, path + ": not a whole JSON object");
      }
    }

    private static void compare(String at, JsonElement old, JsonElement fresh, List<String> found) {
      if (old.isJsonObject() && fresh.isJsonObject()) {
        var names = new TreeSet<>(old.getAsJsonObject().keySet());
        names.addAll(fresh.getAsJsonObject().keySet());
        names.forEach(
            name ->
                side(
                    at + "/" + name,
                    old.getAsJsonObject().get(name),
                    fresh.getAsJsonObject().get(name),
                    found));
      } else if (old.isJsonArray() && fresh.isJsonArray()) {
        for (var i = 0;
            i < Math.max(old.getAsJsonArray().size(), fresh.getAsJsonArray().size());
            i++) {
          side(
              at + "/" + i,
              i < old.getAsJsonArray().size() ? old.getAsJsonArray().get(i) : null,
              i < fresh.getAsJsonArray().size() ? fresh.getAsJsonArray().get(i) : null,
              found);
        }
      } else if (!old.equals(fresh)) {
        found.add("~ " + at + " " + old + " -> " + fresh);
      }
    }

    private static void side(String at, JsonElement old, JsonElement fresh, List<String> found) {
      if (old == null) {
        found.add("+ " + at + " " + fresh);
      } else if (fresh == null) {
        found.add("- " + at + " " + old);
      } else {
        compare(at, old, fresh, found);
      }
    }
  }

  @Command(
      name = "retire",
      description = "Empties a storage machine.",
      synopsisSubcommandLabel = "COMMAND")
  static final class Retire implements Runnable {
    private static final long POLL_MS = 500;
    @CommandLine.ParentCommand WellwheelCtl tender;

    @Override
    public void run() {
      throw new Failure(USAGE, "retire start or status");
    }

    @Command(name = "start")
    void start(
        @Parameters(paramLabel = "NODE") String node,
        @Option(names = "--over", required = true, paramLabel = "S") double overS) {
      if (!(overS >= 0 && overS <= 86_400)) {
        throw new Failure(USAGE, "--over: outside 0 to 86400");
      }
      tender.call(
          "POST",
          "/Retire.Start/" + part(node),
          List.of(),
          ("{\"OverS\":" + overS + "}").getBytes(StandardCharsets.UTF_8));
      tender.out().println("running");
    }

    @Command(name = "status")
    void status(
        @Parameters(paramLabel = "NODE") String node,
        @Option(names = "--wait", description = "until it is finished") boolean wait)
        throws InterruptedException {
      var state = tender.read("/Retire.Read/" + part(node));
      while (wait && !state.get("State").getAsString().equals("finished")) {
        Thread.sleep(POLL_MS);
        state = tender.read("/Retire.Read/" + part(node));
      }
      tender.show(state);
    }
  }

  @Command(
      name = "rollout",
      description = "Moves work to a new handler version, step by step.",
      synopsisSubcommandLabel = "COMMAND")
  static final class ShiftOrders implements Runnable {
    @CommandLine.ParentCommand WellwheelCtl tender;

    @Override
    public void run() {
      throw new Failure(USAGE, "rollout status, set, start, hold, resume or revert");
    }

    private void order(String call, String service, byte[] body, List<String> headers) {
      var answer = tender.call("POST", "/Shift." + call + "/" + part(service), headers, body);
      tender.show(JsonParser.parseString(answer.text()));
    }

    @Command(name = "status")
    void status(@Parameters(paramLabel = "SERVICE") String service) {
      tender.show(tender.read("/Shift.Read/" + part(service)));
    }

    @Command(name = "set", description = "Gives a service a policy (JSON file).")
    void set(
        @Parameters(paramLabel = "SERVICE") String service,
        @Parameters(paramLabel = "FILE") Path path,
        @Option(names = "--based-on", paramLabel = "EPOCH") Long base) {
      order(
          "Set",
          service,
          file(path),
          base == null ? List.of() : List.of("Based-On-Version", base.toString()));
    }

    @Command(
        name = "start",
        description = "Starts a rollout to a version; also to one that was taken back.")
    void start(
        @Parameters(paramLabel = "SERVICE") String service,
        @Parameters(paramLabel = "VERSION") String version) {
      order("Start", service, version.getBytes(StandardCharsets.UTF_8), List.of());
    }

    @Command(name = "hold")
    void hold(@Parameters(paramLabel = "SERVICE") String service) {
      order("Hold", service, new byte[0], List.of());
    }

    @Command(name = "resume")
    void resume(@Parameters(paramLabel = "SERVICE") String service) {
      order("Resume", service, new byte[0], List.of());
    }

    @Command(name = "revert")
    void revert(@Parameters(paramLabel = "SERVICE") String service) {
      order("Revert", service, new byte[0], List.of());
    }
  }

  @Command(
      name = "message",
      description = "Asks an edge node for a message's state or body.",
      synopsisSubcommandLabel = "COMMAND")
  static final class MessageCalls implements Runnable {
    @CommandLine.ParentCommand WellwheelCtl tender;

    @Override
    public void run() {
      throw new Failure(USAGE, "message state or body");
    }

    private String ask(String kind, String name, String edge, String host, String key) {
      tender.control = List.of(edge);
      return tender
          .call(
              "GET",
              "/" + kind + "/" + part(name),
              List.of("Host", host, "Authorization", "Bearer " + key),
              new byte[0])
          .text();
    }

    @Command(name = "state")
    void state(
        @Parameters(paramLabel = "ID") String name,
        @Option(names = "--edge", required = true) String edge,
        @Option(names = "--host", required = true) String host,
        @Option(names = "--key", required = true) String key) {
      tender.show(JsonParser.parseString(ask("message", name, edge, host, key)));
    }

    @Command(name = "body")
    void body(
        @Parameters(paramLabel = "ID") String name,
        @Option(names = "--edge", required = true) String edge,
        @Option(names = "--host", required = true) String host,
        @Option(names = "--key", required = true) String key) {
      tender.out().print(ask("message-body", name, edge, host, key));
      tender.out().flush();
    }
  }
}
