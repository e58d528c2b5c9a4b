package wellwheel.transport;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import wellwheel.runtime.ResultCode;

/** One HTTP request and the way to answer it. */
public interface Exchange {
  String method();

  String target();

  Optional<String> header(String name);

  /** All values of a header, in the order in which they came. */
  default List<String> headers(String name) {
    return header(name).map(List::of).orElse(List.of());
  }

  byte[] body();

  /** All header fields, name and value by turns, in the order in which they came. */
  default List<String> fields() {
    throw new UnsupportedOperationException();
  }

  void answer(Answer answer);

  /** Answers with what another server answered. */
  default void relay(Relayed answer) {
    throw new UnsupportedOperationException();
  }

  boolean open();

  void onClose(Runnable task);

  /**
   * An answer of another server.
   *
   * @param fields its header fields, name and value by turns, without those of its connection
   */
  record Relayed(int status, List<String> fields, byte[] body) {}

  /** The answer to a request. */
  record Answer(
      ResultCode code, List<String> headers, String contentType, byte[] body, boolean close) {
    public static Answer of(ResultCode code, String... headers) {
      if (code.status() < 300) {
        return new Answer(code, List.of(headers), "application/json", new byte[0], false);
      }
      return new Answer(
          code,
          List.of(headers),
          "application/json",
          ("{\"Code\":" + code.number() + ",\"Error\":\"" + code.meaning() + "\"}")
              .getBytes(StandardCharsets.UTF_8),
          false);
    }

    public static Answer later(ResultCode code, long waitS) {
      return of(code, "Retry-After", Long.toString(waitS));
    }

    public Answer with(String type, byte[] newBody) {
      return new Answer(code, headers, type, newBody, close);
    }

    public Answer closing() {
      return new Answer(code, headers, contentType, body, true);
    }
  }
}
