package wellwheel.runtime;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a main class of the tests in a process of its own, as some faults end or hang one. */
public final class JavaProcess {
  private static final long PATIENCE_S = 120;

  private JavaProcess() {}

  /** Runs the class to its end, checks the exit status and returns what it printed. */
  public static String run(
      int status, List<String> options, Class<?> main, Path folder, String... arguments)
      throws Exception {
    var log = folder.resolve(main.getSimpleName() + ".log");
    var command = new ArrayList<String>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(List.of(arguments));
    var process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    var ended = process.waitFor(PATIENCE_S, TimeUnit.SECONDS);
    process.destroyForcibly();
    var text = Files.readString(log);
    assertWithMessage(text).that(ended).isTrue();
    assertWithMessage(text).that(process.exitValue()).isEqualTo(status);
    return text;
  }
}
