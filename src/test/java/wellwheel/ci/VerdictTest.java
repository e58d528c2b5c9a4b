package wellwheel.ci;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

@Isolated
class VerdictTest {
  private static final String RED = "<failure message=\"m\" type=\"t\">trace</failure>";

  @TempDir Path home;

  @BeforeEach
  void twoSuites() throws IOException {
    source("OneTest");
    source("TwoTest");
    report("OneTest", "a", "", "b(long)[1]", "", "b(long)[2]", "");
    report("TwoTest", "c", "");
  }

  private void source(String name) throws IOException {
    Files.createDirectories(home.resolve("src/pack"));
    Files.writeString(home.resolve("src/pack/" + name + ".java"), "");
  }

  private void report(String suite, String... cases) throws IOException {
    var text = new StringBuilder();
    var red = 0;
    for (var at = 0; at < cases.length; at += 2) {
      red += cases[at + 1].isEmpty() ? 0 : 1;
      text.append("<testcase classname=\"pack.")
          .append(suite)
          .append("\" name=\"")
          .append(cases[at])
          .append("\">")
          .append(cases[at + 1])
          .append("</testcase>");
    }
    whole(
        suite,
        "<testsuite tests=\""
            + cases.length / 2
            + "\" errors=\"0\" failures=\""
            + red
            + "\">"
            + text
            + "</testsuite>");
  }

  private void whole(String suite, String text) throws IOException {
    Files.createDirectories(home.resolve("reports"));
    Files.writeString(home.resolve("reports/TEST-pack." + suite + ".xml"), text);
  }

  private void known(String... lines) throws IOException {
    Files.write(home.resolve("KNOWN-RED.txt"), List.of(lines));
  }

  private Verdict verdict() throws IOException {
    var first =
        Verdict.of(home.resolve("reports"), home.resolve("KNOWN-RED.txt"), home.resolve("src"));
    var second =
        Verdict.of(home.resolve("reports"), home.resolve("KNOWN-RED.txt"), home.resolve("src"));
    assertThat(second.says()).isEqualTo(first.says());
    return first;
  }

  private void fails(String why) throws IOException {
    assertThat(verdict().sound()).isFalse();
    assertThat(verdict().says()).contains("FAIL " + why);
  }

  @Test
  void allGreenWithNoListOrAnEmptyOnePasses() throws IOException {
    assertThat(verdict().says()).containsExactly("PASS: 4 tests, 0 failed, 0 known red");
    known("", "  ");
    assertThat(verdict().sound()).isTrue();
  }

  @Test
  void aFailingTestThatIsNotListedFails() throws IOException {
    report("TwoTest", "c", RED);
    fails("pack.TwoTest.c");
    known("pack.OneTest.a | cmd | why | 1");
    fails("pack.TwoTest.c");
    report("TwoTest", "c", "<error message=\"m\" type=\"t\"/>");
    fails("pack.TwoTest.c");
  }

  @Test
  void aListedTestThatFailsIsPassedOverAndPrinted() throws IOException {
    report("TwoTest", "c", RED);
    known("pack.TwoTest#c\tmvn test, seed 4\ta cause\tissue 16");
    assertThat(verdict().says())
        .containsExactly(
            "known red pack.TwoTest.c, issue 16: a cause (mvn test, seed 4)",
            "PASS: 4 tests, 1 failed, 1 known red")
        .inOrder();
  }

  @Test
  void aListedSeedCoversItselfAloneAndAListedMethodAllOfItsSeeds() throws IOException {
    report("OneTest", "a", "", "b(long)[1]", RED, "b(long)[2]", RED);
    known("pack.OneTest.b(long)[1] | cmd | why | 1");
    fails("pack.OneTest.b(long)[2]");
    known("pack.OneTest.b | cmd | why | 1");
    assertThat(verdict().sound()).isTrue();
    known("pack.OneTest.b(long)[1] | cmd | why | 1", "pack.OneTest.b(long)[2] | cmd | why | 1");
    assertThat(verdict().sound()).isTrue();
    known("pack.OneTest | cmd | all of it | 1");
    fails("pack.OneTest.b(long)[1]");
  }

  @Test
  void aListedTestThatPassesOrIsGoneOrIsSkippedFails() throws IOException {
    known("pack.TwoTest.c | cmd | why | 1");
    fails("listed as red, but does not fail: pack.TwoTest.c");
    known("pack.TwoTest.d | cmd | why | 1");
    fails("listed as red, but does not fail: pack.TwoTest.d");
    report("TwoTest", "c", "<skipped/>");
    known("pack.TwoTest.c | cmd | why | 1");
    fails("listed as red, but does not fail: pack.TwoTest.c");
  }

