package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class WatchTest {
  private static final long SECOND = Scenario.SECOND;

  private static final class Bell {
    final Scenario play;
    final Map<String, JsonObject> heard = new LinkedHashMap<>();
    final Map<String, Long> heardUs = new LinkedHashMap<>();

    Bell(Scenario play) {
      this.play = play;
      listen();
    }

    void listen() {
      play.world
          .leader()
          .ifPresent(
              host -> {
                var text = new String(host.control().warningsNow().body(), StandardCharsets.UTF_8);
                JsonParser.parseString(text)
                    .getAsJsonObject()
                    .getAsJsonArray("Warnings")
                    .forEach(
                        item -> {
                          var warning = item.getAsJsonObject();
                          var name =
                              warning.has("Tenant")
                                  ? "tenant " + warning.get("Tenant").getAsString()
                                  : "worker " + warning.get("Worker").getAsString();
                          heard.put(name, warning);
                          heardUs.putIfAbsent(name, play.world.nowUs());
                        });
              });
      play.world.after(10_000, this::listen);
    }

    List<String> of(String kind) {
      return heard.keySet().stream().filter(name -> name.startsWith(kind)).toList();
    }
  }

  private static void tenants(Scenario play, long untilUs, int gapUs) {
    if (play.world.nowUs() < untilUs) {
      var all = List.of("acme", "beta", "gamma");
      var tenant = all.get(play.world.random().nextInt(3));
      play.handIn(
          play.anyEdge(),
          "quote",
          "",
          tenant,
          tenant.equals("acme") ? play.key : tenant + "-key",
          0);
      play.world.after(gapUs, () -> tenants(play, untilUs, gapUs));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void delayedRequestsHeldBackAreNamedBeforeTheirAim(long seed) {
    var play = new Scenario(seed).up();
    var bell = new Bell(play);
    tenants(play, play.world.nowUs() + 6 * SECOND, 20_000);
    play.run(2 * SECOND);
    var edge = play.world.hosts("edge").get(0);
    var storage =
        play.world.hosts("storage").stream()
            .filter(host -> host.zone.equals(edge.zone))
            .findFirst()
            .orElseThrow();
    for (var i = 0; i < 3; i++) {
      play.handIn(edge, "quote", "", "hot", "hot-key", 3_000);
    }
    play.run(SECOND);
    var dueUs = play.world.nowUs() + 2 * SECOND;
    play.world.hosts("edge").forEach(each -> play.world.cutPair(storage, each, 4 * SECOND));
    play.run(3 * SECOND);
    assertThat(bell.of("tenant")).contains("tenant hot");
    assertThat(bell.heardUs.get("tenant hot")).isLessThan(dueUs + 500_000);
    assertThat(bell.heard.get("tenant hot").get("Nodes").toString()).contains(storage.name);
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void allBusyTogetherAndTheTimeAfterAnOutageNameNobody(long seed) {
    var play = new Scenario(seed).up();
    var bell = new Bell(play);
    play.allSlowTimes = seed % 2 == 0 ? 3 : 1;
    tenants(play, play.world.nowUs() + 8 * SECOND, 8_000);
    if (seed % 2 == 1) {
      play.stopWorkersUs = 0;
      play.run(3 * SECOND);
      play.stopWorkersUs = Long.MAX_VALUE;
      for (var slot = 0; slot < 24; slot++) {
        play.worker();
      }
    }
    play.run(12 * SECOND);
    assertWithMessage("%s", bell.heard).that(bell.of("tenant")).isEmpty();
    assertWithMessage("%s", bell.heard).that(bell.of("worker")).isEmpty();
  }

  static LongStream floods() {
    return LongStream.rangeClosed(201, 240);
  }

  @ParameterizedTest
  @MethodSource("floods")
  void floodIsNamedAsItsOwnBacklog(long seed) {
    var play = new Scenario(seed).up();
    var bell = new Bell(play);
    tenants(play, play.world.nowUs() + 6 * SECOND, 50_000);
    play.run(2 * SECOND);
    for (var i = 0; i < 400; i++) {
      play.handIn(play.anyEdge(), "quote", "", "beta", "beta-key", 0);
    }
    play.run(3 * SECOND);
    assertThat(bell.of("tenant")).containsExactly("tenant beta");
    assertThat(bell.heard.get("tenant beta").get("Cause").getAsString()).contains("own backlog");
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void onlyTheSlowWorkerIsNamed(long seed) {
    var play = new Scenario(seed).up();
    var bell = new Bell(play);
    tenants(play, play.world.nowUs() + 30 * SECOND, 25_000);
    play.run(8 * SECOND);
    assertThat(bell.of("worker")).isEmpty();
    play.slowWorkerTimes = 8;
    if (seed % 2 == 0) {
      play.world.leader().ifPresent(play.world::kill);
    }
    play.run(16 * SECOND);
    assertWithMessage("%s", bell.heard).that(bell.of("worker")).containsExactly("worker w5");
  }
}
