package wellwheel.functions;

/** An instance whose slots this node hands out. */
final class Instance {
  final String id;
  final String address;

  /** Before this steady time nothing is sent to it. */
  long restUntilUs;

  /** Whether it has answered; until then it gets one call at a time. */
  boolean proven;

  /** Whether it was taken from this node: it gets no more calls. */
  boolean released;

  int running;

  /** Calls sent to it since the last report. */
  int calls;

  Instance(String id, String address, long restUntilUs) {
    this.id = id;
    this.address = address;
    this.restUntilUs = restUntilUs;
  }

  /** Whether it can take one more call. */
  boolean takes(int slots, long nowUs) {
    return !released && nowUs >= restUntilUs && running < (proven ? slots : 1);
  }
}
