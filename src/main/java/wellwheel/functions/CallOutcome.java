package wellwheel.functions;

import java.util.List;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;

/** How a call ended for its caller. */
sealed interface CallOutcome {
  String KIND = "call.ok";

  /** An instance answered; the answer goes to the client unaltered. */
  record Answered(Exchange.Relayed answer) implements CallOutcome {}

  /** The system itself ends the call with this result. */
  record Ended(ResultCode code) implements CallOutcome {}

  /** The call was not sent anywhere: this node is no owner any more, another one is to take it. */
  record Moved() implements CallOutcome {}

  /**
   * An instance was sent the call and did not end it; another one may be tried, which the owner's
   * budget of retries allows.
   *
   * @param mayHaveRun whether the instance may have run it
   */
  record Tried(boolean mayHaveRun) implements CallOutcome {
    /** What it comes to if no further instance is tried. */
    Ended last() {
      return new Ended(mayHaveRun ? ResultCode.RUN_UNKNOWN : ResultCode.NO_INSTANCE);
    }
  }

  /** The message that tells it to the front which passed the call on. */
  default Frame toFrame(long requestNumber) {
    var frame = Frame.of(KIND).with("rid", requestNumber);
    if (this instanceof Moved) {
      return frame.with("mv", true);
    }
    if (this instanceof Tried tried) {
      return frame.with("tr", true).with("c", tried.last().code().number());
    }
    if (this instanceof Ended ended) {
      return frame.with("c", ended.code().number());
    }
    var answer = ((Answered) this).answer();
    return frame
        .with("st", answer.status())
        .with("h", List.<Object>copyOf(answer.fields()))
        .with("b", answer.body());
  }

  /** Reads the message; what cannot be read counts as a call of which nothing is known. */
  static CallOutcome read(Frame frame) {
    if (frame.has("st")) {
      return new Answered(
          new Exchange.Relayed(frame.small("st"), frame.texts("h"), frame.bytes("b")));
    }
    if (frame.flag("mv")) {
      return new Moved();
    }
    if (frame.flag("tr")) {
      return new Tried(frame.small("c") == ResultCode.RUN_UNKNOWN.number());
    }
    for (var code : ResultCode.values()) {
      if (code.number() == frame.small("c")) {
        return new Ended(code);
      }
    }
    return new Ended(ResultCode.RUN_UNKNOWN);
  }
}
