package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import wellwheel.control.ControlNode;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;

final class Scenario {
  static final long SECOND = 1_000_000;

  final HistoryChecker checker = new HistoryChecker();
  final World world;
  long sent;
  long stopSendingUs;
  long stopWorkersUs = Long.MAX_VALUE;
  String key = "key-one";
  boolean powerLost;
  int padBytes;
  long pullWaitMs = 1_000;

  /** Jobs that workers got under a lease that another worker's had replaced. */
  final List<String> staleLeases = new ArrayList<>();

  private final Map<String, Long> newestAttempts = new HashMap<>();
  int unconfirmed;

  Scenario(long seed) {
    this(seed, World.Shape.three());
  }

  Scenario(long seed, World.Shape shape) {
    world = new World(shape, seed, checker);
    checker.world = world;
  }

  Scenario up() {
    feedRoster();
    world.runFor(5 * SECOND);
    var taken = new ArrayList<ResultCode>();
    world.configure(
        HistoryChecker.config(1, key, 4).getBytes(StandardCharsets.UTF_8),
        0,
        reply -> taken.add(reply.code()));
    world.runFor(2 * SECOND);
    assertThat(taken).containsExactly(ResultCode.FINE);
    for (var slot = 0; slot < 24; slot++) {
      worker();
    }
    return this;
  }

  void feedRoster() {
    world.leader().ifPresent(host -> host.control().roster(checker.roster()));
    world.after(300_000, this::feedRoster);
  }

  World.Host anyEdge() {
    var all = world.hosts("edge");
    return all.get(world.random().nextInt(all.size()));
  }

  void load(long spanUs) {
    stopSendingUs = world.nowUs() + spanUs;
    hand();
  }

  void hand() {
    if (world.nowUs() >= stopSendingUs) {
      return;
    }
    var service =
        List.of("quote", "quote", "book", "carrier", "notice", "notice")
            .get(world.random().nextInt(6));
    if (!service.equals("carrier") || sent % 3 == 0) {
      handIn(service, service.equals("book") ? "thing-" + world.random().nextInt(12) : "");
    }
    sent++;
    world.after(4_000 + world.random().nextInt(7_000), this::hand);
  }

  void handIn(String service, String orderKey) {
    handIn(anyEdge(), service, orderKey, "acme", key, 0);
  }

  void handIn(
      World.Host edge,
      String service,
      String orderKey,
      String tenant,
      String tenantKey,
      long delayMs) {
    handIn(edge, service, orderKey, tenant, tenantKey, delayMs, List.of(), entry -> {});
  }

  HistoryChecker.Entry handIn(
      World.Host edge,
      String service,
      String orderKey,
      String tenant,
      String tenantKey,
      long delayMs,
      List<HistoryChecker.Entry> after,
      Consumer<HistoryChecker.Entry> kept) {
    var entry =
        new HistoryChecker.Entry("m" + checker.entries.size(), service, orderKey, world.nowUs());
    entry.body = Arrays.copyOf(entry.body, Math.max(entry.body.length, padBytes));
    checker.entries.put(entry.id, entry);
    checker.byKey.computeIfAbsent(orderKey, k -> new ArrayList<>()).add(entry);
    var headers =
        new HashMap<>(
            Map.of(
                "Host",
                HistoryChecker.HOST,
                "Attempt-Id",
                entry.id,
                "Authorization",
                "Bearer " + tenantKey,
                "Time-Left-Ms",
                "1200"));
    entry.tenant = tenant;
    if (delayMs > 0) {
      headers.put("Delay-Ms", Long.toString(delayMs));
    }
    if (!orderKey.isEmpty()) {
      headers.put("Order-Key", orderKey);
    }
    if (!after.isEmpty()) {
      entry.after = after;
      headers.put(
          "Runs-After",
          String.join(
              ", ",
              after.stream()
                  .map(each -> world.random().nextBoolean() ? each.name : each.id)
                  .toList()));
    }
    world.ask(
        edge,
        "POST",
        "/" + service + "/x",
        headers,
        entry.body,
        answer -> {
          answered(entry, answer);
          if (entry.acceptedUs < Long.MAX_VALUE) {
            kept.accept(entry);
          }
        });
    return entry;
  }

  void answered(HistoryChecker.Entry entry, Optional<Exchange.Answer> answer) {
    var status = answer.map(each -> each.code().status()).orElse(0);
    if (status == 202) {
      entry.acceptedUs = world.nowUs();
      entry.name = answer.get().headers().get(1);
    } else if (status == 503 || status == 429) {
      entry.promisedNotToRun = true;
      if (entry.firstStartUs < Long.MAX_VALUE) {
        checker.faults.add("REFUSED after a run " + entry.id);
      }
    }
  }

  String pulledOut = "";
  boolean newWorkers;
  private int workerTurn;
  long slowWorkerTimes = 1;
  long allSlowTimes = 1;

