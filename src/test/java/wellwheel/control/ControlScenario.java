package wellwheel.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import wellwheel.runtime.ResultCode;

/** One run: machines, operators, mischief, and all checkers over it. */
final class ControlScenario {
  private static final long SECOND = ControlWorld.SECOND;
  private static final long QUIET_US = 4_000_000;
  private static final long ACK_US = 5_000_000;
  private static final long REVOKE_US = 5_000_000;
  private static final long ADMIT_US = 4_000_000;

  final ControlWorld world;
  final OrderHistory orders;
  final Operators operators;
  final FaultInjection faults;
  private final long spanUs;
  private long stirredUs;
  private int probes;

  ControlScenario(
      ControlWorld.Shape shape,
      long seed,
      int operatorCount,
      long paceUs,
      int padding,
      long spanUs) {
    this.spanUs = spanUs;
    world = new ControlWorld(shape, seed);
    orders = new OrderHistory(world.faults);
    operators = new Operators(world, orders, operatorCount, paceUs, padding);
    faults = new FaultInjection(world, operators);
    faults.onDisturbed(this::stirred);
    faults.onReturn(machine -> operators.crowd(machine.ip));
    operators.calm(() -> stirredUs + QUIET_US <= world.nowUs());
    operators.onUnanswered(ACK_US, this::unanswered);
    world.eachSample(this::checkLeases);
  }

  static ControlScenario drawn(long seed) {
    var random = new java.util.Random(seed * 7919);
    var heavy = random.nextInt(6) == 0;
    var shape = random.nextInt(3) == 0 ? ControlWorld.Shape.five() : ControlWorld.Shape.three();
    return new ControlScenario(
        shape,
        seed,
        2 + random.nextInt(3),
        heavy ? 800_000 : 150_000 + random.nextInt(500_000),
        heavy ? 150_000 + random.nextInt(250_000) : random.nextInt(200),
        (30 + random.nextInt(60)) * SECOND);
  }

  List<String> faults() {
    return world.faults.all();
  }

  String story() {
    var told = faults.told();
    if (Boolean.getBoolean("control.talk")) {
      told.forEach(System.out::println);
      orders.calls().forEach(System.out::println);
    }
    return "mischief: "
        + told.subList(Math.max(0, told.size() - 12), told.size())
        + "; "
        + orders.calls().size()
        + " calls, "
        + world.log.chain().size()
        + " changes, "
        + probes
        + " probes";
  }

  static ControlScenario still(ControlWorld.Shape shape, long seed, int padding) {
    var play = new ControlScenario(shape, seed, 0, SECOND, padding, 0);
    play.gather();
    return play;
  }

  /** A proper order sent until it is confirmed; empty if none was within the time. */
  Optional<OrderHistory.Order> change(long withinUs) {
    var found = new ArrayList<OrderHistory.Order>();
    changeOnce(found, world.nowUs() + withinUs);
    for (var untilUs = world.nowUs() + withinUs; found.isEmpty() && world.nowUs() < untilUs; ) {
      world.runFor(2_000);
    }
    return found.stream().findFirst();
  }

  private void changeOnce(List<OrderHistory.Order> found, long untilUs) {
    if (world.nowUs() >= untilUs || !found.isEmpty()) {
      return;
    }
    operators.read(
        number ->
            number.ifPresentOrElse(
                each -> {
                  var order = operators.proper(each);
                  operators.order(
                      order,
                      code -> {
                        if (code.equals(Optional.of(ResultCode.FINE))) {
                          found.add(order);
                        } else {
                          changeOnce(found, untilUs);
                        }
                      });
                },
                () -> world.after(20_000, () -> changeOnce(found, untilUs))));
  }

  List<String> verdict() {
    world.runFor(3 * SECOND);
    if (world.faults.none()) {
      orders.check(world.log.chain());
    }
    return world.faults.all();
  }

  int probes() {
    return probes;
  }

