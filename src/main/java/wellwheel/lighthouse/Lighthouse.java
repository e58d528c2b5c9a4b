package wellwheel.lighthouse;

import wellwheel.gallery.Gallery;
import wellwheel.keeper.Keeper;
import wellwheel.lantern.Codes;
import wellwheel.lantern.Journal;
import wellwheel.lantern.QueueHistory;
import wellwheel.lantern.Station;

public final class Lighthouse {
    private static final System.Logger LOG = System.getLogger("lighthouse");
    private static final int USAGE_STATUS = 64;
    private static final int BAD_STATE_STATUS = 79;

    private Lighthouse() { }

    private static void keeper() throws InterruptedException {
        try {
            new Keeper(Station.start());
        } catch (Journal.Unreadable e) {
            stop(e.code(), e.getMessage());
        } catch (QueueHistory.Unreadable | IllegalArgumentException e) {
            stop(Codes.BAD_STATE, e.getMessage());
        }
    }

    private static void stop(Codes code, String why) {
        LOG.log(System.Logger.Level.ERROR, "code=" + code.number() + " " + why);
        System.out.flush();
        Runtime.getRuntime().halt(BAD_STATE_STATUS);
    }

    public static void main(String[] arguments) throws Exception {
        var role = arguments.length == 1 ? arguments[0] : "";
        switch (role) {
            case "gallery" -> new Gallery(Station.start());
            case "keeper" -> keeper();
            case "warmup" -> Warmup.run();
            default -> {
                LOG.log(System.Logger.Level.ERROR, "usage: lighthouse gallery|keeper");
                System.exit(USAGE_STATUS);
            }
        }
    }
}
