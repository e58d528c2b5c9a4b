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
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;
import wellwheel.transport.PooledHttpClient;

/**
 * The calls of one function that this node owns: those that wait, those that run, and the instances
 * that it may send them to. No instance gets more calls at once than it has slots.
 */
final class FunctionPool {
  private static final int WAITING_MOST = 512;
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

    /** Calls {@link #pump} of the pool at a steady time, in microseconds. */
    void pumpAt(FunctionPool pool, long atUs);
  }

  /** Names a call: the front that passed it on, and the front's number for it. */
  record CallKey(String frontIp, long number) {}

  private static final class Waiting {
    final CallKey key;
    final FunctionCall call;
    final long untilUs;
    final Consumer<CallOutcome> done;

    Waiting(CallKey key, FunctionCall call, long untilUs, Consumer<CallOutcome> done) {
      this.key = key;
      this.call = call;
      this.untilUs = untilUs;
      this.done = done;
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

  void submit(CallKey key, FunctionCall call, Consumer<CallOutcome> whenDone) {
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
    enqueue(new Waiting(key, call, clock.steadyUs() + call.leftUs(), done), false);
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
      next(nowUs).ifPresent(each -> start(each, instance.get(), nowUs));
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

  private Optional<Waiting> next(long nowUs) {
    for (var queue : waitingByRank.values()) {
      var each = queue.pollFirst();
      if (each == null) {
        continue;
      }
      waiting--;
      if (each.untilUs - nowUs < LEAST_LEFT_US) {
        giveUp(each);
        return Optional.empty();
      }
      return Optional.of(each);
    }
    return Optional.empty();
  }

  private void expire(long nowUs) {
    for (var queue : waitingByRank.values()) {
      for (Iterator<Waiting> all = queue.iterator(); all.hasNext(); ) {
        var each = all.next();
        if (each.untilUs - nowUs < LEAST_LEFT_US) {
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
      host.pumpAt(this, soonest);
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
    if (instance.released && instance.running == 0) {
      remove(instance);
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

  private void remove(Instance instance) {
    instances.remove(instance.id, instance);
    client.forget(instance.address);
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
        instance.released = true;
        if (instance.running == 0) {
          remove(instance);
        }
      }
    }
    pump();
  }

  /** How the pool stands; counts begin anew. */
  Frame row() {
    var rows = new ArrayList<Object>();
    for (var each : instances.values()) {
      if (!each.released) {
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
