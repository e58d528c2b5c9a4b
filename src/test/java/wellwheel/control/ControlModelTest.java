package wellwheel.control;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ControlModelTest {
  static LongStream seeds() {
    return Optional.ofNullable(Long.getLong("control.seed"))
        .map(LongStream::of)
        .orElseGet(
            () ->
                LongStream.range(
                    Long.getLong("control.from", 1),
                    Long.getLong("control.from", 1) + Long.getLong("control.seeds", 60)));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noRuleOfControlIsBroken(long seed) {
    var play = ControlScenario.drawn(seed);
    play.run();
    assertWithMessage("%s", play.story()).that(play.faults()).isEmpty();
  }
}
