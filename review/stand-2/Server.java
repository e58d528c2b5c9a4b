import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server with a thread for each connection. */
final class Server implements Closeable {
  /** What a server does with a request. */
  interface Handler {
    Reply handle(Http.Request request) throws IOException, InterruptedException;
  }

  /**
   * What goes back.
   *
   * @param bytes the answer as it is written; nothing is written if there is none
   * @param close whether the server then closes the connection, in order
   */
  record Reply(byte[] bytes, boolean close) {}

  private final ServerSocket socket = new ServerSocket();
  private final Handler handler;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  Server(String ip, int port, Handler handler) throws IOException {
    this.handler = handler;
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(ip, port), 256);
    daemon(this::accept);
  }

  static void daemon(Runnable task) {
    var thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        var connection = socket.accept();
        connection.setTcpNoDelay(true);
        open.add(connection);
        daemon(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      var in = new java.io.BufferedInputStream(connection.getInputStream());
      while (true) {
        var reply = handler.handle(Http.read(in));
        connection.getOutputStream().write(reply.bytes());
        connection.getOutputStream().flush();
        if (reply.close()) {
          return;
        }
      }
    } catch (IOException e) {
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(connection);
    }
  }

  /** Takes no more connections; those that are open go on. */
  void stopListening() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (var each : open) {
      each.close();
    }
  }
}
