package wellwheel.tide;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FleetTest {
    private static Fleet fleet(int galleries, int keepers, double perS) {
        var fleet = new Fleet();
        fleet.galleries = galleries;
        fleet.keepers = keepers;
        fleet.perS = perS;
        fleet.seconds = 4;
        return fleet;
    }

    private static Fleet.Row row(Fleet fleet, String role) {
        return fleet.measure().stream().filter(row -> row.role().equals(role)).findFirst().orElseThrow();
    }

    @Test
    void anIdleNodeCostsTheSameInALargerFleet() {
        var small = row(fleet(24, 9, 0), "gallery");
        var large = row(fleet(72, 9, 0), "gallery");
        assertThat(large.bytesOutPerS() + large.bytesInPerS()).isAtMost(1.2 * (small.bytesOutPerS() + small.bytesInPerS()));
        assertThat(large.wakeUpsPerS()).isAtMost(1.2 * small.wakeUpsPerS());
        assertThat(large.bytesInPerS()).isAtMost(2500);
    }

    @Test
    void anIdleKeeperCostsTheSameInALargerFleet() {
        var small = row(fleet(24, 6, 0), "keeper");
        var large = row(fleet(24, 36, 0), "keeper");
        assertThat(large.bytesOutPerS() + large.bytesInPerS()).isAtMost(1.2 * (small.bytesOutPerS() + small.bytesInPerS()));
    }

    @Test
    void urgentHitsOfOneZoneDoNotMakeTheOthersUrgent() {
        var fleet = fleet(36, 9, 300);
        var gallery = row(fleet, "gallery");
        assertThat(fleet.acceptedCount()).isAtLeast(1000L);
        assertThat(gallery.framesInPerS()).isAtMost(60);
        assertThat(fleet.bytesPerSecond().keySet()).contains("gallery>gallery hits.down");
    }
}
