package wellwheel.receipts;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import wellwheel.cluster.ClusterView;

class IdempotencyKeyTest {
  @Test
  void oneValueOfPrintableCharactersIsServed() {
    assertThat(IdempotencyKey.valid(List.of())).isTrue();
    assertThat(IdempotencyKey.valid(List.of("a-1:/~"))).isTrue();
    assertThat(IdempotencyKey.valid(List.of("k".repeat(256)))).isTrue();
  }

  @Test
  void everythingElseIsRefused() {
    for (var bad : List.of("", "two words", "tab\t", "caf\u00e9", "k".repeat(257), "\u0000")) {
      assertThat(IdempotencyKey.valid(List.of(bad))).isFalse();
    }
    assertThat(IdempotencyKey.valid(List.of("a", "a"))).isFalse();
  }

  @Test
  void homesSpreadOverAllPartitions() {
    var homes =
        IntStream.range(0, 4800)
            .map(number -> IdempotencyKey.homePartition("tenant", "key-" + number))
            .toArray();
    for (var partition = 0; partition < ClusterView.PARTITIONS; partition++) {
      var wanted = partition;
      assertThat(IntStream.of(homes).filter(home -> home == wanted).count()).isAtLeast(50L);
    }
  }
}
