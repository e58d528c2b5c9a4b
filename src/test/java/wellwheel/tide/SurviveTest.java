package wellwheel.tide;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.lantern.Codes;

class SurviveTest {
    private static final long SECOND = Play.SECOND;

    private static Play four(long seed) {
        return new Play(seed, World.Shape.four());
    }

    private static List<World.Host> drawn(Play play, String role, int count) {
        var all = new ArrayList<>(play.world.hosts(role));
        Collections.shuffle(all, play.world.luck());
        return all.subList(0, count);
    }

    private static void darken(Play play, List<World.Host> wiped) {
        List.of("pilot", "keeper", "gallery").forEach(role -> play.world.hosts(role).forEach(host -> {
            if (wiped.contains(host)) {
                play.world.wipe(host, SECOND);
            } else {
                play.world.powerOff(host, SECOND);
            }
        }));
    }

    private static void readsBack(Play play, String config) {
        assertThat(play.readBack()).isEqualTo(config);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoKeeperDisksLostWhileAllElseLosesPower(long seed) {
        four(seed).trouble(8 * SECOND, play -> {
            play.run(2 * SECOND + play.world.luck().nextInt(1_000_000));
            play.powerLost = true;
            darken(play, drawn(play, "keeper", 2));
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void twoPilotDisksLostRightAfterAnAcknowledgement(long seed) {
        var play = four(seed).up();
        var newest = Ledger.config(2, "key-two", 4);
        var lost = drawn(play, "pilot", 2);
        var taken = new ArrayList<Codes>();
        play.world.configure(newest.getBytes(StandardCharsets.UTF_8), 1, reply -> {
            taken.add(reply.code());
            darken(play, lost);
        });
        play.run(10 * SECOND);
        assertThat(taken).containsExactly(Codes.FINE);
        readsBack(play, newest);
        assertThat(play.world.leader().orElseThrow().pilot().raft().voters()).hasSize(5);
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void twoKeepersDarkAtOnceStopNothingForLong(long seed) {
        var play = four(seed).trouble(12 * SECOND, each -> drawn(each, "keeper", 2).forEach(host -> each.world.powerOff(host, 4 * SECOND)));
        assertThat(play.accepted()).isGreaterThan(play.ledger.entries.size() * 3 / 4);
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void aCoreMachineReplacedByAnEmptyOneElsewhereVotesInItsPlace(long seed) {
        var play = new Play(seed, seed % 2 == 0 ? World.Shape.four() : World.Shape.three()).up();
        var count = play.world.hosts("pilot").size();
        var gone = drawn(play, "pilot", 1).get(0);
        play.world.remove(gone);
        var fresh = play.world.join("core-9", "pilot", gone.zone);
        play.run(10 * SECOND);
        var voters = play.world.leader().orElseThrow().pilot().raft().voters();
        assertThat(voters).hasSize(count);
        assertThat(voters).contains(fresh.ip);
        assertThat(voters).doesNotContain(gone.ip);
        var newest = Ledger.config(2, "key-two", 4);
        play.world.configure(newest.getBytes(StandardCharsets.UTF_8), 1, reply -> darken(play, List.of(play.world.leader().orElseThrow())));
        play.run(6 * SECOND);
        readsBack(play, newest);
        var term = play.world.leader().orElseThrow().pilot().raft().term();
        play.world.comeBack(gone);
        play.run(6 * SECOND);
        assertThat(play.world.leader().orElseThrow().pilot().raft().term()).isEqualTo(term);
        assertThat(play.world.leader().orElseThrow().pilot().raft().voters()).doesNotContain(gone.ip);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44})
    void frozenAndThawedNodesActOnNothingOld(long seed) {
        new Play(seed, seed % 2 == 0 ? World.Shape.four() : World.Shape.three()).trouble(24 * SECOND, play -> {
            for (var round = 0; round < 4; round++) {
                var role = List.of("keeper", "pilot", "keeper", "gallery").get(round);
                drawn(play, role, 1).forEach(host -> play.world.freeze(host, SECOND / 2 + play.world.luck().nextInt(4_000_000)));
                play.run(6 * SECOND);
            }
        });
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void randomMischiefWithTwoLossesToBear(long seed) {
        four(seed).trouble(30 * SECOND, play -> {
            for (var round = 0; round < 5; round++) {
                var two = drawn(play, "keeper", 2);
                switch (play.world.luck().nextInt(6)) {
                    case 0 -> two.forEach(play.world::kill);
                    case 1 -> two.forEach(host -> play.world.wipe(host, SECOND / 2));
                    case 2 -> two.forEach(host -> play.world.cutOff(host, 2 * SECOND));
                    case 3 -> two.forEach(host -> play.world.freeze(host, SECOND + play.world.luck().nextInt(2_000_000)));
                    case 4 -> play.world.term(two.get(0));
                    default -> drawn(play, "pilot", 2).forEach(host -> play.world.wipe(host, SECOND / 2));
                }
                play.run(7 * SECOND);
            }
        });
    }
}
