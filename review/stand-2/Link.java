import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy between two nodes that can be cut: it then passes nothing on, and says nothing. */
final class Link implements Closeable {
  private static final int CHUNK = 64 << 10;
  private final ServerSocket socket = new ServerSocket();
  private final String toIp;
  private final int toPort;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  Link(String ip, int port, String toIp, int toPort) throws IOException {
    this.toIp = toIp;
    this.toPort = toPort;
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(ip, port), 64);
    Server.daemon(this::accept);
  }

  void cut(boolean now) {
    cut = now;
  }

  /** Takes no more connections; those that are open stay. */
  void stopListening() throws IOException {
    socket.close();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        var client = socket.accept();
        open.add(client);
        Server.daemon(() -> serve(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket client) {
    try {
      var server = new Socket();
      open.add(server);
      server.setTcpNoDelay(true);
      client.setTcpNoDelay(true);
      hold();
      server.connect(new InetSocketAddress(toIp, toPort), 1000);
      Server.daemon(() -> pass(server, client));
      pass(client, server);
    } catch (IOException e) {
      close(client);
    }
  }

  private void pass(Socket from, Socket to) {
    try (from;
        to) {
      var buffer = new byte[CHUNK];
      for (var count = from.getInputStream().read(buffer);
          count >= 0;
          count = from.getInputStream().read(buffer)) {
        hold();
        to.getOutputStream().write(buffer, 0, count);
      }
      hold();
    } catch (IOException e) {
      return;
    } finally {
      open.remove(from);
    }
  }

  private void hold() {
    while (cut) {
      Rig.pause(10);
    }
  }

  private static void close(Socket socket) {
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
