package wellwheel.queue;

import java.util.function.Consumer;

/** Delivers a message to a processor and tells the outcome. */
public interface DeliveryClient {
  /** How a delivery ended. */
  enum Result {
    DONE,
    FAILED,
    REFUSED,
    NOT_RUN,
    WRONG,
    UNKNOWN
  }

  /** One delivery of a message to a processor. */
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

  /** What became of a delivery, with the seal and load that the processor told. */
  record Outcome(Result result, String seal, String load) {}

  void deliver(Attempt attempt, Consumer<Outcome> done);

  void forget(String address);
}
