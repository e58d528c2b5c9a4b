package wellwheel.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import wellwheel.control.ControlWorld.Machine;

/**
 * Losses drawn from a seed, at most n at once as the rules count them, and now and then all power
 * at once.
 */
final class FaultInjection {
  static final long CATCH_UP_US = 4_100_000;
  private static final long SECOND = ControlWorld.SECOND;

  private final ControlWorld world;
  private final Operators moments;
  private final Random random;
  private final Map<Machine, Long> lost = new HashMap<>();
  private final List<Runnable> disturbed = new ArrayList<>();
  private final List<Consumer<Machine>> returned = new ArrayList<>();
  private final List<String> told = new ArrayList<>();
  private boolean on;
  private boolean dark;
  private int planned;

  FaultInjection(ControlWorld world, Operators moments) {
    this.world = world;
    this.moments = moments;
    random = new Random(world.random.nextLong());
  }

  void onDisturbed(Runnable task) {
    disturbed.add(task);
  }

  void onReturn(Consumer<Machine> task) {
    returned.add(task);
  }

  List<String> told() {
    return told;
  }

  void begin() {
    on = true;
    next();
    smaller();
  }

  void end() {
    on = false;
  }

  int lostNow() {
    lost.values().removeIf(untilUs -> untilUs <= world.nowUs());
    return lost.size();
  }

  boolean quiet() {
    return lostNow() == 0 && planned == 0 && !dark;
  }

  private void tell(String what) {
    told.add(String.format("%.3f %s", world.nowUs() / 1e6, what));
    disturbed.forEach(Runnable::run);
  }

  private void lose(Machine machine) {
    lost.put(machine, Long.MAX_VALUE);
  }

  private void found(Machine machine) {
    tell("back " + machine.ip);
    returned.forEach(each -> each.accept(machine));
    lost.put(machine, world.nowUs() + CATCH_UP_US);
    world.after(CATCH_UP_US + (random.nextBoolean() ? 1 : random.nextInt(6_000_000)), this::next);
  }

  private long spanUs() {
    return switch (random.nextInt(4)) {
      case 0 -> 100_000 + random.nextInt(2_000_000);
      case 1 -> 20 * SECOND;
      default -> 1_000_000 + random.nextInt(19_000_000);
    };
  }

  private Optional<Machine> victim() {
    var free =
        world.members().stream()
            .filter(
                each ->
                    each.up
                        && !each.frozen()
                        && !each.leaving
                        && !lost.containsKey(each)
                        && each.life > 0)
            .toList();
    if (free.isEmpty()) {
      return Optional.empty();
    }
    var leader = free.stream().filter(each -> each.raft().leads()).findFirst();
    return leader.isPresent() && random.nextInt(2) == 0
        ? leader
        : Optional.of(free.get(random.nextInt(free.size())));
  }

  private void next() {
    if (!on || dark) {
      return;
    }
    while (lostNow() < world.shape.survive()) {
      var victim = victim();
      if (victim.isEmpty()) {
        world.after(SECOND, this::next);
        return;
      }
      lose(victim.get());
      strikeSometime(victim.get());
      if (random.nextInt(3) > 0) {
        world.after(random.nextInt(8_000_000), this::next);
        return;
      }
    }
  }

  /** Now, or in the midst of the next call, or right after the next acknowledgement. */
  private void strikeSometime(Machine machine) {
    var struck = new boolean[1];
    Runnable once =
        () -> {
          if (!struck[0]) {
            struck[0] = true;
            strikeIfThere(machine);
          }
        };
    switch (random.nextInt(3)) {
      case 0 -> once.run();
      case 1 -> moments.onCall(() -> world.after(random.nextInt(3_000), once));
      default -> moments.onAcknowledged(once);
    }
    world.after(2 * SECOND, once);
  }

  private void strikeIfThere(Machine machine) {
    if (machine.up && !machine.leaving && !machine.removed && !dark) {
      strike(machine);
    } else {
      lost.remove(machine);
      world.after(SECOND, this::next);
    }
  }

