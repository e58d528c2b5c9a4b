package wellwheel.functions;

/** An instance as the scaler knows it. */
final class ManagedInstance {
  enum State {
    /** Started by us, not listed by the platform yet. */
    STARTING,
    READY,
    /** Listed as leaving: it gets no more calls. */
    DRAINING
  }

  final String id;
  final String service;
  final String address;
  State state;

  /** Node that may hand out its slots; empty if none may. */
  String owner = "";

  /** Node that gets it once its owner has let it go; empty if it is to stay. */
  String nextOwner = "";

  /** Steady time at which it should be up. */
  final long upUs;

  /** Whether it has answered a call. */
  boolean proven;

  int running;

  /** Steady time since which no call has run, as far as its owner has told. */
  long idleSinceUs;

  ManagedInstance(String id, String service, String address, State state, long upUs, long nowUs) {
    this.id = id;
    this.service = service;
    this.address = address;
    this.state = state;
    this.upUs = upUs;
    this.idleSinceUs = nowUs;
  }

  /** Whether it is on its way from one owner to another one. */
  boolean moves() {
    return !nextOwner.isEmpty();
  }

  /**
   * Takes it from an owner that is gone or has let it go. What ran there is over, as far as anybody
   * can know.
   */
  void free(long nowUs) {
    owner = nextOwner;
    nextOwner = "";
    running = 0;
    idleSinceUs = nowUs;
  }
}
