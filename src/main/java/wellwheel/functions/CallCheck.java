package wellwheel.functions;

import java.util.List;
import wellwheel.transport.Frame;

/**
 * An owner asks a front whether it still wants calls that have waited here, or on their way here,
 * for so long that it may have gone on without them.
 *
 * @param service the function that the calls are for
 * @param requestNumbers the front's numbers for the calls
 */
record CallCheck(String service, List<Long> requestNumbers) {
  static final String KIND = "call.check";

  /**
   * What the front says.
   *
   * @param wanted numbers of the calls that this owner is to begin
   * @param unwanted numbers of those that it is not to begin any more
   */
  record Answer(String service, List<Long> wanted, List<Long> unwanted) {
    static final String KIND = "call.check.ok";

    Frame toFrame() {
      return Frame.of(KIND)
          .with("s", service)
          .with("w", List.<Object>copyOf(wanted))
          .with("x", List.<Object>copyOf(unwanted));
    }

    static Answer read(Frame frame) {
      return new Answer(frame.text("s"), frame.numbers("w"), frame.numbers("x"));
    }
  }

  Frame toFrame() {
    return Frame.of(KIND).with("s", service).with("n", List.<Object>copyOf(requestNumbers));
  }

  static CallCheck read(Frame frame) {
    return new CallCheck(frame.text("s"), frame.numbers("n"));
  }
}
