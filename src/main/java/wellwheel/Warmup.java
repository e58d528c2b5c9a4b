package wellwheel;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.control.ControlDaemon;
import wellwheel.edge.EdgeDaemon;
import wellwheel.queue.StorageDaemon;
import wellwheel.runtime.NodeRuntime;
import wellwheel.runtime.ResultCode;
import wellwheel.simulation.Fleet;
import wellwheel.simulation.World;
import wellwheel.transport.Exchange;
import wellwheel.transport.HttpServer;

/**
 * Plays a small cluster in one process at build time, so that the class archive holds what daemons
 * load: real daemons over sockets, then a simulated fleet in which nodes fail. Whatever lambda or
 * class is not met here is generated anew by each process that meets it, at ten times the cost.
 */
final class Warmup {
  private static final System.Logger LOG = System.getLogger("warmup");
  private static final String POORER = "the class archive lacks what this would load";
  private static final int POORER_STATUS = 1;
  private static final long READY_MOST_MS = 15_000;
  private static final long TRY_AGAIN_MS = 100;
  private static final String CONTROL_IP = "127.0.0.1";
  private static final String EDGE_IP = "127.0.0.4";
  private static final int FLEET_EDGES = 20;
  private static final int FLEET_STORAGE_NODES = 6;
  private static final int FLEET_PER_S = 60;
  private static final int FLEET_MEASURED_S = 2;
  private static final int FLEET_SURVIVE = 2;
  private static final double FLEET_KEYED = 0.5;
  private static final long SECOND_US = 1_000_000;
  private static final long RECOVERY_US = 4 * SECOND_US;

  private final HttpClient client = HttpClient.newHttpClient();
  private final String edge;
  private final String control;

  private Warmup(String edge, String control) {
    this.edge = edge;
    this.control = control;
  }

  /** Plays everything and ends the process, also where something of it fails. */
  static void run() {
    var status = POORER_STATUS;
    try {
      simulate();
      var queues = playQueues();
      var functions = FunctionsWarmup.play(freePorts(FunctionsWarmup.PORTS));
      status = queues && functions ? 0 : POORER_STATUS;
    } catch (Exception e) {
      LOG.log(System.Logger.Level.WARNING, POORER, e);
    } finally {
      System.exit(status);
    }
  }

  private static boolean playQueues() throws Exception {
    var ports = freePorts(4);
    var front = ports.get(0);
    var control = ports.get(1);
    var inner = ports.get(2);
    var processor = CONTROL_IP + ":" + ports.get(3);
    var folder = Files.createTempDirectory("wellwheel-warmup").toString();
    var runtime =
        NodeRuntime.with(
            options("control", CONTROL_IP, folder + "/control", inner, control, front));
    processor(runtime, processor);
    new ControlDaemon(runtime);
    new StorageDaemon(
        NodeRuntime.with(options("one", "127.0.0.2", folder + "/one", inner, control, front)));
    new StorageDaemon(
        NodeRuntime.with(options("two", "127.0.0.3", folder + "/two", inner, control, front)));
    new EdgeDaemon(NodeRuntime.with(options("edge", EDGE_IP, "", inner, control, front)));
    var warmup =
        new Warmup("http://" + EDGE_IP + ":" + front, "http://" + CONTROL_IP + ":" + control);
    return warmup.exercised(processor);
  }

  private boolean exercised(String processor) throws InterruptedException {
    try {
      exercise(processor);
      return true;
    } catch (UncheckedIOException e) {
      LOG.log(System.Logger.Level.WARNING, POORER, e);
      return false;
    }
  }

