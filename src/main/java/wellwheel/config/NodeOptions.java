package wellwheel.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A node's options file, checked. Times are in microseconds. */
public record NodeOptions(
    String node,
    String ip,
    String zone,
    String front,
    String ready,
    String control,
    int innerPort,
    List<String> seeds,
    boolean firstBoot,
    String dataDir,
    int survive,
    long revokeUs,
    long applyUs,
    long windowUs,
    long visibleUs,
    long statusUs,
    long graceUs,
    String platform,
    double platformPerS,
    int maxFiles,
    double channelPerS,
    long syncUs,
    boolean watch,
    int surviveZones,
    History history,
    Receipts receipts,
    Functions functions) {

  private static final double DEFAULT_KEY_WINDOW_S = 60;
  private static final double DEFAULT_KEEP_ALIVE_S = 1.5;
  private static final double DEFAULT_RETRY_RATIO = 0.1;
  private static final double DEFAULT_RETRY_WINDOW_S = 10;
  private static final double DEFAULT_KEY_WAIT_MS = 10_000;
  private static final double DEFAULT_RECEIPTS_MOST = 200_000;

  /** A try may arrive so long after it was sent: the longest wait and some delay on the way. */
  private static final double KEY_ARRIVAL_SLACK_S = 30;

  /** Whether and in which intervals the node counts what its queues go through. */
  public record History(boolean enabled, long intervalUs, long flushUs) {}

  /**
   * Bounds of the receipts for idempotency keys.
   *
   * @param waitUs the longest that an edge node holds a request that carries a key, from its
   *     arrival; the client's own limit counts if it is shorter
   * @param keepUs how long a key is remembered at least, from the arrival of the first try
   * @param most receipts that one storage node may hold; above that new keys are refused
   */
  public record Receipts(long waitUs, long keepUs, int most) {}

  /**
   * Bounds for functions, whose instances the system starts itself.
   *
   * @param deployed whether this is a deployment of functions
   * @param keepAliveUs how long an instance without work is kept
   * @param retryRatio part of the requests that may be sent to a second instance
   * @param retrySlack how many more, over all nodes and in each window
   * @param retryWindowUs the window of both
   * @param startsPerS the most starts and stops a second that the platform takes
   */
  public record Functions(
      boolean deployed,
      long keepAliveUs,
      double retryRatio,
      double retrySlack,
      long retryWindowUs,
      double startsPerS) {}

  /** An options file that cannot be used, and why. */
  public static final class Unusable extends Exception {
    Unusable(String why) {
      super(why);
    }
  }

  /** Where the options file is. */
  public static Path path() {
    return Path.of(
        Optional.ofNullable(System.getenv("WELLWHEEL_CONFIG")).orElse("/etc/wellwheel/local.json"));
  }

  public static NodeOptions load() throws Unusable {
    var path = path();
    try {
      return read(Files.readString(path));
    } catch (IOException e) {
      throw new Unusable("cannot read " + path);
    }
  }

  public static NodeOptions read(String text) throws Unusable {
    try {
      var root = JsonParser.parseString(text).getAsJsonObject();
      var listen = part(root, "ListenOn");
      var timing = part(root, "Timing");
      var platform = part(root, "PlatformApi");
      var ip = need(root, "Ip").getAsString();
      var control = word(listen, "Control", "");
      var seeds = new ArrayList<String>();
      need(root, "SeedNodes").getAsJsonArray().forEach(item -> seeds.add(item.getAsString()));
      return new NodeOptions(
          need(root, "NodeName").getAsString(),
          ip,
          need(root, "Zone").getAsString(),
          word(listen, "FrontHttp", ""),
          word(listen, "Readiness", ""),
          control,
          need(root, "InternalPorts").getAsJsonArray().get(0).getAsInt(),
          List.copyOf(seeds),
          root.has("FirstBoot") && root.get("FirstBoot").getAsBoolean(),
          word(root, "DataDir", ""),
          (int) amount(part(root, "Survive"), "Machines", 1),
          us(timing, "RevokeWithinMs", 5000),
          us(timing, "ApplyWithinMs", 3000),
          (long) (amount(timing, "QuotaWindowS", 5) * 1e6),
          us(timing, "VisibleAfterMs", 3000),
          (long) (amount(timing, "StatusForS", 120) * 1e6),
          (long) (amount(timing, "GraceS", 6) * 1e6),
          word(platform, "Address", ""),
          amount(platform, "RatePerS", 1),
          (int) amount(part(root, "Caps"), "MaxFiles", 4096),
          amount(part(root, "Admission"), "ChannelPerS", 500),
          us(part(root, "Admission"), "SyncEveryMs", 100),
          part(root, "Watch").has("Enabled") && part(root, "Watch").get("Enabled").getAsBoolean(),
          (int) amount(part(root, "Survive"), "Zones", 0),
          history(part(root, "History")),
          receipts(part(root, "Receipts"), timing),
          functions(root, timing, platform));
    } catch (RuntimeException e) {
      throw new Unusable("the options file is not usable: " + e.getMessage());
    }
  }

  private static History history(JsonObject from) {
    var found =
        new History(
            from.has("Enabled") && from.get("Enabled").getAsBoolean(),
            (long) (amount(from, "IntervalS", 3600) * 1e6),
            (long) (amount(from, "FlushS", 60) * 1e6));
    if (found.intervalUs < 1_000_000
        || found.intervalUs > 86_400_000_000L
        || found.flushUs < 500_000
        || found.flushUs > found.intervalUs) {
      throw new IllegalArgumentException(
          "History: IntervalS is 1 to 86400, FlushS 0.5 to IntervalS");
    }
    return found;
  }

  private static Receipts receipts(JsonObject from, JsonObject timing) {
    var windowS = amount(timing, "KeyWindowS", DEFAULT_KEY_WINDOW_S);
    var found =
        new Receipts(
            us(from, "WaitMs", DEFAULT_KEY_WAIT_MS),
            (long) (amount(from, "KeepS", windowS + KEY_ARRIVAL_SLACK_S) * 1e6),
            (int) amount(from, "Most", DEFAULT_RECEIPTS_MOST));
    if (found.waitUs < 100_000
        || found.waitUs > 60_000_000
        || found.keepUs < windowS * 1e6
        || found.keepUs > 86_400_000_000L
        || found.most < 1) {
      throw new IllegalArgumentException(
          "Receipts: WaitMs is 100 to 60000, KeepS Timing.KeyWindowS to 86400, Most 1 at least");
    }
    return found;
  }

  private static Functions functions(JsonObject root, JsonObject timing, JsonObject platform) {
    var from = part(root, "Functions");
    var found =
        new Functions(
            word(root, "Rollout", "").equals("functions"),
            (long) (amount(from, "KeepAliveS", DEFAULT_KEEP_ALIVE_S) * 1e6),
            amount(timing, "RetryRatio", DEFAULT_RETRY_RATIO),
            amount(timing, "ExtraRetries", 0),
            (long) (amount(timing, "RetryWindowS", DEFAULT_RETRY_WINDOW_S) * 1e6),
            amount(platform, "DutyRateS", 1));
    if (found.keepAliveUs < 0 || found.keepAliveUs > 86_400_000_000L) {
      throw new IllegalArgumentException("Functions: KeepAliveS is 0 to 86400");
    }
    return found;
  }

  private static JsonElement need(JsonObject from, String field) {
    if (!from.has(field) || from.get(field).isJsonNull()) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return from.get(field);
  }

  private static JsonObject part(JsonObject from, String field) {
    return from.has(field) && from.get(field).isJsonObject()
        ? from.getAsJsonObject(field)
        : new JsonObject();
  }

  private static String word(JsonObject from, String field, String otherwise) {
    return from.has(field) && !from.get(field).isJsonNull()
        ? from.get(field).getAsString()
        : otherwise;
  }

  private static double amount(JsonObject from, String field, double otherwise) {
    return from.has(field) && !from.get(field).isJsonNull()
        ? from.get(field).getAsDouble()
        : otherwise;
  }

  private static long us(JsonObject from, String field, double otherwiseMs) {
    return Math.round(amount(from, field, otherwiseMs) * 1000);
  }

  public static String hostOf(String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }

  public static int portOf(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }
}
