package wellwheel.edge;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
  @Test
  void aRequestThatComesAfterTheLastFlushIsStillAnswered() {
    var departure = new GracefulShutdown();
    assertThat(departure.step(true)).isEqualTo(GracefulShutdown.Step.FLUSH);
    assertThat(departure.step(false)).isEqualTo(GracefulShutdown.Step.STAY);
    assertThat(departure.step(true)).isEqualTo(GracefulShutdown.Step.FLUSH);
    assertThat(departure.step(true)).isEqualTo(GracefulShutdown.Step.END);
  }

  @Test
  void itNeverEndsWhileSomethingIsOpen() {
    var random = new Random(7);
    var departure = new GracefulShutdown();
    var idleBefore = false;
    for (var turn = 0; turn < 10_000; turn++) {
      var idle = random.nextInt(3) > 0;
      var step = departure.step(idle);
      assertThat(step == GracefulShutdown.Step.END).isEqualTo(idle && idleBefore);
      idleBefore = idle;
    }
  }
}
