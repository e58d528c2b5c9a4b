import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** All processors of a service are down for 8.5 s while clients go on; then they come back. */
final class Backlog {
  private static final int BODY_BYTES = 262_000;
  private static final int PER_S = 40;
  private static final double TRAFFIC_S = 10;
  private static final double DOWN_S = 8.5;
  private static final int WORKERS = 24;

  private final Stand stand;
  private final Map<String, Integer> accepted = new ConcurrentSkipListMap<>();
  private final Map<String, Integer> ran = new ConcurrentHashMap<>();
  private final AtomicBoolean up = new AtomicBoolean(true);
  private volatile boolean over;

  private Backlog(Stand stand) {
    this.stand = stand;
  }

  public static void main(String[] arguments) throws Exception {
    var stand = new Stand(Path.of(arguments[0]));
    var code = 2;
    try {
      code = new Backlog(stand).run();
    } finally {
      stand.note("exit " + code);
      Runtime.getRuntime().exit(code);
    }
  }

  private int run() throws Exception {
    for (var zone : List.of("brest", "rennes", "quimper")) {
      stand.add("core-" + zone, "control", zone);
    }
    for (var zone : List.of("brest", "rennes", "quimper")) {
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
    TimeUnit.SECONDS.sleep(3);
    var threads = Executors.newCachedThreadPool();
    for (var i = 0; i < WORKERS; i++) {
      var number = i;
      threads.execute(() -> work(edges.get(number % edges.size()), "w-" + number));
    }
    TimeUnit.SECONDS.sleep(2);
    if (Stand.TROUBLE) {
      stand.note("all processors of the service are down");
      up.set(false);
    }
    var began = stand.seconds();
    var sent = new AtomicInteger();
    var refused = new AtomicInteger();
    var schedule = Executors.newScheduledThreadPool(1);
    schedule.scheduleAtFixedRate(
        () -> {
          if (stand.seconds() - began < TRAFFIC_S) {
            var number = sent.incrementAndGet();
            threads.execute(() -> handIn(edges.get(number % 2), number, refused));
          }
        },
        0,
        1_000_000 / PER_S,
        TimeUnit.MICROSECONDS);
    while (stand.seconds() - began < DOWN_S) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    stand.note("all processors of the service are up");
    up.set(true);
    var traffic = began + TRAFFIC_S + 2;
    while (stand.seconds() < traffic) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    if (accepted.isEmpty()) {
      return 2;
    }
    stand.note("sent " + sent + ", accepted " + accepted.size() + ", refused " + refused);
    var until = stand.seconds() + 40;
    while (stand.seconds() < until && ran.size() < accepted.size()) {
      TimeUnit.MILLISECONDS.sleep(100);
    }
    stand.note("of " + accepted.size() + " accepted, " + ran.size() + " ran");
    return judge(edges);
  }

  private int judge(List<Stand.Node> edges) throws Exception {
    var open = accepted.keySet().stream().filter(id -> !ran.containsKey(id)).limit(300).toList();
    var lost = new ConcurrentSkipListMap<String, String>();
    var began = stand.seconds();
    var askers = Executors.newFixedThreadPool(32);
    for (var id : open) {
      askers.execute(() -> ask(edges, id, lost, began));
    }
    askers.shutdown();
    askers.awaitTermination(30, TimeUnit.SECONDS);
    var broken = false;
    for (var node : stand.nodes.values()) {
      var log = node.logText();
      var memory = log.contains("OutOfMemoryError");
      var dead = !node.process.isAlive();
      if (dead || memory) {
        stand.note(
            node.name
                + (dead ? " has ended by itself with " + node.process.exitValue() : " lives")
                + (memory ? ", OutOfMemoryError in its log" : ""));
      }
      broken |= dead;
    }
    over = true;
    stand.note(
        open.size() + " accepted messages have not run; the bytes of " + lost.size()
            + " don't come back: " + lost.entrySet().stream().limit(5).toList());
    return broken || !lost.isEmpty() ? 1 : 0;
  }

  /** Asks for the bytes of a message that has not ended, again after each failure. */
  private void ask(List<Stand.Node> edges, String id, Map<String, String> lost, double began) {
    var last = "";
    for (var step = 0; stand.seconds() - began < 20; step++) {
      var answer =
          stand.call(
              edges.get(step % edges.size()).ip + ":8749",
              "GET",
              "/message-body/" + id,
              List.of("Host", "lode.example", "Authorization", "Bearer key"),
              new byte[0],
              2000);
      if (answer.status() == 200 && Arrays.equals(answer.body(), body(accepted.get(id)))
          || ran.containsKey(id)) {
        return;
      }
      last = answer.status() + " " + answer.fields().getOrDefault("why", "");
      try {
        TimeUnit.MILLISECONDS.sleep(200);
      } catch (InterruptedException e) {
        return;
      }
    }
    lost.put(id, last);
  }

  private static byte[] body(int number) {
    var body = new byte[BODY_BYTES];
    new Random(number).nextBytes(body);
    return body;
  }

  private void handIn(Stand.Node edge, int number, AtomicInteger refused) {
    var id = "m" + number;
    var answer =
        stand.call(
            edge.ip + ":8749",
            "POST",
            "/c/x",
            List.of(
                "Host", "lode.example", "Attempt-Id", id, "Authorization", "Bearer key",
                "Time-Left-Ms", "800", "Content-Type", "application/octet-stream"),
            body(number),
            3000);
    if (answer.status() == 202) {
      accepted.put(id, number);
    } else {
      refused.incrementAndGet();
    }
    stand.note(
        id + " sent to " + edge.name + ", answered " + answer.status()
            + " " + answer.fields().getOrDefault("why", ""));
  }

  private void work(Stand.Node edge, String server) {
    while (!over) {
      try {
        if (!up.get()) {
          TimeUnit.MILLISECONDS.sleep(20);
          continue;
        }
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
        var seal = "seal-" + id;
        TimeUnit.MILLISECONDS.sleep(30);
        for (var tries = 0; tries < 5; tries++) {
          var end =
              stand.call(
                  edge.ip + ":8749",
                  "POST",
                  "/job-end/" + id,
                  List.of("Lease", job.field("Lease"), "Job-Result", "200", "Server-Seal", seal),
                  new byte[0],
                  2000);
          if (end.status() == 200) {
            ran.merge(id, 1, Integer::sum);
            stand.note(id + " run by " + server + ", end taken");
          }
          if (end.status() == 200 || end.status() == 409) {
            break;
          }
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