  void worker() {
    if (world.nowUs() >= stopWorkersUs) {
      return;
    }
    var number = workerTurn++ % 24;
    var name = number < 9 ? "w0" : "w" + number / 3;
    if (name.equals(pulledOut)) {
      world.after(1_000, this::worker);
      return;
    }
    var version = newWorkers && number % 4 == 0 ? "v2" : "v1";
    world.ask(
        anyEdge(),
        "POST",
        "/pull/quote",
        Map.of(
            "Host",
            "any",
            "Server-Id",
            name,
            "Server-Revision",
            version,
            "Wait-Ms",
            Long.toString(pullWaitMs)),
        new byte[0],
        answer -> {
          if (answer.isPresent() && answer.get().code() == ResultCode.FINE) {
            work(answer.get(), name, version);
          } else {
            world.after(answer.isPresent() ? 1_000 : 200_000, this::worker);
          }
        });
  }

  void work(Exchange.Answer job, String name, String version) {
    var headers = new HashMap<String, String>();
    for (var i = 0; i < job.headers().size(); i += 2) {
      headers.put(job.headers().get(i), job.headers().get(i + 1));
    }
    var entry = checker.entries.get(headers.get("Attempt-Id"));
    checker.handedOut(headers.get("Attempt-Id"));
    noteLease(headers.get("Attempt-Id"), headers.get("Lease"));
    assertThat(new String(job.body(), StandardCharsets.UTF_8)).isEqualTo("body of " + entry.id);
    assertThat(headers.get("Customer")).isEqualTo(entry.tenant);
    if (version.equals("v2") && checker.onNew(entry) && !checker.newHow.equals("fails")) {
      world.after(400_000, this::worker);
      return;
    }
    checker.starts(entry, world.nowUs());
    var fails =
        world.random().nextInt(failsOneIn) == 0
            || version.equals("v2") && checker.newHow.equals("fails");
    entry.endTried |= !fails;
    world.after(
        (50_000 + world.random().nextInt(400_000))
            * (name.equals("w5") ? slowWorkerTimes : allSlowTimes),
        () -> {
          if (name.equals(pulledOut)) {
            worker();
          } else {
            var lease = headers.get("Lease");
            var result = fails ? "500" : "200";
            end(new JobEnd(entry, headers.get("Attempt-Id"), lease, result, "seal-" + lease), 40);
          }
        });
  }

  private void noteLease(String id, String lease) {
    var attempt = Long.parseLong(lease.substring(lease.lastIndexOf('.') + 1));
    if (attempt < newestAttempts.merge(id, attempt, Math::max)) {
      staleLeases.add(id + " " + lease);
    }
  }

  /** What a worker says when it ends a job. */
  record JobEnd(
      HistoryChecker.Entry entry, String jobId, String lease, String result, String seal) {
    JobEnd with(String otherResult, String otherSeal) {
      return new JobEnd(entry, jobId, lease, otherResult, otherSeal);
    }
  }

  /** A worker's attempt fails once in so many. */
  int failsOneIn = 30;

  /** Share of the ends that come again once they have been taken. */
  double repeatedEnds;

  int endsRepeated;
  int endsAltered;

  void end(JobEnd end, int tries) {
    var entry = end.entry();
    entry.doneUs =
        end.result().equals("200") ? Math.min(entry.doneUs, world.nowUs()) : entry.doneUs;
    sendEnd(
        end,
        status -> {
          if (status == 200) {
            ended(entry, end.lease(), end.result(), end.seal());
            repeat(end);
          } else if (status != 409 && tries > 0) {
            world.after(200_000, () -> end(end, tries - 1));
            return;
          }
          worker();
        });
  }

  private void sendEnd(JobEnd end, Consumer<Integer> told) {
    var headers =
        Map.of(
            "Host",
            "any",
            "Lease",
            end.lease(),
            "Job-Result",
            end.result(),
            "Server-Seal",
            end.seal());
    world.ask(
        anyEdge(),
        "POST",
        "/job-end/" + end.jobId(),
        headers,
        new byte[0],
        answer -> told.accept(answer.map(each -> each.code().status()).orElse(0)));
  }

  private void repeat(JobEnd end) {
    if (repeatedEnds == 0 || world.random().nextDouble() >= repeatedEnds) {
      return;
    }
    var waitUs = world.random().nextInt(3) == 0 ? 1 : world.random().nextInt(20_000_000);
    var altered =
        world.random().nextBoolean()
            ? end.with(end.result().equals("200") ? "500" : "200", end.seal())
            : end.with(end.result(), end.seal() + "-other");
    world.after(waitUs, () -> sendEnd(end, status -> checkRepeat(end, status)));
    world.after(waitUs + 1_000_000, () -> sendEnd(altered, status -> checkAltered(end, status)));
  }

