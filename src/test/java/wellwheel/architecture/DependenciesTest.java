package wellwheel.architecture;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Packages depend on each other in one direction only, as docs/architecture.md tells. */
class DependenciesTest {
  private static final Map<String, Set<String>> ALLOWED =
      Map.ofEntries(
          Map.entry("config", Set.of()),
          Map.entry("runtime", Set.of("config")),
          Map.entry("storage", Set.of("runtime")),
          Map.entry("transport", Set.of("config", "runtime")),
          Map.entry("cluster", Set.of("config", "runtime", "transport")),
          Map.entry("consensus", Set.of("runtime", "storage", "transport")),
          Map.entry("replication", Set.of("transport")),
          Map.entry("receipts", Set.of("cluster", "replication", "transport")),
          Map.entry("history", Set.of("config", "runtime", "storage", "transport")),
          Map.entry("forecast", Set.of()),
          Map.entry(
              "control",
              Set.of(
                  "cluster",
                  "config",
                  "consensus",
                  "functions",
                  "history",
                  "runtime",
                  "storage",
                  "transport")),
          Map.entry("admission", Set.of("cluster", "config", "runtime", "transport")),
          Map.entry("functions", Set.of("admission", "cluster", "config", "runtime", "transport")),
          Map.entry(
              "edge",
              Set.of(
                  "admission", "cluster", "config", "history", "receipts", "runtime", "transport")),
          Map.entry(
              "queue",
              Set.of(
                  "cluster",
                  "config",
                  "history",
                  "receipts",
                  "replication",
                  "runtime",
                  "storage",
                  "transport")),
          Map.entry("cli", Set.of("config", "forecast", "runtime")));

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("wellwheel");

  @Test
  void packagesUseOnlyWhatTheyMay() {
    ALLOWED.forEach(
        (name, allowed) -> {
          var others =
              Stream.of(allowed.stream(), Stream.of(name))
                  .flatMap(each -> each)
                  .map(each -> "wellwheel." + each)
                  .toList();
          classes()
              .that()
              .resideInAPackage("wellwheel." + name)
              .should()
              .onlyDependOnClassesThat(
                  com.tngtech.archunit.base.DescribedPredicate.describe(
                      "are in " + others + " or in a library",
                      type -> isForeign(type) || others.contains(type.getPackageName())))
              .check(CLASSES);
        });
  }

  private static boolean isForeign(JavaClass type) {
    return !type.getPackageName().startsWith("wellwheel");
  }

  @Test
  void noPackagesDependOnEachOther() {
    SlicesRuleDefinition.slices()
        .matching("wellwheel.(*)")
        .should()
        .beFreeOfCycles()
        .check(CLASSES);
  }

  @Test
  void everyPackageOfTheDaemonsIsNamedHere() {
    var found =
        CLASSES.stream()
            .map(JavaClass::getPackageName)
            .filter(name -> name.startsWith("wellwheel."))
            .map(name -> name.substring("wellwheel.".length()))
            .collect(Collectors.toCollection(TreeSet::new));
    found.removeAll(List.of("simulation"));
    assertThat(found).isEqualTo(new TreeSet<>(ALLOWED.keySet()));
  }
}
