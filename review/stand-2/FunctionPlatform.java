import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/** A platform for functions: one worker machine, and instances that listen once they are up. */
final class FunctionPlatform implements Closeable {
  /** How an instance runs a request. */
  interface Work {
    byte[] run(Instance instance, Http.Request request) throws InterruptedException;
  }

  /** One life of a processor. */
  final class Instance {
    final String id;
    final String service;
    final String address;
    final AtomicInteger running = new AtomicInteger();
    private final long upMs;
    private boolean up;
    private boolean stopped;
    private Server server;

    private Instance(String id, String service, int port) {
      this.id = id;
      this.service = service;
      this.address = ip + ":" + port;
      this.upMs = rig.nowMs() + startupMs;
    }

    private Server.Reply serve(Http.Request request) throws InterruptedException {
      var attempt = request.header("Attempt-Id");
      if (!request.header("Target-Server").equals(id)) {
        return new Server.Reply(
            Http.answer(421, List.of("Attempt-Id", attempt, "Server-Id", id), new byte[0]), false);
      }
      try {
        if (running.incrementAndGet() > slots) {
          return new Server.Reply(
              Http.answer(503, List.of("Attempt-Id", attempt, "Not-Run", "1"), new byte[0]),
              false);
        }
        return new Server.Reply(work.run(this, request), false);
      } finally {
        running.decrementAndGet();
      }
    }
  }

  private static final Pattern FIELD = Pattern.compile("\"(\\w+)\"\\s*:\\s*\"([^\"]*)\"");
  private final Rig rig;
  private final String ip;
  private final long startupMs;
  private final int slots;
  private final Work work;
  private final Map<String, Instance> byKey = new HashMap<>();
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Server server;
  private int nextPort = 9001;

  /** Milliseconds that the platform takes for an order to start or stop. */
  volatile long orderMs;

  /** Whether starts and stops are left out of the record. */
  volatile boolean quiet;

  FunctionPlatform(Rig rig, int host, long startupMs, int slots, Work work) throws IOException {
    this.rig = rig;
    this.ip = rig.ip(host);
    this.startupMs = startupMs;
    this.slots = slots;
    this.work = work;
    server = new Server(ip, 8743, this::handle);
  }

  String address() {
    return server.address();
  }

  private Server.Reply handle(Http.Request request) throws InterruptedException {
    var path = request.target().split("\\?")[0];
    if (path.equals("/start") || path.equals("/stop")) {
      Thread.sleep(orderMs);
    }
    synchronized (this) {
      return switch (path) {
        case "/workers" ->
            json(
                200,
                "{\"WorkerMachines\":[{\"Name\":\"w-1\",\"Zone\":\"brest\",\"MemoryMb\":32768,"
                    + "\"MemoryLeftMb\":" + (32768 - 128 * alive()) + ",\"State\":\"ready\"}]}");
        case "/servers" -> json(200, list());
        case "/start" -> begin(fields(request));
        case "/stop" -> stop(fields(request));
        default -> json(404, "{}");
      };
    }
  }

  private static Server.Reply json(int status, String text) {
    return new Server.Reply(
        Http.answer(
            status,
            List.of("Content-Type", "application/json"),
            text.getBytes(StandardCharsets.UTF_8)),
        false);
  }

  private static Map<String, String> fields(Http.Request request) {
    var found = new HashMap<String, String>();
    var matcher = FIELD.matcher(request.text());
    while (matcher.find()) {
      found.put(matcher.group(1), matcher.group(2));
    }
    return found;
  }

  private long alive() {
    return instances.values().stream().filter(each -> !each.stopped).count();
  }

  private String list() {
    var rows = new ArrayList<String>();
    for (var each : instances.values()) {
      if (each.up && !each.stopped) {
        rows.add(
            "{\"Backend\":\"" + each.service + "\",\"Address\":\"" + each.address
                + "\",\"Zone\":\"brest\",\"Revision\":\"v1\",\"Capacity\":" + slots
                + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Machine\":\"w-1\",\"Id\":\"" + each.id
                + "\"}");
      }
    }
    return "{\"Servers\":[" + String.join(",", rows) + "],\"NextToken\":null}";
  }

  private Server.Reply begin(Map<String, String> order) {
    var key = order.get("Backend") + " " + order.get("RepeatKey");
    var instance = byKey.get(key);
    if (instance == null) {
      var port = nextPort++;
      instance = new Instance("i-" + port, order.get("Backend"), port);
      byKey.put(key, instance);
      instances.put(instance.id, instance);
      note("the platform starts " + instance.id + " of " + instance.service);
      var begun = instance;
      Server.daemon(() -> bringUp(begun));
    }
    return json(200, "{\"Id\":\"" + instance.id + "\",\"Address\":\"" + instance.address + "\"}");
  }

  private void note(String text) {
    if (!quiet) {
      rig.note(text);
    }
  }

  private void bringUp(Instance instance) {
    Rig.pause(Math.max(0, instance.upMs - rig.nowMs()));
    try {
      var port = Integer.parseInt(instance.address.substring(instance.address.indexOf(':') + 1));
      var listening = new Server(ip, port, instance::serve);
      synchronized (this) {
        instance.server = listening;
        instance.up = true;
        if (instance.stopped) {
          listening.stopListening();
        }
      }
    } catch (IOException e) {
      rig.note("an instance could not listen: " + e);
    }
  }

  private Server.Reply stop(Map<String, String> order) {
    var instance = instances.get(order.getOrDefault("Id", ""));
    if (instance == null) {
      return json(404, "{}");
    }
    if (!instance.stopped) {
      note("the platform stops " + instance.id + " of " + instance.service);
    }
    instance.stopped = true;
    if (instance.server != null) {
      instance.server.stopListening();
    }
    return json(200, "{}");
  }

  @Override
  public synchronized void close() throws IOException {
    server.close();
    for (var each : instances.values()) {
      if (each.server != null) {
        each.server.close();
      }
    }
  }
}