  @Test
  void aLineTooManyATwiceListedTestOrAnIncompleteLineFails() throws IOException {
    report("OneTest", "a", RED, "b(long)[1]", RED, "b(long)[2]", RED);
    report("TwoTest", "c", RED);
    known(
        IntStream.rangeClosed(0, Verdict.LISTED_MOST)
            .mapToObj(number -> "pack.OneTest.a" + number + " | cmd | w | 1")
            .toArray(String[]::new));
    fails("KNOWN-RED.txt lists 11 tests, 10 at most");
    known("pack.OneTest.a | cmd | w | 1", "pack.OneTest.a | cmd | w | 1");
    fails("KNOWN-RED.txt lists twice: pack.OneTest.a");
    known("pack.OneTest.a | cmd | w");
    fails("KNOWN-RED.txt: not " + KnownFailure.FORM + ": pack.OneTest.a | cmd | w");
    known("pack.OneTest.a |  | w | 1");
    fails("KNOWN-RED.txt: not " + KnownFailure.FORM + ": pack.OneTest.a |  | w | 1");
    known("pack.OneTest.a | cmd | w | soon");
    fails("KNOWN-RED.txt: not " + KnownFailure.FORM + ": pack.OneTest.a | cmd | w | soon");
    known("pack.OneTest.a | cmd | w | 1 | more");
    fails("KNOWN-RED.txt: not " + KnownFailure.FORM + ": pack.OneTest.a | cmd | w | 1 | more");
  }

  private void script(String name, String text) throws IOException {
    var file = home.resolve(name);
    Files.createDirectories(file.getParent());
    Files.writeString(file, "#!/usr/bin/env bash\n" + text + "\n");
    assertThat(file.toFile().setExecutable(true)).isTrue();
  }

  @Test
  void aListedScriptIsRunAndMustFail() throws IOException {
    script("cases/1/run.sh", "exit 1");
    known("cases/1/run.sh | cases/1/run.sh, seed 7 | a hang | issue 9");
    assertThat(verdict().says())
        .containsExactly(
            "known red cases/1/run.sh, issue 9: a hang (cases/1/run.sh, seed 7)",
            "PASS: 4 tests, 0 failed, 1 known red")
        .inOrder();
    script("cases/1/run.sh", "exit 0");
    fails("listed as red, but does not fail: cases/1/run.sh");
  }

  @Test
  void aListedScriptThatCannotRunFails() throws IOException {
    script("cases/1/run.sh", "exit 2");
    known("cases/1/run.sh | cases/1/run.sh | a hang | 9");
    fails("listed as red, but could not run: cases/1/run.sh");
    known("cases/2/run.sh | cases/2/run.sh | a hang | 9");
    fails("listed as red, but could not run: cases/2/run.sh");
    known("../run.sh | ../run.sh | a hang | 9");
    fails("listed as red, but could not run: ../run.sh");
  }

  @Test
  void testsThatStandInTheReportOfAClassBesideThemCountAsTheirOwn() throws IOException {
    whole("TwoTest", "<testsuite tests=\"0\" errors=\"0\" failures=\"0\"></testsuite>");
    fails("no test of pack.TwoTest is in any report");
    var both =
        "<testsuite tests=\"2\" errors=\"0\" failures=\"%d\"><testcase classname=\"pack.OneTest\" name=\"a\"/>"
            + "<testcase classname=\"pack.TwoTest\" name=\"c\">%s</testcase></testsuite>";
    whole("OneTest", String.format(both, 0, ""));
    assertThat(verdict().says()).containsExactly("PASS: 2 tests, 0 failed, 0 known red");
    whole("OneTest", String.format(both, 1, RED));
    fails("pack.TwoTest.c");
    known("pack.TwoTest.c | cmd | why | 1");
    assertThat(verdict().sound()).isTrue();
  }

  @Test
  void aReportWithoutASourceCountsAsWell() throws IOException {
    report("OneTest$Inner", "e", RED);
    fails("pack.OneTest$Inner.e");
  }

  @Test
  void aMissingOrBrokenReportFails() throws IOException {
    source("ThreeTest");
    fails("no report of pack.ThreeTest");
    Files.delete(home.resolve("src/pack/ThreeTest.java"));
    whole(
        "TwoTest",
        "<testsuite tests=\"2\" errors=\"0\" failures=\"0\"><testcase classname=\"pack.TwoTest\" name=\"c\"/></testsuite>");
    fails("the report of pack.TwoTest is not whole");
    whole("TwoTest", "<testsuite tests=\"1\" errors=\"0\" failures=\"0\"><testcase");
    fails("the report of pack.TwoTest cannot be read");
    whole(
        "TwoTest",
        "<testsuite tests=\"1\" errors=\"1\" failures=\"0\"><testcase classname=\"pack.TwoTest\" name=\"c\"/></testsuite>");
    fails("the report of pack.TwoTest counts 1 failures and names none");
    Files.delete(home.resolve("reports/TEST-pack.OneTest.xml"));
    Files.delete(home.resolve("reports/TEST-pack.TwoTest.xml"));
    fails("no test has run");
    Files.delete(home.resolve("reports"));
    fails("no test has run");
  }
}
