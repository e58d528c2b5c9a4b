package wellwheel.functions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import wellwheel.runtime.Clock;
import wellwheel.runtime.ResultCode;
import wellwheel.runtime.WakeUpTimer;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;
import wellwheel.transport.PooledHttpClient;

/**
 * The calls of one function that this node owns: those that wait, those that run, and the instances
 * that it may send them to. No instance gets more calls at once than it has slots.
 */
final class FunctionPool {
  /** The front of such a call is at hand, or answers no checks: it always wants the call. */
  static final long ALWAYS_WANTED_US = Long.MAX_VALUE / 2;

  private static final int WAITING_MOST = 512;

  /** A call begins only within this time of its front's last word that it wants it. */
  private static final long WANTED_US = 500_000;

  private static final long CHECK_AGAIN_US = 250_000;
  private static final int CHECKS_MOST = 32;
  private static final long TRY_AGAIN_US = 25_000;
  private static final long FULL_REST_US = 20_000;
  private static final long DOUBT_REST_US = 100_000;

  /** A call must have so much time left to be worth sending. */
  private static final long LEAST_LEFT_US = 20_000;

  private static final String NOT_RUN = "Not-Run";
  private static final int MISDIRECTED = 421;

  /** What a pool needs of the node it is on. */
  interface Host {
    /** Takes one retry from the node's budget, if there is one left. */
    boolean retry();

    /** Whether the node is an owner no more, so that it gets no new instances. */
    boolean leaves();

    /** Tells the scaler soon how the pool stands. */
    void report();

    /** Asks a front which of its calls it still wants; {@link #confirm} takes the answer. */
    void check(String frontIp, CallCheck check);

    /** Runs a timer's task as the node runs everything else, one at a time. */
    void run(Runnable task);
  }

  /** Names a call: the front that passed it on, and the front's number for it. */
  record CallKey(String frontIp, long number) {}

  private static final class Waiting {
    final CallKey key;
    final FunctionCall call;
    final long untilUs;
    final Consumer<CallOutcome> done;

    /** Steady time at which the front last said that it wants the call. */
    long wantedUs;

    /** Steady time at which the front was last asked. */
    long checkedUs = Long.MIN_VALUE / 2;

    Waiting(
        CallKey key, FunctionCall call, long wantedUs, long untilUs, Consumer<CallOutcome> done) {
      this.key = key;
      this.call = call;
      this.wantedUs = wantedUs;
      this.untilUs = untilUs;
      this.done = done;
    }

    boolean isWanted(long nowUs) {
      return nowUs - wantedUs <= WANTED_US;
    }

    boolean isOutOfTime(long nowUs) {
      return untilUs - nowUs < LEAST_LEFT_US;
    }
  }

  private final String service;
  private final Clock clock;
  private final InstanceClient client;
  private final Host host;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final TreeMap<Integer, ArrayDeque<Waiting>> waitingByRank = new TreeMap<>();

  /** Calls that wait or run here. */
  private final Set<CallKey> open = new HashSet<>();

  private final WakeUpTimer pumps;
  private int waiting;
  private int running;
  private long arrivals;
  private long finished;
  private long busyUs;
  private int slots = 1;
  private int connections = 1;

  FunctionPool(String service, Clock clock, InstanceClient client, Host host) {
    this.service = service;
    this.clock = clock;
    this.client = client;
    this.host = host;
    pumps = new WakeUpTimer(clock, () -> host.run(this::pump));
  }

  /** Sets the bounds of one instance: calls at once, and connections. */
  void bounds(int newSlots, int newConnections) {
    slots = newSlots;
    connections = Math.min(newSlots, newConnections);
  }

  /** Whether it holds neither calls nor instances. */
  boolean empty() {
    return waiting == 0 && running == 0 && instances.isEmpty();
  }

  /** Whether it has work. */
  boolean busy() {
    return waiting > 0 || running > 0;
  }

  /** Whether the call waits or runs here. */
  boolean isOpen(CallKey key) {
    return open.contains(key);
  }

  /**
   * Takes a call.
   *
   * @param wantedUs steady time at which the front sent it
   */
  void submit(CallKey key, FunctionCall call, long wantedUs, Consumer<CallOutcome> whenDone) {
    open.add(key);
    Consumer<CallOutcome> done =
        outcome -> {
          open.remove(key);
          whenDone.accept(outcome);
        };
    arrivals++;
    if (waiting >= WAITING_MOST) {
      done.accept(new CallOutcome.Ended(ResultCode.NO_INSTANCE));
      return;
    }
    enqueue(new Waiting(key, call, wantedUs, clock.steadyUs() + call.leftUs(), done), false);
    pump();
  }