  void run() {
    gather();
    faults.begin();
    world.runFor(spanUs);
    faults.end();
    if (world.faults.none()) {
      settle();
    }
  }

  void gather() {
    for (var i = 0; i < 20 && !world.allVote(); i++) {
      world.runFor(SECOND);
    }
    if (!world.allVote()) {
      world.faults.add(world.nowUs(), "voters: not all vote", "20 s after the first start");
    }
  }

  void settle() {
    for (var i = 0; i < 60 && !faults.quiet(); i++) {
      world.runFor(SECOND);
    }
    world.runFor(QUIET_US + ACK_US);
    operators.stop();
    world.runFor(12 * SECOND);
    if (!world.faults.none()) {
      return;
    }
    readsBack();
    orders.check(world.log.chain());
  }

  private void readsBack() {
    var newest = orders.confirmedNumber();
    var found = new long[] {-1};
    operators.read(number -> found[0] = number.orElse(-1L));
    world.runFor(12 * SECOND);
    if (found[0] < newest) {
      world.faults.add(
          world.nowUs(),
          "orders: confirmed but not read back",
          found[0] + " reads back, " + newest + " was confirmed");
    }
  }

  private void stirred() {
    stirredUs = world.nowUs();
    var atUs = stirredUs;
    world.after(
        QUIET_US,
        () -> {
          if (stirredUs == atUs) {
            probes++;
            probe(atUs, world.nowUs() + ACK_US);
          }
        });
  }

  private void unanswered(long sinceUs, String what) {
    if (stirredUs + QUIET_US <= sinceUs) {
      world.faults.add(
          world.nowUs(),
          "calm: no clear answer within 5 s",
          what
              + " sent at "
              + sinceUs / 1e6
              + " s; calm since "
              + stirredUs / 1e6
              + " s; "
              + standing());
    }
  }

  private void probe(long calmUs, long dueUs) {
    var done = new boolean[1];
    var newest = orders.confirmedNumber();
    probeOnce(done);
    world.at(
        dueUs,
        () -> {
          if (!done[0] && stirredUs == calmUs && orders.confirmedNumber() == newest) {
            world.faults.add(
                world.nowUs(),
                "calm: no proper order was confirmed within 5 s",
                "calm since " + calmUs / 1e6 + " s; " + standing());
          }
          done[0] = true;
        });
  }

  String standing() {
    var text = new StringBuilder();
    world
        .members()
        .forEach(
            each ->
                text.append(each.ip)
                    .append(each.up ? each.frozen() ? " frozen" : "" : " down")
                    .append(
                        each.up ? " " + each.raft().view() + " leader " + each.raft().leader() : "")
                    .append("; "));
    return text.toString();
  }

  private void probeOnce(boolean[] done) {
    if (done[0]) {
      return;
    }
    operators.read(
        number ->
            number.ifPresentOrElse(
                each ->
                    operators.order(
                        operators.proper(each),
                        code -> {
                          if (code.equals(Optional.of(ResultCode.FINE))) {
                            done[0] = true;
                          } else {
                            probeOnce(done);
                          }
                        }),
                () -> world.after(50_000, () -> probeOnce(done))));
  }

  private void checkLeases() {
    var newest = orders.confirmedBefore(world.nowUs() - REVOKE_US);
    world.machines("edge").stream()
        .filter(each -> each.up && !each.frozen())
        .forEach(
            each ->
                each.clusterLease.ifPresent(
                    clusterLease -> {
                      if (clusterLease.knowsCore()
                          && clusterLease.ageUs() < ADMIT_US
                          && clusterLease.configuration().revision() < newest) {
                        world.faults.add(
                            world.nowUs(),
                            "claims: admits by an old configuration",
                            each.ip
                                + " admits by "
                                + clusterLease.configuration().revision()
                                + ", "
                                + newest
                                + " was confirmed more than 5 s ago; claim of "
                                + clusterLease.control()
                                + " is "
                                + clusterLease.ageUs()
                                + " us old");
                      }
                    }));
  }
}
