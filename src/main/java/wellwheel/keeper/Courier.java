package wellwheel.keeper;

import java.util.function.Consumer;

public interface Courier {
    enum Result { DONE, FAILED, REFUSED, NOT_RUN, WRONG, UNKNOWN }

    record Leg(String address, String host, String target, String processorId, String id, String tenant, String orderKey, String method, String contentType, byte[] body, long giveUpUs, int mostConnections) { }

    record Outcome(Result result, String seal, String load) { }

    void deliver(Leg leg, Consumer<Outcome> done);

    void forget(String address);
}
