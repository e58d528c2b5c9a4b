package wellwheel.transport;

/** Sends frames to other nodes by their address. */
public interface Network {
  /** Kinds that end so answer a frame of the receiver: they show it that its frames arrive. */
  String ANSWER = "ok";

  void send(String peerIp, Frame frame);

  /** Hears what comes from other nodes. */
  interface MessageHandler {
    void onFrame(String peerIp, Frame frame);

    void onDown(String peerIp);

    default void onUnsent(String peerIp, Frame frame) {}
  }
}
