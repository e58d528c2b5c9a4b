package wellwheel.functions;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongPredicate;
import wellwheel.runtime.Clock;

/**
 * The starts and stops that one leader orders under its fence, each sent again until the platform
 * has answered clearly. Calls and answers hold the lock of the scaler that they belong to.
 */
final class PlatformOrders {
  private static final int AT_ONCE_MOST = 64;
  private static final int TRIES = 4;
  private static final long START_AGAIN_US = 60_000;
  private static final long STOP_AGAIN_US = 250_000;

  /** Owners have so long to hear that an instance is taken from them before it is stopped. */
  private static final long STOP_AFTER_US = 60_000;

  /** A start that the platform has not acknowledged yet. */
  record PendingStart(
      String service, String owner, Platform.Worker worker, String key, long upUs) {}

  private final Object lock;
  private final Clock clock;
  private final Platform platform;
  private final Workers workers;
  private final StartRate rate;
  private final String holder;
  private final LongPredicate stillLeads;
  private final BiConsumer<PendingStart, Platform.Start.Begun> begun;
  private final Map<String, PendingStart> pending = new LinkedHashMap<>();
  private long fence;
  private long lastKey;
  private long starts;
  private long stops;

  /**
   * @param holder this node's name, which is part of the keys of its starts
   * @param stillLeads whether this node still leads under the fence
   * @param begun told of each instance that has begun to start
   */
  PlatformOrders(
      Object lock,
      Clock clock,
      Platform platform,
      Workers workers,
      StartRate rate,
      String holder,
      LongPredicate stillLeads,
      BiConsumer<PendingStart, Platform.Start.Begun> begun) {
    this.lock = lock;
    this.clock = clock;
    this.platform = platform;
    this.workers = workers;
    this.rate = rate;
    this.holder = holder;
    this.stillLeads = stillLeads;
    this.begun = begun;
  }

  /** Begins under a new fence; what was ordered under the former one is not followed any more. */
  void begin(long newFence) {
    fence = newFence;
    pending.clear();
  }

  /** How many starts for an owner have not been acknowledged. */
  int pending(String service, String owner) {
    var count = 0;
    for (var each : pending.values()) {
      count += each.service().equals(service) && each.owner().equals(owner) ? 1 : 0;
    }
    return count;
  }

  /** Starts that were acknowledged, in the life of this process. */
  long starts() {
    return starts;
  }

  /** Stops that were ordered, in the life of this process. */
  long stops() {
    return stops;
  }

  /** Starts an instance for an owner, if the rate allows it and a worker has room. */
  void start(String service, String owner, String zone, int memoryMb, long startupUs) {
    if (pending.size() >= AT_ONCE_MOST || !rate.take(clock.steadyUs())) {
      return;
    }
    var worker = workers.pick(memoryMb, zone);
    if (worker.isEmpty()) {
      return;
    }
    var key = holder + "." + fence + "." + ++lastKey;
    var upUs = clock.steadyUs() + startupUs;
    var start = new PendingStart(service, owner, worker.get(), key, upUs);
    pending.put(key, start);
    send(start, TRIES);
  }

  private void send(PendingStart start, int tries) {
    var ofFence = fence;
    platform.start(
        start.service(),
        start.worker().name(),
        start.key(),
        fence,
        result -> onStarted(ofFence, start, tries, result));
  }

  private void onStarted(long ofFence, PendingStart start, int tries, Platform.Start result) {
    synchronized (lock) {
      if (!stillLeads.test(ofFence)) {
        return;
      }
      if (result instanceof Platform.Start.Unclear && tries > 1) {
        clock.after(START_AGAIN_US, () -> sendAgain(ofFence, start, tries - 1));
        return;
      }
      pending.remove(start.key());
      if (result instanceof Platform.Start.NoRoom) {
        workers.refused(start.worker().name());
      } else if (result instanceof Platform.Start.Begun instance) {
        starts++;
        begun.accept(start, instance);
      }
    }
  }

  private void sendAgain(long ofFence, PendingStart start, int tries) {
    synchronized (lock) {
      if (stillLeads.test(ofFence)) {
        send(start, tries);
      }
    }
  }

  /** Stops an instance a moment from now. */
  void stop(String id) {
    stops++;
    var ofFence = fence;
    clock.after(STOP_AFTER_US, () -> sendStop(ofFence, id, TRIES));
  }

  private void sendStop(long ofFence, String id, int tries) {
    synchronized (lock) {
      if (tries == 0 || !stillLeads.test(ofFence)) {
        return;
      }
      platform.stop(
          id,
          ofFence,
          sure -> {
            if (!sure) {
              clock.after(STOP_AGAIN_US, () -> sendStop(ofFence, id, tries - 1));
            }
          });
    }
  }
}
