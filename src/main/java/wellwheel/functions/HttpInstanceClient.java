package wellwheel.functions;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wellwheel.transport.PooledHttpClient;

/** Sends calls to instances over HTTP. */
final class HttpInstanceClient implements InstanceClient {
  private static final long SLACK_US = 30_000;
  private final PooledHttpClient client;

  HttpInstanceClient(PooledHttpClient client) {
    this.client = client;
  }

  @Override
  public void send(
      String address,
      String instanceId,
      FunctionCall call,
      int connections,
      Consumer<PooledHttpClient.Answer> done) {
    var headers = new ArrayList<>(call.fields());
    headers.addAll(List.of("Time-Left-Ms", Long.toString(Math.max(1, call.leftUs() / 1000))));
    headers.addAll(List.of("Target-Server", instanceId));
    client.call(
        new PooledHttpClient.Call(
            address,
            call.method(),
            call.target(),
            headers,
            call.body(),
            call.leftUs() + SLACK_US,
            connections,
            call.attemptId()),
        done);
  }

  @Override
  public void forget(String address) {
    client.forget(address);
  }
}
