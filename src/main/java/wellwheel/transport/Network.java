package wellwheel.transport;

public interface Network {
  void send(String peerIp, Frame frame);

  interface MessageHandler {
    void onFrame(String peerIp, Frame frame);

    void onDown(String peerIp);

    default void onUnsent(String peerIp, Frame frame) {}
  }
}
