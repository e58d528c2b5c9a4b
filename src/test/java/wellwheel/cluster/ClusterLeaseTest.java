package wellwheel.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wellwheel.runtime.ManualClock;
import wellwheel.transport.Frame;

/**
 * Guards against nodes that lose the control leader for good because the addresses of control nodes
 * replaced long ago leave no room for the new ones.
 */
class ClusterLeaseTest {
  private static final long STEP_US = 500_000;

  private final ManualClock clock = new ManualClock();
  private final List<String> asked = new ArrayList<>();
  private final ClusterLease lease =
      new ClusterLease(
          clock,
          (ip, frame) -> asked.add(ip),
          "node#1",
          List.of("10.0.0.1", "10.0.0.2", "10.0.0.3"),
          () -> Frame.of("claim"),
          () -> {});

  private static String ip(int number) {
    return "10.1." + number / 256 + "." + number % 256;
  }

  private void granted(String leader, List<String> voters) {
    var frame =
        Frame.of("claim.ok")
            .with("sent", clock.nowUs)
            .with("core", clock.nowUs)
            .with("voters", List.<Object>copyOf(voters));
    lease.onFrame(leader, Frame.unpack(frame.pack()));
  }

  private void askOnce() {
    clock.nowUs += STEP_US;
    asked.clear();
    lease.tick();
    assertThat(asked).hasSize(1);
  }

  /** Asks until the node answers that is meant to, or has not been asked for a while. */
  private boolean reaches(String leader) {
    for (var tries = 0; tries < 20; tries++) {
      askOnce();
      if (asked.contains(leader)) {
        return true;
      }
    }
    return false;
  }

  @Test
  void aLeaderIsFoundHoweverManyControlNodesWereReplacedBefore() {
    for (var number = 0; number < 300; number++) {
      var voters = List.of(ip(number), ip(number + 1), ip(number + 2));
      askOnce();
      lease.onFrame(lease.control(), Frame.of("claim.no").with("leader", voters.get(2)));
      assertThat(lease.control()).isEqualTo(voters.get(2));
      granted(voters.get(2), voters);
      assertThat(lease.ageUs()).isEqualTo(0);
    }
    var gone = lease.control();
    assertThat(reaches(ip(300))).isTrue();
    assertThat(reaches(ip(301))).isTrue();
    assertThat(reaches(gone)).isTrue();
  }

  @Test
  void aReplacedControlNodeIsNotAskedAnyMore() {
    askOnce();
    granted(ip(1), List.of(ip(1), ip(2), ip(3)));
    askOnce();
    granted(ip(1), List.of(ip(1), ip(3), ip(4)));
    lease.seedsAre(List.of(ip(3), ip(4)));
    assertThat(reaches(ip(2))).isFalse();
    assertThat(reaches("10.0.0.1")).isFalse();
  }

  @Test
  void seedsReadAgainAreAskedThoughTheVotersAreGone() {
    askOnce();
    granted(ip(1), List.of(ip(1), ip(2), ip(3)));
    lease.seedsAre(List.of(ip(7), ip(8), ip(9)));
    for (var fresh : List.of(ip(7), ip(8), ip(9))) {
      assertThat(reaches(fresh)).isTrue();
    }
  }

  @Test
  void listsAreBoundedAndEmptyOnesChangeNothing() {
    askOnce();
    granted(ip(1), List.of(ip(1)));
    lease.seedsAre(List.of());
    granted(ip(1), List.of());
    assertThat(reaches("10.0.0.2")).isTrue();
    var many = new ArrayList<String>();
    for (var number = 0; number < 2 * ControlAddresses.LIST_MOST; number++) {
      many.add(ip(100 + number));
    }
    lease.seedsAre(many);
    assertThat(reaches(many.get(0))).isTrue();
    assertThat(reaches(many.get(many.size() - 1))).isFalse();
  }
}
