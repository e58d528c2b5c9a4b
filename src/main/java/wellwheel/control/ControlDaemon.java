package wellwheel.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wellwheel.cluster.ClusterView;
import wellwheel.config.Configuration;
import wellwheel.functions.Scaler;
import wellwheel.functions.ScalerDaemon;
import wellwheel.runtime.NodeRuntime;
import wellwheel.runtime.ResultCode;
import wellwheel.storage.FileDisk;
import wellwheel.storage.Journal;
import wellwheel.transport.Exchange;
import wellwheel.transport.HttpServer;
import wellwheel.transport.Links;
import wellwheel.transport.PooledHttpClient;

/** Binds the control node to sockets, disk and the platform, and serves operators over HTTP. */
public final class ControlDaemon {
  private static final System.Logger LOG = System.getLogger("control");
  private static final long TICK_US = 50_000;
  private static final long POLL_US = 900_000;
  private static final long LEAVE_MOST_US = 4_000_000;
  private static final long END_MARGIN_US = 1_500_000;
  private static final long LEAVE_CHECK_US = 20_000;
  private static final long LAST_CALLS_US = 150_000;
  private static final long LAST_ANSWERS_US = 30_000;
  private static final int BAD_STATE_STATUS = 79;
  private static final int PAGES_MOST = 200;
  private static final Configuration.Caps CAPS =
      new Configuration.Caps(16384, 8 << 20, 5_000_000, 30_000_000);
  private final NodeRuntime nodeRuntime;
  private final ControlNode node;
  private final PooledHttpClient caller;
  private final HttpServer operators;
  private Optional<Scaler> scaler = Optional.empty();
  private boolean polling;
  private boolean leaving;
  private boolean ending;
  private long lastPollUs;
  private long leftUs;

  public ControlDaemon(NodeRuntime nodeRuntime) throws InterruptedException {
    this.nodeRuntime = nodeRuntime;
    var options = nodeRuntime.options();
    var links =
        new Links(options.ip(), options.innerPort(), nodeRuntime.loop(), nodeRuntime.clock());
    var disk =
        new FileDisk(Path.of(nodeRuntime.dataDir().orElse("/tmp/wellwheel")), nodeRuntime.loop());
    caller = new PooledHttpClient(nodeRuntime.loop(), nodeRuntime.clock());
    node =
        new ControlNode(options, nodeRuntime.clock(), links, disk, new SecureRandom().nextLong());
    node.onBroken(ControlDaemon::stop);
    links.open(node);
    operators =
        new HttpServer(nodeRuntime.loop(), nodeRuntime.clock(), () -> CAPS, 512, this::serve);
    operators.open(options.control());
    operators.watch();
    nodeRuntime.clock().every(TICK_US, node::tick);
    nodeRuntime.clock().every(1_000_000, node::learn);
    if (options.functions().deployed()) {
      var started = ScalerDaemon.start(nodeRuntime, links, node);
      node.onOther(started::onFrame);
      scaler = Optional.of(started);
    } else {
      nodeRuntime.clock().every(100_000, this::poll);
    }
    nodeRuntime.onSeeds(node::seedsAre);
    nodeRuntime.onTerm(this::leave);
    LOG.log(System.Logger.Level.INFO, "control node " + options.node() + " is up");
  }

  public static void main(String[] arguments) throws InterruptedException {
    var nodeRuntime = NodeRuntime.start();
    try {
      new ControlDaemon(nodeRuntime);
    } catch (Journal.Unreadable e) {
      stop(e.code(), e.getMessage());
    } catch (IllegalArgumentException | IllegalStateException e) {
      stop(e.getMessage());
    }
  }

  private static void stop(String why) {
    stop(ResultCode.BAD_STATE, why);
  }

  private static void stop(ResultCode code, String why) {
    LOG.log(System.Logger.Level.ERROR, "code=" + code.number() + " " + why);
    System.out.flush();
    Runtime.getRuntime().halt(BAD_STATE_STATUS);
  }

