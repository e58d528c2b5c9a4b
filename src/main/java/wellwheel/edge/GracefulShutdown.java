package wellwheel.edge;

/** Decides when a stopping edge node may flush its counters and end. */
final class GracefulShutdown {
  enum Step {
    STAY,
    FLUSH,
    END
  }

  private boolean flushed;

  Step step(boolean idle) {
    if (!idle) {
      flushed = false;
      return Step.STAY;
    }
    if (!flushed) {
      flushed = true;
      return Step.FLUSH;
    }
    return Step.END;
  }
}
