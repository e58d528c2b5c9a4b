package wellwheel.functions;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import wellwheel.runtime.Clock;
import wellwheel.transport.PooledHttpClient;

/** The platform over its HTTP interface. An answer that cannot be read counts as none. */
final class HttpPlatform implements Platform {
  private static final System.Logger LOG = System.getLogger("platform");
  private static final long CALL_US = 1_500_000;
  private static final int CONNECTIONS = 8;
  private static final int PAGES_MOST = 200;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private final PooledHttpClient client;
  private final Clock clock;
  private final String address;
  private final String holder;
  private final long pageEveryUs;

  HttpPlatform(
      PooledHttpClient client, Clock clock, String address, String holder, double callsPerS) {
    this.client = client;
    this.clock = clock;
    this.address = address;
    this.holder = holder;
    this.pageEveryUs = (long) (1e6 / Math.max(1, callsPerS));
  }

  @Override
  public void start(String service, String worker, String key, long fence, Consumer<Start> done) {
    var body = new JsonObject();
    body.addProperty("Backend", service);
    body.addProperty("Machine", worker);
    body.addProperty("RepeatKey", key);
    order("/start", body, fence, answer -> done.accept(started(answer)));
  }

  private static Start started(PooledHttpClient.Answer answer) {
    if (answer.fate() == PooledHttpClient.Fate.ANSWERED && answer.status() == CONFLICT) {
      return new Start.NoRoom();
    }
    return json(answer)
        .<Start>map(
            root ->
                new Start.Begun(root.get("Id").getAsString(), root.get("Address").getAsString()))
        .orElseGet(Start.Unclear::new);
  }

  @Override
  public void stop(String id, long fence, Consumer<Boolean> done) {
    var body = new JsonObject();
    body.addProperty("Id", id);
    order(
        "/stop",
        body,
        fence,
        answer ->
            done.accept(
                answer.fate() == PooledHttpClient.Fate.ANSWERED
                    && (answer.status() == OK || answer.status() == NOT_FOUND)));
  }

  private void order(
      String target, JsonObject body, long fence, Consumer<PooledHttpClient.Answer> done) {
    client.call(
        new PooledHttpClient.Call(
            address,
            "POST",
            target,
            List.of(
                "Duty-Holder",
                holder,
                "Fence-Number",
                Long.toString(fence),
                "Content-Type",
                "application/json"),
            body.toString().getBytes(StandardCharsets.UTF_8),
            CALL_US,
            CONNECTIONS,
            ""),
        done);
  }

  @Override
  public void instances(Consumer<Optional<List<Listed>>> done) {
    page("", new ArrayList<>(), 0, done);
  }

  private void page(
      String token, List<Listed> found, int pages, Consumer<Optional<List<Listed>>> done) {
    var query =
        token.isEmpty() ? "" : "?PageToken=" + URLEncoder.encode(token, StandardCharsets.UTF_8);
    get(
        "/servers" + query,
        answer -> {
          var root = json(answer);
          if (root.isEmpty() || pages >= PAGES_MOST) {
            done.accept(Optional.empty());
            return;
          }
          for (var item : root.get().getAsJsonArray("Servers")) {
            found.add(listed(item.getAsJsonObject()));
          }
          var next = text(root.get(), "NextToken");
          if (next.isEmpty()) {
            done.accept(Optional.of(found));
          } else {
            clock.after(pageEveryUs, () -> page(next, found, pages + 1, done));
          }
        });
  }

  private static Listed listed(JsonObject item) {
    return new Listed(
        item.get("Id").getAsString(),
        item.get("Backend").getAsString(),
        item.get("Address").getAsString(),
        text(item, "Zone"),
        text(item, "Machine"),
        !text(item, "State").equals("ready"));
  }

  @Override
  public void workers(Consumer<Optional<List<Worker>>> done) {
    get("/workers", answer -> done.accept(json(answer).map(HttpPlatform::workers)));
  }

  private static List<Worker> workers(JsonObject root) {
    var found = new ArrayList<Worker>();
    for (var item : root.getAsJsonArray("WorkerMachines")) {
      var worker = item.getAsJsonObject();
      found.add(
          new Worker(
              worker.get("Name").getAsString(),
              text(worker, "Zone"),
              worker.get("MemoryLeftMb").getAsInt(),
              text(worker, "State").equals("ready")));
    }
    return found;
  }

  private void get(String target, Consumer<PooledHttpClient.Answer> done) {
    client.call(
        new PooledHttpClient.Call(
            address,
            "GET",
            target,
            List.of("Accept", "application/json"),
            new byte[0],
            CALL_US,
            CONNECTIONS,
            ""),
        done);
  }

  private static Optional<JsonObject> json(PooledHttpClient.Answer answer) {
    if (answer.fate() != PooledHttpClient.Fate.ANSWERED || answer.status() != OK) {
      return Optional.empty();
    }
    try {
      return Optional.of(JsonParser.parseString(new String(answer.body(), StandardCharsets.UTF_8)))
          .filter(JsonElement::isJsonObject)
          .map(JsonElement::getAsJsonObject);
    } catch (RuntimeException e) {
      LOG.log(System.Logger.Level.WARNING, "an answer of the platform cannot be read", e);
      return Optional.empty();
    }
  }

  private static String text(JsonObject from, String field) {
    return from.has(field) && !from.get(field).isJsonNull() ? from.get(field).getAsString() : "";
  }
}
