import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

/**
 * Passes bytes between two addresses. While the link is cut, the bytes of the connections that the
 * cut concerns are held up both ways.
 */
final class Proxy {
  /** The link is cut for connections whose first bytes fit; null: it is whole. */
  private volatile Predicate<String> cut;

  private final String to;
  private final int port;

  Proxy(String at, int listenPort, String to, int port) throws IOException {
    this.to = to;
    this.port = port;
    var server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(at, listenPort), 256);
    daemon(
        () -> {
          while (true) {
            serve(server.accept());
          }
        });
  }

  void cut(Predicate<String> concerned) {
    cut = concerned;
  }

  void heal() {
    cut = null;
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void daemon(Task task) {
    var thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // the connection is over
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket client) {
    daemon(
        () -> {
          try (client;
              var server = new Socket()) {
            server.connect(new InetSocketAddress(InetAddress.getByName(to), port), 1000);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            var hello = new byte[1 << 16];
            var count = client.getInputStream().read(hello);
            if (count < 0) {
              return;
            }
            var name = new String(hello, 0, count, StandardCharsets.ISO_8859_1);
            hold(name);
            server.getOutputStream().write(hello, 0, count);
            daemon(
                () -> {
                  try {
                    pass(server, client, name);
                  } finally {
                    client.close();
                    server.close();
                  }
                });
            pass(client, server, name);
          }
        });
  }

  private void hold(String name) throws InterruptedException {
    for (var now = cut; now != null && now.test(name); now = cut) {
      Thread.sleep(2);
    }
  }

  private void pass(Socket from, Socket into, String name)
      throws IOException, InterruptedException {
    var bytes = new byte[1 << 16];
    for (var count = from.getInputStream().read(bytes);
        count >= 0;
        count = from.getInputStream().read(bytes)) {
      hold(name);
      into.getOutputStream().write(bytes, 0, count);
    }
  }
}
