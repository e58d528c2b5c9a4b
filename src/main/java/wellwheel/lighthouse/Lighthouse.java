package wellwheel.lighthouse;

import wellwheel.gallery.Gallery;
import wellwheel.keeper.Keeper;
import wellwheel.lantern.Station;

public final class Lighthouse {
    private static final System.Logger LOG = System.getLogger("lighthouse");
    private static final int USAGE_STATUS = 64;

    private Lighthouse() { }

    public static void main(String[] arguments) throws Exception {
        var role = arguments.length == 1 ? arguments[0] : "";
        switch (role) {
            case "gallery" -> new Gallery(Station.start());
            case "keeper" -> new Keeper(Station.start());
            case "warmup" -> Warmup.run();
            default -> {
                LOG.log(System.Logger.Level.ERROR, "usage: lighthouse gallery|keeper");
                System.exit(USAGE_STATUS);
            }
        }
    }
}
