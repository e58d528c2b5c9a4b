package wellwheel.keeper;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wellwheel.lantern.Caller;

final class HttpCourier implements Courier {
    private static final long SLACK_US = 60_000;
    private final Caller caller;

    HttpCourier(Caller caller) {
        this.caller = caller;
    }

    @Override
    public void deliver(Leg leg, Consumer<Outcome> done) {
        var headers = new ArrayList<>(List.of("Attempt-Id", leg.id(), "Time-Left-Ms", Long.toString(leg.giveUpUs() / 1000)));
        add(headers, "Host", leg.host());
        add(headers, "Customer", leg.tenant());
        add(headers, "Order-Key", leg.orderKey());
        add(headers, "Target-Server", leg.processorId());
        add(headers, "Content-Type", leg.contentType());
        var call = new Caller.Call(leg.address(), leg.method(), leg.target(), headers, leg.body(), leg.giveUpUs() + SLACK_US, leg.mostConnections(), leg.id());
        caller.call(call, answer -> done.accept(judge(answer)));
    }

    private static void add(List<String> headers, String name, String value) {
        if (!value.isEmpty()) {
            headers.add(name);
            headers.add(value);
        }
    }

    static Outcome judge(Caller.Answer answer) {
        var load = answer.header("Server-Load");
        if (answer.fate() != Caller.Fate.ANSWERED) {
            return new Outcome(answer.fate() == Caller.Fate.NOT_SENT ? Result.NOT_RUN : Result.UNKNOWN, "", load);
        }
        var seal = answer.header("Server-Seal");
        if (answer.status() / 100 == 2 && !seal.isEmpty()) {
            return new Outcome(Result.DONE, seal, load);
        }
        if (answer.status() == 421) {
            return new Outcome(Result.WRONG, "", load);
        }
        if (!answer.header("Not-Run").isEmpty()) {
            return new Outcome(Result.NOT_RUN, "", load);
        }
        return switch (answer.status()) {
            case 500 -> new Outcome(Result.FAILED, "", load);
            case 422 -> new Outcome(Result.REFUSED, "", load);
            default -> new Outcome(Result.UNKNOWN, "", load);
        };
    }

    @Override
    public void forget(String address) {
        caller.forget(address);
    }
}
