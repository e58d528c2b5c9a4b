package wellwheel.receipts;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import wellwheel.transport.Frame;

class ReceiptTableTest {
  private static Frame record(String service, int owner, long revision, long untilUs) {
    return Frame.of(Receipt.KIND)
        .with("l", 3)
        .with("t", "tenant")
        .with("sv", service)
        .with("ik", "key")
        .with("dg", new RequestDigest(1, 2).toBytes())
        .with("o", owner)
        .with("x", untilUs)
        .with("v", revision)
        .with("ep", 1);
  }

  private final ReceiptTable table = new ReceiptTable();

  @Test
  void theNewerRecordWinsInWhateverOrderTheyCome() {
    table.take(record("s", 5, 2, 100));
    table.take(record("s", 4, 1, 100));
    assertThat(table.all()).hasSize(1);
    assertThat(table.get(Receipt.id("tenant", "s", "key")).get().owner).isEqualTo(5);
    table.take(record("s", 6, 3, 100));
    assertThat(table.get(Receipt.id("tenant", "s", "key")).get().owner).isEqualTo(6);
  }

  @Test
  void aKeyHasOneReceiptInEachQueue() {
    table.take(record("s", 5, 1, 100));
    table.take(record("other", 6, 1, 100));
    assertThat(table.inScope(IdempotencyKey.scope("tenant", "key"))).hasSize(2);
    table.remove(Receipt.id("tenant", "s", "key"));
    assertThat(table.inScope(IdempotencyKey.scope("tenant", "key"))).hasSize(1);
  }

  @Test
  void nothingIsForgottenBeforeItsTime() {
    table.take(record("s", 5, 1, 100));
    table.purge(100);
    assertThat(table.size()).isEqualTo(1);
    table.purge(101);
    assertThat(table.size()).isEqualTo(0);
    assertThat(table.inScope(IdempotencyKey.scope("tenant", "key"))).isEmpty();
  }

  @Test
  void aReceiptIsWrittenWhole() {
    var receipt = table.take(record("s", 5, 1, 100));
    var again = new Receipt(Frame.unpack(receipt.whole().pack()));
    assertThat(again.version()).isEqualTo(receipt.version());
    assertThat(again.id()).isEqualTo(receipt.id());
    assertThat(again.digest).isEqualTo(receipt.digest);
    assertThat(again.untilUs).isEqualTo(100);
  }

  @Test
  void tasksWaitUntilEveryCopyHasTheChange() {
    var receipt = table.take(record("s", 5, 1, 100));
    var ran = new int[1];
    receipt.whenStored(() -> ran[0]++);
    assertThat(ran[0]).isEqualTo(0);
    receipt.settle();
    receipt.whenStored(() -> ran[0]++);
    assertThat(ran[0]).isEqualTo(2);
    receipt.changing();
    receipt.whenStored(() -> ran[0]++);
    receipt.dropWaiters();
    receipt.settle();
    assertThat(ran[0]).isEqualTo(2);
  }
}
