package wellwheel.functions;

import java.util.List;
import wellwheel.transport.Frame;

/**
 * A request on its way to an instance.
 *
 * @param service the function it is for
 * @param attemptId the client's name for this try
 * @param fields header fields that go along, name and value by turns
 * @param rank 0 is the most urgent
 * @param repeatable whether it may run more than once
 * @param triesLeft the most instances to which it may still be sent; an owner sends it to one
 * @param repeated whether an instance was sent it before
 * @param leftUs how much of its time is left, in microseconds, without what it took on its way
 * @param revision revision of the configuration that allowed it
 */
record FunctionCall(
    String service,
    String attemptId,
    String method,
    String target,
    List<String> fields,
    byte[] body,
    int rank,
    boolean repeatable,
    int triesLeft,
    boolean repeated,
    long leftUs,
    long revision) {
  static final String KIND = "call";

  FunctionCall withLeft(int newTriesLeft, long newLeftUs) {
    return new FunctionCall(
        service,
        attemptId,
        method,
        target,
        fields,
        body,
        rank,
        repeatable,
        newTriesLeft,
        repeated || newTriesLeft < triesLeft,
        newLeftUs,
        revision);
  }

  Frame toFrame(long requestNumber) {
    return Frame.of(KIND)
        .with("rid", requestNumber)
        .with("s", service)
        .with("i", attemptId)
        .with("m", method)
        .with("p", target)
        .with("h", List.<Object>copyOf(fields))
        .with("b", body)
        .with("r", rank)
        .with("y", repeatable)
        .with("n", triesLeft)
        .with("ag", repeated)
        .with("u", leftUs)
        .with("cr", revision);
  }

  static FunctionCall read(Frame frame) {
    return new FunctionCall(
        frame.text("s"),
        frame.text("i"),
        frame.text("m"),
        frame.text("p"),
        frame.texts("h"),
        frame.bytes("b"),
        frame.small("r"),
        frame.flag("y"),
        frame.small("n"),
        frame.flag("ag"),
        frame.remainingUs(frame.number("u")),
        frame.number("cr"));
  }
}
