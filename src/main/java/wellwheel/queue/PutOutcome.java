package wellwheel.queue;

import wellwheel.transport.Frame;

/**
 * What became of a hand-in.
 *
 * @param partition with {@link Kind#KEPT}: the partition of the accepted message
 * @param id with {@link Kind#KEPT}: the accepted message, for a repeat that of the first try
 */
record PutOutcome(Kind kind, int partition, String id) {
  enum Kind {
    /** Accepted, now or by an earlier try with the same key. */
    KEPT("kept"),
    /** Not taken; this try will never run. */
    NOT_TAKEN("no"),
    /** The key was accepted for another request. */
    REUSED("reused");

    private final String word;

    Kind(String word) {
      this.word = word;
    }
  }

  static final PutOutcome NOT_TAKEN = new PutOutcome(Kind.NOT_TAKEN, 0, "");
  static final PutOutcome REUSED = new PutOutcome(Kind.REUSED, 0, "");

  static PutOutcome kept(int partition, String id) {
    return new PutOutcome(Kind.KEPT, partition, id);
  }

  static PutOutcome kept(Message message) {
    return kept(message.partition, message.id);
  }

  /** The answer to the edge node's request of this number. */
  Frame toFrame(long requestNumber) {
    return Frame.of("put.ok")
        .with("rid", requestNumber)
        .with("r", kind.word)
        .with("l", partition)
        .with("i", id);
  }
}
