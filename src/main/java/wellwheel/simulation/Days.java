package wellwheel.simulation;

import java.io.IOException;
import java.io.PrintWriter;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Draws a day of troubles from a seed and writes it as a file that a bench plays. */
@Command(
    name = "days",
    mixinStandardHelpOptions = true,
    description =
        "Draws a day of troubles from a seed, clustered round the acts that hurt, as a TOML file for a bench.")
public final class Days implements Callable<Integer> {
  private static final long SECOND = 1_000_000;
  private static final int MOST_AT_ONCE = 8;
  private static final long RETIRE_LEAST_US = 5 * SECOND;

  @Option(
      names = "--kinds",
      required = true,
      paramLabel = "FILE",
      description = "the kinds of trouble, as the bench lists them for a deployment")
  Path kindsFile;

  @Option(names = "--seed", required = true, description = "seed of the day")
  long seed;

  @Option(
      names = "--span",
      paramLabel = "S",
      description = "seconds of traffic (default ${DEFAULT-VALUE})")
  long span = 34;

  @Option(
      names = "--near",
      paramLabel = "POINT",
      description =
          "1 a control machine away with orders under way, 2 races and repeats, 3 a second loss, 4 hundreds of changes, 5 answers and calls")
  int near;

  @Option(
      names = "--disks",
      split = ",",
      paramLabel = "CLASS",
      description = "classes of machines with a disk (default ${DEFAULT-VALUE})")
  List<String> disks = List.of("core", "store");

  @Option(
      names = "--others",
      split = ",",
      paramLabel = "CLASS",
      description = "other classes of machines (default ${DEFAULT-VALUE})")
  List<String> others = List.of("front");

  @Option(
      names = "--services",
      split = ",",
      paramLabel = "NAME",
      description = "services that troubles may name; without them the bench picks")
  List<String> services = List.of();

  @Option(
      names = "--most",
      paramLabel = "N",
      description = "clusters of troubles at most (default ${DEFAULT-VALUE})")
  int most = 4;

  @Option(
      names = "--to",
      paramLabel = "FILE",
      description = "where to write the day; without it, to standard output")
  Optional<Path> to = Optional.empty();

  public static void main(String[] arguments) {
    System.exit(
        execute(new PrintWriter(System.out, true), new PrintWriter(System.err, true), arguments));
  }

  static int execute(PrintWriter out, PrintWriter err, String... arguments) {
    return new CommandLine(new Days())
        .setOut(out)
        .setErr(err)
        .setParameterExceptionHandler((failure, given) -> refuse(err, failure.getMessage()))
        .setExecutionExceptionHandler((failure, line, parsed) -> refuse(err, failure.getMessage()))
        .execute(arguments);
  }

