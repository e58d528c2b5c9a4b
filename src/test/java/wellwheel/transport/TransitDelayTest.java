package wellwheel.transport;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class TransitDelayTest {
  private static final long RESOLUTION_US = 256;

  /** What is allowed for clocks that drift apart in the seconds of a test. */
  private static final long DRIFT_US = 8_000;

  private static final long GREETED_US = 77_000_000;
  private static final long LINK_US = 900;

  private static void assertDelay(long foundUs, long expectedUs) {
    assertThat(foundUs).isAtLeast(expectedUs - RESOLUTION_US - DRIFT_US);
    assertThat(foundUs).isAtMost(expectedUs + RESOLUTION_US);
  }

  private static long arrival(TransitDelay delay, long sentUs, long heldUs) {
    return delay.delayUs(TransitDelay.stampOf(sentUs), GREETED_US + sentUs + LINK_US + heldUs);
  }

  @Test
  void whatALinkHoldsIsFoundToMilliseconds() {
    var delay = new TransitDelay(GREETED_US + LINK_US);
    assertDelay(arrival(delay, 1_000, 0), 0);
    assertDelay(arrival(delay, 2_000_000, 5_500_000), 5_500_000);
    assertDelay(arrival(delay, 7_400_000, 100_000), 100_000);
    assertDelay(arrival(delay, 8_000_000, 0), 0);
  }

  @Test
  void framesSentTogetherWithAStampedOneShareItsTime() {
    var delay = new TransitDelay(GREETED_US + LINK_US);
    arrival(delay, 5_000, 400_000);
    assertDelay(delay.delayUs(GREETED_US + 5_000 + LINK_US + 900_000), 900_000);
  }

  /** A greeting that was held itself makes later frames look fast, until one comes promptly. */
  @Test
  void aPromptFrameCorrectsAGreetingThatWasHeld() {
    var delay = new TransitDelay(GREETED_US + LINK_US + 300_000);
    assertDelay(arrival(delay, 310_000, 200_000), 0);
    assertDelay(arrival(delay, 600_000, 0), 0);
    assertDelay(arrival(delay, 700_000, 250_000), 250_000);
  }

  @Test
  void clocksThatDriftApartForDaysCountForNothing() {
    for (var drift : new double[] {-500e-6, 500e-6}) {
      var delay = new TransitDelay(GREETED_US);
      var random = new Random(1);
      var sentUs = 0L;
      while (sentUs < 12L * 24 * 3600 * 1_000_000) {
        sentUs += 1_000_000 + random.nextInt(600_000_000);
        var nowUs = GREETED_US + (long) (sentUs * (1 + drift));
        assertThat(delay.delayUs(TransitDelay.stampOf(sentUs), nowUs)).isAtMost(RESOLUTION_US);
      }
      var heldUs = 2_000_000;
      var nowUs = GREETED_US + (long) ((sentUs + 1_000_000) * (1 + drift)) + heldUs;
      assertThat(delay.delayUs(TransitDelay.stampOf(sentUs + 1_000_000), nowUs))
          .isAtLeast(heldUs - DRIFT_US);
    }
  }
}
