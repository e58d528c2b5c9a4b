package wellwheel.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import wellwheel.runtime.Clock;
import wellwheel.storage.MemoryDisk;
import wellwheel.transport.Frame;

class RaftJournalTest {
  private static final List<String> SEEDS = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
  private static final int TERMS = 30;

  static final class Quiet implements Raft.Host {
    private long heardCoreUs;

    @Override
    public void apply(long index, byte[] command) {}

    @Override
    public byte[] snapshot() {
      return new byte[0];
    }

    @Override
    public void restore(byte[] state) {}

    @Override
    public void onLead() {}

    @Override
    public void onYield() {}

    @Override
    public long coreUs() {
      return 0;
    }

    @Override
    public void hearCore(long coreUs) {
      heardCoreUs = coreUs;
    }
  }

  private static final Clock STILL =
      new Clock() {
        @Override
        public long steadyUs() {
          return 1_000_000;
        }

        @Override
        public long wallUs() {
          return 1_000_000;
        }

        @Override
        public Schedule after(long waitUs, Runnable task) {
          return () -> {};
        }
      };

  private final List<Frame> sent = new ArrayList<>();
  private final MemoryDisk disk = new MemoryDisk();

  private Raft raft(boolean firstBoot) {
    return raft(firstBoot, new Quiet());
  }

  private Raft raft(boolean firstBoot, Quiet host) {
    return new Raft(
        SEEDS.get(0), SEEDS, 3, firstBoot, STILL, (ip, frame) -> sent.add(frame), disk, host, 1);
  }

  private boolean votes(Raft raft, String candidate, long term) {
    sent.clear();
    raft.onFrame(
        candidate,
        Frame.of("raft.vote")
            .with("term", term)
            .with("last", 0)
            .with("lastTerm", 0)
            .with("forced", true));
    return sent.get(0).flag("granted");
  }

  private Map<Long, String> grown() {
    var random = new Random(3);
    var raft = raft(true);
    var voted = new HashMap<Long, String>();
    for (var term = 1L; term <= TERMS; term++) {
      var candidate = SEEDS.get(1 + random.nextInt(2));
      assertThat(votes(raft, candidate, term)).isTrue();
      voted.put(term, candidate);
    }
    return voted;
  }

  private static String other(String candidate) {
    return SEEDS.get(candidate.equals(SEEDS.get(1)) ? 2 : 1);
  }

  /** Guards against a core's time that goes back where the last word of a leader was held. */
  @Test
  void theCoresTimeCountsWhatALeadersWordTookOnItsWay() {
    var host = new Quiet();
    raft(true, host)
        .onFrame(
            SEEDS.get(1),
            Frame.of("raft.beat").with("term", 1).with("core", 70_000_000).delayedBy(4_000_000));
    assertThat(host.heardCoreUs).isEqualTo(74_000_000);
  }

  @Test
  void noTermGetsASecondVoteWhereverTheJournalIsDamagedBeforeItsLastRecord() {
    var voted = grown();
    var whole = disk.bytes;
    for (var at = 0; at < whole.length - 40; at++) {
      disk.bytes = whole.clone();
      disk.bytes[at] ^= (byte) 0x81;
      for (var firstBoot : List.of(true, false)) {
        var damaged = disk.bytes.clone();
        assertWithMessage("byte %s", at)
            .that(votes(raft(firstBoot), other(voted.get((long) TERMS)), TERMS))
            .isFalse();
        assertWithMessage("byte %s", at)
            .that(votes(raft(firstBoot), SEEDS.get(1), TERMS + 1))
            .isFalse();
        disk.bytes = damaged;
      }
    }
  }

  @Test
  void aTornTailOfUnsyncedWritesLeavesTheVotesBeforeIt() {
    var voted = grown();
    var whole = disk.bytes;
    disk.bytes = Arrays.copyOf(whole, whole.length + 70);
    disk.bytes[whole.length + 50] = 7;
    var raft = raft(false);
    assertThat(votes(raft, other(voted.get((long) TERMS)), TERMS)).isFalse();
    assertThat(votes(raft, voted.get((long) TERMS), TERMS)).isTrue();
    assertThat(votes(raft, SEEDS.get(2), TERMS + 1)).isTrue();
  }
}
