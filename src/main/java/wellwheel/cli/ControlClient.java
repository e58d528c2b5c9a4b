package wellwheel.cli;

import dev.failsafe.Failsafe;
import dev.failsafe.FailsafeException;
import dev.failsafe.RetryPolicy;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Calls control nodes over HTTP: follows redirects, moves on when an address fails, gives up after
 * a while.
 */
final class ControlClient {
  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  private static final int REDIRECTS_MOST = 3;
  private static final int ANSWER_MOST = 32 << 20;

  record Answer(int status, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static final class Unreachable extends Exception {
    Unreachable(String why) {
      super(why);
    }
  }

  private static final class NotNow extends RuntimeException {
    NotNow(String why) {
      super(why);
    }
  }

  private final List<URI> addresses;
  private final Duration patience;
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final AtomicInteger turn = new AtomicInteger();

  ControlClient(List<String> addresses, Duration patience) {
    this.addresses = addresses.stream().map(ControlClient::address).toList();
    this.patience = patience;
  }

  private static URI address(String text) {
    if (!text.matches("[0-9A-Za-z.\\-]+:[0-9]{1,5}")) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    return URI.create("http://" + text);
  }

  Answer call(String method, String target, List<String> headers, byte[] body) throws Unreachable {
    var again =
        RetryPolicy.<Answer>builder()
            .handle(NotNow.class)
            .withBackoff(Duration.ofMillis(150), Duration.ofMillis(1_500))
            .withMaxRetries(-1)
            .withMaxDuration(patience)
            .build();
    try {
      return Failsafe.with(again).get(() -> once(method, target, headers, body));
    } catch (NotNow e) {
      throw new Unreachable(e.getMessage());
    } catch (FailsafeException e) {
      Thread.currentThread().interrupt();
      throw new Unreachable("interrupted");
    }
  }

  private Answer once(String method, String target, List<String> headers, byte[] body)
      throws InterruptedException {
    var at = addresses.get(Math.floorMod(turn.get(), addresses.size())).resolve(target);
    for (var hop = 0; hop <= REDIRECTS_MOST; hop++) {
      var answer = send(at, method, headers, body);
      if (answer.statusCode() == 307 && answer.headers().firstValue("Location").isPresent()) {
        at = URI.create(answer.headers().firstValue("Location").get());
      } else if (answer.statusCode() >= 500
          || answer.statusCode() == 408
          || answer.statusCode() == 429
          || answer.body().length > ANSWER_MOST) {
        turn.incrementAndGet();
        throw new NotNow(
            at.getAuthority()
                + " answers "
                + answer.statusCode()
                + " "
                + new String(answer.body(), StandardCharsets.UTF_8));
      } else {
        return new Answer(answer.statusCode(), answer.body());
      }
    }
    turn.incrementAndGet();
    throw new NotNow("too many redirections");
  }

  private HttpResponse<byte[]> send(URI at, String method, List<String> headers, byte[] body)
      throws InterruptedException {
    try {
      var request =
          HttpRequest.newBuilder(at)
              .timeout(Duration.ofSeconds(3))
              .method(
                  method,
                  body.length == 0
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofByteArray(body));
      if (!headers.isEmpty()) {
        request.headers(headers.toArray(String[]::new));
      }
      return client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      turn.incrementAndGet();
      throw new NotNow(at.getAuthority() + " does not answer");
    }
  }
}
