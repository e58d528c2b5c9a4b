package wellwheel.gallery;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class DepartureTest {
    @Test
    void aRequestThatComesAfterTheLastFlushIsStillAnswered() {
        var departure = new Departure();
        assertThat(departure.step(true)).isEqualTo(Departure.Step.FLUSH);
        assertThat(departure.step(false)).isEqualTo(Departure.Step.STAY);
        assertThat(departure.step(true)).isEqualTo(Departure.Step.FLUSH);
        assertThat(departure.step(true)).isEqualTo(Departure.Step.END);
    }

    @Test
    void itNeverEndsWhileSomethingIsOpen() {
        var luck = new Random(7);
        var departure = new Departure();
        var idleBefore = false;
        for (var turn = 0; turn < 10_000; turn++) {
            var idle = luck.nextInt(3) > 0;
            var step = departure.step(idle);
            assertThat(step == Departure.Step.END).isEqualTo(idle && idleBefore);
            idleBefore = idle;
        }
    }
}
