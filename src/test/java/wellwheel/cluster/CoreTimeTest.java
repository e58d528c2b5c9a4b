package wellwheel.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import wellwheel.runtime.ManualClock;
import wellwheel.transport.Frame;

/** Guards against a core's time that moves by seconds when a link holds the answers of the core. */
class CoreTimeTest {
  private static final long CORE_AHEAD_US = 5_000_000_000L;
  private static final long LINK_US = 900;
  private static final long HELD_US = 4_000_000;

  private final ManualClock clock = new ManualClock();
  private final ClusterLease lease =
      new ClusterLease(
          clock,
          (ip, frame) -> {},
          "node#1",
          List.of("10.0.0.1"),
          () -> Frame.of("claim"),
          () -> {});

  /** Asks, and is answered with links that hold the question or the answer. */
  private void renew(long aheadUs, long questionHeldUs, long answerHeldUs) {
    clock.nowUs += 400_000;
    lease.renew();
    var askedUs = clock.nowUs;
    clock.nowUs += LINK_US + questionHeldUs;
    var answer =
        Frame.of("claim.ok").with("sent", askedUs).with("core", clock.nowUs + aheadUs).pack();
    clock.nowUs += LINK_US + answerHeldUs;
    lease.onFrame("10.0.0.1", Frame.unpack(answer));
  }

  private long errorUs(long aheadUs) {
    return Math.abs(lease.coreUs() - clock.nowUs - aheadUs);
  }

  @Test
  void answersThatWereHeldDoNotShiftTheCoresTime() {
    renew(CORE_AHEAD_US, 0, 0);
    renew(CORE_AHEAD_US, 0, HELD_US);
    assertThat(errorUs(CORE_AHEAD_US)).isAtMost(2 * LINK_US);
    renew(CORE_AHEAD_US, HELD_US, 0);
    assertThat(errorUs(CORE_AHEAD_US)).isAtMost(2 * LINK_US);
  }

  @Test
  void aPromptAnswerCorrectsAFirstOneThatWasHeld() {
    renew(CORE_AHEAD_US, HELD_US, 0);
    assertThat(errorUs(CORE_AHEAD_US)).isAtMost(HELD_US);
    renew(CORE_AHEAD_US, 0, 0);
    assertThat(errorUs(CORE_AHEAD_US)).isAtMost(2 * LINK_US);
  }

  @Test
  void aLeaderWhoseTimeIsAnotherIsFollowed() {
    renew(CORE_AHEAD_US, 0, 0);
    for (var aheadUs : new long[] {CORE_AHEAD_US + 700_000, CORE_AHEAD_US - 300_000}) {
      renew(aheadUs, 0, 0);
      assertThat(errorUs(aheadUs)).isAtMost(2 * LINK_US);
    }
  }
}
