package wellwheel.functions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import wellwheel.runtime.EventQueue;
import wellwheel.transport.PooledHttpClient;
import wellwheel.transport.PooledHttpClient.Fate;

/**
 * A platform with workers and instances: its lists lag, its answers may be lost, its instances are
 * slow to start, crash and drain.
 */
final class SimulatedPlatform {
  private static final long LAG_US = 800_000;
  private static final long STARTUP_US = 300_000;
  private static final long CALL_US = 2_000;
  private static final int WORK_SPREAD_US = 100_000;

  /** One instance and the calls that it runs. */
  static final class Running {
    final String id;
    final String service;
    final String address;
    final String worker;
    final long upUs;
    int calls;
    boolean stopped;
    boolean draining;
    boolean crashed;

    Running(String id, String service, String address, String worker, long upUs) {
      this.id = id;
      this.service = service;
      this.address = address;
      this.worker = worker;
      this.upUs = upUs;
    }

    boolean alive() {
      return !stopped && !crashed;
    }
  }

  private final EventQueue time;
  private final Random random;
  private final int slots;
  private final ArrivalChecker checker;
  private final Map<String, Running> byKey = new HashMap<>();
  private final Map<String, Running> byAddress = new LinkedHashMap<>();
  private List<Platform.Listed> listed = List.of();
  private int lastNumber;
  double lostAnswers;

  /** How long an instance works on a call at least. */
  long workUs = 50_000;

  final Map<String, Integer> runs = new HashMap<>();
  int overLimit;
  int started;

  /** Whether no worker has room for another instance. */
  boolean full;

  int fencedOff;
  private long highestFence;

  SimulatedPlatform(EventQueue time, Random random, int slots, ArrivalChecker checker) {
    this.checker = checker;
    this.time = time;
    this.random = random;
    this.slots = slots;
    refreshList();
  }

  private void refreshList() {
    var now = new ArrayList<Platform.Listed>();
    for (var each : byAddress.values()) {
      if (each.alive() && time.nowUs >= each.upUs) {
        now.add(
            new Platform.Listed(
                each.id, each.service, each.address, "z", each.worker, each.draining));
      }
    }
    time.after(LAG_US, () -> listed = now);
    time.after(100_000, this::refreshList);
  }

  List<Running> alive() {
    return byAddress.values().stream().filter(Running::alive).toList();
  }

  void crash(Running instance) {
    instance.crashed = true;
  }

  void drain(Running instance) {
    instance.draining = true;
    time.after(5_000_000, () -> instance.crashed = true);
  }

  /** The platform as one control node sees it. */
  Platform seenBy(java.util.function.BooleanSupplier lives) {
    return new Platform() {
      private void reply(Runnable answer, Runnable lost) {
        time.after(
            CALL_US,
            () -> {
              if (lives.getAsBoolean()) {
                (random.nextDouble() < lostAnswers ? lost : answer).run();
              }
            });
      }

      @Override
      public void start(
          String service, String worker, String key, long fence, Consumer<Start> done) {
        if (fence < highestFence) {
          fencedOff++;
          return;
        }
        highestFence = fence;
        if (full) {
          reply(() -> done.accept(new Start.NoRoom()), () -> done.accept(new Start.Unclear()));
          return;
        }
        var instance = byKey.computeIfAbsent(key, each -> begin(service, worker));
        reply(
            () -> done.accept(new Start.Begun(instance.id, instance.address)),
            () -> done.accept(new Start.Unclear()));
      }

      @Override
      public void stop(String id, long fence, Consumer<Boolean> done) {
        byAddress.values().stream()
            .filter(each -> each.id.equals(id))
            .forEach(each -> each.stopped = true);
        reply(() -> done.accept(true), () -> done.accept(false));
      }

      @Override
      public void instances(Consumer<Optional<List<Listed>>> done) {
        var now = listed;
        reply(() -> done.accept(Optional.of(now)), () -> done.accept(Optional.empty()));
      }

      @Override
      public void workers(Consumer<Optional<List<Worker>>> done) {
        reply(
            () -> done.accept(Optional.of(List.of(new Worker("w-1", "z", 1 << 20, true)))),
            () -> done.accept(Optional.empty()));
      }
    };
  }

  private Running begin(String service, String worker) {
    started++;
    var number = ++lastNumber;
    var startupUs = STARTUP_US / 2 + (long) (random.nextDouble() * STARTUP_US);
    var instance =
        new Running("i-" + number, service, "10.9.0.1:" + number, worker, time.nowUs + startupUs);
    byAddress.put(instance.address, instance);
    return instance;
  }

  /** How the instances answer calls of one front, whose process runs what comes back. */
  InstanceClient clientOf(Consumer<Runnable> process) {
    return new InstanceClient() {
      @Override
      public void send(
          String address,
          String instanceId,
          FunctionCall call,
          int connections,
          Consumer<PooledHttpClient.Answer> done) {
        time.after(1_000, () -> arrive(address, call, answer -> back(answer, done, process)));
      }

      @Override
      public void forget(String address) {}
    };
  }

  private void back(
      PooledHttpClient.Answer answer,
      Consumer<PooledHttpClient.Answer> done,
      Consumer<Runnable> process) {
    time.after(1_000, () -> process.accept(() -> done.accept(answer)));
  }

  private void arrive(String address, FunctionCall call, Consumer<PooledHttpClient.Answer> answer) {
    var instance = byAddress.get(address);
    if (instance == null || !instance.alive() || time.nowUs < instance.upUs) {
      answer.accept(answer(Fate.NOT_SENT, 0, Map.of()));
      return;
    }
    checker.arrives(call, time.nowUs);
    if (instance.calls >= slots) {
      overLimit++;
      answer.accept(answer(Fate.ANSWERED, 503, Map.of("not-run", "1")));
    } else {
      instance.calls++;
      runs.merge(call.attemptId(), 1, Integer::sum);
      time.after(
          workUs + random.nextInt(WORK_SPREAD_US),
          () -> {
            instance.calls--;
            var lost = instance.crashed && !instance.draining;
            answer.accept(
                lost
                    ? answer(Fate.UNKNOWN, 0, Map.of())
                    : answer(Fate.ANSWERED, 200, Map.of("server-seal", call.attemptId())));
          });
    }
  }

  private static PooledHttpClient.Answer answer(
      Fate fate, int status, Map<String, String> headers) {
    var fields = new ArrayList<String>();
    headers.forEach(
        (name, value) -> {
          fields.add(name);
          fields.add(value);
        });
    return new PooledHttpClient.Answer(fate, status, headers, new byte[0], fields);
  }
}
