package wellwheel.functions;

import wellwheel.transport.Exchange;

/** A client's request at the front that took it, while an owner has it or is looked for. */
final class PassedCall {
  final Exchange exchange;
  final FunctionCall call;

  /** Steady time in microseconds at which the client waits no longer. */
  final long untilUs;

  /** The owner that has it; empty while there is none. */
  String ownerIp = "";

  /** How many more instances it may be sent to. */
  int triesLeft;

  /** Whether an instance may have been sent it, so that 503 cannot be promised any more. */
  boolean mayHaveRun;

  PassedCall(Exchange exchange, FunctionCall call, long untilUs) {
    this.exchange = exchange;
    this.call = call;
    this.untilUs = untilUs;
    triesLeft = call.triesLeft();
  }
}