  /** Ports that are free now, all different: each is held until the last has been found. */
  private static List<Integer> freePorts(int count) throws IOException {
    var sockets = new ArrayList<ServerSocket>();
    var ports = new ArrayList<Integer>();
    try {
      for (var number = 0; number < count; number++) {
        var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        ports.add(socket.getLocalPort());
      }
    } finally {
      for (var socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  private static void processor(NodeRuntime runtime, String address) throws InterruptedException {
    new HttpServer(
            runtime.loop(),
            runtime.clock(),
            Configuration.NONE::caps,
            FLEET_EDGES,
            exchange ->
                exchange.answer(
                    Exchange.Answer.of(
                        ResultCode.FINE,
                        "Server-Seal",
                        "done",
                        "Attempt-Id",
                        exchange.header("Attempt-Id").orElse(""))))
        .open(address);
  }

  private static NodeOptions options(
      String name, String ip, String folder, int inner, int control, int front) throws Exception {
    var root = new JsonObject();
    root.addProperty("NodeName", name);
    root.addProperty("Ip", ip);
    root.addProperty("Zone", "z");
    root.add(
        "ListenOn",
        new Gson()
            .toJsonTree(
                Map.of(
                    "Control", ip + ":" + control,
                    "FrontHttp", ip + ":" + front,
                    "Readiness", ip + ":" + control)));
    root.add("InternalPorts", new Gson().toJsonTree(List.of(inner, inner)));
    root.add("SeedNodes", new Gson().toJsonTree(List.of(CONTROL_IP + ":" + control)));
    root.addProperty("FirstBoot", true);
    root.add("Survive", new Gson().toJsonTree(Map.of("Machines", 0)));
    root.addProperty("DataDir", folder);
    return NodeOptions.read(root.toString());
  }

  private static Map<String, Object> service(String name, boolean pull, String endpoint) {
    return Map.of(
        "Name",
        name,
        "MaxConns",
        4,
        "RatePerS",
        pull ? 0 : 90,
        "DropsRepeats",
        true,
        "WorkerPull",
        pull,
        "Endpoint",
        endpoint);
  }

  private static Map<String, Object> route(String service, boolean inOrder) {
    return Map.ofEntries(
        Map.entry("Name", service),
        Map.entry("Host", EDGE_IP),
        Map.entry("PathStart", "/" + service + "/"),
        Map.entry("Type", "background"),
        Map.entry("GiveUpMs", 500),
        Map.entry("TargetMs", 100),
        Map.entry("Rank", 1),
        Map.entry("Backend", service),
        Map.entry("Tries", 3),
        Map.entry("InOrder", inOrder),
        Map.entry("KeepForS", 5),
        Map.entry("StartTargetMs", 500),
        Map.entry("Public", false));
  }

  private static String configuration(String processor) {
    var pulled = new JsonObject();
    pulled.add("Revision", new Gson().toJsonTree(1));
    pulled.add(
        "Routing", new Gson().toJsonTree(List.of(route("push", false), route("pull", true))));
    var backends = new Gson().toJsonTree(List.of(service("push", false, processor)));
    var pull = new Gson().toJsonTree(service("pull", true, "")).getAsJsonObject();
    pull.remove("Endpoint");
    backends.getAsJsonArray().add(pull);
    pulled.add("Backends", backends);
    pulled.add(
        "Customers",
        new Gson()
            .toJsonTree(
                List.of(
                    Map.of("Name", "t", "ApiKeys", List.of("k"), "RatePerS", 90, "Burst", 90))));
    return pulled.toString();
  }

  private void exercise(String processor) throws InterruptedException {
    until(
        () ->
            post(control + "/Config.Replace", configuration(processor), "Based-On-Version", "0")
                    .statusCode()
                == 200);
    until(() -> handIn("push", "first").statusCode() == 202);
    for (var number = 0; number < 4; number++) {
      handIn("push", "push-" + number);
      handIn("pull", "pull-" + number);
      var job = post(edge + "/pull/pull", "", "Server-Id", "w", "Wait-Ms", "300");
      var name = job.headers().firstValue("Attempt-Id").orElse("none");
      var lease = job.headers().firstValue("Lease").orElse("0.0.0");
      post(edge + "/job-extend/" + name, "", "Lease", lease);
      post(edge + "/job-end/" + name, "", "Lease", lease, "Job-Result", "200", "Server-Seal", "s");
      get(edge + "/message/" + name);
      get(edge + "/message-body/" + name);
    }
    post(control + "/Config.Replace", "{}", "Based-On-Version", "1");
    get(control + "/Config.Read");
    get(control + "/Nodes.Read");
  }

  private HttpResponse<String> handIn(String service, String name) {
    return post(
        edge + "/" + service + "/x",
        "body",
        "Attempt-Id",
        name,
        "Operation-Key",
        "key-" + name,
        "Order-Key",
        "order",
        "Authorization",
        "Bearer k",
        "Time-Left-Ms",
        "1000");
  }

  private interface Condition {
    boolean met();
  }

  private static void until(Condition condition) throws InterruptedException {
    var untilMs = System.currentTimeMillis() + READY_MOST_MS;
    while (!met(condition)) {
      if (System.currentTimeMillis() > untilMs) {
        throw new UncheckedIOException(new IOException("the cluster did not become ready"));
      }
      Thread.sleep(TRY_AGAIN_MS);
    }
  }

  private static boolean met(Condition condition) {
    try {
      return condition.met();
    } catch (UncheckedIOException e) {
      return false;
    }
  }

  private HttpResponse<String> post(String target, String body, String... headers) {
    return send(
        HttpRequest.newBuilder(URI.create(target))
            .headers(headers)
            .POST(HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8)));
  }

  private HttpResponse<String> get(String target) {
    return send(HttpRequest.newBuilder(URI.create(target)).headers("Authorization", "Bearer k"));
  }

  private HttpResponse<String> send(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new UncheckedIOException(new InterruptedIOException());
    }
  }

  private static void simulate() {
    var fleet = Fleet.of(FLEET_EDGES, FLEET_STORAGE_NODES, FLEET_SURVIVE, FLEET_PER_S, FLEET_KEYED);
    fleet.measure(FLEET_MEASURED_S);
    var world = fleet.world();
    var storage = world.hosts("storage");
    world.kill(storage.get(0));
    world.runFor(RECOVERY_US);
    world.term(storage.get(1));
    world.term(world.hosts("edge").get(1));
    world.runFor(RECOVERY_US);
    world.wipe(storage.get(2), SECOND_US);
    world.leader().ifPresent(world::kill);
    world.runFor(RECOVERY_US);
    loseAllPower(world);
    world.runFor(2 * RECOVERY_US);
  }

  private static void loseAllPower(World world) {
    for (var role : List.of("control", "storage", "edge")) {
      world.hosts(role).forEach(host -> world.powerOff(host, SECOND_US));
    }
  }
}
