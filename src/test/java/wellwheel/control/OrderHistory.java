package wellwheel.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import wellwheel.runtime.ResultCode;

/** Every call with its answer, checked as one register with compare-and-set by base and number. */
final class OrderHistory {
  static final class Order {
    final Optional<Long> base;
    final long number;
    final byte[] bytes;
    final boolean sound;
    final String digest;
    long firstUs = Long.MAX_VALUE;

    Order(Optional<Long> base, long number, byte[] bytes, boolean sound) {
      this.base = base;
      this.number = number;
      this.bytes = bytes;
      this.sound = sound;
      digest = LogHistory.digest(bytes);
    }

    @Override
    public String toString() {
      return number + " on " + base.map(each -> "" + each).orElse("nothing") + " (" + digest + ")";
    }
  }

  static final class Call {
    final Optional<Order> order;
    final String control;
    final long startUs;
    long endUs = Long.MAX_VALUE;
    Optional<ResultCode> answer = Optional.empty();
    String digest = "";
    long number;

    Call(Optional<Order> order, String control, long startUs) {
      this.order = order;
      this.control = control;
      this.startUs = startUs;
    }

    boolean is(ResultCode code) {
      return answer.isPresent() && answer.get() == code;
    }

    @Override
    public String toString() {
      return String.format(
          "%s at %s from %.3f to %.3f s: %s",
          order.map(each -> "order " + each).orElse("read"),
          control,
          startUs / 1e6,
          endUs / 1e6,
          answer
              .map(each -> each.status() + (order.isEmpty() ? " version " + number : ""))
              .orElse("silence"));
    }
  }

  private final Faults faults;
  private final List<Call> calls = new ArrayList<>();
  private final Map<String, Order> orders = new HashMap<>();
  private final TreeMap<Long, Long> newest = new TreeMap<>();

  OrderHistory(Faults faults) {
    this.faults = faults;
  }

  Call begins(Optional<Order> order, String control, long nowUs) {
    var call = new Call(order, control, nowUs);
    calls.add(call);
    order.ifPresent(
        each -> {
          each.firstUs = Math.min(each.firstUs, nowUs);
          orders.put(each.digest, each);
        });
    return call;
  }

  void ends(Call call, long nowUs, ResultCode code) {
    call.endUs = nowUs;
    call.answer = Optional.of(code);
    if (code == ResultCode.FINE && numberOf(call) > confirmedNumber()) {
      newest.put(nowUs, numberOf(call));
    }
  }

  long confirmedNumber() {
    return newest.isEmpty() ? 0 : newest.lastEntry().getValue();
  }

  long confirmedBefore(long atUs) {
    return Optional.ofNullable(newest.lowerEntry(atUs)).map(Map.Entry::getValue).orElse(0L);
  }

  Optional<Order> newestOrder() {
    return calls.stream()
        .filter(call -> call.is(ResultCode.FINE))
        .flatMap(call -> call.order.stream())
        .max(Comparator.comparingLong(order -> order.number));
  }

  List<Call> calls() {
    return calls;
  }

  void check(List<LogHistory.Taken> chain) {
    var taken = new HashMap<String, LogHistory.Taken>();
    chain.forEach(each -> taken.put(each.digest(), each));
    calls.stream()
        .filter(call -> call.endUs < Long.MAX_VALUE)
        .forEach(
            call ->
                call.order.ifPresentOrElse(
                    order -> checkOrder(call, order, taken), () -> checkRead(call, taken)));
    chain.stream()
        .filter(each -> !orders.containsKey(each.digest()))
        .forEach(
            each -> faults.add(each.atUs(), "orders: never ordered", "version " + each.number()));
    checkOnePerBase();
    checkBounds();
    checkRefusals(taken, chain);
  }

  private void checkOrder(Call call, Order order, Map<String, LogHistory.Taken> taken) {
    if (call.is(ResultCode.FINE) && !order.sound) {
      faults.add(call.endUs, "orders: an invalid one was confirmed", call.toString());
    } else if (call.is(ResultCode.FINE) && !taken.containsKey(order.digest)) {
      faults.add(call.endUs, "orders: confirmed though never taken", call.toString());
    } else if (refused(call) && taken.containsKey(order.digest)) {
      faults.add(
          call.endUs,
          "orders: refused though taken",
          String.format("taken at %.3f s: %s", taken.get(order.digest).atUs() / 1e6, call));
    }
  }

