package wellwheel.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationPatchTest {
  private static final String WHOLE =
      "{\"Revision\":3,\"Routing\":["
          + route("one", "/one/", "s")
          + ","
          + route("two", "/two/", "s")
          + "],\"Backends\":["
          + service("s", 4)
          + "],\"Caps\":{\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":99,\"HeaderWaitMs\":3000,\"IdleMs\":15000}}";

  private static String route(String name, String prefix, String service) {
    return "{\"Name\":\""
        + name
        + "\",\"Host\":\"H.example\",\"PathStart\":\""
        + prefix
        + "\",\"Type\":\"safe\",\"GiveUpMs\":4000,\"TargetMs\":500,\"Rank\":2,\"Backend\":\""
        + service
        + "\",\"Tries\":2}";
  }

  private static String service(String name, int slots) {
    return "{\"Name\":\""
        + name
        + "\",\"HealthPath\":null,\"MaxConns\":141,\"MemoryMb\":512,\"StartupMs\":450,\"MaxInFlight\":"
        + slots
        + "}";
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void aPatchMakesTheSameOfTheWholeTextAndOfWhatWasRead() throws Exception {
    var patch =
        "{\"Revision\":9,\"PutItems\":{\"Routing\":["
            + route("two", "/other/", "t")
            + ","
            + route("three", "/three/", "s")
            + "],\"Backends\":["
            + service("t", 1)
            + "]},\"RemoveNames\":{\"Routing\":[\"one\",\"unknown\"]}}";
    var read = Configuration.read(bytes(WHOLE)).patched(bytes(patch));
    var text = Configuration.read(ConfigurationPatch.apply(bytes(WHOLE), bytes(patch)));
    for (var each : java.util.List.of(read, text)) {
      assertThat(each.revision()).isEqualTo(9);
      assertThat(each.path("h.example", "/one/x").isPresent()).isFalse();
      assertThat(each.path("h.example", "/two/x").isPresent()).isFalse();
      assertThat(each.path("h.example", "/other/x").get().service()).isEqualTo("t");
      assertThat(each.path("h.example", "/three/x").get().service()).isEqualTo("s");
      assertThat(each.service("t").get().function().get().slots()).isEqualTo(1);
      assertThat(each.caps().bodyBytes()).isEqualTo(99);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"Revision\":9,\"RemoveNames\":{\"Backends\":[\"s\"]}}",
        "{\"Revision\":9,\"PutItems\":{\"Routing\":[{\"Name\":\"x\"}]}}",
        "{\"Revision\":9,\"PutItems\":{\"Routing\":{}}}",
        "{\"Revision\":9,\"PutItems\":{\"Nonsense\":[]}}",
        "{\"Revision\":9,\"RemoveNames\":{\"Routing\":[1]}}",
        "{\"PutItems\":{}}",
        "{\"Revision\":9,\"PutItems\":",
        "[]"
      })
  void aPatchThatWouldMakeNoConfigurationIsRefused(String patch) throws Exception {
    var whole = Configuration.read(bytes(WHOLE));
    assertThrows(Configuration.Invalid.class, () -> whole.patched(bytes(patch)));
  }

  @Test
  void twoRoutesAtOnePlaceAreRefusedAlsoAcrossThePatch() throws Exception {
    var patch = "{\"Revision\":9,\"PutItems\":{\"Routing\":[" + route("four", "/one/", "s") + "]}}";
    var whole = Configuration.read(bytes(WHOLE));
    assertThrows(Configuration.Invalid.class, () -> whole.patched(bytes(patch)));
  }

  private static final String TENANT =
      "{\"Name\":\"t\",\"ApiKeys\":[%s],\"RatePerS\":9,\"Burst\":9}";

  private static void expectKeysRequired(String whole, String patch, boolean wanted)
      throws Exception {
    var read = Configuration.read(bytes(whole)).patched(bytes(patch));
    var text = Configuration.read(ConfigurationPatch.apply(bytes(whole), bytes(patch)));
    assertThat(read.keysRequired()).isEqualTo(wanted);
    assertThat(text.keysRequired()).isEqualTo(wanted);
  }

  /** Guards against a configuration without tenants in place of one whose tenants lost all keys. */
  @Test
  void tenantsStayThoughAPatchTakesTheirLastKeyOrTheLastOfThem() throws Exception {
    var nothing = "{\"Revision\":9}";
    var keyless =
        "{\"Revision\":9,\"PutItems\":{\"Customers\":[" + String.format(TENANT, "") + "]}}";
    var removed = "{\"Revision\":9,\"RemoveNames\":{\"Customers\":[\"t\"]}}";
    var withTenant =
        WHOLE.replaceFirst("}$", ",\"Customers\":[" + String.format(TENANT, "\"k\"") + "]}");
    expectKeysRequired(WHOLE, nothing, false);
    expectKeysRequired(WHOLE, "{\"Revision\":9,\"PutItems\":{\"Customers\":[]}}", false);
    expectKeysRequired(WHOLE, keyless, true);
    expectKeysRequired(withTenant, nothing, true);
    expectKeysRequired(withTenant, keyless, true);
    expectKeysRequired(withTenant, removed, true);
  }
}
