package wellwheel.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wellwheel.cluster.ClusterView;
import wellwheel.queue.DeliveryClient;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;

/** Measures what a fleet of many nodes sends and spends, in one process without sockets. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description =
        "A hollow fleet: the state machines of many nodes in one process, with frames, bytes and processor time counted by role.")
public final class Fleet implements Callable<Integer>, World.Processors {
  private static final long SECOND = 1_000_000;
  private static final String HOST = "hollow.example";

  @Option(names = "--edges", description = "edge nodes in all (default ${DEFAULT-VALUE})")
  int edges = 12;

  @Option(
      names = "--storage-nodes",
      description = "storage nodes in all (default ${DEFAULT-VALUE})")
  int storageNodes = 6;

  @Option(names = "--control-nodes", description = "core nodes (default ${DEFAULT-VALUE})")
  int controlNodes = 5;

  @Option(names = "--zones", description = "zones (default ${DEFAULT-VALUE})")
  int zones = 6;

  @Option(names = "--survive", description = "losses to bear at once (default ${DEFAULT-VALUE})")
  int survive = 2;

  @Option(names = "--tenants", description = "tenants (default ${DEFAULT-VALUE})")
  int tenants = 90;

  @Option(
      names = "--endpoints",
      description = "services of one endpoint each (default ${DEFAULT-VALUE})")
  int endpoints = 20;

  @Option(
      names = "--per-s",
      description = "hand-ins a second in all; 0 leaves the fleet idle (default ${DEFAULT-VALUE})")
  double perS = 0;

  @Option(
      names = "--changes-per-s",
      description = "changes of the configuration a second (default ${DEFAULT-VALUE})")
  double changesPerS = 0;

  @Option(
      names = "--near-limit",
      description = "part of its rate limit that each tenant uses (default ${DEFAULT-VALUE})")
  double nearLimit = 0.6;

  @Option(
      names = "--keyed",
      description = "part of the hand-ins that carry an idempotency key (default ${DEFAULT-VALUE})")
  double keyed = 0;

  @Option(
      names = "--backlog",
      description =
          "messages that wait, to measure their memory and disk (default ${DEFAULT-VALUE})")
  int backlog = 0;

  @Option(
      names = "--seconds",
      description = "simulated seconds measured (default ${DEFAULT-VALUE})")
  int seconds = 10;

  @Option(names = "--seed", description = "seed (default ${DEFAULT-VALUE})")
  long seed = 1;

  @Option(names = "--kinds", description = "also list every kind of frame")
  boolean kinds;

  /** The figures of one role. */
  public record Row(
      String role,
      int nodes,
      double framesOutPerS,
      double bytesOutPerS,
      double framesInPerS,
      double bytesInPerS,
      double wakeUpsPerS,
      double cpuShare) {}

  /** A fleet of the given size under traffic. */
  public static Fleet of(int edges, int storageNodes, int survive, double perS, double keyed) {
    var fleet = new Fleet();
    fleet.edges = edges;
    fleet.storageNodes = storageNodes;
    fleet.survive = survive;
    fleet.perS = perS;
    fleet.keyed = keyed;
    return fleet;
  }

  private World world;
  private long sent;
  private long accepted;
  private long finished;
  private long revision;
  private boolean load = true;
  private double[] backlogBytes = {0, 0};

  public static void main(String[] arguments) {
    System.exit(new CommandLine(new Fleet()).execute(arguments));
  }

  @Override
  public Integer call() {
    if (edges < 1
        || storageNodes < survive + 1
        || controlNodes < 1
        || zones < 1
        || tenants < 1
        || seconds < 1
        || edges > 2000
        || storageNodes > 2000) {
      System.err.println(
          "fleet: needs one edge node, control node, zone, tenant and second at least, a storage node more than the losses to bear, and at most 2000 nodes of a role");
      return 2;
    }
    var rows = measure();
    System.out.printf(
        Locale.ROOT,
        "%-8s %6s %12s %12s %12s %12s %10s %8s%n",
        "role",
        "nodes",
        "frames out/s",
        "bytes out/s",
        "frames in/s",
        "bytes in/s",
        "wakes/s",
        "cpu");
    rows.forEach(
        row ->
            System.out.printf(
                Locale.ROOT,
                "%-8s %6d %12.1f %12.0f %12.1f %12.0f %10.1f %7.2f%%%n",
                row.role(),
                row.nodes(),
                row.framesOutPerS(),
                row.bytesOutPerS(),
                row.framesInPerS(),
                row.bytesInPerS(),
                row.wakeUpsPerS(),
                row.cpuShare() * 100));
    System.out.printf(
        Locale.ROOT,
        "handed in %d, accepted %d, finished %d, configuration %d, reference loop %.0f ns%n",
        sent,
        accepted,
        finished,
        revision,
        referenceNs());
    if (backlog > 0) {
      System.out.printf(
          Locale.ROOT,
          "a waiting message with a body of 800 bytes takes %.0f bytes of memory and %.0f of disk a copy%n",
          backlogBytes[0],
          backlogBytes[1]);
    }
    if (kinds) {
      world.traffic().entrySet().stream()
          .sorted((a, b) -> Long.compare(b.getValue()[1], a.getValue()[1]))
          .forEach(
              entry ->
                  System.out.printf(
                      Locale.ROOT,
                      "  %-32s %10.1f frames/s %12.0f bytes/s%n",
                      entry.getKey(),
                      (double) entry.getValue()[0] / seconds,
                      (double) entry.getValue()[1] / seconds));
    }
    return 0;
  }

  /** Plays the fleet for so many simulated seconds and measures it. */
  public List<Row> measure(int forSeconds) {
    seconds = forSeconds;
    return measure();
  }

  public List<Row> measure() {
    var names = IntStream.range(0, zones).mapToObj(zone -> "zone-" + zone).toList();
    world =
        new World(
            new World.Shape(
                names,
                Math.max(1, edges / zones),
                storageNodes,
                200,
                500,
                700,
                600_000,
                100_000,
                controlNodes,
                survive),
            seed,
            this);
    world.withoutWatch();
    feedRoster();
    world.runFor(6 * SECOND);
    var taken = new ArrayList<ResultCode>();
    configure(taken);
    world.runFor(3 * SECOND);
    if (!taken.contains(ResultCode.FINE)) {
      throw new IllegalStateException("the fleet took no configuration: " + taken);
    }
    if (backlog > 0) {
      pileUp();
    }
    if (perS > 0) {
      IntStream.range(0, (int) Math.ceil(perS * 0.5 * 0.4 * 1.6)).forEach(slot -> worker());
      hand();
      world.runFor(3 * SECOND);
    }
    if (changesPerS > 0) {
      change();
    }
    world.resetCounts();
    world.runFor(seconds * SECOND);
    load = false;
    return List.of("edge", "storage", "control").stream().map(this::row).toList();
  }

  private void pileUp() {
    var heapBefore = heapBytes();
    var diskBefore = world.journalBytesInAll("storage");
    for (var number = 0; number < backlog; number++) {
      var headers =
          Map.of(
              "Host",
              HOST,
              "Attempt-Id",
              "waits-" + number,
              "Authorization",
              "Bearer key-" + number % tenants,
              "Time-Left-Ms",
              "9000",
              "Delay-Ms",
              "900000000");
      world.after(
          number * 500L,
          () ->
              world.ask(
                  anyEdge(),
                  "POST",
                  "/pulled/x",
                  headers,
                  new byte[800],
                  answer ->
                      accepted +=
                          answer.filter(each -> each.code() == ResultCode.KEPT).isPresent()
                              ? 1
                              : 0));
    }
    world.runFor(backlog * 500L + 5 * SECOND);
    var disk = world.journalBytesInAll("storage") - diskBefore;
    var copies = Math.max(1.0, accepted * (1.0 + Math.max(1, survive)));
    backlogBytes = new double[] {(heapBytes() - heapBefore - disk) / copies, disk / copies};
  }

  private static long heapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** The simulated cluster that was measured, to go on with. */
  public World world() {
    return world;
  }

  public long acceptedCount() {
    return accepted;
  }

  public Map<String, Double> bytesPerSecond() {
    var found = new TreeMap<String, Double>();
    world.traffic().forEach((route, counts) -> found.put(route, (double) counts[1] / seconds));
    return found;
  }

  private Row row(String role) {
    var hosts = world.hosts(role);
    double[] sums = new double[4];
    world
        .traffic()
        .forEach(
            (route, counts) -> {
              var out = route.startsWith(role + ">");
              var in = route.substring(route.indexOf('>') + 1).startsWith(role + " ");
              sums[0] += out ? counts[0] : 0;
              sums[1] += out ? counts[1] : 0;
              sums[2] += in ? counts[0] : 0;
              sums[3] += in ? counts[1] : 0;
            });
    var per = (double) hosts.size() * seconds;
    return new Row(
        role,
        hosts.size(),
        sums[0] / per,
        sums[1] / per,
        sums[2] / per,
        sums[3] / per,
        hosts.stream().mapToLong(World.Host::wakeUps).sum() / per,
        hosts.stream().mapToLong(World.Host::spentNs).sum() / 1e9 / per);
  }

  private static double referenceNs() {
    var best = Double.MAX_VALUE;
    for (var round = 0; round < 20; round++) {
      var fromNs = System.nanoTime();
      var value = 0x9e3779b97f4a7c15L;
      for (var step = 0; step < 200_000; step++) {
        value = (value ^ value >>> 13) * 0xbf58476d1ce4e5b9L;
      }
      best = Math.min(best, (System.nanoTime() - fromNs) / 200.0 + (value == 0 ? 1 : 0));
    }
    return best;
  }

  private void feedRoster() {
    world
        .leader()
        .ifPresent(
            host ->
                host.control()
                    .roster(
                        List.of(
                            new ClusterView.Processor(
                                "p1", "ordered", "10.8.0.1:80", "zone-0", 500, false, 0, "v1"),
                            new ClusterView.Processor(
                                "p2", "ordered", "10.8.0.2:80", "zone-0", 500, false, 0, "v1"))));
    world.after(300_000, this::feedRoster);
  }

  private void configure(List<ResultCode> taken) {
    var base = revision;
    var next = revision + 1;
    world.configure(
        config(next).getBytes(StandardCharsets.UTF_8),
        base,
        reply -> {
          taken.add(reply.code());
          revision = reply.code() == ResultCode.FINE ? next : revision;
        });
  }

  private void change() {
    if (load) {
      configure(new ArrayList<>());
      world.after((long) (1e6 / changesPerS), this::change);
    }
  }

  private String config(long number) {
    var paths = new ArrayList<String>();
    var services = new ArrayList<String>();
    paths.add(path("pulled", false));
    paths.add(path("ordered", true));
    services.add(service("pulled", true, "null", 0));
    services.add(service("ordered", false, "null", 0));
    IntStream.range(0, endpoints)
        .forEach(
            index -> {
              paths.add(path("end" + index, false));
              services.add(
                  service(
                      "end" + index,
                      false,
                      "\"10.9." + index / 250 + "." + (index % 250 + 1) + ":80\"",
                      Math.max(20, perS / endpoints * 2)));
            });
    var rate = Math.max(backlog > 0 ? 100_000 : 1, Math.round(perS / tenants / nearLimit));
    var customers =
        IntStream.range(0, tenants)
            .mapToObj(
                index ->
                    "{\"Name\":\"t"
                        + index
                        + "\",\"ApiKeys\":[\"key-"
                        + index
                        + "\"],\"RatePerS\":"
                        + rate
                        + ",\"Burst\":"
                        + rate
                        + "}")
            .toList();
    return "{\"Revision\":"
        + number
        + ",\"Routing\":["
        + String.join(",", paths)
        + "],\"Backends\":["
        + String.join(",", services)
        + "],\"Customers\":["
        + String.join(",", customers)
        + "]}";
  }

  private static String path(String service, boolean inOrder) {
    return "{\"Name\":\"r-"
        + service
        + "\",\"Host\":\""
        + HOST
        + "\",\"PathStart\":\"/"
        + service
        + "/\",\"Type\":\"background\",\"GiveUpMs\":600,\"TargetMs\":100,\"Rank\":1,\"Backend\":\""
        + service
        + "\",\"Tries\":4,\"InOrder\":"
        + inOrder
        + ",\"KeepForS\":90.0,\"StartTargetMs\":800,\"Public\":false}";
  }

  private static String service(String name, boolean pull, String endpoint, double rate) {
    return "{\"Name\":\""
        + name
        + "\",\"MaxConns\":500,\"RatePerS\":"
        + rate
        + ",\"DropsRepeats\":false,\"WorkerPull\":"
        + pull
        + ",\"Endpoint\":"
        + endpoint
        + "}";
  }

  private World.Host anyEdge() {
    var all = world.hosts("edge");
    return all.get(world.random().nextInt(all.size()));
  }

  private void hand() {
    if (!load) {
      return;
    }
    var kind = endpoints == 0 ? world.random().nextInt(3) : world.random().nextInt(4);
    var service =
        kind < 2 ? "pulled" : kind == 2 ? "ordered" : "end" + world.random().nextInt(endpoints);
    var headers =
        new HashMap<>(
            Map.of(
                "Host",
                HOST,
                "Attempt-Id",
                "m" + sent++,
                "Authorization",
                "Bearer key-" + world.random().nextInt(tenants),
                "Time-Left-Ms",
                "1000"));
    if (keyed > 0 && world.random().nextDouble() < keyed) {
      headers.put(IdempotencyKey.HEADER, "operation-" + sent);
    }
    if (service.equals("ordered")) {
      headers.put("Order-Key", "thing-" + world.random().nextInt(1000));
    }
    world.ask(
        anyEdge(),
        "POST",
        "/" + service + "/x",
        headers,
        new byte[800],
        answer ->
            accepted += answer.filter(each -> each.code() == ResultCode.KEPT).isPresent() ? 1 : 0);
    world.after((long) (1e6 / perS * (0.5 + world.random().nextDouble())), this::hand);
  }

  private void worker() {
    if (!load) {
      return;
    }
    world.ask(
        anyEdge(),
        "POST",
        "/pull/pulled",
        Map.of("Host", "any", "Server-Id", "w", "Wait-Ms", "1000"),
        new byte[0],
        answer -> {
          if (answer.filter(each -> each.code() == ResultCode.FINE).isPresent()) {
            world.after(300_000, () -> end(answer.get()));
          } else {
            world.after(answer.isPresent() ? 1_000 : 200_000, this::worker);
          }
        });
  }

  private void end(Exchange.Answer job) {
    var id = job.headers().get(job.headers().indexOf("Attempt-Id") + 1);
    var lease = job.headers().get(job.headers().indexOf("Lease") + 1);
    world.ask(
        anyEdge(),
        "POST",
        "/job-end/" + id,
        Map.of("Host", "any", "Lease", lease, "Job-Result", "200", "Server-Seal", "s"),
        new byte[0],
        answer -> {
          finished += answer.filter(each -> each.code() == ResultCode.FINE).isPresent() ? 1 : 0;
          worker();
        });
  }

  @Override
  public Optional<DeliveryClient.Outcome> run(DeliveryClient.Attempt attempt, long atUs) {
    finished++;
    return Optional.of(new DeliveryClient.Outcome(DeliveryClient.Result.DONE, "s", "1,0,500"));
  }

  @Override
  public long workUs() {
    return 40_000;
  }
}
