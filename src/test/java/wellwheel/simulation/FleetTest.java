package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FleetTest {
  private static Fleet fleet(int edges, int storageNodes, double perS) {
    var fleet = new Fleet();
    fleet.edges = edges;
    fleet.storageNodes = storageNodes;
    fleet.perS = perS;
    fleet.seconds = 4;
    return fleet;
  }

  private static Fleet.Row row(Fleet fleet, String role) {
    return fleet.measure().stream()
        .filter(row -> row.role().equals(role))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void anIdleNodeCostsTheSameInALargerFleet() {
    var small = row(fleet(24, 9, 0), "edge");
    var large = row(fleet(72, 9, 0), "edge");
    assertThat(large.bytesOutPerS() + large.bytesInPerS())
        .isAtMost(1.2 * (small.bytesOutPerS() + small.bytesInPerS()));
    assertThat(large.wakeUpsPerS()).isAtMost(1.2 * small.wakeUpsPerS());
    assertThat(large.bytesInPerS()).isAtMost(2500);
  }

  @Test
  void anIdleStorageCostsTheSameInALargerFleet() {
    var small = row(fleet(24, 6, 0), "storage");
    var large = row(fleet(24, 36, 0), "storage");
    assertThat(large.bytesOutPerS() + large.bytesInPerS())
        .isAtMost(1.2 * (small.bytesOutPerS() + small.bytesInPerS()));
  }

  @Test
  void urgentHitsOfOneZoneDoNotMakeTheOthersUrgent() {
    var fleet = fleet(36, 9, 300);
    var edge = row(fleet, "edge");
    assertThat(fleet.acceptedCount()).isAtLeast(1000L);
    assertThat(edge.framesInPerS()).isAtMost(60);
    assertThat(fleet.bytesPerSecond().keySet()).contains("edge>edge hits.down");
  }
}
