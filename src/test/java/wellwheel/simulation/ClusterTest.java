package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.ResultCode;

class ClusterTest {
  private static final long SECOND = Scenario.SECOND;

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void calmDaysServeAllAndRunNothingTwice(long seed) {
    var play = Scenario.trouble(seed, 8 * SECOND, each -> {});
    assertThat(play.checker.reruns).isEqualTo(0);
    assertThat(play.accepted()).isEqualTo(play.checker.entries.size());
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void storageNodesStoppedInTurnRunNoSuccessTwice(long seed) {
    var play =
        Scenario.trouble(
            seed,
            24 * SECOND,
            each ->
                each.world
                    .hosts("storage")
                    .forEach(
                        host -> {
                          each.world.term(host);
                          each.run(7 * SECOND);
                        }));
    assertThat(play.checker.reruns).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(longs = {16, 17})
  void outcomesOfMovedLinesComeHomeWhereNewsIsLate(long seed) {
    var play =
        Scenario.trouble(
            seed,
            24 * SECOND,
            each -> {
              var storageNodes = each.world.hosts("storage");
              each.world.lagNews(storageNodes.get((int) seed % 3), 40_000);
              each.world.term(storageNodes.get((int) (seed + 1) % 3));
              each.run(10 * SECOND);
              each.world.term(storageNodes.get((int) (seed + 2) % 3));
            });
    assertThat(play.checker.reruns).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24})
  void killedStorageLosesNothing(long seed) {
    Scenario.trouble(
        seed,
        10 * SECOND,
        each -> each.world.kill(each.world.hosts("storage").get((int) seed % 3)));
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void darkStorageLosesNothing(long seed) {
    Scenario.trouble(
        seed,
        12 * SECOND,
        each -> each.world.powerOff(each.world.hosts("storage").get((int) seed % 3), 3 * SECOND));
  }

  @ParameterizedTest
  @ValueSource(longs = {41, 42, 43, 44})
  void wipedStorageIsFilledAgain(long seed) {
    Scenario.trouble(
        seed,
        14 * SECOND,
        each -> {
          var storageNodes = each.world.hosts("storage");
          each.world.wipe(storageNodes.get((int) seed % 3), SECOND / 2);
          each.run(6 * SECOND);
          each.world.wipe(storageNodes.get((int) (seed + 1) % 3), SECOND / 2);
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {51, 52, 53})
  void cutOffStorageActsNoMore(long seed) {
    Scenario.trouble(
        seed,
        14 * SECOND,
        each -> each.world.cutOff(each.world.hosts("storage").get((int) seed % 3), 4 * SECOND));
  }

  @ParameterizedTest
  @ValueSource(longs = {61, 62, 63, 64})
  void allPowerLostKeepsWhatWasAccepted(long seed) {
    Scenario.trouble(
        seed,
        10 * SECOND,
        each -> {
          each.run(3 * SECOND);
          each.powerLost = true;
          List.of("control", "storage", "edge")
              .forEach(
                  role ->
                      each.world.hosts(role).forEach(host -> each.world.powerOff(host, SECOND)));
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {71, 72, 73, 74, 75, 76})
  void oneDiskLostWhileAllElseLosesPower(long seed) {
    Scenario.trouble(
        seed,
        10 * SECOND,
        each -> {
          each.run(3 * SECOND);
          each.powerLost = true;
          var roles = seed % 2 == 0 ? "storage" : "control";
          var lost = each.world.hosts(roles).get((int) seed % 3);
          List.of("control", "storage", "edge")
              .forEach(
                  role ->
                      each.world
                          .hosts(role)
                          .forEach(
                              host -> {
                                if (host == lost) {
                                  each.world.wipe(host, SECOND);
                                } else {
                                  each.world.powerOff(host, SECOND);
                                }
                              }));
          each.run(8 * SECOND);
          assertThat(each.readBack()).isEqualTo(HistoryChecker.config(1, each.key, 4));
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {81, 82, 83})
  void controlNodesStoppedAndKilledHurtNothing(long seed) {
    var play =
        Scenario.trouble(
            seed,
            14 * SECOND,
            each -> {
              each.world.term(each.world.leader().orElseThrow());
              each.run(3 * SECOND);
              each.world.kill(each.world.leader().orElseThrow());
              each.run(4 * SECOND);
              each.world
                  .hosts("control")
                  .forEach(host -> each.world.skew(host, seed % 2 == 0 ? 7 * SECOND : -7 * SECOND));
            });
    assertThat(play.checker.reruns).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(longs = {91, 92, 93, 94, 95, 96})
  void randomFaults(long seed) {
    Scenario.trouble(
        seed,
        30 * SECOND,
        each -> {
          for (var round = 0; round < 5; round++) {
            strike(each);
            each.run(7 * SECOND);
          }
        });
  }

  private static void strike(Scenario play) {
    var random = play.world.random();
    var storageNodes = play.world.hosts("storage");
    var storage = storageNodes.get(random.nextInt(storageNodes.size()));
    switch (random.nextInt(6)) {
      case 0 -> play.world.kill(storage);
      case 1 -> play.world.wipe(storage, SECOND / 2);
      case 2 -> play.world.term(storage);
      case 3 -> play.world.cutOff(storage, 2 * SECOND);
      case 4 -> play.world.kill(play.anyEdge());
      default -> play.world.leader().ifPresent(play.world::kill);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {151, 152})
  void aRetiredStorageIsEmptiedUnderLoadAndASpareTakesItsPart(long seed) {
    var play =
        Scenario.trouble(
            seed,
            20 * SECOND,
            each -> {
              var storage = each.world.hosts("storage").get((int) seed % 3);
              var codes = new ArrayList<ResultCode>();
              each.retire("nobody", codes);
              each.retire(storage.name, codes);
              each.run(4 * SECOND);
              assertThat(each.retireState(storage.name)).isEqualTo("{\"State\":\"finished\"}");
              each.world.remove(storage);
              each.retire(each.world.upHosts("storage").get(0).name, codes);
              assertThat(codes)
                  .containsExactly(ResultCode.NO_NODE, ResultCode.FINE, ResultCode.TOO_FEW)
                  .inOrder();
              var spare = each.world.join("storage-9", "storage", "north");
              each.run(8 * SECOND);
              assertThat(spare.storage().openEpochs().size()).isAtLeast(48 / 3 - 3);
            });
    assertThat(play.checker.reruns).isEqualTo(0);
  }

  @Test
  void darkEndpointDrainsUnderItsCeiling() {
    Scenario.trouble(
        101, 20 * SECOND, each -> each.checker.darkUntilUs = each.world.nowUs() + 6 * SECOND);
  }

  @ParameterizedTest
  @ValueSource(longs = {111, 112, 113})
  void hotTenantStaysInsideItsQuotaOverAllEdges(long seed) {
    staysInsideItsQuota(seed, World.Shape.three());
  }

  @ParameterizedTest
  @ValueSource(longs = {114, 115, 116, 117})
  void hotTenantStaysInsideItsQuotaThroughRelaysThatDie(long seed) {
    staysInsideItsQuota(seed, World.Shape.four().withEdges(5));
  }

  private static void staysInsideItsQuota(long seed, World.Shape shape) {
    var play = new Scenario(seed, shape).up();
    var admitted = new ArrayList<Long>();
    var cutAtUs = play.world.nowUs() + 6 * SECOND;
    flood(play, admitted, play.world.nowUs() + 16 * SECOND);
    play.run(cutAtUs - play.world.nowUs());
    var edge = play.world.hosts("edge").get(shape.edgesPerZone() > 1 ? 0 : (int) seed % 3);
    if (seed % 2 == 0) {
      play.world.cutOff(edge, 2 * SECOND);
    } else {
      play.world.kill(edge);
    }
    play.run(12 * SECOND);
    var first = 0;
    var most = 0;
    for (var last = 0; last < admitted.size(); last++) {
      while (admitted.get(last) - admitted.get(first) >= 5 * SECOND) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    assertThat(most).isAtMost((int) ((20 * 5 + 20) * 1.1 + 20));
    assertThat(admitted.size()).isAtLeast(16 * 20 * 7 / 10);
  }

  private static void flood(Scenario play, List<Long> admitted, long untilUs) {
    if (play.world.nowUs() >= untilUs) {
      return;
    }
    var id = "hot" + play.world.nowUs();
    var sentUs = play.world.nowUs();
    play.checker.entries.put(id, new HistoryChecker.Entry(id, "carrier", "", sentUs));
    play.world.ask(
        play.anyEdge(),
        "POST",
        "/carrier/x",
        Map.of("Host", HistoryChecker.HOST, "Attempt-Id", id, "Authorization", "Bearer hot-key"),
        new byte[0],
        answer -> {
          if (answer.map(each -> each.code().status()).orElse(0) == 202) {
            admitted.add(sentUs);
          }
        });
    play.world.after(
        4_000 + play.world.random().nextInt(2_000), () -> flood(play, admitted, untilUs));
  }

  @ParameterizedTest
  @ValueSource(longs = {121, 122})
  void ofTwoChangesOnOneBaseOneWinsAndResendsAreTaken(long seed) {
    var play = new Scenario(seed).up();
    var one = HistoryChecker.config(2, "key-two", 4).getBytes(StandardCharsets.UTF_8);
    var other = HistoryChecker.config(3, "key-three", 4).getBytes(StandardCharsets.UTF_8);
    var codes = new ArrayList<ResultCode>();
    play.world.configure(one, 1, reply -> codes.add(reply.code()));
    play.world.configure(other, 1, reply -> codes.add(reply.code()));
    play.run(SECOND);
    assertThat(codes).containsExactly(ResultCode.FINE, ResultCode.OTHER_BASE);
    play.world.configure(
        codes.get(0) == ResultCode.FINE ? one : other, 1, reply -> codes.add(reply.code()));
    play.run(SECOND);
    assertThat(codes.get(2)).isEqualTo(ResultCode.FINE);
  }

  @Test
  void longControlJournalsAreRewrittenAndReadBackAfterAllPowerIsLost() {
    var play = new Scenario(161).up();
    var padding = ",\"Padding\":\"" + "x".repeat(32_000) + "\"}";
    var newest = "";
    for (var revision = 2; revision < 320; revision++) {
      newest = HistoryChecker.config(revision, "key-" + revision, 4).replaceFirst("}$", padding);
      var taken = new ArrayList<ResultCode>();
      play.world.configure(
          newest.getBytes(StandardCharsets.UTF_8), revision - 1, reply -> taken.add(reply.code()));
      play.run(30_000);
      assertThat(taken).containsExactly(ResultCode.FINE);
    }
    assertThat(play.world.journalBytes("control")).isLessThan(9L << 20);
    play.world.hosts("control").forEach(host -> play.world.powerOff(host, SECOND));
    play.run(4 * SECOND);
    play.world.wipe(play.world.hosts("control").get(0), SECOND / 2);
    play.run(4 * SECOND);
    play.world.kill(play.world.hosts("control").get(1));
    play.run(4 * SECOND);
    assertThat(play.readBack()).isEqualTo(newest);
  }

  @Test
  void longStorageJournalsAreRewrittenAndReadBackAfterAKill() {
    var play = new Scenario(171).up();
    play.padBytes = 256_000;
    for (var number = 0; number < 450; number++) {
      play.handIn("notice", "");
      play.run(40_000);
    }
    assertThat(play.accepted()).isEqualTo(450);
    assertThat(play.world.journalBytes("storage")).isLessThan(56L << 20);
    play.padBytes = 0;
    play.load(4 * SECOND);
    play.world.hosts("storage").forEach(play.world::kill);
    play.powerLost = true;
    play.run(5 * SECOND);
    play.settle();
  }

  @Test
  void revokedKeysFailOnACutOffEdgeToo() {
    var play = new Scenario(131).up();
    var edge = play.world.hosts("edge").get(0);
    play.world.cutOff(edge, 20 * SECOND);
    play.world.configure(
        HistoryChecker.config(2, "key-two", 4).getBytes(StandardCharsets.UTF_8),
        1,
        reply -> assertThat(reply.code()).isEqualTo(ResultCode.FINE));
    play.run(5 * SECOND);
    var statuses = new ArrayList<Integer>();
    var headers =
        Map.of(
            "Host", HistoryChecker.HOST, "Attempt-Id", "late", "Authorization", "Bearer key-one");
    play.world.ask(
        edge,
        "POST",
        "/quote/x",
        headers,
        new byte[0],
        answer -> statuses.add(answer.orElseThrow().code().status()));
    play.run(SECOND);
    assertThat(statuses).containsExactly(503);
  }

  @Test
  void theSameSeedPlaysTheSameDay() {
    var one =
        Scenario.trouble(
            141, 6 * SECOND, each -> each.world.kill(each.world.hosts("storage").get(0)));
    var other =
        Scenario.trouble(
            141, 6 * SECOND, each -> each.world.kill(each.world.hosts("storage").get(0)));
    assertThat(one.world.frames()).isEqualTo(other.world.frames());
    assertThat(one.world.crossBytes()).isEqualTo(other.world.crossBytes());
  }
}
