import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** An operator puts an older configuration, byte for byte, on top of the newest one. */
final class OldConfig {
  private OldConfig() {}

  public static void main(String[] arguments) throws Exception {
    var stand = new Stand(Path.of(arguments[0]));
    var code = 2;
    try {
      code = run(stand);
    } finally {
      stand.note("exit " + code);
      Runtime.getRuntime().exit(code);
    }
  }

  private static String config(int revision, String prefix) {
    return "{\"Revision\":" + revision + ",\"Routing\":[{\"Name\":\"r\",\"Host\":\"lode.example\","
        + "\"PathStart\":\"" + prefix + "\",\"Type\":\"background\",\"GiveUpMs\":1500,"
        + "\"TargetMs\":80,\"Rank\":2,\"Backend\":\"s\",\"Tries\":6,\"InOrder\":false,"
        + "\"KeepForS\":90.0,\"NotifyUrl\":false,\"StartTargetMs\":800,\"Public\":false}],"
        + "\"Backends\":[{\"Name\":\"s\",\"HealthPath\":\"/health\",\"MaxConns\":100,"
        + "\"Protocol\":\"h1\",\"Tls\":false,\"RatePerS\":0.0,\"DropsRepeats\":false,"
        + "\"WorkerPull\":true,\"Endpoint\":null}],\"Caps\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":262144,\"HeaderWaitMs\":3000,\"IdleMs\":15000},\"Customers\":[{"
        + "\"Name\":\"t\",\"ApiKeys\":[\"key\"],\"Rank\":1,\"RatePerS\":90,\"Burst\":90}]}";
  }

  private static int put(Stand stand, int base, String config) throws InterruptedException {
    var status =
        stand
            .operate(
                "POST",
                "/Config.Replace",
                List.of("Based-On-Version", "" + base, "Content-Type", "application/json"),
                config.getBytes(StandardCharsets.UTF_8),
                60)
            .status();
    var revision = config.substring(config.indexOf(':') + 1, config.indexOf(','));
    stand.note("Revision " + revision + " on top of version " + base + ": " + status);
    return status;
  }

  private static int run(Stand stand) throws Exception {
    for (var zone : List.of("brest", "rennes", "quimper")) {
      stand.add("core-" + zone, "control", zone);
    }
    stand.startAll();
    if (put(stand, 0, config(1, "/a/")) != 200 || put(stand, 1, config(3, "/b/")) != 200) {
      return 2;
    }
    var newest = 3;
    var taken = Stand.TROUBLE ? put(stand, 3, config(1, "/a/")) : 400;
    var read = stand.operate("GET", "/Config.Read", List.of(), new byte[0], 30);
    stand.note("read back: " + read.status() + " " + read.text());
    if (read.status() != 200) {
      return 2;
    }
    var kept = read.text().contains("\"Revision\":" + newest);
    stand.note(
        (taken == 200 ? "the invalid configuration was acknowledged" : "nothing invalid was taken")
            + (kept ? "; in force is still Revision 3" : "; in force is another one"));
    return taken == 200 || !kept ? 1 : 0;
  }
}
