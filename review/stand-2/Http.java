import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 on plain sockets: enough for the clients, servers and platforms of the cases. */
final class Http {
  /** An answer; status 0 if none came whole. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    static final Answer NONE = new Answer(0, Map.of(), new byte[0]);

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A request as a server reads it. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  /** One request on a connection of its own. */
  static Answer call(
      String address, String method, String target, List<String> headers, String body, long waitMs) {
    return call(address, method, target, headers, body.getBytes(StandardCharsets.UTF_8), waitMs);
  }

  static Answer call(
      String address, String method, String target, List<String> headers, byte[] body, long waitMs) {
    try (var connection = new Connection(address, waitMs)) {
      return connection.call(method, target, headers, body);
    } catch (IOException e) {
      return Answer.NONE;
    }
  }

  /** A kept connection of a client. */
  static final class Connection implements Closeable {
    private final Socket socket = new Socket();
    private final String address;

    Connection(String address, long waitMs) throws IOException {
      this.address = address;
      var colon = address.lastIndexOf(':');
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          (int) Math.min(1000, waitMs));
      socket.setSoTimeout((int) waitMs);
    }

    void send(String method, String target, List<String> headers, byte[] body) throws IOException {
      var text = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      var hosted = false;
      for (var i = 0; i + 1 < headers.size(); i += 2) {
        hosted |= headers.get(i).equalsIgnoreCase("Host");
        text.append(headers.get(i)).append(": ").append(headers.get(i + 1)).append("\r\n");
      }
      if (!hosted) {
        text.append("Host: ").append(address).append("\r\n");
      }
      if (body.length > 0 || method.equals("POST")) {
        text.append("Content-Length: ").append(body.length).append("\r\n");
      }
      var bytes = new ByteArrayOutputStream();
      bytes.writeBytes(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
      bytes.writeBytes(body);
      socket.getOutputStream().write(bytes.toByteArray());
      socket.getOutputStream().flush();
    }

    Answer read() throws IOException {
      var in = socket.getInputStream();
      var line = line(in);
      var headers = headers(in);
      return new Answer(Integer.parseInt(line.split(" ")[1]), headers, body(in, headers));
    }

    Answer call(String method, String target, List<String> headers, byte[] body)
        throws IOException {
      send(method, target, headers, body);
      return read();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static Request read(InputStream in) throws IOException {
    var words = line(in).split(" ");
    var headers = headers(in);
    return new Request(words[0], words[1], headers, body(in, headers));
  }

  private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      var whole = new ByteArrayOutputStream();
      for (var size = chunk(in); size > 0; size = chunk(in)) {
        whole.writeBytes(in.readNBytes(size));
        line(in);
      }
      line(in);
      return whole.toByteArray();
    }
    var length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    var bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException();
    }
    return bytes;
  }

  private static int chunk(InputStream in) throws IOException {
    return Integer.parseInt(line(in).trim(), 16);
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    var headers = new HashMap<String, String>();
    for (var line = line(in); !line.isEmpty(); line = line(in)) {
      var colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return headers;
  }

  private static String line(InputStream in) throws IOException {
    var bytes = new ByteArrayOutputStream();
    for (var next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** The bytes of an answer with its length. */
  static byte[] answer(int status, List<String> headers, byte[] body) {
    var with = new ArrayList<>(headers);
    with.addAll(List.of("Content-Length", Integer.toString(body.length)));
    return unframed(status, with, body);
  }

  /** The bytes of an answer that has no length and ends with its connection. */
  static byte[] unframed(int status, List<String> headers, byte[] body) {
    var text = new StringBuilder("HTTP/1.1 " + status + " " + (status == 200 ? "OK" : "Status"));
    text.append("\r\n");
    for (var i = 0; i + 1 < headers.size(); i += 2) {
      text.append(headers.get(i)).append(": ").append(headers.get(i + 1)).append("\r\n");
    }
    var bytes = new ByteArrayOutputStream();
    bytes.writeBytes(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }
}
