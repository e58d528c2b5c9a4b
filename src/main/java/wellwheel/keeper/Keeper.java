package wellwheel.keeper;

import java.nio.file.Path;
import java.security.SecureRandom;
import wellwheel.lantern.Caller;
import wellwheel.lantern.FileDisk;
import wellwheel.lantern.Links;
import wellwheel.lantern.Station;

public final class Keeper {
    private static final System.Logger LOG = System.getLogger("keeper");
    private static final long TICK_US = 50_000;
    private static final long END_MARGIN_US = 500_000;
    private final Station station;
    private final KeeperNode node;
    private boolean leaving;
    private long leftUs;

    public Keeper(Station station) throws InterruptedException {
        this.station = station;
        var options = station.options();
        var links = new Links(options.ip(), options.innerPort(), station.loop(), station.clock());
        var disk = new FileDisk(Path.of(station.dataDir().orElse("/tmp/wellwheel")), station.loop());
        var courier = new HttpCourier(new Caller(station.loop(), station.clock()));
        node = new KeeperNode(options, station.clock(), links, disk, courier, new SecureRandom().nextLong());
        links.open(node);
        station.clock().every(TICK_US, node::tick);
        station.onSeeds(node.claim()::addPilots);
        station.onTerm(this::leave);
        LOG.log(System.Logger.Level.INFO, "keeper " + node.id() + " is up with " + node.liveMessages() + " messages");
    }

    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        leftUs = station.clock().steadyUs();
        LOG.log(System.Logger.Level.INFO, "leaving");
        node.leave();
        station.clock().every(50_000, this::mayEnd);
    }

    private void mayEnd() {
        var late = station.clock().steadyUs() - leftUs > station.options().graceUs() - END_MARGIN_US;
        if (late || node.mayLeave()) {
            LOG.log(System.Logger.Level.INFO, (late ? "out of grace" : "handed over") + " after us=" + (station.clock().steadyUs() - leftUs));
            station.clock().after(30_000, station::end);
        }
    }
}
