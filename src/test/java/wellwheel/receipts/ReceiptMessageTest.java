package wellwheel.receipts;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import wellwheel.receipts.ReceiptMessage.ClaimAnswer;
import wellwheel.receipts.ReceiptMessage.ClaimRequest;
import wellwheel.receipts.ReceiptMessage.OwnershipAnswer;
import wellwheel.receipts.ReceiptMessage.OwnershipQuestion;
import wellwheel.receipts.ReceiptMessage.Verdict;
import wellwheel.transport.Frame;

class ReceiptMessageTest {
  private static final RequestDigest DIGEST = new RequestDigest(7, -9);

  static List<ReceiptMessage> messages() {
    return List.of(
        new ClaimRequest(3, 0, "m1", 12, "t", "s", "key", DIGEST, 90_000_000),
        new ClaimAnswer(0, "m1", 12, Verdict.GRANTED, 0, ""),
        new ClaimAnswer(47, "m1", 12, Verdict.HELD, 46, "m0"),
        new OwnershipQuestion(46, 3, 13, "", "s", "key", DIGEST),
        new OwnershipAnswer(3, 13, "t", "s", "key", ""));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void isReadAsItWasWritten(ReceiptMessage message) throws Exception {
    var frame = Frame.unpack(message.toFrame().with("unknown", 5).pack());
    assertThat(ReceiptMessage.isOne(frame)).isTrue();
    assertThat(ReceiptMessage.read(frame)).isEqualTo(message);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void whatLacksAFieldIsNoMessage(ReceiptMessage message) {
    var bare = Frame.of(message.toFrame().kind());
    assertThrows(MalformedMessageException.class, () -> ReceiptMessage.read(bare));
    var nowhere = message.toFrame().with("l", 48);
    assertThrows(MalformedMessageException.class, () -> ReceiptMessage.read(nowhere));
  }

  @Test
  void anyFieldsAtAllAreReadOrRefused() {
    var random = new Random(5);
    var kinds = List.of("receipt.claim", "receipt.verdict", "receipt.ask", "receipt.told", "put");
    var read = 0;
    for (var round = 0; round < 20_000; round++) {
      var frame = Frame.of(kinds.get(random.nextInt(kinds.size())));
      for (var field : List.of("l", "o", "i", "n", "t", "sv", "ik", "dg", "x", "r", "hi")) {
        frame.with(field, any(random));
      }
      try {
        ReceiptMessage.read(Frame.unpack(frame.pack()));
        read++;
      } catch (MalformedMessageException e) {
        assertThat(e).hasMessageThat().isNotEmpty();
      }
    }
    assertThat(read).isGreaterThan(0);
  }

  private static Object any(Random random) {
    return switch (random.nextInt(6)) {
      case 0 -> random.nextLong();
      case 1 -> (long) random.nextInt(48);
      case 2 -> "text";
      case 3 -> random.nextBoolean();
      case 4 -> new byte[random.nextInt(2) * RequestDigest.BYTES];
      default -> (long) random.nextInt(4);
    };
  }
}
