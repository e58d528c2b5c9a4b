package wellwheel.functions;

import java.util.function.Consumer;
import wellwheel.transport.PooledHttpClient;

/** Sends calls to instances. */
interface InstanceClient {
  /** Sends the call to an instance, which answers within the time that the call has left. */
  void send(
      String address,
      String instanceId,
      FunctionCall call,
      int connections,
      Consumer<PooledHttpClient.Answer> done);

  /** Closes idle connections to an address that is not used any more. */
  void forget(String address);
}
