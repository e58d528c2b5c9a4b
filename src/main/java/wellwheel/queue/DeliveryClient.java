package wellwheel.queue;

import java.util.function.Consumer;

public interface DeliveryClient {
  enum Result {
    DONE,
    FAILED,
    REFUSED,
    NOT_RUN,
    WRONG,
    UNKNOWN
  }

  record Attempt(
      String address,
      String host,
      String target,
      String processorId,
      String id,
      String tenant,
      String orderKey,
      String method,
      String contentType,
      byte[] body,
      long giveUpUs,
      int mostConnections) {}

  record Outcome(Result result, String seal, String load) {}

  void deliver(Attempt attempt, Consumer<Outcome> done);

  void forget(String address);
}
