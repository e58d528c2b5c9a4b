package wellwheel.gallery;

import java.security.SecureRandom;
import wellwheel.lantern.Charter;
import wellwheel.lantern.Codes;
import wellwheel.lantern.Door;
import wellwheel.lantern.Exchange;
import wellwheel.lantern.Links;
import wellwheel.lantern.LoopClock;
import wellwheel.lantern.Station;

public final class Gallery {
    private static final System.Logger LOG = System.getLogger("gallery");
    private static final long CLOSE_AFTER_US = 2_400_000;
    private static final long END_MARGIN_US = 1_200_000;
    private final Station station;
    private final GalleryNode node;
    private final Door front;
    private final Departure departure = new Departure();
    private boolean leaving;
    private long leftUs;

    public Gallery(Station station) throws InterruptedException {
        this.station = station;
        var options = station.options();
        var links = new Links(options.ip(), options.innerPort(), station.loop(), station.clock());
        node = new GalleryNode(options, station.clock(), links, new SecureRandom().nextLong());
        front = new Door(station.loop(), station.clock(), () -> node.claim().charter().caps(), Math.max(64, options.maxFiles() - 600), node::onExchange);
        var ready = new Door(station.loop(), station.clock(), () -> Charter.NONE.caps(), 64, this::ready);
        links.open(node);
        front.open(options.front());
        front.watch();
        ready.open(options.ready());
        station.loop().execute(() -> LoopClock.guarded(node::tick));
        station.onSeeds(node.claim()::addPilots);
        station.onTerm(this::leave);
        LOG.log(System.Logger.Level.INFO, "gallery " + options.node() + " is up");
    }

    private void ready(Exchange exchange) {
        exchange.answer(exchange.target().equals("/ready") ? Exchange.Answer.of(node.ready() ? Codes.FINE : Codes.NO_CLAIM) : Exchange.Answer.of(Codes.NO_PATH));
    }

    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        leftUs = station.clock().steadyUs();
        LOG.log(System.Logger.Level.INFO, "leaving");
        node.leave();
        station.clock().after(CLOSE_AFTER_US, this::close);
    }

    private void close() {
        front.drain();
        node.close();
        station.clock().every(50_000, this::mayEnd);
    }

    private void mayEnd() {
        front.closeIdle();
        var late = station.clock().steadyUs() - leftUs > station.options().graceUs() - END_MARGIN_US;
        if (late) {
            node.flush();
            station.clock().after(50_000, station::end);
            return;
        }
        switch (departure.step(node.idle() && front.connections() == 0)) {
            case FLUSH -> node.flush();
            case END -> station.end();
            default -> { }
        }
    }
}
