package wellwheel.simulation;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import wellwheel.runtime.ResultCode;

/** Days on which storage and control nodes fail within what the deployment has to survive. */
final class FaultyDays {
  private static final long SECOND = Scenario.SECOND;

  final Scenario play;
  final CopyChecker copies;
  final int survive;
  private Optional<World.Host> retiring = Optional.empty();
  private int joined;
  private long untilUs;

  FaultyDays(long seed, World.Shape shape) {
    play = new Scenario(seed, shape);
    survive = shape.survive();
    copies = new CopyChecker(play, survive);
    play.up();
    if (survive == 1) {
      join();
    }
    copies.run(2 * SECOND);
    work(60 * SECOND);
  }

  int random(int most) {
    return play.world.random().nextInt(most);
  }

  void join() {
    play.world.join(
        "storage-" + (20 + joined++), "storage", List.of("north", "east", "south").get(random(3)));
  }

  void work(long spanUs) {
    untilUs = play.world.nowUs() + spanUs;
    trickle();
  }

  void stopWork() {
    untilUs = 0;
  }

  private void trickle() {
    if (play.world.nowUs() < untilUs) {
      play.handIn(
          play.anyEdge(),
          random(2) == 0 ? "quote" : "notice",
          "",
          "acme",
          play.key,
          random(2) == 0 ? 0 : 45_000);
      play.world.after(20_000 + random(20_000), this::trickle);
    }
  }

  List<World.Host> sound() {
    var lost = copies.lost();
    var all =
        new ArrayList<>(
            play.world.upHosts("storage").stream()
                .filter(host -> !lost.contains(host.name))
                .toList());
    Collections.shuffle(all, play.world.random());
    return all;
  }

  void harm(World.Host host) {
    var spanUs = 200_000 + random(2_300_000);
    switch (random(7)) {
      case 0 -> wipe(host, 300_000 + random(700_000));
      case 1 -> replace(host, random(800_000));
      case 2 -> {
        copies.loses(host, 600_000);
        play.world.kill(host);
      }
      case 3 -> {
        copies.loses(host, spanUs);
        play.world.freeze(host, spanUs);
      }
      case 4 -> {
        copies.loses(host, spanUs);
        play.world.cutOff(host, spanUs);
      }
      case 5 -> {
        copies.loses(host, spanUs + 300_000);
        play.world.slowDisk(host, 1_000 + random(3_000));
        play.world.after(spanUs, () -> play.world.slowDisk(host, 1));
      }
      default -> {
        copies.loses(host, 7 * SECOND);
        play.world.term(host);
      }
    }
  }

  private void harmControl(int room) {
    if (room < 1 || random(4) > 0) {
      return;
    }
    var host =
        play.world
            .leader()
            .filter(leader -> random(2) == 0)
            .orElse(play.world.upHosts("control").get(0));
    var spanUs = 200_000 + random(2_300_000);
    copies.loses(host, spanUs + 600_000);
    switch (random(3)) {
      case 0 -> play.world.kill(host);
      case 1 -> play.world.freeze(host, spanUs);
      default -> play.world.cutOff(host, spanUs);
    }
  }

  private void replace(World.Host host, long waitUs) {
    copies.loses(host, waitUs);
    drop(host);
    play.world.after(waitUs, this::join);
  }

  private void drop(World.Host host) {
    play.world.remove(host);
    copies.kept(host, "keeper.journal", true, new byte[0]);
  }

  void wipe(World.Host host, long darkUs) {
    copies.loses(host, darkUs);
    play.powerLost = true;
    play.world.wipe(host, darkUs);
  }

  void round() {
    var room = copies.room();
    harmControl(room);
    sound().stream()
        .limit(Math.max(0, random(4) == 0 ? copies.room() - 1 : copies.room()))
        .forEach(this::harm);
    if (random(3) == 0) {
      order();
    }
    if (random(4) == 0) {
      var late = sound().get(0);
      play.world.lagNews(late, 20_000 + random(500_000));
      play.world.after(3 * SECOND, () -> play.world.lagNews(late, 0));
    }
    for (var step = 0; step < 40 && (step < 4 || copies.room() < 1 + random(survive)); step++) {
      copies.run(100_000 + random(100_000));
      tendRetiring();
    }
  }

  private void order() {
    if (retiring.isPresent() || play.world.leader().isEmpty()) {
      return;
    }
    var host = sound().get(0);
    var codes = new ArrayList<ResultCode>();
    play.world.leader().get().control().retire(host.name, reply -> codes.add(reply.code()));
    copies.run(200_000);
    if (codes.equals(List.of(ResultCode.FINE))) {
      retiring = Optional.of(host);
      join();
    }
  }

  private void tendRetiring() {
    var told = new ArrayList<String>();
    retiring.ifPresent(
        host ->
            play.world
                .leader()
                .ifPresent(
                    leader ->
                        leader
                            .control()
                            .retireState(host.name, reply -> told.add(new String(reply.body())))));
    copies.run(20_000);
    if (told.stream().anyMatch(state -> state.contains("finished"))) {
      drop(retiring.get());
      retiring = Optional.empty();
      sound().stream().limit(copies.room()).forEach(host -> wipe(host, SECOND / 2));
    }
  }

  void fine() {
    assertWithMessage("copies").that(copies.faults).isEmpty();
    assertWithMessage("checks").that(copies.checked).isAtLeast(30);
  }
}
