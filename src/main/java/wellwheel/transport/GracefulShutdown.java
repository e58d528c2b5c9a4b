package wellwheel.transport;

import wellwheel.runtime.Clock;

/**
 * Ends a node that serves clients, within the time that the platform leaves between SIGTERM and
 * SIGKILL. First it serves on while clients learn that it leaves; then it closes each connection
 * after its answer. What still waits shortly before the end is refused if it surely has not run and
 * never will, and what is left at last gets an answer that promises nothing, so that no connection
 * ends without one.
 */
public final class GracefulShutdown {
  /** The node that ends. */
  public interface Node {
    /** Tells the others that it leaves; clients are still served. */
    void leave();

    /** From now on each connection is closed after its answer. */
    default void drain() {}

    /** Refuses what waits and has not been passed on; what comes from now on is not taken. */
    void refuseWaiting();

    /** Answers all that is left, without a promise. */
    void answerRest();

    /** Whether nothing is under way. */
    boolean idle();

    /** Sends what others ought to know before the process ends. */
    default void flush() {}
  }

  /** The connections of the node's clients. */
  public interface Clients {
    /** Closes each connection from now on once its requests are answered. */
    void drain();

    /** Closes connections on which no request is under way. */
    void closeIdle();

    /** Refuses each request that is read from now on. */
    void refuseNew();

    /** Answers each request that was read and has no answer yet, without a promise. */
    void answerOpen();

    /** How many are open. */
    int connections();
  }

  private static final long STEP_MOST_US = 50_000;
  private static final double STEP_SHARE = 0.05;
  private static final long DRAIN_MOST_US = 2_400_000;
  private static final double DRAIN_SHARE = 0.4;
  private static final long REFUSE_MARGIN_MOST_US = 900_000;
  private static final double REFUSE_MARGIN_SHARE = 0.3;
  private static final long ANSWER_MARGIN_MOST_US = 300_000;
  private static final double ANSWER_MARGIN_SHARE = 0.15;

  private final Clock clock;
  private final long graceUs;
  private final Clients clients;
  private final Node node;
  private final Runnable end;
  private long beganUs;
  private boolean begun;
  private boolean draining;
  private boolean refusing;
  private boolean flushed;
  private boolean ended;

  /**
   * @param graceUs time from the signal until the process is killed
   * @param end ends the process
   */
  public GracefulShutdown(Clock clock, long graceUs, Clients clients, Node node, Runnable end) {
    this.clock = clock;
    this.graceUs = graceUs;
    this.clients = clients;
    this.node = node;
    this.end = end;
  }

  /** Begins at the first signal; further ones change nothing. */
  public void begin() {
    if (begun) {
      return;
    }
    begun = true;
    beganUs = clock.steadyUs();
    clock.after(stepUs(), this::step);
    node.leave();
  }

  private void step() {
    if (ended) {
      return;
    }
    clock.after(stepUs(), this::step);
    var elapsedUs = clock.steadyUs() - beganUs;
    if (!draining && elapsedUs >= drainAtUs()) {
      draining = true;
      clients.drain();
      node.drain();
    }
    if (draining) {
      clients.closeIdle();
    }
    if (!refusing && elapsedUs >= refuseAtUs()) {
      refusing = true;
      clients.refuseNew();
      node.refuseWaiting();
    }
    if (elapsedUs >= answerAtUs()) {
      endLate();
    } else if (draining) {
      endIfIdle();
    }
  }

  private void endLate() {
    ended = true;
    clock.after(stepUs(), end);
    node.answerRest();
    clients.answerOpen();
    node.flush();
  }

  /** Ends only if nothing has come since the last flush. */
  private void endIfIdle() {
    if (!node.idle() || clients.connections() > 0) {
      flushed = false;
    } else if (!flushed) {
      flushed = true;
      node.flush();
    } else {
      ended = true;
      end.run();
    }
  }

  private long stepUs() {
    return Math.min(STEP_MOST_US, (long) (STEP_SHARE * graceUs));
  }

  private long drainAtUs() {
    return Math.min(DRAIN_MOST_US, (long) (DRAIN_SHARE * graceUs));
  }

  private long refuseAtUs() {
    return graceUs - Math.min(REFUSE_MARGIN_MOST_US, (long) (REFUSE_MARGIN_SHARE * graceUs));
  }

  private long answerAtUs() {
    return graceUs - Math.min(ANSWER_MARGIN_MOST_US, (long) (ANSWER_MARGIN_SHARE * graceUs));
  }
}
