package wellwheel.admission;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import wellwheel.admission.RequestAdmission.Admitted;
import wellwheel.admission.RequestAdmission.KeyRule;
import wellwheel.admission.RequestAdmission.Refused;
import wellwheel.cluster.ClusterLease;
import wellwheel.runtime.ManualClock;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;

/** Guards against requests that are let in although no key opens their route. */
class RequestAdmissionTest {
  private static final String CONTROL = "10.0.0.1";
  private static final long REVOKE_US = 5_000_000;
  private static final String BARE =
      "{\"Revision\":1,\"Routing\":["
          + route("/closed/", false)
          + ","
          + route("/open/", true)
          + "],\"Backends\":[{\"Name\":\"s\",\"MaxConns\":9,\"MemoryMb\":9,\"StartupMs\":9,\"MaxInFlight\":2}]";

  private final ManualClock clock = new ManualClock();
  private final ClusterLease lease =
      new ClusterLease(
          clock, (ip, frame) -> {}, "node#1", List.of(CONTROL), () -> Frame.of("claim"), () -> {});

  private static String route(String prefix, boolean open) {
    return "{\"Name\":\"r"
        + prefix
        + "\",\"Host\":\"h\",\"PathStart\":\""
        + prefix
        + "\",\"Type\":\"safe\",\"GiveUpMs\":4000,\"TargetMs\":500,\"Rank\":2,\"Backend\":\"s\",\"Tries\":2,\"Public\":"
        + open
        + "}";
  }

  private static String tenants(String... keys) {
    var list = keys.length == 0 ? "" : "\"" + String.join("\",\"", keys) + "\"";
    return ",\"Customers\":[{\"Name\":\"t\",\"ApiKeys\":["
        + list
        + "],\"RatePerS\":9,\"Burst\":9}]}";
  }

  private void hear(String configuration) {
    var frame =
        Frame.of("claim.ok")
            .with("sent", clock.nowUs)
            .with("core", clock.nowUs)
            .with("voters", List.<Object>of(CONTROL))
            .with("rev", 1)
            .with("config", configuration.getBytes(StandardCharsets.UTF_8));
    lease.onFrame(CONTROL, Frame.unpack(frame.pack()));
  }

  private String verdict(KeyRule rule, String target, String key) {
    var verdict =
        new RequestAdmission(lease, rule, REVOKE_US)
            .admit(new Request(target, Map.of("Host", "h", "Authorization", "Bearer " + key)));
    return verdict instanceof Refused refused
        ? refused.code().name()
        : "in" + ((Admitted) verdict).tenant().map(each -> " " + each.name()).orElse("");
  }

  private String call(String target, String key) {
    return verdict(KeyRule.WHERE_CONFIGURED, target, key);
  }

  private String handIn(String target, String key) {
    return verdict(KeyRule.ALWAYS, target, key);
  }

  private record Request(String target, Map<String, String> headers) implements Exchange {
    @Override
    public String method() {
      return "POST";
    }

    @Override
    public Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name));
    }

    @Override
    public byte[] body() {
      return new byte[0];
    }

    @Override
    public void answer(Answer answer) {}

    @Override
    public boolean open() {
      return true;
    }

    @Override
    public void onClose(Runnable task) {}
  }

  @Test
  void withoutAConfigurationNothingIsLetIn() {
    assertThat(call("/open/x", "k")).isEqualTo(ResultCode.NO_CLAIM.name());
    assertThat(handIn("/open/x", "k")).isEqualTo(ResultCode.NO_CLAIM.name());
  }

  @Test
  void callsNeedNoKeyOnlyIfTheConfigurationHasNoTenants() {
    hear(BARE + "}");
    assertThat(call("/closed/x", "")).isEqualTo("in");
    assertThat(handIn("/closed/x", "")).isEqualTo(ResultCode.NO_KEY.name());
    assertThat(handIn("/open/x", "")).isEqualTo("in");
    assertThat(call("/none/x", "")).isEqualTo(ResultCode.NO_PATH.name());
  }

  @Test
  void anEmptyListOfTenantsIsAListOfTenants() {
    hear(BARE + ",\"Customers\":[]}");
    assertThat(call("/closed/x", "")).isEqualTo(ResultCode.NO_KEY.name());
    assertThat(call("/open/x", "")).isEqualTo("in");
  }

  @Test
  void aTenantWithoutKeysOpensNothing() {
    hear(BARE + tenants());
    for (var key : List.of("", "k", "another")) {
      assertThat(call("/closed/x", key)).isEqualTo(ResultCode.NO_KEY.name());
      assertThat(handIn("/closed/x", key)).isEqualTo(ResultCode.NO_KEY.name());
    }
  }

  @Test
  void aKeyOpensForItsTenant() {
    hear(BARE + tenants("k"));
    assertThat(call("/closed/x", "k")).isEqualTo("in t");
    assertThat(handIn("/closed/x", "k")).isEqualTo("in t");
    assertThat(call("/closed/x", "other")).isEqualTo(ResultCode.NO_KEY.name());
  }

  @Test
  void keysCountOnlyWhileTheNodeIsInTouch() {
    hear(BARE + tenants("k"));
    clock.nowUs += REVOKE_US - 1_100_000;
    assertThat(call("/closed/x", "k")).isEqualTo("in t");
    clock.nowUs += 100_000;
    assertThat(call("/closed/x", "k")).isEqualTo(ResultCode.NO_CLAIM.name());
    assertThat(handIn("/closed/x", "k")).isEqualTo(ResultCode.NO_CLAIM.name());
  }

  @Test
  void callsOfADeploymentWithoutTenantsGoOnWhileItsNodeIsOutOfTouch() {
    hear(BARE + "}");
    clock.nowUs += 10 * REVOKE_US;
    assertThat(call("/closed/x", "")).isEqualTo("in");
  }
}
