package wellwheel.functions;

import wellwheel.transport.Frame;

/**
 * A front asks an owner to end a call that waits there. The outcome of the call answers it; a call
 * that runs already goes on.
 *
 * @param requestNumber the front's number for the call
 */
record CallWithdrawal(long requestNumber) {
  static final String KIND = "call.withdraw";

  Frame toFrame() {
    return Frame.of(KIND).with("rid", requestNumber);
  }

  static CallWithdrawal read(Frame frame) {
    return new CallWithdrawal(frame.number("rid"));
  }
}