  private void strike(Machine machine) {
    switch (random.nextInt(15)) {
      case 0, 1, 2 -> freeze(machine);
      case 12, 13 -> twisted(machine);
      case 3, 4, 5 -> cut(machine);
      case 6 -> kill(machine);
      case 7 -> powerLoss(machine);
      case 8 -> wiped(machine);
      case 14 -> damaged(machine);
      case 9 -> replaced(machine);
      case 10 -> slowLink(machine);
      default -> slowDisk(machine);
    }
  }

  private void freeze(Machine machine) {
    var spanUs = spanUs();
    var order = ControlWorld.Order.values()[random.nextInt(5)];
    tell("freeze " + machine.ip + " for " + spanUs + " us, then " + order);
    world.freeze(machine, spanUs, order);
    world.after(spanUs, () -> found(machine));
  }

  private void cut(Machine machine) {
    var ways = ControlWorld.Ways.values()[random.nextInt(3)];
    var holds = random.nextBoolean();
    var spanUs = spanUs();
    var side = withSomeHolders(machine);
    var cut = world.cut(side, ways, holds, random.nextBoolean() ? spanUs : 900_000);
    tell(
        "cut "
            + side.stream().map(each -> each.ip).toList()
            + " "
            + ways
            + (holds ? " holding" : " dropping")
            + " for "
            + spanUs
            + " us");
    world.after(
        spanUs,
        () -> {
          world.join(cut);
          found(machine);
        });
  }

  /** Galleries and keepers may stand on the side of the one that is cut off. */
  private List<Machine> withSomeHolders(Machine machine) {
    var side = new ArrayList<>(List.of(machine));
    holders().stream().filter(each -> random.nextInt(3) == 0).forEach(side::add);
    return side;
  }

  private List<Machine> holders() {
    var holders = new ArrayList<>(world.machines("edge"));
    holders.addAll(world.machines("storage"));
    return holders;
  }

  /**
   * Held up both ways for less than a leader's patience, let through for a moment, then cut off
   * again.
   */
  private void twisted(Machine machine) {
    var heldUs = 200_000 + random.nextInt(400_000);
    var spanUs = spanUs();
    var ways = random.nextBoolean() ? ControlWorld.Ways.OUT : ControlWorld.Ways.BOTH;
    tell(
        "hold up "
            + machine.ip
            + " for "
            + heldUs
            + " us, then cut "
            + ways
            + " for "
            + spanUs
            + " us");
    var first = world.cut(List.of(machine), ControlWorld.Ways.BOTH, true, heldUs);
    world.after(
        heldUs,
        () -> {
          var out =
              world.cut(List.of(machine), ControlWorld.Ways.OUT, random.nextBoolean(), spanUs);
          world.join(first);
          world.after(
              random.nextInt(4_000),
              () -> {
                var then = world.cut(List.of(machine), ways, random.nextBoolean(), spanUs);
                world.join(out);
                world.after(
                    spanUs,
                    () -> {
                      world.join(then);
                      found(machine);
                    });
              });
        });
  }

  private void kill(Machine machine) {
    var spanUs = random.nextBoolean() ? 300_000 + random.nextInt(900_000) : spanUs();
    tell("kill " + machine.ip + " for " + spanUs + " us");
    world.kill(machine);
    backAfter(machine, spanUs);
  }

  private void backAfter(Machine machine, long spanUs) {
    world.after(
        spanUs,
        () -> {
          world.startAgain(machine);
          found(machine);
        });
  }

  private void powerLoss(Machine machine) {
    var spanUs = spanUs();
    tell("power loss of " + machine.ip + " for " + spanUs + " us");
    world.powerOff(machine);
    backAfter(machine, spanUs);
  }

  private void wiped(Machine machine) {
    var spanUs = spanUs();
    tell("disk of " + machine.ip + " lost, back in " + spanUs + " us");
    world.wipe(machine);
    backAfter(machine, spanUs);
  }

  private void damaged(Machine machine) {
    var spanUs = spanUs();
    tell("disk of " + machine.ip + " damaged, back in " + spanUs + " us");
    world.powerOff(machine);
    machine.disk.damage();
    backAfter(machine, spanUs);
  }

