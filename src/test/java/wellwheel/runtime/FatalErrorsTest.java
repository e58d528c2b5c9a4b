package wellwheel.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** Guards against processes that live on in silence after an Error has ended a timer of theirs. */
@Isolated
class FatalErrorsTest {
  @Test
  void aTimerThatMeetsAnErrorEndsTheProcessAndSaysSo(@TempDir Path folder) throws Exception {
    var text =
        JavaProcess.run(FatalErrors.STATUS, List.of("-Xmx32m"), FailingTimerProcess.class, folder);
    assertThat(text).contains("code=" + ResultCode.FATAL.number());
  }
}
