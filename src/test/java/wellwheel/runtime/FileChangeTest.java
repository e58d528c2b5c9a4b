package wellwheel.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an options file that changes without a signal and is never read again. */
class FileChangeTest {
  @Test
  void aFileThatIsWrittenIsNoticedOnce(@TempDir Path folder) throws Exception {
    var file = folder.resolve("options.json");
    Files.writeString(file, "one");
    var change = new FileChange(file);
    assertThat(change.happened()).isFalse();
    Files.setLastModifiedTime(file, FileTime.fromMillis(1_000));
    assertThat(change.happened()).isTrue();
    assertThat(change.happened()).isFalse();
    Files.delete(file);
    assertThat(change.happened()).isFalse();
    Files.writeString(file, "two");
    assertThat(change.happened()).isTrue();
  }
}
