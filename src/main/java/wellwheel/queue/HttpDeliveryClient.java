package wellwheel.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wellwheel.transport.HeaderText;
import wellwheel.transport.PooledHttpClient;

/** Delivers messages over HTTP. */
final class HttpDeliveryClient implements DeliveryClient {
  private static final long SLACK_US = 60_000;
  private final PooledHttpClient caller;

  HttpDeliveryClient(PooledHttpClient caller) {
    this.caller = caller;
  }

  @Override
  public void deliver(Attempt attempt, Consumer<Outcome> done) {
    var headers =
        new ArrayList<>(
            List.of(
                "Attempt-Id",
                attempt.id(),
                "Time-Left-Ms",
                Long.toString(attempt.giveUpUs() / 1000)));
    add(headers, "Host", attempt.host());
    add(headers, "Customer", HeaderText.utf8(attempt.tenant()));
    add(headers, "Order-Key", attempt.orderKey());
    add(headers, "Target-Server", attempt.processorId());
    add(headers, "Content-Type", attempt.contentType());
    var call =
        new PooledHttpClient.Call(
            attempt.address(),
            attempt.method(),
            attempt.target(),
            headers,
            attempt.body(),
            attempt.giveUpUs() + SLACK_US,
            attempt.mostConnections(),
            attempt.id());
    caller.call(call, answer -> done.accept(judge(answer)));
  }

  private static void add(List<String> headers, String name, String value) {
    if (!value.isEmpty()) {
      headers.add(name);
      headers.add(value);
    }
  }

  static Outcome judge(PooledHttpClient.Answer answer) {
    var load = answer.header("Server-Load");
    if (answer.fate() != PooledHttpClient.Fate.ANSWERED) {
      return new Outcome(
          answer.fate() == PooledHttpClient.Fate.NOT_SENT ? Result.NOT_RUN : Result.UNKNOWN,
          "",
          load);
    }
    var seal = answer.header("Server-Seal");
    if (answer.status() / 100 == 2 && !seal.isEmpty()) {
      return new Outcome(Result.DONE, seal, load);
    }
    if (answer.status() == 421) {
      return new Outcome(Result.WRONG, "", load);
    }
    if (!answer.header("Not-Run").isEmpty()) {
      return new Outcome(Result.NOT_RUN, "", load);
    }
    return switch (answer.status()) {
      case 500 -> new Outcome(Result.FAILED, "", load);
      case 422 -> new Outcome(Result.REFUSED, "", load);
      default -> new Outcome(Result.UNKNOWN, "", load);
    };
  }

  @Override
  public void forget(String address) {
    caller.forget(address);
  }
}
