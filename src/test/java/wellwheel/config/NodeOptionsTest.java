package wellwheel.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.NodeRuntime;
import wellwheel.runtime.ResultCode;

class NodeOptionsTest {
  private static final String GOOD =
      "{\"NodeName\":\"n\",\"Ip\":\"10.0.0.1\",\"Zone\":\"z\",\"ListenOn\":{},\"InternalPorts\":[7100,7115],\"SeedNodes\":[\"10.0.0.2:8741\"],"
          + "\"New\":{\"unknown\":1},\"Timing\":{\"QuotaWindowS\":2.5}}";

  @Test
  void unknownFieldsAreSkippedAndUnitsAreMicroseconds() throws NodeOptions.Unusable {
    var options = NodeOptions.read(GOOD);
    assertThat(options.windowUs()).isEqualTo(2_500_000);
    assertThat(options.seeds()).containsExactly("10.0.0.2:8741");
  }

  @ParameterizedTest
  @ValueSource(strings = {"NodeName", "Ip", "Zone", "InternalPorts", "SeedNodes"})
  void whatIsMissingIsNamed(String field) {
    var refused =
        assertThrows(
            NodeOptions.Unusable.class,
            () -> NodeOptions.read(GOOD.replace("\"" + field + "\"", "\"x\"")));
    assertThat(refused).hasMessageThat().contains(field);
  }

  @Test
  void aBadOptionsFileEndsTheProcessWithItsCode(@TempDir Path folder) throws Exception {
    var file = Files.writeString(folder.resolve("local.json"), GOOD.substring(0, 40));
    var builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "wellwheel.Main",
            "storage");
    builder.environment().put("WELLWHEEL_CONFIG", file.toString());
    var process = builder.redirectErrorStream(true).start();
    var said = new String(process.getInputStream().readAllBytes());
    assertThat(process.waitFor()).isEqualTo(NodeRuntime.BAD_OPTIONS_STATUS);
    assertThat(said).contains("code=" + ResultCode.BAD_OPTIONS.number());
    assertThat(said).doesNotContain("\tat ");
  }
}
