package wellwheel.control;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import wellwheel.control.ConfigurationChanges.Form;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;

/**
 * Guards against configurations that are acknowledged and never in force: only the unchanged repeat
 * of a change that was taken, its base included, gets 200 without being taken.
 */
class ConfigurationChangesTest {
  private final ConfigurationChanges changes = new ConfigurationChanges();

  private static byte[] whole(long revision) {
    return ("{\"Revision\":" + revision + ",\"Routing\":[],\"Backends\":[]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private ResultCode judged(Form form, byte[] bytes, long base) {
    return judged(changes, form, bytes, base);
  }

  private static ResultCode judged(
      ConfigurationChanges changes, Form form, byte[] bytes, long base) {
    return changes.judge(form, bytes, Optional.of(base)).reply().code();
  }

  private void take(Form form, byte[] bytes, long base) {
    assertThat(changes.judge(form, bytes, Optional.of(base)).proper()).isTrue();
    changes.apply(form, base, bytes);
    assertThat(changes.outcome(form, bytes, base).code()).isEqualTo(ResultCode.FINE);
  }

  private void takeOneAndThree() {
    take(Form.WHOLE, whole(1), 0);
    take(Form.WHOLE, whole(3), 1);
  }

  @Test
  void anOlderConfigurationOnTopOfTheNewestVersionIsInvalid() {
    takeOneAndThree();
    assertThat(judged(Form.WHOLE, whole(1), 3)).isEqualTo(ResultCode.BAD_CONFIG);
    assertThat(judged(Form.WHOLE, whole(3), 3)).isEqualTo(ResultCode.BAD_CONFIG);
    assertThat(changes.outcome(Form.WHOLE, whole(1), 3).code()).isEqualTo(ResultCode.OTHER_BASE);
  }

  @Test
  void anUnchangedRepeatIsAcknowledgedAndOneWithAnotherBaseIsNot() {
    takeOneAndThree();
    assertThat(judged(Form.WHOLE, whole(1), 0)).isEqualTo(ResultCode.FINE);
    assertThat(judged(Form.WHOLE, whole(3), 1)).isEqualTo(ResultCode.FINE);
    assertThat(judged(Form.WHOLE, whole(3), 0)).isEqualTo(ResultCode.OTHER_BASE);
    assertThat(judged(Form.WHOLE, whole(1), 1)).isEqualTo(ResultCode.OTHER_BASE);
    assertThat(changes.judge(Form.WHOLE, whole(1), Optional.empty()).reply().code())
        .isEqualTo(ResultCode.BAD_CONFIG);
  }

  @Test
  void anOlderPatchOnTopOfTheNewestVersionIsInvalidAsWell() {
    takeOneAndThree();
    var patch =
        "{\"Revision\":5,\"RemoveNames\":{\"Routing\":[\"r\"]}}".getBytes(StandardCharsets.UTF_8);
    take(Form.PATCH, patch, 3);
    assertThat(judged(Form.PATCH, patch, 3)).isEqualTo(ResultCode.FINE);
    assertThat(judged(Form.PATCH, patch, 5)).isEqualTo(ResultCode.BAD_CONFIG);
  }

  @Test
  void theSameBytesInTheOtherFormAreAnotherChange() {
    takeOneAndThree();
    assertThat(judged(Form.PATCH, whole(3), 1)).isEqualTo(ResultCode.OTHER_BASE);
  }

  @Test
  void repeatsAreKnownAfterASnapshot() {
    takeOneAndThree();
    var state = Frame.of("state");
    changes.save(state);
    var restored = new ConfigurationChanges();
    restored.restore(Frame.unpack(state.pack()));
    assertThat(judged(restored, Form.WHOLE, whole(1), 0)).isEqualTo(ResultCode.FINE);
    assertThat(judged(restored, Form.WHOLE, whole(3), 1)).isEqualTo(ResultCode.FINE);
    assertThat(judged(restored, Form.WHOLE, whole(1), 3)).isEqualTo(ResultCode.BAD_CONFIG);
  }
}
