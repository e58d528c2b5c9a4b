package wellwheel.transport;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.ResultCode;

/** Where clients reach a node: the server for their requests, and the one for readiness. */
public final class ClientEntry {
  private static final int READY_CONNECTIONS = 64;
  private static final int CLIENTS_LEAST = 64;
  private final HttpServer clients;
  private final HttpServer readiness;
  private final NodeOptions options;

  /**
   * @param otherFiles descriptors that the node needs for other things than clients
   * @param ready whether clients may be sent here
   */
  public ClientEntry(
      EventLoop loop,
      LoopClock clock,
      NodeOptions options,
      int otherFiles,
      Supplier<Configuration.Caps> caps,
      Consumer<Exchange> handler,
      BooleanSupplier ready) {
    this.options = options;
    var connections = Math.max(CLIENTS_LEAST, options.maxFiles() - otherFiles);
    clients = new HttpServer(loop, clock, caps, connections, handler);
    readiness =
        new HttpServer(
            loop,
            clock,
            Configuration.NONE::caps,
            READY_CONNECTIONS,
            exchange -> answer(exchange, ready.getAsBoolean()));
  }

  private static void answer(Exchange exchange, boolean ready) {
    exchange.answer(
        exchange.target().equals("/ready")
            ? Exchange.Answer.of(ready ? ResultCode.FINE : ResultCode.NO_CLAIM)
            : Exchange.Answer.of(ResultCode.NO_PATH));
  }

  /** Begins to listen. */
  public void open() throws InterruptedException {
    clients.open(options.front());
    clients.watch();
    readiness.open(options.ready());
  }

  /** The server for clients' requests. */
  public HttpServer clients() {
    return clients;
  }
}