  private void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    leftUs = nodeRuntime.clock().steadyUs();
    var mostUs = Math.min(LEAVE_MOST_US, nodeRuntime.options().graceUs() - END_MARGIN_US);
    nodeRuntime
        .clock()
        .every(
            LEAVE_CHECK_US,
            () -> {
              var late = nodeRuntime.clock().steadyUs() - leftUs > mostUs;
              if (!ending && (node.raft().leave() || late)) {
                ending = true;
                nodeRuntime.clock().after(LAST_CALLS_US, this::end);
              }
            });
  }

  /** Ends the process; calls that are still under way get an answer that promises nothing. */
  private void end() {
    operators.answerOpen();
    nodeRuntime.clock().after(LAST_ANSWERS_US, nodeRuntime::end);
  }

  private void serve(Exchange exchange) {
    var segments = exchange.target().split("\\?", 2)[0].split("/", -1);
    var call = exchange.method() + " " + (segments.length > 1 ? segments[1] : "");
    var node = segments.length == 3 ? segments[2] : "";
    switch (call) {
      case "POST Config.Replace" ->
          this.node.replace(exchange.body(), base(exchange), reply -> answer(exchange, reply));
      case "POST Config.Update" ->
          this.node.update(exchange.body(), base(exchange), reply -> answer(exchange, reply));
      case "GET Config.Read" -> this.node.read(reply -> answer(exchange, reply));
      case "POST Retire.Start" -> {
        if (soundOrder(exchange)) {
          this.node.retire(node, reply -> answer(exchange, reply));
        } else {
          exchange.answer(Exchange.Answer.of(ResultCode.BAD_REQUEST));
        }
      }
      case "GET Retire.Read" -> this.node.retireState(node, reply -> answer(exchange, reply));
      case "GET Nodes.Read" -> answer(exchange, this.node.nodes());
      case "GET Lines.Read" -> answer(exchange, this.node.partitionsNow());
      case "GET History.Read" -> history(exchange);
      case "GET Warnings.Read" -> this.node.warnings(false, reply -> answer(exchange, reply));
      case "GET Steps.Failed" -> this.node.warnings(true, reply -> answer(exchange, reply));
      case "GET Steps.Read" -> this.node.steps(node, reply -> answer(exchange, reply));
      case "POST Steps.Release", "POST Steps.Drop" ->
          this.node.decideStep(
              node, segments[1].equals("Steps.Drop"), reply -> answer(exchange, reply));
      case "GET Functions.Read" -> functions(exchange);
      case "GET Receipts.Read" -> receipts(exchange);
      case "GET Shift.Read" -> answer(exchange, this.node.shiftState(node));
      case "POST Shift.Set",
          "POST Shift.Start",
          "POST Shift.Hold",
          "POST Shift.Resume",
          "POST Shift.Revert" ->
          this.node.rollout(
              segments[1].substring("Shift.".length()),
              node,
              base(exchange),
              exchange.body(),
              reply -> answer(exchange, reply));
      case "GET ready" -> exchange.answer(Exchange.Answer.of(ResultCode.FINE));
      default -> exchange.answer(Exchange.Answer.of(ResultCode.NO_PATH));
    }
  }

  private void functions(Exchange exchange) {
    answer(
        exchange,
        scaler.isEmpty()
            ? ControlNode.Reply.of(ResultCode.NO_SERVICE, "this is no deployment of functions")
            : node.elsewhere("/Functions.Read")
                .orElseGet(() -> ControlNode.Reply.json(scaler.get().state())));
  }

  private void receipts(Exchange exchange) {
    var query = new QueryStringDecoder(exchange.target()).parameters();
    var question =
        new ReceiptGather.Question(one(query, "tenant"), one(query, "service"), one(query, "key"));
    this.node.receipts(question, exchange.target(), reply -> answer(exchange, reply));
  }

  private static String one(Map<String, List<String>> query, String name) {
    return query.getOrDefault(name, List.of("")).get(0);
  }

  private void history(Exchange exchange) {
    var range = exchange.target().replaceFirst("^[^?]*\\??", "");
    if (!range.matches("from=[0-9]{1,18}&to=[0-9]{1,18}")) {
      answer(
          exchange,
          ControlNode.Reply.of(ResultCode.BAD_RANGE, "from and to are whole microseconds"));
      return;
    }
    var parts = range.split("[=&]");
    node.history(
        Long.parseLong(parts[1]), Long.parseLong(parts[3]), reply -> answer(exchange, reply));
  }

  private static boolean soundOrder(Exchange exchange) {
    try {
      var body = new String(exchange.body(), StandardCharsets.UTF_8);
      var overS = JsonParser.parseString(body).getAsJsonObject().get("OverS");
      return overS == null || overS.getAsDouble() >= 0;
    } catch (RuntimeException e) {
      return false;
    }
  }

  private static Optional<Long> base(Exchange exchange) {
    return exchange
        .header("Based-On-Version")
        .map(String::trim)
        .filter(text -> text.matches("[0-9]{1,18}"))
        .map(Long::parseLong);
  }

  private static void answer(Exchange exchange, ControlNode.Reply reply) {
    var answer =
        reply.code() == ResultCode.NO_LEADER
            ? Exchange.Answer.later(reply.code(), 1)
            : Exchange.Answer.of(reply.code());
    if (!reply.location().isEmpty()) {
      answer = Exchange.Answer.of(reply.code(), "Location", reply.location());
    }
    exchange.answer(
        reply.body().length > 0 ? answer.with("application/json", reply.body()) : answer);
  }

  private void poll() {
    var nowUs = nodeRuntime.clock().steadyUs();
    if (polling
        || nodeRuntime.options().platform().isEmpty()
        || nowUs - lastPollUs < POLL_US
        || !node.wantsRoster()) {
      return;
    }
    polling = true;
    lastPollUs = nowUs;
    page("", new ArrayList<>(), 0);
  }

  private void page(String token, List<ClusterView.Processor> found, int pages) {
    var target =
        "/servers"
            + (token.isEmpty()
                ? ""
                : "?PageToken=" + URLEncoder.encode(token, StandardCharsets.UTF_8));
    caller.call(
        new PooledHttpClient.Call(
            nodeRuntime.options().platform(),
            "GET",
            target,
            List.of("Accept", "application/json"),
            new byte[0],
            1_500_000,
            2,
            ""),
        answer -> {
          polling = false;
          if (answer.fate() != PooledHttpClient.Fate.ANSWERED || answer.status() != 200) {
            LOG.log(
                System.Logger.Level.WARNING,
                "the platform's list did not come: " + answer.fate() + " " + answer.status());
            return;
          }
          try {
            var root =
                JsonParser.parseString(new String(answer.body(), StandardCharsets.UTF_8))
                    .getAsJsonObject();
            root.getAsJsonArray("Servers")
                .forEach(item -> found.add(processor(item.getAsJsonObject())));
            var next =
                root.has("NextToken") && !root.get("NextToken").isJsonNull()
                    ? root.get("NextToken").getAsString()
                    : "";
            if (!next.isEmpty() && pages < PAGES_MOST) {
              polling = true;
              nodeRuntime
                  .clock()
                  .after(
                      (long) (1e6 / Math.max(1, nodeRuntime.options().platformPerS())),
                      () -> page(next, found, pages + 1));
            } else {
              node.roster(found);
            }
          } catch (RuntimeException e) {
            LOG.log(
                System.Logger.Level.WARNING,
                "the platform's list cannot be read: " + e.getMessage());
          }
        });
  }

  private static ClusterView.Processor processor(JsonObject item) {
    return new ClusterView.Processor(
        item.get("Id").getAsString(),
        item.get("Backend").getAsString(),
        item.get("Address").getAsString(),
        item.get("Zone").getAsString(),
        item.get("Capacity").getAsInt(),
        !item.get("State").getAsString().equals("ready"),
        item.get("ColdLeftMs").getAsLong() * 1000,
        item.has("Revision") && !item.get("Revision").isJsonNull()
            ? item.get("Revision").getAsString()
            : "");
  }
}
