package wellwheel.control;

import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wellwheel.runtime.ResultCode;

/**
 * Callers of control: they follow 307 twice, go on after a 5xx or a second of silence, and send
 * again what got no clear answer.
 */
final class Operators {
  private static final long SILENT_US = 1_000_000;
  private static final int TRIES = 8;
  private static final int UNDER_WAY = 8;
  private static final int REPEATED = 400;

  private static final class Operator {
    int underWay;
    long known;
  }

  private final ControlWorld world;
  private final OrderHistory history;
  private final Random random;
  private final List<Operator> operators = new ArrayList<>();
  private final ArrayDeque<OrderHistory.Order> unclear = new ArrayDeque<>();
  private final List<OrderHistory.Order> confirmed = new ArrayList<>();
  private final List<Runnable> onCall = new ArrayList<>();
  private final List<Runnable> onAcknowledged = new ArrayList<>();
  private final int padding;
  private long paceUs;
  private long nonce;
  private long highest;
  private boolean sending = true;
  private BooleanSupplier calm = () -> false;
  private long unansweredUs = 60 * ControlWorld.SECOND;
  private BiConsumer<Long, String> unanswered = (sinceUs, what) -> {};

  Operators(ControlWorld world, OrderHistory history, int count, long paceUs, int padding) {
    this.world = world;
    this.history = history;
    this.paceUs = paceUs;
    this.padding = padding;
    random = new Random(world.random.nextLong());
    for (var i = 0; i < count; i++) {
      var operator = new Operator();
      operators.add(operator);
      world.after(3 * ControlWorld.SECOND, () -> work(operator));
    }
  }

  void stop() {
    sending = false;
  }

  void pace(long newPaceUs) {
    paceUs = newPaceUs;
  }

  private void work(Operator operator) {
    if (!sending) {
      return;
    }
    world.after(1 + (long) (random.nextDouble() * 2 * paceUs), () -> work(operator));
    if (operator.underWay >= UNDER_WAY) {
      return;
    }
    var kind = random.nextInt(20);
    if (kind < 5) {
      read(operator, number -> {});
    } else if (kind < 7 && !unclear.isEmpty()) {
      send(operator, unclear.removeFirst());
    } else if (kind < 8 && !confirmed.isEmpty()) {
      send(operator, confirmed.get(random.nextInt(confirmed.size())));
    } else if (kind < 10) {
      read(operator, number -> rivals(operator, number));
    } else if (kind < 11) {
      send(operator, odd(operator.known));
    } else {
      send(operator, proper(operator.known));
    }
  }

  private void rivals(Operator operator, long number) {
    var next = next(number);
    for (var i = random.nextInt(3); i >= 0; i--) {
      var other = operators.get(random.nextInt(operators.size()));
      send(other, order(number, random.nextInt(4) == 0 ? next(number) : next));
    }
  }

  private long next(long number) {
    highest = Math.max(highest, number);
    return number + 1 + random.nextInt(5);
  }

  OrderHistory.Order proper(long base) {
    return order(base, next(base));
  }

  private OrderHistory.Order order(long base, long number) {
    return new OrderHistory.Order(
        Optional.of(base), number, config(number, random.nextInt(4)), true);
  }

  private OrderHistory.Order odd(long known) {
    var number = next(known);
    return switch (random.nextInt(6)) {
      case 0 -> new OrderHistory.Order(Optional.empty(), number, config(number, 1), false);
      case 1 -> new OrderHistory.Order(Optional.of(known), known, config(known, 1), false);
      case 2 ->
          new OrderHistory.Order(
              Optional.of(known),
              number,
              new String(config(number, 1), StandardCharsets.UTF_8)
                  .replace("}]}", "}")
                  .getBytes(StandardCharsets.UTF_8),
              false);
      case 3 ->
          new OrderHistory.Order(
              Optional.of(known),
              number,
              new String(config(number, 1), StandardCharsets.UTF_8)
                  .replace("\"GiveUpMs\":600", "\"GiveUpMs\":0")
                  .getBytes(StandardCharsets.UTF_8),
              false);
      case 4 ->
          new OrderHistory.Order(
              Optional.of(known),
              number,
              new String(config(number, 1), StandardCharsets.UTF_8)
                  .replace("\"Backend\":\"quote\"", "\"Backend\":\"gone\"")
                  .getBytes(StandardCharsets.UTF_8),
              false);
      default -> order(known / 2, number);
    };
  }

