package wellwheel.keeper;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wellwheel.lantern.Frame;

final class Message {
    enum State { WAITING, FINISHED, FAILED }

    final int line;
    final String id;
    final String tenant;
    final String host;
    final String method;
    final String target;
    final String contentType;
    final String orderKey;
    byte[] body;
    final long number;
    final long dueUs;
    final long expireUs;
    State state = State.WAITING;
    String seal = "";
    long endedUs;
    int fails;
    long leg;
    long rev;
    long seq;
    String lease = "";
    long untilUs;
    String endedLease = "";
    boolean kept;
    boolean running;
    boolean settling;
    boolean queued;
    long nextUs;
    long aimUs;
    long stamp;
    int bounces;
    final List<Consumer<Boolean>> keptWaiters = new ArrayList<>();
    final List<Runnable> settleWaiters = new ArrayList<>();

    Message(Frame frame) {
        line = frame.small("line");
        id = frame.text("id");
        tenant = frame.text("tenant");
        host = frame.text("host");
        method = frame.text("method");
        target = frame.text("target");
        contentType = frame.text("type");
        orderKey = frame.text("okey");
        body = frame.bytes("body");
        number = frame.number("no");
        dueUs = frame.number("due");
        expireUs = frame.number("expire");
        update(frame);
    }

    void update(Frame frame) {
        state = State.values()[frame.small("state")];
        seal = frame.text("seal");
        endedUs = frame.number("ended");
        fails = frame.small("fails");
        leg = frame.number("leg");
        rev = frame.number("rev");
        lease = frame.text("lease");
        untilUs = frame.number("until");
        endedLease = frame.text("endedLease");
    }

    Frame whole() {
        return change().with("k", "m").with("tenant", tenant).with("host", host).with("method", method).with("target", target)
            .with("type", contentType).with("okey", orderKey).with("body", body).with("no", number).with("due", dueUs).with("expire", expireUs);
    }

    Frame change() {
        return Frame.of("u").with("line", line).with("id", id).with("state", state.ordinal()).with("seal", seal).with("ended", endedUs)
            .with("fails", fails).with("leg", leg).with("rev", rev).with("lease", lease).with("until", untilUs).with("endedLease", endedLease);
    }

    boolean waiting() {
        return state == State.WAITING;
    }

    String orderName() {
        return tenant + "\n" + orderKey;
    }

    String version() {
        return state.ordinal() + "." + fails + "." + rev;
    }
}
