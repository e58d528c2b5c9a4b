package wellwheel.transport;

/** What the two ends of a connection between nodes say to each other beside the nodes' frames. */
final class Greeting {
  static final String PING = "ping";
  private static final String HELLO = "hello";
  private static final String STALE = "stale";
  private static final int PROTOCOL = 1;
  private static final byte[] PING_BYTES = Frame.of(PING).pack();
  private static final byte[] PONG_BYTES = Frame.of("pong").with("st", true).pack();

  private Greeting() {}

  /**
   * The first frame of a connection.
   *
   * @param life of the sender's process; a later one is greater
   * @param number of the connection in that life
   */
  static byte[] hello(String ip, long life, long number) {
    return Frame.of(HELLO)
        .with("proto", PROTOCOL)
        .with("ip", ip)
        .with("life", life)
        .with("c", number)
        .pack();
  }

  static boolean isHello(Frame frame) {
    return frame.kind().equals(HELLO) && frame.number("proto") == PROTOCOL;
  }

  /** Asks whether the peer hears. */
  static byte[] ping() {
    return PING_BYTES;
  }

  /** Answers a ping, and tells that stamps are understood. */
  static byte[] pong() {
    return PONG_BYTES;
  }

  static boolean understandsStamps(Frame pong) {
    return pong.flag("st");
  }

  /** Refuses a connection that is older than one known. */
  static byte[] stale(long knownLife) {
    return Frame.of(STALE).with("life", knownLife).pack();
  }

  static boolean isStale(Frame frame) {
    return frame.kind().equals(STALE);
  }
}