  private static int refuse(PrintWriter err, String why) {
    err.println("days: " + String.valueOf(why).lines().findFirst().orElse("bad input"));
    return CommandLine.ExitCode.USAGE;
  }

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    check();
    var kinds = Kinds.parse(read());
    var day = day(kinds, new Shape(span * SECOND, disks, others, services, most), near, seed);
    if (to.isPresent()) {
      write(to.get(), day);
    } else {
      spec.commandLine().getOut().print(day);
      spec.commandLine().getOut().flush();
    }
    return 0;
  }

  private void check() {
    require(span >= 20 && span <= 3600, "--span must be 20 to 3600 seconds, not " + span);
    require(near >= 0 && near <= 5, "--near must be 1 to 5, not " + near);
    require(most >= 1 && most <= 64, "--most must be 1 to 64, not " + most);
    Stream.of(disks, others, services)
        .flatMap(List::stream)
        .forEach(
            name ->
                require(
                    name.matches("[A-Za-z0-9~_.-]+"),
                    "'" + name + "' is no name of a class or service"));
    require(!disks.isEmpty(), "--disks names no class of machines");
  }

  private String read() {
    try {
      return Files.readString(kindsFile);
    } catch (IOException failure) {
      throw new IllegalArgumentException("can't read the kinds from " + kindsFile);
    }
  }

  private static void write(Path file, String day) {
    try {
      Files.writeString(file, day);
    } catch (IOException failure) {
      throw new IllegalArgumentException("can't write the day to " + file);
    }
  }

  private static void require(boolean holds, String why) {
    if (!holds) {
      throw new IllegalArgumentException(why);
    }
  }

  static String day(Kinds kinds, Shape shape, int near, long seed) {
    var draw = new Draw(kinds, shape, near, seed);
    draw.near(near);
    draw.acts();
    return draw.toml(near == 0 ? "days-" + seed : "days-near-" + near + "-" + seed);
  }

  record Shape(
      long spanUs, List<String> disks, List<String> others, List<String> services, int most) {
    Shape {
      disks = List.copyOf(disks);
      others = List.copyOf(others);
      services = List.copyOf(services);
    }

    List<String> machines() {
      return Stream.concat(disks.stream(), others.stream()).toList();
    }

    Optional<String> disk(String wished) {
      return disks.contains(wished) ? Optional.of(wished) : Optional.of(disks.get(0));
    }
  }

  record Kind(
      String name, Map<String, Double> defaults, Set<String> fields, List<String> variants) {
    private static final Pattern HOW = Pattern.compile("\\bhow(?: ([a-z_]+))?: ");
    private static final Pattern FIELD =
        Pattern.compile("\\b(share|count|x|gap_s|for_s)\\b(?: (?:ms|s))?(?: \\(([0-9.]+)\\))?");

    static Kind parse(String name, String text) {
      var defaults = new LinkedHashMap<String, Double>();
      var fields = new LinkedHashSet<String>();
      FIELD
          .matcher(text)
          .results()
          .forEach(
              match -> {
                fields.add(match.group(1));
                Optional.ofNullable(match.group(2))
                    .ifPresent(
                        value -> defaults.putIfAbsent(match.group(1), Double.parseDouble(value)));
              });
      var variants =
          HOW.matcher(text)
              .results()
              .flatMap(
                  match ->
                      Optional.ofNullable(match.group(1))
                          .map(Stream::of)
                          .orElseGet(() -> words(text.substring(match.end())).stream()))
              .distinct()
              .toList();
      return new Kind(name, defaults, fields, variants);
    }

    static List<String> words(String list) {
      var plain = new StringBuilder();
      var depth = 0;
      for (var letter : list.toCharArray()) {
        depth += letter == '(' ? 1 : letter == ')' ? -1 : 0;
        if (depth < 0 || depth == 0 && (letter == ';' || letter == '.')) {
          break;
        }
        plain.append(depth == 0 && letter != ')' ? letter : ' ');
      }
      return Arrays.stream(plain.toString().split("[ ,+]+"))
          .filter(word -> word.matches("[a-z_]+") && !Set.of("and", "or").contains(word))
          .toList();
    }

    boolean servers() {
      return name.startsWith("srv_")
          || Set.of("answer_lost", "garble", "release", "idle_race").contains(name);
    }

    boolean disk() {
      return Stream.of("disk_", "after_ack_", "replace_", "core_cut").anyMatch(name::startsWith);
    }

    boolean machines() {
      return disk()
          || Stream.of("node_", "roll_", "add_", "herd_").anyMatch(name::startsWith)
          || Set.of("hup", "reset_conns").contains(name);
    }

    boolean orders() {
      return name.startsWith("config_")
          || Set.of("revoke", "bad_config", "ack_lost", "retire").contains(name);
    }

    boolean cuts() {
      return name.endsWith("_cut");
    }

    boolean planned() {
      return Set.of(
              "config_change",
              "config_race",
              "revoke",
              "bad_config",
              "retire",
              "release",
              "roll_term",
              "add_nodes",
              "hup")
          .contains(name);
    }

    boolean steps() {
      return fields.contains("gap_s") && !fields.contains("for_s");
    }
  }

  record Kinds(
      Map<String, Kind> all,
      List<String> serverWords,
      List<String> machineWords,
      List<String> followers,
      Map<String, List<String>> ownWords,
      List<String> cutWords,
      List<String> closings,
      List<String> closingWords,
      double forS) {
    private static final Pattern LINE = Pattern.compile("(?m)^([a-z][a-z_]*): (.+)$");
    private static final Pattern CLOSING =
        Pattern.compile("closing = \\{ kind = ([a-z_]+(?: \\| [a-z_]+)*)(.*)");
    private static final Pattern OWN = Pattern.compile("and, for ([a-z_]+), ([a-z_]+)");

    static Kinds parse(String text) {
      var all =
          LINE.matcher(text)
              .results()
              .map(match -> Kind.parse(match.group(1), match.group(2)))
              .collect(
                  Collectors.toMap(
                      Kind::name, kind -> kind, (first, second) -> first, LinkedHashMap::new));
      require(!all.isEmpty(), "the kinds file lists no kind of trouble");
      var closing = CLOSING.matcher(text).results().findFirst();
      var closings = closing.map(match -> List.of(match.group(1).split(" \\| "))).orElse(List.of());
      var closingWords =
          closing.map(match -> Kind.parse("closing", match.group(2)).variants()).orElse(List.of());
      var followers = after(text, "After these may stand ");
      var own =
          OWN.matcher(text)
              .results()
              .collect(
                  Collectors.toMap(
                      match -> match.group(1),
                      match -> List.of(match.group(2)),
                      (first, second) -> first));
      var spare =
          Stream.concat(own.keySet().stream(), own.values().stream().flatMap(List::stream))
              .collect(Collectors.toSet());
      spare.add("for");
      var forS =
          Pattern.compile("for_s: [a-z ]+\\(([0-9.]+)\\)")
              .matcher(text)
              .results()
              .findFirst()
              .map(match -> Double.parseDouble(match.group(1)))
              .orElse(5.0);
      return new Kinds(
          all,
          after(text, "For servers, 'how' may also hold "),
          after(text, "For machines, 'how' may also hold "),
          followers.stream().filter(word -> !spare.contains(word)).toList(),
          own,
          after(text, "unless 'how' holds "),
          closings,
          closingWords,
          forS);
    }

    private static List<String> after(String text, String lead) {
      var at = text.indexOf(lead);
      return at < 0
          ? List.of()
          : Kind.words(text.substring(at + lead.length()).lines().findFirst().orElse(""));
    }

    Optional<Kind> named(String name) {
      return Optional.ofNullable(all.get(name));
    }
  }

  record Entry(long atUs, Kind kind, Map<String, Object> fields, long untilUs) {
    String toml() {
      return "  { at = "
          + number(atUs / (double) SECOND)
          + ", kind = \""
          + kind.name()
          + "\""
          + fields.entrySet().stream()
              .map(field -> ", " + field.getKey() + " = " + shown(field.getValue()))
              .collect(Collectors.joining())
          + " },\n";
    }

    private static String shown(Object value) {
      return value instanceof String word
          ? "\"" + word + "\""
          : value instanceof Double fraction ? number(fraction) : value.toString();
    }
  }

  private static String number(double value) {
    var plain = BigDecimal.valueOf(value).setScale(3, RoundingMode.HALF_UP).stripTrailingZeros();
    return (plain.scale() < 1 ? plain.setScale(1) : plain).toPlainString();
  }

  /** What an entry is to be like; what is left open is drawn. */
  record Wish(
      List<String> kinds,
      Optional<String> on,
      List<String> how,
      long forLeastUs,
      long forMostUs,
      int countLeast,
      int countMost,
      double gapMost) {
    static Wish of(String... kinds) {
      return new Wish(List.of(kinds), Optional.empty(), List.of(), 0, 0, 0, 0, 0);
    }

    Wish on(String machines) {
      return new Wish(
          kinds, Optional.of(machines), how, forLeastUs, forMostUs, countLeast, countMost, gapMost);
    }

    Wish how(String... words) {
      return new Wish(
          kinds, on, List.of(words), forLeastUs, forMostUs, countLeast, countMost, gapMost);
    }

    Wish lasting(long leastUs, long mostUs) {
      return new Wish(kinds, on, how, leastUs, mostUs, countLeast, countMost, gapMost);
    }

    Wish count(int least, int most, double gap) {
      return new Wish(kinds, on, how, forLeastUs, forMostUs, least, most, gap);
    }
  }

  private static final class Draw {
    private final Kinds kinds;
    private final Shape shape;
    private final long seed;
    private final SplittableRandom random;
    private final List<Entry> entries = new ArrayList<>();
    private Optional<String> closing = Optional.empty();

    Draw(Kinds kinds, Shape shape, int near, long seed) {
      this.kinds = kinds;
      this.shape = shape;
      this.seed = seed;
      this.random = new SplittableRandom(seed ^ near * 0x9E3779B97F4A7C15L);
    }

    void near(int point) {
      var before = entries.size();
      switch (point) {
        case 1 -> controlAway();
        case 2 -> races();
        case 3 -> secondLoss();
        case 4 -> manyChanges();
        case 5 -> answers();
        default -> {}
      }
      require(
          point == 0 || entries.size() > before, "the kinds file lists no kind of point " + point);
    }

    private void controlAway() {
      var at = between(5 * SECOND, Math.max(6 * SECOND, shape.spanUs() - 24 * SECOND));
      wish(
          at,
          Wish.of("core_cut", "node_freeze", "node_cut")
              .on("core")
              .how("leader", "leader race", "leader meet", "leader one_way", "", "leader race hard")
              .lasting(18 * SECOND, 22 * SECOND)
              .count(1, 1, 1));
      wish(at - 2 * SECOND, Wish.of("ack_lost").lasting(10 * SECOND, 25 * SECOND));
      wish(at - between(0, 3 * SECOND), Wish.of("config_race").count(10, 40, 0.8));
      wish(at + between(0, 4 * SECOND), Wish.of("revoke").count(2, 6, 2));
      times(2, 4, () -> wish(at + between(-SECOND, 22 * SECOND), Wish.of("config_change")));
      times(
          0,
          2,
          () ->
              wish(
                  at + between(SECOND, 20 * SECOND),
                  Wish.of("node_kill", "roll_term", "clock_step", "node_freeze", "disk_stall")
                      .on("core")
                      .how("leader", "")
                      .lasting(SECOND / 2, 3 * SECOND)
                      .count(1, 1, 1)));
    }

    private void races() {
      var at = between(SECOND, 6 * SECOND);
      wish(at, Wish.of("config_race").count(20, 60, 0.4));
      wish(at + between(0, 8 * SECOND), Wish.of("config_race").count(5, 30, 0.6));
      times(
          1,
          2,
          () ->
              wish(
                  at + between(0, 10 * SECOND),
                  Wish.of("ack_lost").lasting(8 * SECOND, 25 * SECOND)));
      times(
          1,
          3,
          () ->
              wish(
                  moment(),
                  Wish.of("node_kill", "core_cut", "roll_term", "node_freeze")
                      .on("core")
                      .how(
                          "leader race",
                          "leader race hard",
                          "leader race drain hard",
                          "leader meet",
                          "power leader race")
                      .lasting(SECOND, 4 * SECOND)
                      .count(1, 1, 1)));
      times(
          1,
          2,
          () ->
              wish(
                  moment(),
                  Wish.of("bad_config").how("old_version", "same_version").count(2, 8, 1)));
      wish(moment(), Wish.of("revoke").count(2, 6, 1));
      times(
          0,
          2,
          () ->
              wish(
                  moment(),
                  Wish.of("after_ack_kill", "after_ack_wipe")
                      .on("core")
                      .how("", "timed", "kill")
                      .lasting(SECOND, 3 * SECOND)
                      .count(1, 1, 1)));
    }

    private void secondLoss() {
      times(
          2,
          3,
          () -> {
            var on = pick(List.of("core", "store", "store"));
            var at = between(2 * SECOND, shape.spanUs() - 12 * SECOND);
            wish(
                at,
                Wish.of(
                        "replace_core",
                        "replace_core",
                        "after_ack_wipe",
                        "retire",
                        "add_nodes",
                        "node_kill")
                    .on(on)
                    .how("", "planned", "wipe", "power")
                    .lasting(SECOND, 6 * SECOND)
                    .count(1, 1, 1));
            var overUs = entries.isEmpty() ? at : entries.get(entries.size() - 1).untilUs();
            times(
                1,
                2,
                () ->
                    wish(
                        random.nextBoolean()
                            ? at + between(SECOND / 5, 9 * SECOND)
                            : overUs + between(-SECOND / 2, 4 * SECOND),
                        Wish.of(
                                "after_ack_wipe",
                                "after_ack_wipe",
                                "after_ack_kill",
                                "node_kill",
                                "core_cut",
                                "replace_core",
                                "node_freeze",
                                "disk_stall")
                            .on(on)
                            .how("", "power", "taken", "reset")
                            .lasting(SECOND, 5 * SECOND)
                            .count(1, 1, 1)));
          });
      times(1, 2, () -> wish(moment(), Wish.of("config_change", "config_race", "revoke")));
      close();
    }

    private void manyChanges() {
      var at = between(SECOND, 3 * SECOND);
      var length = shape.spanUs();
      wish(at, Wish.of("config_race").count(100, 300, Math.max(0.05, length / 2.0 / 300 / SECOND)));
      wish(
          at + between(0, 3 * SECOND),
          Wish.of("node_kill", "core_cut", "node_freeze")
              .on("core")
              .how("", "power", "leader")
              .lasting(length / 3, length / 2)
              .count(1, 1, 1));
      times(
          1,
          2,
          () ->
              wish(
                  at + length / 2 + between(0, 4 * SECOND),
                  Wish.of("node_kill", "roll_term", "after_ack_wipe", "core_cut", "after_ack_kill")
                      .on("core")
                      .how("leader", "leader race", "")
                      .lasting(SECOND, 4 * SECOND)
                      .count(1, 1, 1)));
      times(
          0,
          2,
          () ->
              wish(
                  moment(),
                  Wish.of("disk_slow", "node_slow", "reset_conns", "revoke")
                      .on("core")
                      .lasting(4 * SECOND, 12 * SECOND)
                      .count(1, 1, 1)));
      close();
    }

    private void answers() {
      times(
          2,
          3,
          () ->
              wish(
                  moment(),
                  Wish.of("answer_lost").how("", "reset").lasting(3 * SECOND, 10 * SECOND)));
      times(
          1,
          3,
          () ->
              wish(
                  moment(),
                  Wish.of("garble")
                      .how("extra", "extra late", "")
                      .lasting(3 * SECOND, 10 * SECOND)));
      times(
          1,
          3,
          () ->
              wish(moment(), Wish.of("reset_conns", "idle_race").lasting(2 * SECOND, 6 * SECOND)));
      times(
          1,
          3,
          () ->
              wish(
                  moment(),
                  Wish.of("node_freeze").on(pick(shape.machines())).lasting(SECOND, 5 * SECOND)));
      times(
          1,
          3,
          () ->
              wish(
                  moment(),
                  Wish.of("roll_term", "node_kill", "hup", "srv_crash", "release")
                      .on(pick(shape.machines()))
                      .how("", "busy", "power", "dark")
                      .lasting(SECOND, 4 * SECOND)));
    }

    void acts() {
      IntStream.range(0, 1 + random.nextInt(shape.most())).forEach(cluster -> cluster(moment()));
      if (closing.isEmpty() && random.nextInt(10) < 6) {
        close();
      }
      if (entries.isEmpty()) {
        add(moment(), any(), Wish.of());
      }
    }

    private void cluster(long atUs) {
      hurt(atUs);
      IntStream.range(0, random.nextInt(MOST_AT_ONCE))
          .forEach(again -> add(clamp(atUs + between(-2 * SECOND, 5 * SECOND)), any(), Wish.of()));
      if (random.nextInt(3) == 0 && !entries.isEmpty()) {
        var former = entries.get(random.nextInt(entries.size()));
        add(clamp(former.untilUs() + between(0, 3 * SECOND)), former.kind(), Wish.of());
      }
    }

    private void hurt(long atUs) {
      var short1 = Wish.of().lasting(SECOND, 5 * SECOND);
      switch (random.nextInt(7)) {
        case 0 ->
            wish(
                atUs,
                like(short1, "node_kill", "node_freeze", "core_cut", "after_ack_kill", "roll_term")
                    .on("core")
                    .how("leader", "leader race", "leader race drain hard", "leader meet")
                    .count(1, 1, 1));
        case 1 ->
            wish(
                atUs,
                like(short1, "after_ack_wipe", "node_kill")
                    .on("store")
                    .how("", "power")
                    .count(1, 1, 1));
        case 2 ->
            wish(atUs, like(short1, "replace_core").on(pick(shape.disks())).how("", "planned"));
        case 3 -> wish(atUs, Wish.of("retire").how("", "wipe").lasting(5 * SECOND, 11 * SECOND));
        case 4 -> {
          wish(
              atUs,
              like(short1, "core_cut", "node_freeze", "node_kill")
                  .on("core")
                  .lasting(5 * SECOND, 12 * SECOND)
                  .count(1, 1, 1));
          wish(atUs + SECOND, Wish.of("config_race").count(5, 30, 0.5));
        }
        case 5 ->
            wish(
                atUs,
                like(short1, "roll_term", "herd_kill")
                    .on(pick(shape.machines()))
                    .how("", "busy", "power"));
        default -> close();
      }
    }

    private static Wish like(Wish wish, String... names) {
      return new Wish(
          List.of(names),
          wish.on(),
          wish.how(),
          wish.forLeastUs(),
          wish.forMostUs(),
          wish.countLeast(),
          wish.countMost(),
          wish.gapMost());
    }

    private void close() {
      if (kinds.closings().isEmpty() || closing.isPresent()) {
        return;
      }
      var how =
          random.nextInt(3) == 0 || kinds.closingWords().isEmpty()
              ? ""
              : ", how = \"" + pick(kinds.closingWords()) + "\"";
      closing =
          Optional.of(
              "closing = { kind = \""
                  + pick(kinds.closings())
                  + "\", down_s = "
                  + number(0.3 + random.nextDouble() * 2.5)
                  + how
                  + " }\n");
    }

    private void wish(long atUs, Wish wish) {
      var fitting = wish.kinds().stream().flatMap(name -> kinds.named(name).stream()).toList();
      if (!fitting.isEmpty()) {
        add(clamp(atUs), pick(fitting), wish);
      }
    }

    private void add(long atUs, Kind kind, Wish wish) {
      var fields = new LinkedHashMap<String, Object>();
      if (kind.machines()) {
        machines(kind, wish).ifPresent(on -> fields.put("on", on));
      } else if (kind.servers() && !shape.services().isEmpty() && random.nextBoolean()) {
        fields.put("service", pick(shape.services()));
      }
      size(kind, wish, fields);
      var lastsUs = lasting(kind, wish, fields);
      how(kind, wish, fields).ifPresent(words -> fields.put("how", words));
      var entry = new Entry(atUs, kind, fields, atUs + lastsUs);
      if (atOnce(entry) < MOST_AT_ONCE) {
        entries.add(entry);
      }
    }

    private long atOnce(Entry entry) {
      var starts =
          entries.stream()
              .map(Entry::atUs)
              .filter(at -> at >= entry.atUs() && at <= entry.untilUs());
      return Stream.concat(Stream.of(entry.atUs()), starts)
          .mapToLong(
              at ->
                  entries.stream()
                      .filter(other -> other.atUs() <= at && at <= other.untilUs())
                      .count())
          .max()
          .orElse(0);
    }

    private Optional<String> machines(Kind kind, Wish wish) {
      return wish.on()
          .filter(
              on -> shape.machines().contains(on) && (!kind.disk() || shape.disks().contains(on)))
          .or(
              () ->
                  random.nextInt(8) == 0 && !kind.disk()
                      ? Optional.empty()
                      : Optional.of(pick(kind.disk() ? shape.disks() : shape.machines())));
    }

    private void size(Kind kind, Wish wish, Map<String, Object> fields) {
      var few = fields.containsKey("on") && shape.disks().contains(fields.get("on"));
      if (wish.countMost() > 0 && (few || kind.fields().contains("count"))) {
        fields.put(
            "count", wish.countLeast() + random.nextInt(wish.countMost() - wish.countLeast() + 1));
      } else if (kind.fields().contains("count") || few && kind.fields().contains("share")) {
        fields.put("count", 1 + random.nextInt(kind.orders() ? 6 : 2));
      } else if (kind.fields().contains("share")) {
        fields.put(
            "share",
            Math.min(
                1, kind.defaults().getOrDefault("share", 0.2) * pick(List.of(0.5, 1.0, 2.0, 4.0))));
      }
      if (kind.fields().contains("x")) {
        fields.put("x", strength(kind.defaults().getOrDefault("x", 2.0)));
      }
      if (kind.fields().contains("gap_s")) {
        fields.put(
            "gap_s",
            wish.gapMost() > 0
                ? Math.max(0.02, random.nextDouble() * wish.gapMost())
                : 0.05 + random.nextDouble() * 2);
      }
    }

    private double strength(double usual) {
      var drawn = usual * pick(List.of(0.5, 1.0, 1.0, 2.0, 3.0));
      return usual < 1 ? Math.min(1, drawn) : Math.max(1, Math.rint(drawn));
    }

    private long lasting(Kind kind, Wish wish, Map<String, Object> fields) {
      if (kind.steps()) {
        var steps = fields.get("count") instanceof Integer count ? count : 5;
        return Math.round(steps * (fields.get("gap_s") instanceof Double gap ? gap : 1) * SECOND);
      }
      var forUs =
          wish.forMostUs() > 0
              ? between(wish.forLeastUs(), wish.forMostUs())
              : between(
                  SECOND / 5,
                  Math.round(kinds.forS() * pick(List.of(0.5, 1.0, 1.5, 3.0)) * SECOND));
      var lastsUs = kind.name().equals("retire") ? Math.max(RETIRE_LEAST_US, forUs) : forUs;
      fields.put("for_s", lastsUs / (double) SECOND);
      return lastsUs;
    }

    private Optional<String> how(Kind kind, Wish wish, Map<String, Object> fields) {
      var words = new LinkedHashSet<String>();
      if (!wish.how().isEmpty() && random.nextInt(5) > 0) {
        Arrays.stream(pick(wish.how()).split(" "))
            .filter(word -> known(kind).contains(word))
            .forEach(words::add);
      } else {
        drawn(kind, words);
      }
      return Optional.of(String.join(" ", words)).filter(text -> !text.isEmpty());
    }

    private Set<String> known(Kind kind) {
      var words = new LinkedHashSet<>(kind.variants());
      words.addAll(kinds.ownWords().getOrDefault(kind.name(), List.of()));
      words.addAll(kind.servers() ? kinds.serverWords() : List.of());
      words.addAll(kind.machines() ? kinds.machineWords() : List.of());
      words.addAll(kind.machines() ? kinds.followers() : List.of());
      words.addAll(kind.cuts() ? kinds.cutWords() : List.of());
      return words;
    }

    private void drawn(Kind kind, Set<String> words) {
      maybe(kind.variants(), kind.orders() ? 0 : 2, words);
      maybe(kinds.ownWords().getOrDefault(kind.name(), List.of()), 2, words);
      maybe(kind.cuts() ? kinds.cutWords() : List.of(), 2, words);
      maybe(kind.servers() ? kinds.serverWords() : List.of(), 3, words);
      maybe(kind.machines() ? kinds.machineWords() : List.of(), 2, words);
      if (kind.machines() && random.nextInt(3) == 0) {
        kinds.followers().stream().filter(word -> random.nextInt(2) == 0).forEach(words::add);
      }
    }

    private void maybe(List<String> from, int oneIn, Set<String> words) {
      if (!from.isEmpty() && (oneIn == 0 || random.nextInt(oneIn) == 0)) {
        words.add(pick(from));
      }
    }

    private Kind any() {
      return pick(List.copyOf(kinds.all().values()));
    }

    private void times(int least, int most, Runnable step) {
      IntStream.range(0, least + random.nextInt(most - least + 1)).forEach(again -> step.run());
    }

    private long moment() {
      return between(SECOND, shape.spanUs() - 4 * SECOND);
    }

    private long clamp(long atUs) {
      return Math.max(SECOND, Math.min(atUs, shape.spanUs() - SECOND));
    }

    private long between(long leastUs, long mostUs) {
      return leastUs + (mostUs > leastUs ? random.nextLong(mostUs - leastUs) / 1000 * 1000 : 0);
    }

    private <T> T pick(List<T> from) {
      return from.get(random.nextInt(from.size()));
    }

    String toml(String name) {
      return "name = \""
          + name
          + "\"\nslot = \"trouble\"\nseed = "
          + (seed & 0xfffffff)
          + "\nlength_s = "
          + number(shape.spanUs() / (double) SECOND)
          + "\n"
          + closing.orElse("")
          + list("plan", true)
          + list("faults", false);
    }

    private String list(String name, boolean planned) {
      return entries.stream()
          .filter(entry -> entry.kind().planned() == planned)
          .sorted(Comparator.comparingLong(Entry::atUs))
          .map(Entry::toml)
          .collect(Collectors.joining("", name + " = [\n", "]\n"));
    }
  }
}
