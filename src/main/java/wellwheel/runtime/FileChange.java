package wellwheel.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Optional;

/** Notices that a file has been written, by the time of its last change. */
final class FileChange {
  private final Path path;
  private Optional<FileTime> seen;

  FileChange(Path path) {
    this.path = path;
    seen = lastChange();
  }

  private Optional<FileTime> lastChange() {
    try {
      return Optional.of(Files.getLastModifiedTime(path));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Whether the file is there and has been written since this was last asked. */
  boolean happened() {
    var now = lastChange();
    if (now.isEmpty() || now.equals(seen)) {
      return false;
    }
    seen = now;
    return true;
  }
}
