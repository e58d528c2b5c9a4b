package wellwheel.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import wellwheel.transport.Exchange;

/**
 * Clients that name their operations with keys: several tries through different edge nodes, at the
 * same instant, after an acceptance and after every kind of failure; now and then another request
 * under the same key. The checker judges the whole history of each key.
 */
final class KeyedOperations {
  private static final long SECOND = Scenario.SECOND;
  private static final int TRIES_MOST = 12;
  private static final List<String> SERVICES = List.of("quote", "book", "carrier", "notice");

  /** One operation: all its tries ask for the same. */
  final class Operation {
    final HistoryChecker.Entry entry;
    final String key;
    final String service;
    final String orderKey;
    final String target;
    final Set<String> tryIds = new HashSet<>();
    final Set<String> names = new HashSet<>();
    final Set<String> otherIds = new HashSet<>();
    int open;
    int refusals;
    boolean everUnclear;

    Operation(String service, String orderKey) {
      this.service = service;
      this.orderKey = orderKey;
      this.target = "/" + service + "/x";
      this.key = "operation-" + operations.size();
      var inOrder = service.equals("book");
      entry =
          new HistoryChecker.Entry(
              "k" + operations.size(), service, inOrder ? orderKey : "", nowUs());
      entry.byNameOnly = true;
      if (inOrder) {
        play.checker.byKey.computeIfAbsent(orderKey, each -> new ArrayList<>()).add(entry);
      }
    }

    boolean accepted() {
      return !names.isEmpty();
    }
  }

  final Scenario play;
  final List<Operation> operations = new ArrayList<>();
  final List<String> faults = new ArrayList<>();
  int replays;
  int reuseRefused;
  int othersAccepted;
  private long untilUs;
  private int lastTry;

  /** Whether operations on unordered paths name an order key as well. */
  boolean orderKeysEverywhere;

  KeyedOperations(Scenario play) {
    this.play = play;
  }

  private long nowUs() {
    return play.world.nowUs();
  }

  private int random(int most) {
    return play.world.random().nextInt(most);
  }

  /** Begins new operations for so long, some forty a second. */
  void load(long spanUs) {
    untilUs = nowUs() + spanUs;
    next();
  }

  /** Begins no further operations. */
  void stop() {
    untilUs = 0;
  }

  private void next() {
    if (nowUs() >= untilUs) {
      return;
    }
    var service = SERVICES.get(random(SERVICES.size()));
    if (!service.equals("carrier") || random(3) == 0) {
      begin(service);
    }
    play.world.after(10_000 + random(30_000), this::next);
  }

  private void begin(String service) {
    var ordered = service.equals("book") || orderKeysEverywhere;
    var operation = new Operation(service, ordered ? "keyed-thing-" + random(8) : "");
    operations.add(operation);
    var atOnce = random(4) == 0 ? 2 + random(2) : 1;
    for (var copy = 0; copy < atOnce; copy++) {
      send(operation);
    }
  }

  /** Sends one more try of the operation. */
  void send(Operation operation) {
    if (operation.tryIds.size() >= TRIES_MOST) {
      return;
    }
    var id = "t" + lastTry++;
    operation.tryIds.add(id);
    operation.open++;
    play.checker.entries.put(id, operation.entry);
    var headers = headers(operation, id);
    play.world.ask(
        play.anyEdge(),
        "POST",
        operation.target,
        headers,
        operation.entry.body,
        answer -> answered(operation, id, answer));
  }

  private HashMap<String, String> headers(Operation operation, String id) {
    var headers = new HashMap<String, String>();
    headers.put("Host", HistoryChecker.HOST);
    headers.put("Attempt-Id", id);
    headers.put("Authorization", "Bearer " + play.key);
    headers.put("Time-Left-Ms", "1200");
    headers.put("Operation-Key", operation.key);
    if (!operation.orderKey.isEmpty()) {
      headers.put("Order-Key", operation.orderKey);
    }
    return headers;
  }

  private void answered(Operation operation, String id, Optional<Exchange.Answer> answer) {
    operation.open--;
    var status = answer.map(each -> each.code().status()).orElse(0);
    switch (status) {
      case 202 -> accepted(operation, answer.orElseThrow());
      case 503, 429 -> {
        operation.refusals++;
        play.checker.refused(id);
      }
      case 409 -> faults.add("the same request is called another one: " + operation.key);
      default -> operation.everUnclear = true;
    }
    if (status != 202) {
      play.world.after(50_000 + random(400_000), () -> send(operation));
    }
  }

  private void accepted(Operation operation, Exchange.Answer answer) {
    var name = answer.headers().get(answer.headers().indexOf("Message-Name") + 1);
    replays += operation.accepted() ? 1 : 0;
    operation.names.add(name);
    operation.entry.name = name;
    operation.entry.acceptedUs = Math.min(operation.entry.acceptedUs, nowUs());
    if (operation.names.size() > 1) {
      faults.add("two names for " + operation.key + ": " + operation.names);
    }
    if (random(5) == 0) {
      play.world.after(random(3) == 0 ? 1 : random(40_000_000), () -> send(operation));
    }
    if (random(6) == 0) {
      play.world.after(random(20_000_000), () -> sendOther(operation));
    }
  }

  /** Another request under the key of an accepted operation. */
  private void sendOther(Operation operation) {
    var id = "o" + lastTry++;
    operation.otherIds.add(id);
    play.checker.entries.put(id, operation.entry);
    var headers = headers(operation, id);
    var target = operation.target;
    var body = operation.entry.body;
    switch (random(3)) {
      case 0 -> body = ("other " + id).getBytes(StandardCharsets.UTF_8);
      case 1 -> target = "/" + operation.service + "/other";
      default -> headers.put("Order-Key", "another-thing-" + random(50));
    }
    play.world.ask(
        play.anyEdge(),
        "POST",
        target,
        headers,
        body,
        answer -> {
          var status = answer.map(each -> each.code().status()).orElse(0);
          reuseRefused += status == 409 ? 1 : 0;
          if (status == 202) {
            faults.add("another request was accepted under " + operation.key);
          }
        });
  }

  /** Judges every key on the whole history. */
  List<String> judge() {
    var found = new ArrayList<>(faults);
    for (var operation : operations) {
      var ran = operation.tryIds.stream().filter(play.checker.startedIds::contains).toList();
      if (ran.size() > 1) {
        found.add("TWICE " + operation.key + " ran as " + ran);
      }
      operation.otherIds.stream()
          .filter(play.checker.startedIds::contains)
          .forEach(id -> found.add("UNASKED " + id + " ran under " + operation.key));
    }
    return found;
  }

  long accepted() {
    return operations.stream().filter(Operation::accepted).count();
  }
}
