package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DaysTest {
  private static final String KINDS =
      """
        Each entry has 'at' (seconds) and 'kind'. for_s: how long (4). gap_s: time between steps (1).
        For servers, 'how' may also hold wide (of all copies) and every (none is spared). For machines, 'how' may also hold chief (the one that acted last) or seedling. After these may stand greet (a change is sent, as it returns), pair (two at once), stern (again and again) and, for roll_term, filled (each is stopped, while it answers). Cuts are silent unless 'how' holds torn or denied.
        closing = { kind = dark_all | wipe_all, down_s } strikes at the end (how clocked: 5 to 400 ms after; how held: right after)

        srv_crash: share (.15) of a service's servers are down for for_s; how: dark (silent), gone (for good)
        srv_grey: share (.15) fail x (.4) of their requests; how: errors hang mute, slow (x (8) times as long), + one_zone (only for callers in to_zone)
        srv_lying: share (.15) say well and fail all (how: moaning freezing), or say ill and are well (how: bad)
        answer_lost: share (.5) lose the answer of x (.03) of the requests that they ran
        garble: share (.5) break off x (.02) of their answers; how: extra (also a second answer)
        release: share (.5) are replaced, x (1) at a time, each gap_s; the new one starts first
        node_kill: share (.1) of the machines; how: power (dark for for_s)
        node_freeze: share (.1) stand still
        roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s, and start again; how: remove (they leave)
        add_nodes: count (all spare ones) machines are added
        replace_core: one is gone for good, an empty one comes x s (1) later; how: planned (the new one first, then SIGTERM)
        after_ack_kill: the machine that acknowledges (and count - 1 more) loses power; how: kill, timed (5 to 400 ms), taken (the one that accepted)
        core_cut: count (1) are cut off; how: one_way, seeds (new seeds, and some restart), both (first these, then those)
        config_change: how: route weights quota
        retire: a store machine is to be emptied in for_s; how: wipe (others lose their disks right after)
        config_race: count (1) pairs of changes on the same version, each gap_s

        these may come too:
        herd_kill: share (.6) are killed at once; how: power; on core: all of them; how struck: all lose power
        clock_step: the time of day jumps by x ms (2000) on share (.3) of all machines and back after for_s; how: back ahead
        disk_stall: count (1) disks answer nothing
        reset_conns: share (.1) have x (.5) of their connections reset
        ack_lost: a share x (.7) of the acks is lost
        """;
  private static final Days.Shape SHAPE =
      new Days.Shape(40_000_000, List.of("core", "store"), List.of("front"), List.of("ledger"), 4);
  private static final Pattern ENTRY =
      Pattern.compile("\\{ at = ([0-9.]+), kind = \"([a-z_]+)\"(.*) },");

  private static String day(int near, long seed) {
    return Days.day(Days.Kinds.parse(KINDS), SHAPE, near, seed);
  }

  private static List<MatchResult> entries(String day) {
    return ENTRY.matcher(day).results().toList();
  }

  private static double field(MatchResult entry, String name, double otherwise) {
    return Pattern.compile("\\b" + name + " = ([0-9.]+)")
        .matcher(entry.group(3))
        .results()
        .findFirst()
        .map(match -> Double.parseDouble(match.group(1)))
        .orElse(otherwise);
  }

  private static Stream<String> words(MatchResult entry) {
    return Pattern.compile("how = \"([a-z_ ]+)\"")
        .matcher(entry.group(3))
        .results()
        .flatMap(match -> Arrays.stream(match.group(1).split(" ")));
  }

  private static Stream<String> manyDays() {
    return IntStream.rangeClosed(0, 5)
        .boxed()
        .flatMap(near -> LongStream.range(0, 200).mapToObj(seed -> day(near, seed)));
  }

  @Test
  void readsTheVariantsOfEachKindAndNothingElse() {
    var kinds = Days.Kinds.parse(KINDS);
    assertThat(kinds.all()).hasSize(21);
    assertThat(kinds.all().get("srv_grey").variants())
        .containsExactly("errors", "hang", "mute", "slow", "one_zone")
        .inOrder();
    assertThat(kinds.all().get("srv_lying").variants())
        .containsExactly("moaning", "freezing", "bad")
        .inOrder();
    assertThat(kinds.all().get("herd_kill").variants())
        .containsExactly("power", "struck")
        .inOrder();
    assertThat(kinds.all().get("core_cut").variants())
        .containsExactly("one_way", "seeds", "both")
        .inOrder();
    assertThat(kinds.all().get("node_freeze").variants()).isEmpty();
    assertThat(kinds.serverWords()).containsExactly("wide", "every").inOrder();
    assertThat(kinds.machineWords()).containsExactly("chief", "seedling").inOrder();
    assertThat(kinds.followers()).containsExactly("greet", "pair", "stern").inOrder();
    assertThat(kinds.ownWords()).containsExactly("roll_term", List.of("filled"));
    assertThat(kinds.cutWords()).containsExactly("torn", "denied").inOrder();
    assertThat(kinds.closings()).containsExactly("dark_all", "wipe_all").inOrder();
    assertThat(kinds.closingWords()).containsExactly("clocked", "held").inOrder();
    assertThat(kinds.forS()).isEqualTo(4.0);
    assertThat(kinds.all().get("clock_step").defaults()).containsExactly("x", 2000.0, "share", 0.3);
  }

  @Test
  void theSameSeedDrawsTheSameBytesAndAnotherSeedOthers() {
    IntStream.rangeClosed(0, 5)
        .forEach(
            near ->
                LongStream.range(0, 50)
                    .forEach(seed -> assertThat(day(near, seed)).isEqualTo(day(near, seed))));
    assertThat(LongStream.range(0, 200).mapToObj(seed -> day(0, seed)).distinct().count())
        .isEqualTo(200);
    assertThat(
            IntStream.rangeClosed(0, 5)
                .mapToObj(near -> day(near, 7))
                .map(day -> day.substring(day.indexOf("plan")))
                .distinct()
                .count())
        .isEqualTo(6);
  }

  @Test
  void everyKindWithEveryVariantComesUp() {
    var seen = new HashSet<String>();
    LongStream.range(0, 3000)
        .mapToObj(seed -> day(0, seed))
        .forEach(
            day ->
                entries(day)
                    .forEach(
                        entry -> {
                          seen.add(entry.group(2));
                          words(entry).forEach(word -> seen.add(entry.group(2) + " " + word));
                        }));
    var kinds = Days.Kinds.parse(KINDS);
    var wanted = new TreeSet<String>();
    kinds
        .all()
        .values()
        .forEach(
            kind -> {
              wanted.add(kind.name());
              kind.variants().forEach(word -> wanted.add(kind.name() + " " + word));
            });
    List.of(
            "srv_crash wide",
            "garble every",
            "node_kill chief",
            "node_freeze seedling",
            "core_cut torn",
            "core_cut denied",
            "node_kill greet",
            "core_cut pair",
            "disk_stall stern",
            "roll_term filled")
        .forEach(wanted::add);
    assertThat(seen).containsAtLeastElementsIn(wanted);
  }

  @Test
  void everyClosingFaultComesUp() {
    var days = LongStream.range(0, 300).mapToObj(seed -> day(3, seed)).toList();
    List.of("kind = \"dark_all\"", "kind = \"wipe_all\"", "how = \"clocked\"", "how = \"held\"")
        .forEach(
            wanted ->
                assertThat(
                        days.stream()
                            .flatMap(String::lines)
                            .filter(line -> line.startsWith("closing"))
                            .anyMatch(line -> line.contains(wanted)))
                    .isTrue());
  }

  @Test
  void keepsItsBounds() {
    manyDays()
        .forEach(
            day -> {
              var entries = entries(day);
              assertThat(entries).isNotEmpty();
              assertThat(day.lines().filter(line -> line.startsWith("  {")).count())
                  .isEqualTo(entries.size());
              entries.forEach(
                  entry -> {
                    assertWithMessage(entry.group())
                        .that(Double.parseDouble(entry.group(1)))
                        .isAtLeast(1.0);
                    assertWithMessage(entry.group())
                        .that(Double.parseDouble(entry.group(1)))
                        .isAtMost(39.0);
                    assertWithMessage(entry.group())
                        .that(field(entry, "share", 0.5))
                        .isGreaterThan(0.0);
                    assertWithMessage(entry.group()).that(field(entry, "share", 0.5)).isAtMost(1.0);
                    assertWithMessage(entry.group()).that(field(entry, "count", 1)).isAtLeast(1.0);
                    assertWithMessage(entry.group()).that(field(entry, "x", 1)).isGreaterThan(0.0);
                    assertWithMessage(entry.group())
                        .that(field(entry, "gap_s", 1))
                        .isGreaterThan(0.0);
                  });
            });
  }

  @Test
  void atMostEightTroublesRunAtAnyMoment() {
    manyDays()
        .forEach(
            day -> {
              var entries = entries(day);
              entries.forEach(
                  entry -> {
                    var at = Double.parseDouble(entry.group(1));
                    assertWithMessage(day)
                        .that(
                            entries.stream()
                                .filter(
                                    other ->
                                        Double.parseDouble(other.group(1)) <= at
                                            && at
                                                <= Double.parseDouble(other.group(1))
                                                    + field(other, "for_s", 0))
                                .count())
                        .isAtMost(8);
                  });
            });
  }

  @Test
  void aRetirementGetsFiveSecondsAtLeast() {
    var retirements =
        manyDays()
            .flatMap(day -> entries(day).stream())
            .filter(entry -> entry.group(2).equals("retire"))
            .toList();
    assertThat(retirements).isNotEmpty();
    retirements.forEach(
        entry -> assertWithMessage(entry.group()).that(field(entry, "for_s", 0)).isAtLeast(5.0));
  }

  @Test
  void drawsTheSameKindMoreThanOnceAndEightAtOnce() {
    var days =
        LongStream.range(0, 300)
            .mapToObj(seed -> entries(day(0, seed)).stream().map(entry -> entry.group(2)).toList())
            .toList();
    assertThat(days.stream().filter(kinds -> new HashSet<>(kinds).size() < kinds.size()).count())
        .isGreaterThan(100);
    assertThat(days.stream().mapToInt(List::size).min().getAsInt()).isAtMost(2);
    assertThat(days.stream().mapToInt(List::size).max().getAsInt()).isAtLeast(12);
  }

  @Test
  void eachPointDrawsWhatItIsAbout() {
    LongStream.range(0, 100)
        .forEach(
            seed -> {
              assertThat(
                      entries(day(1, seed)).stream()
                          .anyMatch(
                              entry ->
                                  entry.group(3).contains("on = \"core\"")
                                      && field(entry, "for_s", 0) >= 18))
                  .isTrue();
              assertThat(
                      entries(day(2, seed)).stream()
                          .filter(entry -> entry.group(2).equals("config_race"))
                          .mapToDouble(entry -> field(entry, "count", 1))
                          .sum())
                  .isAtLeast(20.0);
              assertThat(day(2, seed)).contains("ack_lost");
              assertThat(
                      entries(day(3, seed)).stream()
                          .filter(
                              entry ->
                                  entry.group(3).contains("on = \"core\"")
                                      || entry.group(3).contains("on = \"store\""))
                          .count())
                  .isAtLeast(2);
              assertThat(
                      entries(day(4, seed)).stream()
                          .anyMatch(
                              entry ->
                                  entry.group(2).equals("config_race")
                                      && field(entry, "count", 1) >= 100))
                  .isTrue();
              assertThat(day(5, seed)).contains("answer_lost");
              assertThat(day(5, seed)).contains("garble");
            });
  }

  @Test
  void namesOnlyTheMachinesAndServicesItWasGiven() {
    var narrow = new Days.Shape(40_000_000, List.of("vault"), List.of(), List.of(), 4);
    LongStream.range(0, 200)
        .mapToObj(seed -> Days.day(Days.Kinds.parse(KINDS), narrow, 1, seed))
        .forEach(
            day ->
                entries(day)
                    .forEach(
                        entry ->
                            assertThat(entry.group(3).replace("on = \"vault\"", ""))
                                .doesNotContainMatch("\\b(on|service) = ")));
  }

  private static List<String> refused(String... arguments) {
    var out = new StringWriter();
    var err = new StringWriter();
    assertThat(Days.execute(new PrintWriter(out, true), new PrintWriter(err, true), arguments))
        .isEqualTo(2);
    assertThat(out.toString()).isEmpty();
    return err.toString().lines().toList();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "--seed q",
        "--seed 1 --span 5",
        "--seed 1 --span 3601",
        "--seed 1 --near 6",
        "--seed 1 --near -1",
        "--seed 1 --most 0",
        "--seed 1 --disks a\"b",
        "--seed 1 --unheard",
        "",
        "--seed 1 --to /nowhere/at/all"
      })
  void badWordsAreRefusedInOneLine(String words, @TempDir Path folder) throws Exception {
    var kinds = Files.writeString(folder.resolve("kinds"), KINDS);
    var lines =
        refused(
            Stream.concat(
                    Stream.of("--kinds", kinds.toString()),
                    Arrays.stream(words.split(" ")).filter(word -> !word.isEmpty()))
                .toArray(String[]::new));
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0)).startsWith("days: ");
  }

  @Test
  void aFileThatListsNoKindsIsRefusedInOneLine(@TempDir Path folder) throws Exception {
    var empty = Files.writeString(folder.resolve("kinds"), "Nothing here.\n");
    assertThat(refused("--kinds", empty.toString(), "--seed", "1"))
        .containsExactly("days: the kinds file lists no kind of trouble");
    assertThat(refused("--kinds", folder.resolve("none").toString(), "--seed", "1"))
        .containsExactly("days: can't read the kinds from " + folder.resolve("none"));
    var few =
        Files.writeString(folder.resolve("few"), "disk_stall: count (1) disks answer nothing\n");
    assertThat(refused("--kinds", few.toString(), "--seed", "1", "--near", "5"))
        .containsExactly("days: the kinds file lists no kind of point 5");
  }

  @Test
  void writesTheDayToTheFile(@TempDir Path folder) throws Exception {
    var kinds = Files.writeString(folder.resolve("kinds"), KINDS);
    var out = new StringWriter();
    var day = folder.resolve("day.toml");
    assertThat(
            Days.execute(
                new PrintWriter(out, true),
                new PrintWriter(out, true),
                "--kinds",
                kinds.toString(),
                "--seed",
                "9",
                "--span",
                "40",
                "--near",
                "2",
                "--services",
                "ledger",
                "--to",
                day.toString()))
        .isEqualTo(0);
    assertThat(Files.readString(day)).isEqualTo(day(2, 9));
    assertThat(out.toString()).isEmpty();
  }
}
