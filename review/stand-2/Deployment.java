import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The settings and configurations that the cases share, after the pages' examples. */
final class Deployment {
  static final String TIMING =
      "\"Survive\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},\"Timing\":{\"SeedDelayS\":3,"
          + "\"ReuseAfterS\":2,\"QuietMs\":4000,\"AckWithinMs\":5000,\"CatchUpS\":4.1,"
          + "\"DrainMs\":3000,\"GraceS\":6,\"LossSlackMs\":200,\"ApplyWithinMs\":3000,"
          + "\"RevertSlackMs\":250,\"MaxStretchMs\":12000,\"RevokedFail\":true,"
          + "\"RevokeWithinMs\":5000,\"QuotaWindowS\":5,\"QuotaExcess\":0.1,\"QuotaMargin\":20,"
          + "\"RecoveryS\":12,\"FinishByS\":10,\"StatusForS\":120,\"VisibleAfterMs\":3000,"
          + "\"EarlyByMs\":100,\"PeakWindowS\":5,\"PeakExcess\":1.1,\"RetryRatio\":0.2,"
          + "\"RetryWindowS\":10,\"ExtraRetries\":194}";

  static final String CAPS =
      "\"Caps\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderWaitMs\":3000,"
          + "\"IdleMs\":15000}";

  private Deployment() {}

  static String platform(String address, boolean functions) {
    return (functions ? "\"Rollout\":\"functions\"," : "")
        + "\"Caps\":{\"CpuShare\":0.75,\"CpuCores\":1,\"MemoryMb\":430,\"MaxFiles\":4100,"
        + "\"LinkMbps\":1000.0,\"DiskMb\":300},\"PlatformApi\":{\"Address\":\""
        + address
        + "\",\"RatePerS\":42.0,\"Duties\":[],\"MaxLagMs\":800,\"DutyRateS\":357.0},"
        + TIMING;
  }

  /** Three control nodes, and nodes of other roles, all started and ready. */
  static void start(Rig rig, String platform, boolean functions) throws IOException {
    for (var node : List.copyOf(rig.nodes.values())) {
      rig.start(node, platform(platform, functions));
    }
  }

  static void addControls(Rig rig) {
    for (var number = 1; number <= 3; number++) {
      rig.add("core-" + number, "control", number, "brest");
    }
  }

  /** Waits until some control node can read the configuration, so that there is a leader. */
  static void awaitControl(Rig rig) {
    rig.until(
        "a control node leads",
        30_000,
        () ->
            rig.nodes.values().stream()
                .filter(node -> node.role.equals("control"))
                .anyMatch(
                    node ->
                        Http.call(
                                    node.ip + ":" + Rig.CONTROL,
                                    "GET",
                                    "/Config.Read",
                                    List.of(),
                                    "",
                                    1000)
                                .status()
                            == 200));
  }

  static String messageRoute(String name, String prefix, String service, boolean inOrder) {
    return "{\"Name\":\"" + name + "\",\"Host\":\"lode17.example\",\"PathStart\":\"" + prefix
        + "\",\"Type\":\"background\",\"GiveUpMs\":1500,\"TargetMs\":100,\"Rank\":1,\"Backend\":\""
        + service + "\",\"Tries\":4,\"InOrder\":" + inOrder
        + ",\"KeepForS\":90.0,\"NotifyUrl\":false,\"StartTargetMs\":800,\"Public\":false}";
  }

  static String service(String name, boolean pull) {
    return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":"
        + "\"h1\",\"Tls\":false,\"RatePerS\":0.0,\"DropsRepeats\":false,\"WorkerPull\":" + pull
        + ",\"Endpoint\":null}";
  }

  static String functionRoute(String name, String prefix, String service, boolean safe) {
    return "{\"Name\":\"" + name + "\",\"Host\":\"fivo90.example\",\"PathStart\":\"" + prefix
        + "\",\"Type\":\"" + (safe ? "safe" : "unsafe")
        + "\",\"GiveUpMs\":6000,\"TargetMs\":800,\"Rank\":1,\"Backend\":\"" + service
        + "\",\"Tries\":" + (safe ? 2 : 1) + "}";
  }

  static String function(String name, int slots) {
    return "{\"Name\":\"" + name + "\",\"HealthPath\":null,\"MaxConns\":141,\"Protocol\":\"h1\","
        + "\"Tls\":false,\"MemoryMb\":512,\"StartupMs\":450,\"MaxInFlight\":" + slots + "}";
  }

  static String tenant(String name, String... keys) {
    var quoted = new ArrayList<String>();
    for (var key : keys) {
      quoted.add("\"" + key + "\"");
    }
    return "{\"Name\":\"" + name + "\",\"ApiKeys\":[" + String.join(",", quoted)
        + "],\"Rank\":1,\"RatePerS\":300,\"Burst\":300}";
  }

  static String configuration(
      int revision, List<String> routes, List<String> services, List<String> tenants) {
    return "{\"Revision\":" + revision + ",\"Routing\":[" + String.join(",", routes)
        + "],\"Backends\":[" + String.join(",", services) + "]," + CAPS + ",\"Customers\":["
        + String.join(",", tenants) + "]}";
  }
}