  private void checkRepeat(JobEnd end, int status) {
    endsRepeated += status == 200 ? 1 : 0;
    if (status != 200 && status != 503 && status != 0) {
      checker.faults.add("MIXED the end of " + end + " was taken, its repeat got " + status);
    }
  }

  private void checkAltered(JobEnd end, int status) {
    endsAltered += status == 409 ? 1 : 0;
    if (status == 200) {
      checker.faults.add("REUSE another end of " + end + " was taken");
    }
  }

  void ended(HistoryChecker.Entry entry, String lease, String result, String seal) {
    entry.endedLeases.add(lease + " " + result);
    if (result.equals("200")) {
      if (entry.successes > 0) {
        checker.faults.add("TWICE " + entry.id + " " + entry.endedLeases);
      }
      checker.succeeds(entry, seal, world.nowUs());
      entry.toldEnd = "finished";
    } else {
      entry.fails++;
    }
  }

  void retire(String node, List<ResultCode> codes) {
    world.leader().orElseThrow().control().retire(node, reply -> codes.add(reply.code()));
    run(SECOND / 2);
  }

  String readBack() {
    return asked(ControlNode::read);
  }

  private String asked(BiConsumer<ControlNode, Consumer<ControlNode.Reply>> call) {
    var found = new ArrayList<String>();
    call.accept(
        world.leader().orElseThrow().control(),
        reply -> found.add(new String(reply.body(), StandardCharsets.UTF_8)));
    run(SECOND / 5);
    assertThat(found).hasSize(1);
    return found.get(0);
  }

  String retireState(String node) {
    return asked((control, answer) -> control.retireState(node, answer));
  }

  void oneActs() {
    var seen = new HashMap<String, String>();
    world
        .upHosts("storage")
        .forEach(
            host ->
                host.storage()
                    .openEpochs()
                    .forEach(
                        (line, epoch) -> {
                          var other = seen.put(line + "@" + epoch, host.name);
                          assertWithMessage(
                                  "two primaries of partition " + line + " in epoch " + epoch)
                              .that(other)
                              .isNull();
                        }));
  }

  void run(long spanUs) {
    world.runFor(spanUs, this::oneActs);
  }

  Map<String, String> states() {
    var found = new HashMap<String, String>();
    checker.entries.values().stream()
        .filter(entry -> entry.acceptedUs < Long.MAX_VALUE)
        .forEach(entry -> look(entry, found, 5));
    run(15 * SECOND);
    return found;
  }

  void look(HistoryChecker.Entry entry, Map<String, String> found, int tries) {
    var headers = Map.of("Host", HistoryChecker.HOST, "Authorization", "Bearer " + key);
    world.ask(
        anyEdge(),
        "GET",
        "/message/" + (entry.byNameOnly || world.random().nextBoolean() ? entry.name : entry.id),
        headers,
        new byte[0],
        answer -> {
          if (answer.isPresent() && answer.get().code() == ResultCode.FINE) {
            found.put(entry.id, new String(answer.get().body(), StandardCharsets.UTF_8));
          } else if (tries > 0) {
            world.after(500_000, () -> look(entry, found, tries - 1));
          }
        });
  }

  void settle() {
    run(25 * SECOND);
    checker.clean();
    var states = states();
    for (var entry : checker.entries.values()) {
      if (entry.acceptedUs == Long.MAX_VALUE) {
        continue;
      }
      var state = states.getOrDefault(entry.id, "lost");
      if (state.contains("finished")) {
        var seal = state.replaceAll(".*\"Seal\":\"([^\"]*)\".*", "$1");
        assertWithMessage(entry.id + " " + state).that(entry.seals).contains(seal);
      } else if (state.contains("waiting") && mayBeUntold(entry)) {
        unconfirmed++;
      } else {
        assertWithMessage(entry.id + " " + entry.service + " " + state)
            .that(state)
            .contains("failed");
        assertWithMessage(entry.id + " said to be failed").that(entry.fails).isAtLeast(4);
      }
    }
    checker.clean();
    assertThat(unconfirmed).isAtMost(12);
    assertThat(checker.most(5 * SECOND)).isAtMost((long) (25 * 5 * 1.1 + 5));
  }

  private boolean mayBeUntold(HistoryChecker.Entry entry) {
    return entry.toldEnd.isEmpty() && powerLost && entry.endTried;
  }

  long accepted() {
    return checker.entries.values().stream()
        .filter(entry -> entry.acceptedUs < Long.MAX_VALUE)
        .count();
  }

  static Scenario trouble(long seed, long loadUs, Consumer<Scenario> faults) {
    return new Scenario(seed).trouble(loadUs, faults);
  }

  Scenario trouble(long loadUs, Consumer<Scenario> faults) {
    var play = up();
    play.load(loadUs);
    play.run(2 * SECOND);
    faults.accept(play);
    play.run(loadUs);
    play.settle();
    assertThat(play.accepted()).isGreaterThan(play.sent / 3);
    return play;
  }
}
