import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A small deployment of the project's own programs on loopback addresses: starts them with the
 * commands of the deploy file, keeps the record of a case, and ends all that it started.
 */
final class Rig implements AutoCloseable {
  static final int CONTROL = 8741;
  static final int FRONT = 8749;
  static final int READY = 8747;
  static final int INNER = 7100;

  /** Thrown where a case cannot be run at all; the script then exits with 2. */
  static final class CannotRun extends RuntimeException {
    CannotRun(String why) {
      super(why);
    }
  }

  /** A node of the system. */
  static final class Node {
    final String name;
    final String role;
    final String ip;
    final String zone;
    final int inner;
    Process process;

    Node(String name, String role, String ip, String zone, int inner) {
      this.name = name;
      this.role = role;
      this.ip = ip;
      this.zone = zone;
      this.inner = inner;
    }
  }

  private final Path home;
  private final Map<String, String> commands;
  private final String subnet;
  private final long beganNs = System.nanoTime();
  private final List<String> record = new ArrayList<>();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private final Map<String, Boolean> booted = new HashMap<>();
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path recordFile;

  Rig(Path recordFile) throws IOException {
    this.recordFile = recordFile;
    home = Files.createTempDirectory("wellwheel-review-");
    commands = commands(Path.of("deploy/system.toml"));
    subnet = freeSubnet();
    note("loopback network " + subnet + "0, trouble " + (trouble ? "on" : "off"));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private static Map<String, String> commands(Path deploy) throws IOException {
    var found = new HashMap<String, String>();
    var role = "";
    for (var line : Files.readAllLines(deploy)) {
      if (line.startsWith("[roles.")) {
        role = line.substring("[roles.".length(), line.indexOf(']'));
      } else if (line.startsWith("run = ") && !role.isEmpty()) {
        found.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
      }
    }
    return found;
  }

  private static String freeSubnet() {
    var random = new Random();
    for (var tries = 0; tries < 50; tries++) {
      var subnet = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
      var free = true;
      for (var host = 1; host <= 16 && free; host++) {
        for (var port : List.of(CONTROL, FRONT, READY, INNER, INNER + 50)) {
          free = free && isFree(subnet + host, port);
        }
      }
      if (free) {
        return subnet;
      }
    }
    throw new CannotRun("no free loopback network");
  }

  private static boolean isFree(String ip, int port) {
    try (var socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(ip, port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  String ip(int host) {
    return subnet + host;
  }

  /** Milliseconds since the case began. */
  long nowMs() {
    return (System.nanoTime() - beganNs) / 1_000_000;
  }

  void note(String text) {
    synchronized (record) {
      record.add(String.format("%8d ms  %s", nowMs(), text));
    }
  }

  <T extends AutoCloseable> T keep(T closeable) {
    closeables.add(closeable);
    return closeable;
  }

  Node add(String name, String role, int host, String zone) {
    return add(name, role, host, zone, INNER);
  }

  /** A node that meets its peers at another port; a proxy must join the two. */
  Node add(String name, String role, int host, String zone, int inner) {
    var node = new Node(name, role, ip(host), zone, inner);
    nodes.put(name, node);
    return node;
  }

  /** Starts a node's process, with the options that `extra` adds. */
  void start(Node node, String extra) throws IOException {
    var data = home.resolve(node.name);
    Files.createDirectories(data);
    var first = booted.put(node.name, true) == null;
    var seeds = new ArrayList<String>();
    nodes.values().stream()
        .filter(each -> each.role.equals("control"))
        .limit(3)
        .forEach(each -> seeds.add("\"" + each.ip + ":" + CONTROL + "\""));
    var options = home.resolve(node.name + ".json");
    Files.writeString(
        options,
        "{\"NodeName\":\"" + node.name + "\",\"Ip\":\"" + node.ip + "\",\"Zone\":\"" + node.zone
            + "\",\"ListenOn\":{\"Control\":\"" + node.ip + ":" + CONTROL + "\",\"FrontHttp\":\""
            + node.ip + ":" + FRONT + "\",\"Readiness\":\"" + node.ip + ":" + READY
            + "\"},\"InternalPorts\":[" + node.inner + "," + (node.inner + 15) + "],\"SeedNodes\":["
            + String.join(",", seeds) + "],\"FirstBoot\":" + first + ",\"DataDir\":\"" + data
            + "\"" + (extra.isEmpty() ? "" : "," + extra) + "}");
    var words = commands.get(node.role);
    if (words == null) {
      throw new CannotRun("the deploy file has no role " + node.role);
    }
    var builder = new ProcessBuilder(words.split(" "));
    builder.environment().put("WELLWHEEL_CONFIG", options.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(home.resolve(node.name + ".log").toFile()));
    node.process = builder.start();
    note("started " + node.name + " (" + node.role + ") at " + node.ip);
  }

  /** Sends a signal to a process that this case started. */
  void signal(Node node, String signal) throws IOException, InterruptedException {
    note("SIG" + signal + " to " + node.name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(node.process.pid()))
        .inheritIO()
        .start()
        .waitFor();
  }

  void until(String what, long mostMs, BooleanSupplier holds) {
    var endMs = nowMs() + mostMs;
    while (!holds.getAsBoolean()) {
      if (nowMs() > endMs) {
        throw new CannotRun("never came: " + what);
      }
      pause(50);
    }
    note("came: " + what);
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CannotRun("interrupted");
    }
  }

  boolean ready(Node node) {
    return Http.call(node.ip + ":" + READY, "GET", "/ready", List.of(), "", 1000).status() == 200;
  }

  /** Sends an operator's order to the control nodes in turn until one takes or refuses it. */
  Http.Answer order(String method, String target, List<String> headers, String body, long mostMs) {
    var endMs = nowMs() + mostMs;
    var controls =
        nodes.values().stream().filter(each -> each.role.equals("control")).toList();
    for (var turn = 0; nowMs() < endMs; turn++) {
      var address = controls.get(turn % controls.size()).ip + ":" + CONTROL;
      for (var hops = 0; hops < 3 && !address.isEmpty(); hops++) {
        var answer = Http.call(address, method, target, headers, body, 2000);
        if (answer.status() == 307) {
          var at = answer.header("location").replace("http://", "");
          address = at.substring(0, at.indexOf('/'));
          continue;
        }
        if (answer.status() >= 200 && answer.status() < 500) {
          return answer;
        }
        break;
      }
      pause(200);
    }
    throw new CannotRun("no control node answered " + target);
  }

  /** Puts a configuration and waits for its acknowledgement. */
  void configure(long base, String json) {
    var answer =
        order(
            "POST",
            "/Config.Replace",
            List.of("Based-On-Version", Long.toString(base), "Content-Type", "application/json"),
            json,
            20_000);
    if (answer.status() != 200) {
      throw new CannotRun("configuration on " + base + ": " + answer.status() + " " + answer.text());
    }
    note("a configuration on top of " + base + " was acknowledged");
  }

  String log(Node node) throws IOException {
    return Files.readString(home.resolve(node.name + ".log"));
  }

  private void killAll() {
    nodes.values().stream()
        .filter(each -> each.process != null)
        .forEach(each -> each.process.destroyForcibly());
  }

  @Override
  public void close() throws Exception {
    for (var each : closeables) {
      each.close();
    }
    killAll();
    for (var node : nodes.values()) {
      if (node.process != null) {
        node.process.waitFor(10, TimeUnit.SECONDS);
      }
    }
    if (System.getenv("KEEP") == null) {
      try (var all = Files.walk(home)) {
        all.sorted(Comparator.reverseOrder()).forEach(Rig::delete);
      }
    } else {
      System.out.println(home);
    }
    synchronized (record) {
      Files.write(recordFile, record);
    }
  }

  private static void delete(Path path) {
    try {
      Files.deleteIfExists(path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** What a case does; tells whether the rule was broken. */
  interface Case {
    boolean broken(Rig rig) throws Exception;
  }

  /** Runs a case and ends the process with its status: 0 held, 1 broken, 2 could not run. */
  static void run(Path folder, Case body) {
    var status = 2;
    try {
      Files.deleteIfExists(folder.resolve("record.txt"));
      try (var rig = new Rig(folder.resolve("record.txt"))) {
        try {
          var broken = body.broken(rig);
          rig.note(broken ? "BROKEN" : "HELD");
          System.out.println(broken ? "BROKEN" : "HELD");
          status = broken ? 1 : 0;
        } catch (CannotRun e) {
          rig.note("could not run: " + e.getMessage());
          System.out.println("could not run: " + e.getMessage());
        }
      }
    } catch (Exception e) {
      System.out.println("could not run: " + e);
      status = 2;
    }
    System.out.flush();
    Runtime.getRuntime().halt(status);
  }
}
