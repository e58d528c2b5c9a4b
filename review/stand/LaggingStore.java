import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A store is cut off from the core for some seconds; in this time the operator adds a route, and a
 * client uses it. No processor is needed: the messages wait and have not ended.
 */
final class LaggingStore {
  private static final double CUT_S = 4.5;
  private static final int MESSAGES = 120;
  private final Stand stand;
  private final List<Proxy> proxies = new ArrayList<>();
  private final Map<String, String> accepted = new ConcurrentSkipListMap<>();

  private LaggingStore(Stand stand) {
    this.stand = stand;
  }

  public static void main(String[] arguments) throws Exception {
    var stand = new Stand(Path.of(arguments[0]));
    var code = 2;
    try {
      code = new LaggingStore(stand).run();
    } finally {
      stand.note("exit " + code);
      Runtime.getRuntime().exit(code);
    }
  }

  private static String route(String name, String prefix) {
    return "{\"Name\":\"" + name + "\",\"Host\":\"lode.example\",\"PathStart\":\"" + prefix
        + "\",\"Type\":\"background\",\"GiveUpMs\":1500,\"TargetMs\":80,\"Rank\":2,"
        + "\"Backend\":\"s\",\"Tries\":6,\"InOrder\":false,\"KeepForS\":90.0,"
        + "\"NotifyUrl\":false,\"StartTargetMs\":800,\"Public\":false}";
  }

  private static String config(int revision, String routes) {
    return "{\"Revision\":" + revision + ",\"Routing\":[" + routes + "],\"Backends\":[{"
        + "\"Name\":\"s\",\"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\","
        + "\"Tls\":false,\"RatePerS\":0.0,\"DropsRepeats\":false,\"WorkerPull\":true,"
        + "\"Endpoint\":null}],\"Caps\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
        + "\"HeaderWaitMs\":3000,\"IdleMs\":15000},\"Customers\":[{\"Name\":\"t\","
        + "\"ApiKeys\":[\"key\"],\"Rank\":1,\"RatePerS\":200,\"Burst\":200}]}";
  }

  private int put(int base, String config, int tries) throws InterruptedException {
    var answer =
        stand.operate(
            "POST",
            "/Config.Replace",
            List.of("Based-On-Version", "" + base, "Content-Type", "application/json"),
            config.getBytes(StandardCharsets.UTF_8),
            tries);
    stand.note("configuration on top of " + base + ": " + answer.status());
    return answer.status();
  }

  private int run() throws Exception {
    for (var zone : List.of("brest", "rennes", "quimper")) {
      stand.add("core-" + zone, "control", zone).innerPort = 7101;
    }
    for (var zone : List.of("brest", "rennes", "quimper", "vannes")) {
      stand.add("store-" + zone, "storage", zone);
    }
    for (var zone : List.of("brest", "rennes")) {
      stand.add("edge-" + zone, "edge", zone);
    }
    for (var node : stand.nodes.values()) {
      var own = node.innerPort;
      proxies.add(new Proxy(node.ip, own == 7100 ? 7101 : 7100, node.ip, own));
    }
    stand.startAll();
    var cut = stand.nodes.get("store-brest");
    var edge = stand.nodes.get("edge-brest");
    if (put(0, config(1, route("old", "/old/")), 60) != 200) {
      return 2;
    }
    for (var node : stand.nodes.values()) {
      if (node.role.equals("edge") && !stand.ready(node, 20)) {
        stand.note(node.name + " is not ready");
        return 2;
      }
    }
    TimeUnit.SECONDS.sleep(5);
    if (Stand.TROUBLE) {
      stand.note(cut.name + " is cut off from the core for " + CUT_S + " s");
      cutOff(cut);
    }
    var until = stand.seconds() + CUT_S;
    if (put(1, config(3, route("old", "/old/") + "," + route("new", "/new/")), 60) != 200) {
      return 2;
    }
    var threads = Executors.newFixedThreadPool(16);
    for (var i = 0; i < MESSAGES; i++) {
      var id = "m" + i;
      threads.execute(() -> handIn(edge, id));
      TimeUnit.MILLISECONDS.sleep(20);
    }
    threads.shutdown();
    threads.awaitTermination(10, TimeUnit.SECONDS);
    while (stand.seconds() < until) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    stand.note("the cut is over");
    proxies.forEach(Proxy::heal);
    TimeUnit.SECONDS.sleep(10);
    return judge(edge);
  }

  /** Holds up what the store and the core say to each other; all other links stay whole. */
  private void cutOff(Stand.Node store) {
    var at = 0;
    for (var node : stand.nodes.values()) {
      var proxy = proxies.get(at++);
      if (node == store) {
        proxy.cut(hello -> true);
      } else if (node.role.equals("control")) {
        proxy.cut(hello -> hello.matches("(?s).*" + store.ip.replace(".", "\\.") + "[^0-9].*"));
      }
    }
  }

  private void handIn(Stand.Node edge, String id) {
    var answer =
        stand.call(
            edge.ip + ":8749",
            "POST",
            "/new/x",
            List.of(
                "Host", "lode.example", "Attempt-Id", id, "Authorization", "Bearer key",
                "Time-Left-Ms", "800"),
            id.getBytes(StandardCharsets.UTF_8),
            2000);
    stand.note(
        id + " answered " + answer.status() + " " + answer.fields().getOrDefault("message-name", ""));
    if (answer.status() == 202) {
      accepted.put(id, answer.field("Message-Name"));
    }
  }

  private int judge(Stand.Node edge) throws Exception {
    var failed = new ConcurrentSkipListSet<String>();
    for (var id : accepted.keySet()) {
      for (var tries = 0; tries < 5; tries++) {
        var answer =
            stand.call(
                edge.ip + ":8749",
                "GET",
                "/message/" + id,
                List.of("Host", "lode.example", "Authorization", "Bearer key"),
                new byte[0],
                2000);
        if (answer.status() == 200) {
          stand.note(id + " " + answer.text());
          if (answer.text().contains("failed")) {
            failed.add(id);
          }
          break;
        }
      }
    }
    stand.note(
        "accepted " + accepted.size() + " of " + MESSAGES + "; none was given to a processor; "
            + failed.size() + " are said to be failed: " + failed);
    return accepted.isEmpty() ? 2 : failed.isEmpty() ? 0 : 1;
  }
}