  private static boolean refused(Call call) {
    return call.order.isPresent()
        && (call.is(ResultCode.OTHER_BASE) || call.is(ResultCode.BAD_CONFIG));
  }

  private void checkRead(Call call, Map<String, LogHistory.Taken> taken) {
    if (call.is(ResultCode.FINE) && call.number > 0 && !taken.containsKey(call.digest)) {
      faults.add(call.endUs, "orders: a version that was never taken was read", call.toString());
    }
  }

  private void checkOnePerBase() {
    var byBase = new HashMap<Long, Order>();
    var byNumber = new HashMap<Long, Order>();
    calls.stream()
        .filter(call -> call.is(ResultCode.FINE) && call.order.isPresent())
        .forEach(
            call -> {
              var order = call.order.get();
              for (var other :
                  List.of(
                      byBase.getOrDefault(order.base.orElse(-1L), order),
                      byNumber.getOrDefault(order.number, order))) {
                if (!other.digest.equals(order.digest)) {
                  faults.add(
                      call.endUs,
                      "orders: two confirmed for one base or number",
                      order + " and " + other);
                }
              }
              order.base.ifPresent(base -> byBase.put(base, order));
              byNumber.put(order.number, order);
            });
  }

  /** Newest version surely in force at a moment: by then an answer had told it. */
  private TreeMap<Long, Call> floor() {
    var floor = new TreeMap<Long, Call>();
    calls.stream()
        .filter(call -> call.is(ResultCode.FINE))
        .sorted(Comparator.comparingLong(call -> call.endUs))
        .forEach(
            call -> {
              if (floor.isEmpty() || numberOf(floor.lastEntry().getValue()) < numberOf(call)) {
                floor.put(call.endUs, call);
              }
            });
    return floor;
  }

  private static long numberOf(Call call) {
    return call.order.map(each -> each.number).orElse(call.number);
  }

  private void checkBounds() {
    var floor = floor();
    calls.stream()
        .filter(call -> call.is(ResultCode.FINE) && call.order.isEmpty())
        .forEach(
            call -> {
              var known =
                  Optional.ofNullable(floor.lowerEntry(call.startUs)).map(Map.Entry::getValue);
              known
                  .filter(each -> numberOf(each) > call.number)
                  .ifPresent(
                      each ->
                          faults.add(
                              call.endUs,
                              "orders: read an older version",
                              call + ", but before it " + each));
              var order = Optional.ofNullable(orders.get(call.digest));
              order
                  .filter(each -> each.firstUs > call.endUs)
                  .ifPresent(
                      each ->
                          faults.add(
                              call.endUs, "orders: read before it was ordered", call.toString()));
            });
  }

  private void checkRefusals(Map<String, LogHistory.Taken> taken, List<LogHistory.Taken> chain) {
    var floor = floor();
    var successors = new HashMap<Long, LogHistory.Taken>();
    chain.forEach(each -> successors.put(each.base(), each));
    calls.stream()
        .filter(
            call -> refused(call) && call.order.get().sound && call.order.get().base.isPresent())
        .forEach(
            call -> {
              var base = call.order.get().base.get();
              var known =
                  base == 0
                      || Optional.ofNullable(floor.lowerEntry(call.startUs))
                          .filter(each -> numberOf(each.getValue()) >= base)
                          .isPresent();
              var isVersion = base == 0 || chain.stream().anyMatch(each -> each.number() == base);
              var nextUs =
                  Optional.ofNullable(successors.get(base))
                      .map(each -> orders.get(each.digest()).firstUs)
                      .orElse(Long.MAX_VALUE);
              if (known && isVersion && nextUs > call.endUs) {
                faults.add(
                    call.endUs, "orders: refused though proper all the time", call.toString());
              }
            });
  }
}
