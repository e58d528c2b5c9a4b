package wellwheel.tide;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.lantern.Codes;

class DamagedDiskTest {
    private static final long SECOND = Play.SECOND;

    private static double part(Play play) {
        return 0.05 + 0.6 * play.world.luck().nextDouble();
    }

    @ParameterizedTest
    @ValueSource(longs = {601, 602, 603, 604})
    void aKeeperWhoseSyncedRecordsAreDamagedComesBackAsAnotherAndNothingIsLost(long seed) {
        Play.trouble(seed, 8 * SECOND, play -> {
            play.powerLost = true;
            play.run(3 * SECOND);
            var hosts = play.world.hosts("keeper");
            var host = hosts.get(play.world.luck().nextInt(hosts.size()));
            var before = host.keeper().id();
            play.world.spoil(host, part(play), SECOND);
            play.run(2 * SECOND);
            assertThat(host.keeper().id()).isNotEqualTo(before);
            assertThat(host.keeper().id()).startsWith(host.name + "#");
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {611, 612, 613, 614})
    void aPilotWhoseSyncedRecordsAreDamagedCatchesUpAndKeepsWhatWasTaken(long seed) {
        var play = new Play(seed).up();
        var base = new int[] {1};
        var taken = new ArrayList<Codes>();
        for (var round = 0; round < 3; round++) {
            var host = play.world.hosts("pilot").get((int) ((seed + round) % 3));
            play.world.spoil(host, part(play), SECOND);
            play.run(6 * SECOND);
            play.world.configure(Ledger.config(base[0] + 1, "key-" + round, 4).getBytes(StandardCharsets.UTF_8), base[0], reply -> taken.add(reply.code()));
            play.run(2 * SECOND);
            base[0]++;
            assertThat(play.readBack()).isEqualTo(Ledger.config(base[0], "key-" + round, 4));
        }
        assertThat(taken).containsExactly(Codes.FINE, Codes.FINE, Codes.FINE);
        assertThat(play.world.leader().orElseThrow().pilot().raft().voters()).hasSize(3);
    }
}
