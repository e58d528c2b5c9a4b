package wellwheel.queue;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import wellwheel.runtime.JavaProcess;

/**
 * Guards against storage processes that fall silent for good, or cannot start again, when the
 * bodies of waiting messages fill the heap that the deploy file gives them.
 */
@Isolated
class StorageHeapTest {
  private static final Pattern STORAGE_OPTIONS =
      Pattern.compile("run = \"java (.*?) -Xshare.* wellwheel.Main storage\"");

  private static List<String> deployedOptions() throws Exception {
    var matcher = STORAGE_OPTIONS.matcher(Files.readString(Path.of("deploy/system.toml")));
    assertThat(matcher.find()).isTrue();
    return List.of(matcher.group(1).split(" "));
  }

  private static String run(Path folder, String task) throws Exception {
    return JavaProcess.run(
        0, deployedOptions(), BacklogProcess.class, folder, folder.toString(), task);
  }

  @Test
  void aBacklogOfLargeBodiesFitsTheHeapIsCompactedAndComesBackAfterARestart(@TempDir Path folder)
      throws Exception {
    var filled = run(folder, "fill");
    var count = Integer.parseInt(filled.replaceAll("(?s).*messages (\\d+).*", "$1"));
    assertThat(count).isAtLeast(200);
    assertThat(count).isLessThan(600);
    var restored = run(folder, "restore");
    assertThat(restored).contains("messages " + count);
  }

  @Test
  void theDeployedHeapHoldsAllThatMayBeAccepted() throws Exception {
    var megabytes =
        deployedOptions().stream()
            .filter(option -> option.startsWith("-Xmx"))
            .map(option -> option.replaceAll("\\D", ""))
            .mapToLong(Long::parseLong)
            .sum();
    var young = 6;
    var memory = StorageMemory.ofHeap((megabytes - young) << 20);
    assertThat(memory.heldBytesMost()).isEqualTo(StorageMemory.HELD_BYTES_MOST);
  }

  @Test
  void bodiesRecordsAndWhatWaitsForTheDiskShareOneBound() {
    var memory = StorageMemory.ofHeap(240L << 20);
    assertThat(memory.hasRoom(StorageMemory.BODY_BYTES_MOST, 10, 0)).isTrue();
    assertThat(memory.hasRoom(StorageMemory.BODY_BYTES_MOST + 1, 10, 0)).isFalse();
    assertThat(memory.hasRoom(0, StorageMemory.RECORDS_MOST, 0)).isTrue();
    assertThat(memory.hasRoom(0, StorageMemory.RECORDS_MOST + 1, 0)).isFalse();
    assertThat(memory.hasRoom(StorageMemory.BODY_BYTES_MOST, StorageMemory.RECORDS_MOST, 0))
        .isFalse();
    assertThat(memory.hasRoom(60L << 20, 10, 60L << 20)).isFalse();
    assertThat(StorageMemory.ofHeap(96L << 20).hasRoom(30L << 20, 10, 0)).isFalse();
    assertThat(StorageMemory.ofHeap(96L << 20).hasRoom(10L << 20, 10, 0)).isTrue();
  }
}
