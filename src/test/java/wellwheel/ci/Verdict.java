package wellwheel.ci;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.xml.sax.SAXException;

/**
 * The verdict of CI: every test has run and passes, but for just those that KNOWN-RED.txt lists,
 * and each of those fails. What is listed is printed.
 */
public final class Verdict {
  /** A longer list would no longer be one of exceptions. */
  static final int LISTED_MOST = 10;

  private static final Duration SCRIPT_PATIENCE = Duration.ofMinutes(5);

  private final List<String> says = new ArrayList<>();
  private final List<KnownFailure> listed = new ArrayList<>();
  private final Map<String, Boolean> failedByTest = new LinkedHashMap<>();
  private boolean sound = true;

  private Verdict() {}

  static Verdict of(Path reports, Path known, Path sources) throws IOException {
    var verdict = new Verdict();
    verdict.readKnown(known);
    verdict.readReports(reports, sources);
    verdict.judgeListed(known.toAbsolutePath().getParent());
    verdict.judge();
    return verdict;
  }

  boolean sound() {
    return sound;
  }

  List<String> says() {
    return says;
  }

  private void fault(String why) {
    sound = false;
    says.add("FAIL " + why);
  }

  private void readKnown(Path known) throws IOException {
    var lines =
        Files.exists(known)
            ? Files.readAllLines(known).stream().filter(line -> !line.isBlank()).toList()
            : List.<String>of();
    if (lines.size() > LISTED_MOST) {
      fault(known.getFileName() + " lists " + lines.size() + " tests, " + LISTED_MOST + " at most");
    }
    var names = new HashSet<String>();
    for (var line : lines) {
      var read = KnownFailure.read(line);
      if (read.isEmpty()) {
        fault(known.getFileName() + ": not " + KnownFailure.FORM + ": " + line);
      } else if (names.add(read.get().test())) {
        listed.add(read.get());
      } else {
        fault(known.getFileName() + " lists twice: " + read.get().test());
      }
    }
  }

  private void readReports(Path reports, Path sources) throws IOException {
    var suites = new TreeSet<String>();
    try (var classes = Files.walk(sources)) {
      classes
          .filter(path -> path.toString().endsWith("Test.java"))
          .forEach(
              path ->
                  suites.add(
                      sources.relativize(path).toString().replace(".java", "").replace('/', '.')));
    }
    if (Files.exists(reports)) {
      try (var files = Files.list(reports)) {
        files
            .map(path -> path.getFileName().toString())
            .filter(name -> name.matches("TEST-.*\\.xml"))
            .forEach(name -> suites.add(name.replaceAll("^TEST-|\\.xml$", "")));
      }
    }
    for (var suite : suites) {
      readReport(suite, reports.resolve("TEST-" + suite + ".xml"));
    }
    suites.forEach(this::findTestsOf);
    if (failedByTest.isEmpty()) {
      fault("no test has run");
    }
  }

  private void readReport(String name, Path report) throws IOException {
    if (!Files.exists(report)) {
      fault("no report of " + name);
      return;
    }
    try {
      var root =
          DocumentBuilderFactory.newInstance()
              .newDocumentBuilder()
              .parse(report.toFile())
              .getDocumentElement();
      var cases = root.getElementsByTagName("testcase");
      var failed = 0;
      for (var at = 0; at < cases.getLength(); at++) {
        failed += readCase(name, (Element) cases.item(at)) ? 1 : 0;
      }
      if (cases.getLength() != number(root, "tests")) {
        fault("the report of " + name + " is not whole");
      }
      var told = number(root, "failures") + number(root, "errors");
      if (told > 0 && failed == 0) {
        fault("the report of " + name + " counts " + told + " failures and names none");
      }
    } catch (SAXException | ParserConfigurationException | NumberFormatException e) {
      fault("the report of " + name + " cannot be read");
    }
  }

  private static int number(Element element, String attribute) {
    return Integer.parseInt(element.getAttribute(attribute));
  }

  /** Reads a test and returns whether it failed. */
  private boolean readCase(String suite, Element each) {
    var name =
        each.getAttribute("classname")
            + (each.getAttribute("name").isEmpty() ? "" : "." + each.getAttribute("name"));
    var failed =
        each.getElementsByTagName("failure").getLength()
                + each.getElementsByTagName("error").getLength()
            > 0;
    failedByTest.merge(name, failed, Boolean::logicalOr);
    if (each.getElementsByTagName("skipped").getLength() > 0) {
      says.add("skipped " + name + " of " + suite);
    }
    return failed;
  }

  /** Of classes that run side by side, one's tests may stand in the report of another. */
  private void findTestsOf(String suite) {
    if (failedByTest.keySet().stream()
        .noneMatch(name -> name.equals(suite) || name.startsWith(suite + "."))) {
      fault("no test of " + suite + " is in any report");
    }
  }

  /** A listed test must fail; a listed script is run here, as no report tells of it. */
  private void judgeListed(Path root) throws IOException {
    for (var known : listed) {
      var outcome =
          known.isScript()
              ? ScriptRun.of(root, known.test(), SCRIPT_PATIENCE)
              : outcomeOfTest(known);
      switch (outcome) {
        case BROKEN -> says.add("known red " + known);
        case HELD -> fault("listed as red, but does not fail: " + known.test());
        default -> fault("listed as red, but could not run: " + known.test());
      }
    }
  }

  private ScriptRun.Outcome outcomeOfTest(KnownFailure known) {
    var fails =
        failedByTest.entrySet().stream()
            .anyMatch(each -> known.covers(each.getKey()) && each.getValue());
    return fails ? ScriptRun.Outcome.BROKEN : ScriptRun.Outcome.HELD;
  }

  private void judge() {
    failedByTest.forEach(
        (name, failed) -> {
          if (failed && listed.stream().noneMatch(known -> known.covers(name))) {
            fault(name);
          }
        });
    says.add(
        (sound ? "PASS" : "FAIL")
            + ": "
            + failedByTest.size()
            + " tests, "
            + failedByTest.values().stream().filter(failed -> failed).count()
            + " failed, "
            + listed.size()
            + " known red");
  }

  public static void main(String[] arguments) throws IOException {
    var verdict = of(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]));
    verdict.says().forEach(System.out::println);
    System.exit(verdict.sound() ? 0 : 1);
  }
}
