package wellwheel.receipts;

import wellwheel.cluster.ClusterView;
import wellwheel.transport.Frame;

/** What the primaries of a key's home partition and of a message's partition say to each other. */
public sealed interface ReceiptMessage {
  /** What the home partition decided about a claim. */
  enum Verdict {
    /** The key belongs to the claiming partition. */
    GRANTED,
    /** The same request was accepted in another partition. */
    HELD,
    /** The key was accepted for another request. */
    REUSED,
    /** The home partition holds as many receipts as it may. */
    FULL
  }

  /** The partition that decides or is asked. */
  int partition();

  /** The message as it is sent. */
  Frame toFrame();

  /**
   * A partition asks the home partition for a key.
   *
   * @param partition the home partition
   * @param owner the partition that has the message
   * @param messageId the message that waits for the verdict
   * @param number distinguishes this claim from earlier ones for a message of the same name
   * @param untilUs core time in microseconds until when the key must be remembered
   */
  record ClaimRequest(
      int partition,
      int owner,
      String messageId,
      long number,
      String tenant,
      String service,
      String key,
      RequestDigest digest,
      long untilUs)
      implements ReceiptMessage {
    static final String KIND = "receipt.claim";

    @Override
    public Frame toFrame() {
      return Frame.of(KIND)
          .with("l", partition)
          .with("o", owner)
          .with("i", messageId)
          .with("n", number)
          .with("t", tenant)
          .with("sv", service)
          .with("ik", key)
          .with("dg", digest.toBytes())
          .with("x", untilUs);
    }
  }

  /**
   * The home partition's verdict about a claim.
   *
   * @param partition the partition that claimed
   * @param holder with {@link Verdict#HELD}: the partition that has the accepted message
   * @param holderId with {@link Verdict#HELD}: that message
   */
  record ClaimAnswer(
      int partition, String messageId, long number, Verdict verdict, int holder, String holderId)
      implements ReceiptMessage {
    static final String KIND = "receipt.verdict";

    @Override
    public Frame toFrame() {
      return Frame.of(KIND)
          .with("l", partition)
          .with("i", messageId)
          .with("n", number)
          .with("r", verdict.ordinal())
          .with("o", holder)
          .with("hi", holderId);
    }
  }

  /**
   * The home partition asks an owner whether it has accepted a message under a key.
   *
   * @param partition the owner
   * @param home the home partition
   * @param number distinguishes the question from others about the same receipt
   */
  record OwnershipQuestion(
      int partition,
      int home,
      long number,
      String tenant,
      String service,
      String key,
      RequestDigest digest)
      implements ReceiptMessage {
    static final String KIND = "receipt.ask";

    @Override
    public Frame toFrame() {
      return Frame.of(KIND)
          .with("l", partition)
          .with("o", home)
          .with("n", number)
          .with("t", tenant)
          .with("sv", service)
          .with("ik", key)
          .with("dg", digest.toBytes());
    }
  }

  /**
   * An owner's answer. It says "absent" only after all copies have confirmed that it still is the
   * primary.
   *
   * @param partition the home partition
   * @param messageId the accepted message, empty if there is none
   */
  record OwnershipAnswer(
      int partition, long number, String tenant, String service, String key, String messageId)
      implements ReceiptMessage {
    static final String KIND = "receipt.told";

    @Override
    public Frame toFrame() {
      return Frame.of(KIND)
          .with("l", partition)
          .with("n", number)
          .with("t", tenant)
          .with("sv", service)
          .with("ik", key)
          .with("i", messageId);
    }
  }

  /** Whether a frame holds one of these messages. */
  static boolean isOne(Frame frame) {
    return switch (frame.kind()) {
      case ClaimRequest.KIND, ClaimAnswer.KIND, OwnershipQuestion.KIND, OwnershipAnswer.KIND ->
          true;
      default -> false;
    };
  }

  /** Reads a message; fields that are not known are skipped. */
  static ReceiptMessage read(Frame frame) throws MalformedMessageException {
    return switch (frame.kind()) {
      case ClaimRequest.KIND ->
          new ClaimRequest(
              partition(frame, "l"),
              partition(frame, "o"),
              text(frame, "i"),
              number(frame, "n"),
              frame.text("t"),
              text(frame, "sv"),
              text(frame, "ik"),
              digest(frame),
              number(frame, "x"));
      case ClaimAnswer.KIND ->
          new ClaimAnswer(
              partition(frame, "l"),
              text(frame, "i"),
              number(frame, "n"),
              verdict(frame),
              partition(frame, "o"),
              frame.text("hi"));
      case OwnershipQuestion.KIND ->
          new OwnershipQuestion(
              partition(frame, "l"),
              partition(frame, "o"),
              number(frame, "n"),
              frame.text("t"),
              text(frame, "sv"),
              text(frame, "ik"),
              digest(frame));
      case OwnershipAnswer.KIND ->
          new OwnershipAnswer(
              partition(frame, "l"),
              number(frame, "n"),
              frame.text("t"),
              text(frame, "sv"),
              text(frame, "ik"),
              frame.text("i"));
      default -> throw new MalformedMessageException("no receipt message: " + frame.kind());
    };
  }

  private static int partition(Frame frame, String field) throws MalformedMessageException {
    var number = frame.number(field);
    if (number < 0 || number >= ClusterView.PARTITIONS) {
      throw new MalformedMessageException(frame.kind() + " names no partition in " + field);
    }
    return (int) number;
  }

  private static String text(Frame frame, String field) throws MalformedMessageException {
    var text = frame.text(field);
    if (text.isEmpty()) {
      throw new MalformedMessageException(frame.kind() + " lacks " + field);
    }
    return text;
  }

  private static long number(Frame frame, String field) throws MalformedMessageException {
    if (frame.number(field) <= 0) {
      throw new MalformedMessageException(frame.kind() + " lacks " + field);
    }
    return frame.number(field);
  }

  private static RequestDigest digest(Frame frame) throws MalformedMessageException {
    if (frame.bytes("dg").length != RequestDigest.BYTES) {
      throw new MalformedMessageException(frame.kind() + " lacks a digest");
    }
    return RequestDigest.read(frame.bytes("dg"));
  }

  private static Verdict verdict(Frame frame) throws MalformedMessageException {
    var number = frame.number("r");
    if (number < 0 || number >= Verdict.values().length) {
      throw new MalformedMessageException(frame.kind() + " holds no verdict");
    }
    return Verdict.values()[(int) number];
  }
}