  byte[] config(long number, int routes) {
    var text =
        new StringBuilder("{\"Revision\":" + number + ",\"Note\":\"" + ++nonce + " ")
            .append("x".repeat(padding))
            .append("\",\"Routing\":[");
    for (var i = 0; i < Math.max(1, routes); i++) {
      text.append(i > 0 ? "," : "")
          .append("{\"Name\":\"r-")
          .append(i)
          .append("\",\"Host\":\"h.example\",\"PathStart\":\"/p")
          .append(i)
          .append(
              "/\",\"Type\":\"background\",\"GiveUpMs\":600,\"TargetMs\":100,\"Rank\":1,\"Backend\":\"quote\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":90.0,\"StartTargetMs\":500,\"Public\":false}");
    }
    return text.append(
            "],\"Backends\":[{\"Name\":\"quote\",\"MaxConns\":100,\"RatePerS\":0.0,\"DropsRepeats\":false,\"WorkerPull\":true,\"Endpoint\":null}]}")
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  private void send(Operator operator, OrderHistory.Order order) {
    operator.underWay++;
    order(
        order,
        answer -> {
          operator.underWay--;
          if (answer.isEmpty()) {
            unclear.add(order);
          } else if (answer.get() == ResultCode.FINE) {
            operator.known = Math.max(operator.known, order.number);
            confirmed.add(order);
            if (confirmed.size() > REPEATED) {
              confirmed.remove(random.nextInt(REPEATED));
            }
          } else {
            operator.known = history.confirmedNumber();
          }
        });
  }

  private void read(Operator operator, Consumer<Long> then) {
    operator.underWay++;
    read(
        number -> {
          operator.underWay--;
          number.ifPresent(
              each -> {
                operator.known = each;
                then.accept(each);
              });
        });
  }

  /** Some calls straight at one machine, as many as come while it thaws or joins. */
  void crowd(String control) {
    for (var i = 0; i < 4; i++) {
      world.after(
          random.nextInt(4_000),
          () ->
              call(
                  random.nextInt(3) > 0
                      ? Optional.empty()
                      : Optional.of(proper(history.confirmedNumber())),
                  control));
    }
  }

  void order(OrderHistory.Order order, Consumer<Optional<ResultCode>> done) {
    attempt(
        Optional.of(order),
        anyControl(),
        0,
        0,
        watched("order " + order, call -> done.accept(call.flatMap(each -> each.answer))));
  }

  void read(Consumer<Optional<Long>> done) {
    attempt(
        Optional.empty(),
        anyControl(),
        0,
        0,
        watched(
            "read",
            call ->
                done.accept(
                    call.filter(each -> each.is(ResultCode.FINE)).map(each -> each.number))));
  }

  private String anyControl() {
    var known = world.listed();
    return known.get(random.nextInt(known.size()));
  }

  private String nextControl(String last) {
    var known = world.listed();
    return known.get((known.indexOf(last) + 1) % known.size());
  }

  void onCall(Runnable once) {
    onCall.add(once);
  }

  void onAcknowledged(Runnable once) {
    onAcknowledged.add(once);
  }

  private static void runAll(List<Runnable> all) {
    var now = List.copyOf(all);
    all.clear();
    now.forEach(Runnable::run);
  }

  /** In calm no answer is lost on its way. */
  void calm(BooleanSupplier newCalm) {
    calm = newCalm;
  }

  /** What is to be told when a caller goes without a clear answer for too long. */
  void onUnanswered(long withinUs, BiConsumer<Long, String> newUnanswered) {
    unansweredUs = withinUs;
    unanswered = newUnanswered;
  }

  private <T> Consumer<T> watched(String what, Consumer<T> done) {
    var over = new boolean[1];
    var sinceUs = world.nowUs();
    world.after(
        unansweredUs,
        () -> {
          if (!over[0]) {
            unanswered.accept(sinceUs, what);
          }
        });
    return answer -> {
      over[0] = true;
      done.accept(answer);
    };
  }

  private void attempt(
      Optional<OrderHistory.Order> order,
      String control,
      int tries,
      int hops,
      Consumer<Optional<OrderHistory.Call>> done) {
    var over = new boolean[1];
    var call =
        call(
            order,
            control,
            reply -> {
              if (!over[0]) {
                over[0] = true;
                onReply(order, reply, tries, hops, done);
              }
            });
    world.after(
        SILENT_US,
        () -> {
          if (!over[0] && call.answer.isEmpty()) {
            over[0] = true;
            goOn(order, control, tries, done);
          }
        });
  }

  private void onReply(
      Optional<OrderHistory.Order> order,
      Replied replied,
      int tries,
      int hops,
      Consumer<Optional<OrderHistory.Call>> done) {
    var code = replied.call().answer.orElse(ResultCode.NO_LEADER);
    if (code == ResultCode.ELSEWHERE && hops < 2) {
      attempt(
          order, replied.location().replaceAll("http://([0-9.]+):.*", "$1"), tries, hops + 1, done);
    } else if (code == ResultCode.ELSEWHERE || code.status() >= 500) {
      goOn(order, replied.call().control, tries, done);
    } else {
      done.accept(Optional.of(replied.call()));
    }
  }

  private void goOn(
      Optional<OrderHistory.Order> order,
      String last,
      int tries,
      Consumer<Optional<OrderHistory.Call>> done) {
    if (tries + 1 >= TRIES) {
      done.accept(Optional.empty());
    } else {
      world.after(
          Math.min(800_000, 50_000L << tries),
          () -> attempt(order, nextControl(last), tries + 1, 0, done));
    }
  }

  private record Replied(OrderHistory.Call call, String location) {}

  /** One exchange with one pilot, recorded whatever comes of it. */
  OrderHistory.Call call(Optional<OrderHistory.Order> order, String control) {
    return call(order, control, replied -> {});
  }

  private OrderHistory.Call call(
      Optional<OrderHistory.Order> order, String control, Consumer<Replied> done) {
    var call = history.begins(order, control, world.nowUs());
    order.ifPresent(each -> runAll(onCall));
    var machine = world.machine(control);
    if (!machine.up && machine.powered) {
      world.after(2_000, () -> done.accept(new Replied(call, "")));
      return call;
    }
    var lost = random.nextInt(25) == 0 && !calm.getAsBoolean();
    Consumer<ControlNode.Reply> answer =
        reply ->
            world.after(
                200 + random.nextInt(400),
                () -> {
                  if (!lost && call.endUs == Long.MAX_VALUE && machine.powered) {
                    end(call, reply);
                    done.accept(new Replied(call, reply.location()));
                  }
                });
    world.ask(
        machine,
        node ->
            order.ifPresentOrElse(
                each -> node.replace(each.bytes, each.base, answer),
                () -> ControlCalls.read(node, answer)));
    return call;
  }

  private void end(OrderHistory.Call call, ControlNode.Reply reply) {
    if (call.order.isEmpty() && reply.code() == ResultCode.FINE) {
      call.digest = LogHistory.digest(reply.body());
      call.number =
          JsonParser.parseString(new String(reply.body(), StandardCharsets.UTF_8))
              .getAsJsonObject()
              .get("Revision")
              .getAsLong();
    }
    history.ends(call, world.nowUs(), reply.code());
    if (call.order.isPresent() && call.is(ResultCode.FINE)) {
      runAll(onAcknowledged);
    }
  }
}
