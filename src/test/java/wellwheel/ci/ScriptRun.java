package wellwheel.ci;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * One run of a listed script. It exits with 0 if the rule held, 1 if it was broken, and with
 * anything else if it could not run.
 */
final class ScriptRun {
  enum Outcome {
    HELD,
    BROKEN,
    COULD_NOT_RUN
  }

  private ScriptRun() {}

  /** Runs the script in the root folder, with an end to it and all that it started. */
  static Outcome of(Path root, String script, Duration patience) throws IOException {
    var file = root.resolve(script).normalize();
    if (!file.startsWith(root.normalize()) || !Files.isExecutable(file)) {
      return Outcome.COULD_NOT_RUN;
    }
    var process =
        new ProcessBuilder(file.toAbsolutePath().toString())
            .directory(root.toAbsolutePath().toFile())
            .redirectInput(new File("/dev/null"))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      if (!process.waitFor(patience.toMillis(), TimeUnit.MILLISECONDS)) {
        return Outcome.COULD_NOT_RUN;
      }
      return switch (process.exitValue()) {
        case 0 -> Outcome.HELD;
        case 1 -> Outcome.BROKEN;
        default -> Outcome.COULD_NOT_RUN;
      };
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Outcome.COULD_NOT_RUN;
    } finally {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
  }
}
