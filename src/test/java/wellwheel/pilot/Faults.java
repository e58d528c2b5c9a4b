package wellwheel.pilot;

import java.util.ArrayList;
import java.util.List;

final class Faults {
    private final List<String> all = new ArrayList<>();

    void add(long atUs, String what) {
        all.add(String.format("%.3f s: %s", atUs / 1e6, what));
    }

    boolean none() {
        return all.isEmpty();
    }

    List<String> all() {
        return List.copyOf(all.subList(0, Math.min(5, all.size())));
    }
}