  private void replaced(Machine machine) {
    var spanUs = random.nextInt(8_000_000);
    tell(machine.ip + " gone for good, another in " + spanUs + " us");
    world.removeForGood(machine);
    world.after(
        spanUs,
        () -> {
          var fresh = world.startEmpty("control");
          tell(fresh.ip + " stands for " + machine.ip);
          found(machine);
        });
  }

  private void slowLink(Machine machine) {
    var spanUs = spanUs();
    tell("slow link to " + machine.ip + " for " + spanUs + " us");
    world.slowLinks(machine, random.nextBoolean() ? 0.2 : 1, random.nextBoolean());
    world.after(
        spanUs,
        () -> {
          world.slowLinks(machine, ControlWorld.FULL_BYTES_PER_US, false);
          found(machine);
        });
  }

  private void slowDisk(Machine machine) {
    var spanUs = spanUs();
    tell("slow disk of " + machine.ip + " for " + spanUs + " us");
    machine.disk.slow(1 + random.nextInt(3000), random.nextBoolean() ? 1 : 400);
    world.after(
        spanUs,
        () -> {
          machine.disk.slow(1, 400);
          found(machine);
        });
  }

  private void smaller() {
    if (!on) {
      return;
    }
    world.after(1_000_000 + random.nextInt(20_000_000), this::smaller);
    switch (random.nextInt(6)) {
      case 0 -> plannedReplacement();
      case 1, 2 -> holderTrouble();
      case 3, 4 -> {
        var members = world.members();
        world.skew(
            members.get(random.nextInt(members.size())), random.nextInt(20_000_000) - 10_000_000);
      }
      default -> {
        if (random.nextBoolean()) {
          allPower();
        } else {
          moments.onAcknowledged(this::allPower);
        }
      }
    }
  }

  private void holderTrouble() {
    var holders = holders();
    var holder = holders.get(random.nextInt(holders.size()));
    if (random.nextBoolean()) {
      world.freeze(holder, spanUs(), ControlWorld.Order.values()[random.nextInt(5)]);
    } else {
      var cut =
          world.cut(
              List.of(holder),
              ControlWorld.Ways.values()[random.nextInt(3)],
              random.nextBoolean(),
              900_000);
      world.after(spanUs(), () -> world.join(cut));
    }
  }

  private void plannedReplacement() {
    if (planned > 0 || dark) {
      return;
    }
    planned++;
    var fresh = world.startEmpty("control");
    tell(fresh.ip + " comes, planned");
    world.after(
        CATCH_UP_US + random.nextInt(4_000_000),
        () -> {
          var old = victim().filter(each -> each != fresh && each.up);
          if (old.isEmpty() || dark) {
            world.after(SECOND, () -> planned--);
            return;
          }
          tell("term " + old.get().ip);
          world.terminate(
              old.get(),
              () -> {
                planned--;
                tell("ended " + old.get().ip);
                lost.remove(old.get());
                if (random.nextBoolean()) {
                  next();
                }
              });
        });
  }

  /** The closing fault: all power or all processes, and up to n disks. */
  private void allPower() {
    if (!on || lostNow() > 0 || planned > 0 || dark || random.nextInt(3) > 0) {
      return;
    }
    dark = true;
    var all = new ArrayList<>(world.members().stream().filter(each -> each.up).toList());
    java.util.Collections.shuffle(all, random);
    var wiped = random.nextBoolean() ? random.nextInt(world.shape.survive() + 1) : 0;
    var killed = wiped == 0 && random.nextBoolean();
    tell(killed ? "all killed" : "all lose power, " + wiped + " their disks");
    for (var i = 0; i < all.size(); i++) {
      var machine = all.get(i);
      if (killed) {
        world.kill(machine);
      } else if (i < wiped) {
        world.wipe(machine);
      } else {
        world.powerOff(machine);
      }
      world.after(400_000 + random.nextInt(1_500_000), () -> world.startAgain(machine));
    }
    world.after(
        2_000_000,
        () -> {
          dark = false;
          tell("all back");
          world.after(CATCH_UP_US + random.nextInt(5_000_000), this::next);
        });
  }
}
