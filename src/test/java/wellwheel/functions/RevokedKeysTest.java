package wellwheel.functions;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against fronts that let requests in without a key that holds: keys come and go, also the
 * last one, while fronts are cut off from the control nodes and clients keep their connections.
 */
class RevokedKeysTest {
  private static final long SECOND = FunctionsWorld.SECOND;
  private static final long REVOKE_WITHIN_US = 5 * SECOND;
  private static final long ASK_EVERY_US = 20_000;
  private static final String FOREIGN = "nobody-ever-held-this";

  private final Map<String, Long> takenAtUs = new HashMap<>();
  private final List<String> keys = new ArrayList<>(List.of(FOREIGN));
  private int revision = 1;
  private int heldServed;

  private void configure(FunctionsWorld world, String... held) throws Exception {
    for (var key : keys) {
      if (!List.of(held).contains(key)) {
        takenAtUs.putIfAbsent(key, key.equals(FOREIGN) ? 0 : world.time.nowUs);
      }
    }
    for (var key : held) {
      takenAtUs.remove(key);
      if (!keys.contains(key)) {
        keys.add(key);
      }
    }
    var list = held.length == 0 ? "" : "\"" + String.join("\",\"", held) + "\"";
    world.configure(
        FunctionsWorld.configurationJson()
            .replace("\"Revision\":1,", "\"Revision\":" + ++revision + ",")
            .replaceFirst(
                "}$",
                ",\"Customers\":[{\"Name\":\"co-op\",\"ApiKeys\":["
                    + list
                    + "],\"RatePerS\":900,\"Burst\":900}]}"));
  }

  private void ask(FunctionsWorld world, long untilUs) {
    if (world.time.nowUs >= untilUs) {
      return;
    }
    var ips = world.frontIps();
    var key = keys.get(world.random.nextInt(keys.size()));
    var takenUs = takenAtUs.getOrDefault(key, Long.MAX_VALUE);
    var call = world.callAt(ips.get(world.random.nextInt(ips.size())), key);
    world.time.after(4 * SECOND, () -> check(world, call, takenUs));
    world.time.after(ASK_EVERY_US, () -> ask(world, untilUs));
  }

  private void check(FunctionsWorld world, FunctionsWorld.Call call, long takenUs) {
    var runs = world.platform.runs.getOrDefault(call.id, 0);
    heldServed += takenUs == Long.MAX_VALUE && call.status == 200 ? 1 : 0;
    if (call.sentUs - REVOKE_WITHIN_US > takenUs) {
      assertWithMessage("runs of a request with " + call.key).that(runs).isEqualTo(0);
      assertThat(call.status).isAnyOf(401, 503);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {61, 62, 63, 64, 65, 66})
  void aKeyThatWasTakenAwayOpensNothingAtAnyFront(long seed) throws Exception {
    var world = new FunctionsWorld(seed, 4);
    configure(world, "key-1");
    world.time.runFor(2 * SECOND);
    ask(world, world.time.nowUs + 60 * SECOND);
    for (var round = 0; round < 10; round++) {
      var ips = world.frontIps();
      var cutUs = 1 * SECOND + world.random.nextInt(9_000_000);
      world.cutOff(ips.get(world.random.nextInt(ips.size())), cutUs);
      world.time.runFor(world.random.nextInt(400_000));
      switch (world.random.nextInt(4)) {
        case 0 -> configure(world);
        case 1 -> configure(world, "key-" + (revision + 1));
        case 2 -> configure(world, "key-1");
        default -> configure(world, "key-1", "key-" + (revision + 1));
      }
      world.time.runFor(6 * SECOND);
      if (round % 3 == 2) {
        world.changeLeader();
      }
    }
    world.time.runFor(10 * SECOND);
    assertThat(heldServed).isAtLeast(50);
  }
}
