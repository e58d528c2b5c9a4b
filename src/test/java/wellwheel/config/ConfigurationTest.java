package wellwheel.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationTest {
  private static final String GOOD =
      "{\"Revision\":7,\"Extra\":[1],\"Routing\":["
          + "{\"Name\":\"a\",\"Host\":\"Lode.example\",\"PathStart\":\"/v/\",\"Type\":\"background\",\"GiveUpMs\":1500,\"TargetMs\":100,\"Rank\":2,\"Backend\":\"s\",\"Tries\":3,\"InOrder\":false,\"KeepForS\":90.5,\"StartTargetMs\":500},"
          + "{\"Name\":\"b\",\"Host\":\"lode.example\",\"PathStart\":\"/v/w/\",\"Type\":\"background\",\"GiveUpMs\":500,\"TargetMs\":100,\"Rank\":1,\"Backend\":\"s\",\"Tries\":3,\"InOrder\":true,\"KeepForS\":90.0,\"StartTargetMs\":500}],"
          + "\"Backends\":[{\"Name\":\"s\",\"MaxConns\":110,\"RatePerS\":0.0,\"DropsRepeats\":false,\"WorkerPull\":true,\"Endpoint\":null}],"
          + "\"Customers\":[{\"Name\":\"t\",\"ApiKeys\":[\"k1\",\"k2\"],\"RatePerS\":90,\"Burst\":90},{\"Name\":\"u\",\"ApiKeys\":[\"k3\"],\"RatePerS\":9,\"Burst\":9}]}";

  private static Configuration read(String text) throws Configuration.Invalid {
    return Configuration.read(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void longestPrefixOfTheHostWins() throws Configuration.Invalid {
    var configuration = read(GOOD);
    assertThat(configuration.path("lode.example:8080", "/v/w/1?x=/y").orElseThrow().name())
        .isEqualTo("b");
    assertThat(configuration.path("LODE.example", "/v/x").orElseThrow().name()).isEqualTo("a");
    assertThat(configuration.path("lode.example", "/w/")).isEqualTo(java.util.Optional.empty());
    assertThat(configuration.path("other.example", "/v/x")).isEqualTo(java.util.Optional.empty());
    assertThat(configuration.tenant("k2").orElseThrow().name()).isEqualTo("t");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"Backend\":\"s\",\"Tries\":3,\"InOrder\":true|\"Backend\":\"z\",\"Tries\":3,\"InOrder\":true|/Routing/1/Backend",
        "\"GiveUpMs\":500|\"GiveUpMs\":0|/Routing/1/GiveUpMs",
        "\"/v/w/\"|\"/v/\"|/Routing/1",
        "\"k3\"|\"k1\"|/Customers/1/ApiKeys",
        "\"Revision\":7|\"Revision\":7.5|/Revision",
        "\"Revision\":7|\"Revision\":\"7\"|/Revision",
        "\"Tries\":3,\"InOrder\":true|\"Tries\":0,\"InOrder\":true|/Routing/1/Tries",
        "\"MaxConns\":110,|''|/Backends/0/MaxConns",
        "\"Name\":\"u\"|\"Name\":\"t\"|/Customers/1",
        "\"Name\":\"u\"|\"Name\":\"u\\r\\nX: y\"|/Customers/1/Name",
        "\"Endpoint\":null|\"Endpoint\":\"10.0.0.1:99999\"|/Backends/0/Endpoint"
      })
  void eachFaultIsRefusedWithItsPlace(String good, String bad, String place) {
    var broken = GOOD.replace(good, bad);
    assertThat(broken).isNotEqualTo(GOOD);
    var refused = assertThrows(Configuration.Invalid.class, () -> read(broken));
    assertThat(refused).hasMessageThat().startsWith(place);
  }

  @Test
  void noCutOfAGoodConfigurationIsTaken() {
    for (var length = 0; length < GOOD.length(); length++) {
      var cut = GOOD.substring(0, length);
      assertThrows(Configuration.Invalid.class, () -> read(cut));
    }
    assertThrows(Configuration.Invalid.class, () -> read(GOOD + "x"));
    assertThrows(Configuration.Invalid.class, () -> read("[".repeat(20_000)));
    assertThrows(
        Configuration.Invalid.class, () -> Configuration.read(new byte[] {'{', (byte) 0xff, '}'}));
  }
}
