package wellwheel.receipts;

/** A frame that lacks a field of the message that its kind names, or holds one out of range. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedMessageException(String why) {
    super(why);
  }
}
