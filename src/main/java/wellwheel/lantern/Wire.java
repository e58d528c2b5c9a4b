package wellwheel.lantern;

public interface Wire {
    void send(String peerIp, Frame frame);

    interface Ear {
        void onFrame(String peerIp, Frame frame);

        void onDown(String peerIp);

        default void onUnsent(String peerIp, Frame frame) { }
    }
}
