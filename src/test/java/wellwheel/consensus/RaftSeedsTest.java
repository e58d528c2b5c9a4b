package wellwheel.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wellwheel.runtime.ManualClock;
import wellwheel.storage.MemoryDisk;

/** Guards against control nodes that look for a leader only where there was one when they began. */
class RaftSeedsTest {
  @Test
  void aNodeThatHearsNoLeaderLooksForOneAtNewSeeds() {
    var asked = new ArrayList<String>();
    var clock = new ManualClock();
    var raft =
        new Raft(
            "10.0.0.9",
            List.of("10.0.0.1"),
            3,
            false,
            clock,
            (ip, frame) -> asked.add(ip),
            new MemoryDisk(),
            new RaftJournalTest.Quiet(),
            1);
    raft.learn();
    assertThat(asked).containsExactly("10.0.0.1");
    asked.clear();
    raft.seedsAre(List.of("10.0.0.4", "10.0.0.5"));
    raft.seedsAre(List.of());
    raft.learn();
    assertThat(asked).containsAtLeast("10.0.0.4", "10.0.0.5");
  }
}
