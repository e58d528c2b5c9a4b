package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.ResultCode;

class DamagedDiskTest {
  private static final long SECOND = Scenario.SECOND;

  private static double part(Scenario play) {
    return 0.05 + 0.6 * play.world.random().nextDouble();
  }

  @ParameterizedTest
  @ValueSource(longs = {601, 602, 603, 604})
  void aStorageWhoseSyncedRecordsAreDamagedComesBackAsAnotherAndNothingIsLost(long seed) {
    Scenario.trouble(
        seed,
        8 * SECOND,
        play -> {
          play.powerLost = true;
          play.run(3 * SECOND);
          var hosts = play.world.hosts("storage");
          var host = hosts.get(play.world.random().nextInt(hosts.size()));
          var before = host.storage().id();
          play.world.spoil(host, part(play), SECOND);
          play.run(2 * SECOND);
          assertThat(host.storage().id()).isNotEqualTo(before);
          assertThat(host.storage().id()).startsWith(host.name + "#");
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {611, 612, 613, 614})
  void aControlWhoseSyncedRecordsAreDamagedCatchesUpAndKeepsWhatWasTaken(long seed) {
    var play = new Scenario(seed).up();
    var base = new int[] {1};
    var taken = new ArrayList<ResultCode>();
    for (var round = 0; round < 3; round++) {
      var host = play.world.hosts("control").get((int) ((seed + round) % 3));
      play.world.spoil(host, part(play), SECOND);
      play.run(6 * SECOND);
      play.world.configure(
          HistoryChecker.config(base[0] + 1, "key-" + round, 4).getBytes(StandardCharsets.UTF_8),
          base[0],
          reply -> taken.add(reply.code()));
      play.run(2 * SECOND);
      base[0]++;
      assertThat(play.readBack()).isEqualTo(HistoryChecker.config(base[0], "key-" + round, 4));
    }
    assertThat(taken).containsExactly(ResultCode.FINE, ResultCode.FINE, ResultCode.FINE);
    assertThat(play.world.leader().orElseThrow().control().raft().voters()).hasSize(3);
  }
}
