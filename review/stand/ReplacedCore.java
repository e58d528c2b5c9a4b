import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;

/** The core machines are replaced one after the other, each by an empty one at another address. */
final class ReplacedCore {
  private static final int REPLACED = 16;
  private static final double EACH_S = 4.6;
  private final Stand stand;
  private final List<Stand.Node> core = new ArrayList<>();
  private final Map<String, Double> accepted = new ConcurrentSkipListMap<>();
  private final Map<String, Boolean> ran = new ConcurrentHashMap<>();
  private volatile boolean over;
  private volatile boolean traffic = true;

  private ReplacedCore(Stand stand) {
    this.stand = stand;
  }

  public static void main(String[] arguments) throws Exception {
    var stand = new Stand(Path.of(arguments[0]));
    var code = 2;
    try {
      code = new ReplacedCore(stand).run();
    } finally {
      stand.note("exit " + code);
      Runtime.getRuntime().exit(code);
    }
  }

  private int run() throws Exception {
    var zones = List.of("brest", "rennes", "quimper");
    for (var zone : zones) {
      core.add(stand.add("core-" + zone, "control", zone));
    }
    for (var zone : zones) {
      stand.add("store-" + zone, "storage", zone);
    }
    var edges =
        List.of(stand.add("edge-brest", "edge", "brest"), stand.add("edge-rennes", "edge", "rennes"));
    stand.startAll();
    var config =
        "{\"Revision\":1,\"Routing\":[{\"Name\":\"r\",\"Host\":\"lode.example\",\"PathStart\":\"/c/\","
            + "\"Type\":\"background\",\"GiveUpMs\":1500,\"TargetMs\":80,\"Rank\":2,\"Backend\":\"s\","
            + "\"Tries\":6,\"InOrder\":false,\"KeepForS\":90.0,\"NotifyUrl\":false,"
            + "\"StartTargetMs\":800,\"Public\":false}],\"Backends\":[{\"Name\":\"s\","
            + "\"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false,"
            + "\"RatePerS\":0.0,\"DropsRepeats\":false,\"WorkerPull\":true,\"Endpoint\":null}],"
            + "\"Caps\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderWaitMs\":3000,"
            + "\"IdleMs\":15000},\"Customers\":[{\"Name\":\"t\",\"ApiKeys\":[\"key\"],\"Rank\":1,"
            + "\"RatePerS\":90,\"Burst\":90}]}";
    var put =
        stand.operate(
            "POST",
            "/Config.Replace",
            List.of("Based-On-Version", "0", "Content-Type", "application/json"),
            config.getBytes(StandardCharsets.UTF_8),
            60);
    stand.note("configuration: " + put.status());
    for (var edge : edges) {
      if (!stand.ready(edge, 20)) {
        stand.note(edge.name + " is not ready");
        return 2;
      }
    }
    TimeUnit.SECONDS.sleep(4);
    daemon(() -> client(edges));
    for (var i = 0; i < 8; i++) {
      var number = i;
      daemon(() -> work(edges.get(number % 2), "w-" + number));
    }
    for (var i = 0; i < REPLACED; i++) {
      var until = stand.seconds() + EACH_S;
      if (Stand.TROUBLE) {
        replace(i);
      }
      while (stand.seconds() < until) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
    for (var node : stand.nodes.values()) {
      if (!node.role.equals("control")) {
        stand.settings(node);
        stand.signal(node, "HUP");
      }
    }
    TimeUnit.SECONDS.sleep(2);
    traffic = false;
    TimeUnit.SECONDS.sleep(10);
    return judge(edges);
  }

  /** The new machine comes first and has a second to catch up, then the old one gets SIGTERM. */
  private void replace(int number) throws Exception {
    var old = core.remove(0);
    var fresh = stand.add("core-" + old.zone + "-" + number, "control", old.zone);
    fresh.first = false;
    name(List.of(old, core.get(0), core.get(1)));
    stand.start(fresh);
    core.add(fresh);
    TimeUnit.MILLISECONDS.sleep(1500);
    stand.signal(old, "TERM");
    if (!old.process.waitFor(6, TimeUnit.SECONDS)) {
      stand.kill(old);
    }
    stand.nodes.remove(old.name);
    name(core);
    stand.note(old.name + " is gone, " + fresh.name + " has its place");
  }

  /** The seeds in settings that are written from now on. */
  private void name(List<Stand.Node> machines) {
    stand.seeds.clear();
    machines.forEach(node -> stand.seeds.add("\"" + node.ip + ":8741\""));
  }

  private interface Task {
    void run() throws Exception;
  }

  private static void daemon(Task task) {
    var thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // the stand is over
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void client(List<Stand.Node> edges) throws Exception {
    for (var number = 0; traffic; number++) {
      var id = "m" + number;
      var answer =
          stand.call(
              edges.get(number % 2).ip + ":8749",
              "POST",
              "/c/x",
              List.of(
                  "Host", "lode.example", "Attempt-Id", id, "Authorization", "Bearer key",
                  "Time-Left-Ms", "800"),
              id.getBytes(StandardCharsets.UTF_8),
              2000);
      if (answer.status() == 202) {
        accepted.put(id, stand.seconds());
      }
      stand.note(id + " answered " + answer.status());
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private void work(Stand.Node edge, String server) throws Exception {
    while (!over) {
      var job =
          stand.call(
              edge.ip + ":8749",
              "POST",
              "/pull/s",
              List.of("Server-Id", server, "Wait-Ms", "1000"),
              new byte[0],
              3000);
      if (job.status() != 200) {
        TimeUnit.MILLISECONDS.sleep(job.status() == 204 ? 0 : 200);
        continue;
      }
      var id = job.field("Attempt-Id");
      TimeUnit.MILLISECONDS.sleep(200);
      for (var tries = 0; tries < 5; tries++) {
        var end =
            stand.call(
                edge.ip + ":8749",
                "POST",
                "/job-end/" + id,
                List.of("Lease", job.field("Lease"), "Job-Result", "200", "Server-Seal", "s-" + id),
                new byte[0],
                2000);
        if (end.status() == 200) {
          ran.put(id, true);
          stand.note(id + " run by " + server + ", end taken");
        }
        if (end.status() == 200 || end.status() == 409) {
          break;
        }
      }
    }
  }

  private int judge(List<Stand.Node> edges) throws Exception {
    var open = accepted.keySet().stream().filter(id -> !ran.containsKey(id)).toList();
    var lost = new ConcurrentSkipListSet<String>();
    for (var id : open.subList(0, Math.min(2, open.size()))) {
      var back = false;
      for (var tries = 0; tries < 5 && !back; tries++) {
        var answer =
            stand.call(
                edges.get(tries % 2).ip + ":8749",
                "GET",
                "/message-body/" + id,
                List.of("Host", "lode.example", "Authorization", "Bearer key"),
                new byte[0],
                2000);
        back = answer.status() == 200;
        stand.note("the bytes of " + id + ": " + answer.status());
        TimeUnit.MILLISECONDS.sleep(200);
      }
      if (!back) {
        lost.add(id);
      }
    }
    var read = stand.operate("GET", "/Config.Read", List.of(), new byte[0], 6);
    var ready = 0;
    for (var edge : edges) {
      ready += stand.ready(edge, 1) ? 1 : 0;
    }
    over = true;
    stand.note("the configuration is read back: " + read.status() + "; edge nodes ready: " + ready);
    stand.note(
        "accepted " + accepted.size() + ", not run " + open.size() + ": "
            + open.subList(0, Math.min(5, open.size())) + "; bytes that don't come back: " + lost);
    return accepted.isEmpty() ? 2 : !lost.isEmpty() || ready == 0 ? 1 : 0;
  }
}