  private void enqueue(Waiting each, boolean first) {
    var queue = waitingByRank.computeIfAbsent(each.call.rank(), rank -> new ArrayDeque<>());
    if (first) {
      queue.addFirst(each);
    } else {
      queue.addLast(each);
    }
    waiting++;
  }

  /** Sends what can be sent now. */
  void pump() {
    var nowUs = clock.steadyUs();
    while (waiting > 0) {
      var instance = choose(nowUs);
      if (instance.isEmpty()) {
        expire(nowUs);
        if (host.leaves()) {
          handBack();
        }
        wakeForResting(nowUs);
        if (waiting > 0) {
          host.report();
        }
        return;
      }
      var next = next(nowUs);
      if (next.isEmpty()) {
        pumps.by(nowUs + CHECK_AGAIN_US);
        return;
      }
      startOrGiveUp(next.get(), instance.get(), nowUs);
    }
  }

  private void startOrGiveUp(Waiting each, Instance instance, long nowUs) {
    if (each.isOutOfTime(nowUs)) {
      giveUp(each);
    } else {
      start(each, instance, nowUs);
    }
  }

  private Optional<Instance> choose(long nowUs) {
    Instance best = null;
    for (var each : instances.values()) {
      var better =
          best == null
              || each.proven && !best.proven
              || each.proven == best.proven && each.running < best.running;
      if (each.takes(slots, nowUs) && better) {
        best = each;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Takes the first call that can begin or is out of time. The fronts of those that are passed over
   * are asked whether they still want them.
   */
  private Optional<Waiting> next(long nowUs) {
    var unsure = new ArrayList<Waiting>();
    var found = find(nowUs, unsure);
    check(unsure, nowUs);
    return found;
  }

  private Optional<Waiting> find(long nowUs, List<Waiting> unsure) {
    for (var queue : waitingByRank.values()) {
      for (Iterator<Waiting> all = queue.iterator();
          all.hasNext() && unsure.size() < CHECKS_MOST; ) {
        var each = all.next();
        if (each.isWanted(nowUs) || each.isOutOfTime(nowUs)) {
          all.remove();
          waiting--;
          return Optional.of(each);
        }
        unsure.add(each);
      }
    }
    return Optional.empty();
  }

  private void check(List<Waiting> unsure, long nowUs) {
    var numbersByFront = new LinkedHashMap<String, List<Long>>();
    for (var each : unsure) {
      if (nowUs - each.checkedUs >= CHECK_AGAIN_US) {
        each.checkedUs = nowUs;
        numbersByFront
            .computeIfAbsent(each.key.frontIp(), ip -> new ArrayList<>())
            .add(each.key.number());
      }
    }
    numbersByFront.forEach((ip, numbers) -> host.check(ip, new CallCheck(service, numbers)));
  }

  /** Takes a front's word, said at a steady time, on calls that wait here. */
  void confirm(String frontIp, CallCheck.Answer answer, long saidUs) {
    for (var queue : waitingByRank.values()) {
      for (var each : queue) {
        if (each.key.frontIp().equals(frontIp) && answer.wanted().contains(each.key.number())) {
          each.wantedUs = Math.max(each.wantedUs, saidUs);
        }
      }
    }
    answer.unwanted().forEach(number -> withdraw(new CallKey(frontIp, number)));
    pump();
  }

  private void expire(long nowUs) {
    for (var queue : waitingByRank.values()) {
      for (Iterator<Waiting> all = queue.iterator(); all.hasNext(); ) {
        var each = all.next();
        if (each.isOutOfTime(nowUs)) {
          all.remove();
          waiting--;
          giveUp(each);
        }
      }
    }
  }

  /** Ends a call that waits here; one that runs goes on. */
  void withdraw(CallKey key) {
    for (var queue : waitingByRank.values()) {
      for (Iterator<Waiting> all = queue.iterator(); all.hasNext(); ) {
        var each = all.next();
        if (each.key.equals(key)) {
          all.remove();
          waiting--;
          giveUp(each);
          return;
        }
      }
    }
  }

  /** Gives all that waits back to the fronts it came from. */
  void handBack() {
    for (var queue : waitingByRank.values()) {
      for (var each = queue.pollFirst(); each != null; each = queue.pollFirst()) {
        waiting--;
        each.done.accept(new CallOutcome.Moved());
      }
    }
  }

  private static void giveUp(Waiting each) {
    each.done.accept(new CallOutcome.Ended(ResultCode.NO_INSTANCE));
  }

  private void wakeForResting(long nowUs) {
    var soonest = Long.MAX_VALUE;
    for (var each : instances.values()) {
      if (each.restUntilUs > nowUs) {
        soonest = Math.min(soonest, each.restUntilUs);
      }
    }
    for (var queue : waitingByRank.values()) {
      if (!queue.isEmpty()) {
        soonest = Math.min(soonest, queue.peekFirst().untilUs - LEAST_LEFT_US + 1_000);
      }
    }
    if (soonest < Long.MAX_VALUE) {
      pumps.by(soonest);
    }
  }

  private void start(Waiting each, Instance instance, long nowUs) {
    instance.running++;
    instance.calls++;
    running++;
    client.send(
        instance.address,
        instance.id,
        each.call.withLeft(each.call.triesLeft(), each.untilUs - nowUs),
        connections,
        answer -> ended(each, instance, nowUs, answer));
  }

  private void ended(
      Waiting each, Instance instance, long sinceUs, PooledHttpClient.Answer answer) {
    instance.running--;
    running--;
    finished++;
    busyUs += clock.steadyUs() - sinceUs;
    switch (answer.fate()) {
      case NOT_SENT -> notSent(each, instance);
      case UNKNOWN -> unknown(each, instance);
      case ANSWERED -> answered(each, instance, answer);
    }
    if (instance.released) {
      release(instance);
    }
    pump();
  }

  private void notSent(Waiting each, Instance instance) {
    finished--;
    if (instance.proven) {
      instance.released = true;
      host.report();
    } else {
      instance.restUntilUs = clock.steadyUs() + TRY_AGAIN_US;
    }
    enqueue(each, true);
  }

  private void unknown(Waiting each, Instance instance) {
    instance.proven = false;
    instance.restUntilUs = clock.steadyUs() + DOUBT_REST_US;
    if (clock.steadyUs() >= each.untilUs) {
      each.done.accept(new CallOutcome.Ended(ResultCode.OUT_OF_TIME));
    } else if (each.call.repeatable()) {
      again(each, new CallOutcome.Tried(true));
    } else {
      each.done.accept(new CallOutcome.Ended(ResultCode.RUN_UNKNOWN));
    }
  }

  private void answered(Waiting each, Instance instance, PooledHttpClient.Answer answer) {
    if (answer.status() == MISDIRECTED) {
      instance.released = true;
      host.report();
      again(each, new CallOutcome.Tried(false));
      return;
    }
    instance.proven = true;
    if (!answer.header(NOT_RUN).isEmpty()) {
      instance.restUntilUs = clock.steadyUs() + FULL_REST_US;
      again(each, new CallOutcome.Tried(false));
      return;
    }
    each.done.accept(
        new CallOutcome.Answered(
            new Exchange.Relayed(
                answer.status(), HeaderFields.ofAnswer(answer.fields()), answer.body())));
  }

  /** Leaves a further try to the front, which knows how many the call has had at all owners. */
  private void again(Waiting each, CallOutcome.Tried tried) {
    var allowed = each.call.triesLeft() > 1 && host.retry();
    each.done.accept(allowed ? tried : tried.last());
  }

  /** Gives an instance no more calls, and tells when the last one on it is over. */
  private void release(Instance instance) {
    instance.released = true;
    if (instance.running == 0) {
      instances.remove(instance.id, instance);
      client.forget(instance.address);
      host.report();
    }
  }

  /**
   * Takes the list of instances that this node may use now. One that is missing gets no more calls.
   */
  void assign(List<Frame> listed) {
    var nowUs = clock.steadyUs();
    var ids = new ArrayList<String>();
    for (var each : listed) {
      ids.add(each.text("i"));
      instances.computeIfAbsent(
          each.text("i"),
          id -> {
            var instance = new Instance(id, each.text("a"), nowUs + each.number("u"));
            instance.proven = each.flag("y");
            return instance;
          });
    }
    for (var instance : List.copyOf(instances.values())) {
      if (!ids.contains(instance.id)) {
        release(instance);
      }
    }
    pump();
  }

  /** How the pool stands; counts begin anew. */
  Frame row() {
    var rows = new ArrayList<Object>();
    for (var each : instances.values()) {
      if (!each.released || each.running > 0) {
        rows.add(
            new Frame()
                .with("i", each.id)
                .with("a", each.address)
                .with("n", each.running)
                .with("c", each.calls)
                .with("y", each.proven));
        each.calls = 0;
      }
    }
    var row =
        new Frame()
            .with("s", service)
            .with("w", waiting)
            .with("n", running)
            .with("a", arrivals)
            .with("f", finished)
            .with("b", busyUs)
            .with("is", rows);
    arrivals = 0;
    finished = 0;
    busyUs = 0;
    return row;
  }
}
