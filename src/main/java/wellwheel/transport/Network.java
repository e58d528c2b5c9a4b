package wellwheel.transport;

/** Sends frames to other nodes by their address. */
public interface Network {
  void send(String peerIp, Frame frame);

  /** Hears what comes from other nodes. */
  interface MessageHandler {
    void onFrame(String peerIp, Frame frame);

    void onDown(String peerIp);

    default void onUnsent(String peerIp, Frame frame) {}
  }
}
