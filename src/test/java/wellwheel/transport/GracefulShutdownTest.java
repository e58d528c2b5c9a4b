package wellwheel.transport;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.EventQueue;

class GracefulShutdownTest {
  private static final long GRACE_US = 6_000_000;
  private static final long STEP_US = 50_000;

  private final EventQueue time = new EventQueue();
  private final List<String> steps = new ArrayList<>();
  private boolean idle;
  private int connections;
  private long endedUs = -1;

  private GracefulShutdown shutdown(long graceUs) {
    return new GracefulShutdown(
        time.clock(() -> endedUs < 0), graceUs, clients(), node(), () -> endedUs = time.nowUs);
  }

  private GracefulShutdown.Clients clients() {
    return new GracefulShutdown.Clients() {
      @Override
      public void drain() {
        steps.add("drain");
      }

      @Override
      public void closeIdle() {}

      @Override
      public void refuseNew() {
        steps.add("refuse new");
      }

      @Override
      public void answerOpen() {
        steps.add("answer open");
      }

      @Override
      public int connections() {
        return connections;
      }
    };
  }

  private GracefulShutdown.Node node() {
    return new GracefulShutdown.Node() {
      @Override
      public void leave() {
        steps.add("leave");
      }

      @Override
      public void refuseWaiting() {
        steps.add("refuse waiting");
      }

      @Override
      public void answerRest() {
        steps.add("answer rest");
      }

      @Override
      public boolean idle() {
        return idle;
      }

      @Override
      public void flush() {
        steps.add("flush");
      }
    };
  }

  /** Guards against a process that is killed, or ends, while it still owes answers. */
  @ParameterizedTest
  @ValueSource(longs = {300_000, 1_000_000, 3_000_000, GRACE_US, 60_000_000})
  void whateverTheGraceAllIsAnsweredBeforeTheProcessEnds(long graceUs) {
    var beganUs = time.nowUs;
    shutdown(graceUs).begin();
    time.runFor(2 * graceUs);
    assertThat(steps)
        .containsExactly(
            "leave", "drain", "refuse new", "refuse waiting", "answer rest", "answer open", "flush")
        .inOrder();
    assertThat(endedUs - beganUs).isAtMost(graceUs);
    assertThat(endedUs - beganUs).isAtLeast(graceUs * 5 / 6 - STEP_US);
  }

  @Test
  void itEndsEarlyOnceNothingIsOpen() {
    idle = true;
    var beganUs = time.nowUs;
    shutdown(GRACE_US).begin();
    time.runFor(GRACE_US);
    assertThat(steps).containsExactly("leave", "drain", "flush").inOrder();
    assertThat(endedUs - beganUs).isAtMost(GRACE_US / 2);
  }

  @Test
  void furtherSignalsChangeNothing() {
    var shutdown = shutdown(GRACE_US);
    shutdown.begin();
    time.runFor(GRACE_US / 2);
    shutdown.begin();
    time.runFor(GRACE_US);
    assertThat(steps.stream().filter("leave"::equals).count()).isEqualTo(1);
    assertThat(endedUs).isAtLeast(0);
  }

  @Test
  void aRequestThatComesAfterTheLastFlushIsStillAnswered() {
    idle = true;
    shutdown(GRACE_US).begin();
    while (!steps.contains("flush")) {
      time.runFor(STEP_US);
    }
    idle = false;
    time.runFor(STEP_US);
    assertThat(endedUs).isEqualTo(-1);
    idle = true;
    time.runFor(STEP_US);
    assertThat(endedUs).isEqualTo(-1);
    time.runFor(STEP_US);
    assertThat(endedUs).isAtLeast(0);
    assertThat(steps.stream().filter("flush"::equals).count()).isEqualTo(2);
  }

  @Test
  void itNeverEndsEarlyWhileSomethingIsOpen() {
    var random = new Random(7);
    for (var day = 0; day < 500; day++) {
      endedUs = -1;
      steps.clear();
      idle = false;
      shutdown(GRACE_US).begin();
      time.runFor(GRACE_US * 2 / 5);
      var openBefore = true;
      while (endedUs < 0 && !steps.contains("refuse new")) {
        idle = random.nextInt(3) > 0;
        connections = random.nextInt(3) > 0 ? 0 : 1;
        var open = !idle || connections > 0;
        time.runFor(STEP_US);
        assertThat(endedUs >= 0).isEqualTo(!open && !openBefore);
        openBefore = open;
      }
      endedUs = endedUs < 0 ? 0 : endedUs;
      time.runFor(GRACE_US);
    }
  }
}
