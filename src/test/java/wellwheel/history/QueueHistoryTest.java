package wellwheel.history;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import wellwheel.config.NodeOptions;
import wellwheel.storage.Disk;
import wellwheel.transport.Frame;

class QueueHistoryTest {
  private long nowUs = 7_200_000_000L;
  private final ByteArrayOutputStream file = new ByteArrayOutputStream();
  private final Disk disk =
      new Disk() {
        @Override
        public byte[] load(String name) {
          return file.toByteArray();
        }

        @Override
        public void append(String name, byte[] bytes, Runnable synced) {
          file.writeBytes(bytes);
          synced.run();
        }

        @Override
        public void rewrite(String name, byte[] whole, Runnable synced) {
          file.reset();
          file.writeBytes(whole);
          synced.run();
        }
      };

  private QueueHistory history(String life) throws NodeOptions.Unusable {
    var options =
        NodeOptions.read(
            "{\"NodeName\":\"me\",\"Ip\":\"10.0.0.2\",\"Zone\":\"z\",\"ListenOn\":{},\"InternalPorts\":[7100],\"SeedNodes\":[],\"History\":{\"Enabled\":true,\"IntervalS\":60,\"FlushS\":10}}");
    return new QueueHistory(options, life, Optional.of(disk), () -> nowUs);
  }

  private long offered(QueueHistory history) {
    return history.rows(0, Long.MAX_VALUE / 2).values().stream()
        .mapToLong(row -> row.counts().offered())
        .sum();
  }

  @Test
  void countsSurviveARestartAndRepeatedFlushesCountOnce() throws NodeOptions.Unusable {
    var first = history("1");
    for (var each = 0; each < 5; each++) {
      first.arrived("t", "s", nowUs);
      first.flush();
    }
    var second = history("2");
    second.arrived("t", "s", nowUs);
    second.flush();
    assertThat(offered(second)).isEqualTo(6);
    assertThat(offered(history("3"))).isEqualTo(6);
  }

  @Test
  void aDamagedRecordIsSkippedAndCounted() throws NodeOptions.Unusable {
    var first = history("1");
    first.arrived("t", "s", nowUs);
    first.flush();
    var endOfFirst = file.size();
    first.arrived("t", "s", nowUs);
    first.flush();
    nowUs += 600_000_000L;
    first.arrived("t", "s", nowUs);
    first.flush();
    var bytes = file.toByteArray();
    bytes[endOfFirst + 12] ^= 0x55;
    file.reset();
    file.writeBytes(bytes);
    var second = history("2");
    assertThat(second.damaged()).isEqualTo(1);
    assertThat(offered(second)).isAtLeast(2L);
  }

  @Test
  void anUnknownVersionIsRefusedWithOneClearLine() throws NodeOptions.Unusable {
    new HistoryFile(disk, "history.journal").append(Frame.of("history").with("version", 9).pack());
    var refusal = assertThrows(QueueHistory.Unreadable.class, () -> history("1"));
    assertThat(refusal.getMessage()).contains("version 9");
  }

  @Test
  void tenantsAreBoundedAndTheRestIsShown() throws NodeOptions.Unusable {
    var first = history("1");
    for (var tenant = 0; tenant < 10_000; tenant++) {
      first.arrived("t" + tenant, "s", nowUs);
    }
    var rows = first.rows(0, Long.MAX_VALUE / 2).values();
    assertThat(rows.size()).isAtMost(4100);
    assertThat(
            rows.stream()
                .filter(row -> row.tenant().equals(QueueHistory.REST))
                .mapToLong(row -> row.counts().offered())
                .sum())
        .isEqualTo(10_000 - 4096);
  }

  @Test
  void aTornRecordOfAnyShapeHidesNothingWrittenAfterIt() throws NodeOptions.Unusable {
    for (var shape = 0; shape < 4; shape++) {
      file.reset();
      var first = history("1");
      first.arrived("t", "s", nowUs);
      first.flush();
      file.writeBytes(
          new byte[][] {
                new byte[90], {0x7f, -1, -1, -1, 1, 2, 3, 4, 5}, {0, 0, 0, 40, 9, 9, 9, 9, 9}, {1}
              }
              [shape]);
      var second = history("2");
      assertThat(second.damaged()).isEqualTo(1);
      second.arrived("t", "s", nowUs);
      second.flush();
      assertThat(offered(history("3"))).isEqualTo(2);
    }
  }
}
