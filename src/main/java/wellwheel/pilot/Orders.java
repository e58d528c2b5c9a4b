package wellwheel.pilot;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import wellwheel.lantern.Charter;
import wellwheel.lantern.Codes;
import wellwheel.lantern.Frame;

final class Orders {
    static final int TAKEN_MOST = 4096;
    private static final System.Logger LOG = System.getLogger("orders");
    private static final byte[] NO_CONFIG = "{\"Revision\":0,\"Routing\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);
    private byte[] config = {};
    private Charter charter = Charter.NONE;
    private final TreeMap<Long, String> taken = new TreeMap<>();
    private final Set<String> digests = new HashSet<>();
    private long forgotten = -1;

    record Verdict(boolean proper, boolean provable, PilotNode.Reply reply) {
        static Verdict sure(PilotNode.Reply reply) {
            return new Verdict(false, false, reply);
        }

        static Verdict byState(PilotNode.Reply reply) {
            return new Verdict(false, true, reply);
        }
    }

    Charter charter() {
        return charter;
    }

    byte[] config() {
        return config;
    }

    byte[] readable() {
        return config.length == 0 ? NO_CONFIG : config;
    }

    boolean tookEver(byte[] bytes) {
        return digests.contains(digest(bytes));
    }

    Verdict judge(byte[] bytes, Optional<Long> base) {
        if (tookEver(bytes)) {
            return Verdict.sure(PilotNode.Reply.of(Codes.FINE));
        }
        try {
            return judge(Charter.read(bytes), base);
        } catch (Charter.Invalid e) {
            return Verdict.sure(PilotNode.Reply.of(Codes.BAD_CONFIG, e.getMessage()));
        }
    }

    private Verdict judge(Charter next, Optional<Long> base) {
        if (base.isEmpty()) {
            return Verdict.sure(PilotNode.Reply.of(Codes.BAD_CONFIG, "Based-On-Version is missing or not a number"));
        }
        if (base.get() != charter.revision()) {
            return Verdict.byState(loser(base.get()));
        }
        if (next.revision() <= charter.revision()) {
            return Verdict.byState(PilotNode.Reply.of(Codes.BAD_CONFIG, "/Revision: not above the current " + charter.revision()));
        }
        return new Verdict(true, false, PilotNode.Reply.of(Codes.FINE));
    }

    PilotNode.Reply outcome(byte[] bytes, long base) {
        return tookEver(bytes) ? PilotNode.Reply.of(Codes.FINE) : loser(base);
    }

    private PilotNode.Reply loser(long base) {
        return base <= forgotten ? PilotNode.Reply.of(Codes.NO_LEADER, "unclear: built on a version too old to remember")
            : PilotNode.Reply.of(Codes.OTHER_BASE, "the current version is " + charter.revision());
    }

    void apply(long base, byte[] bytes) {
        if (base != charter.revision()) {
            return;
        }
        try {
            var next = Charter.read(bytes);
            if (next.revision() > charter.revision()) {
                charter = next;
                config = bytes;
                remember(base, digest(bytes));
            }
        } catch (Charter.Invalid e) {
            LOG.log(System.Logger.Level.ERROR, "refused at apply: " + e.getMessage());
        }
    }

    private void remember(long base, String digest) {
        taken.put(base, digest);
        digests.add(digest);
        while (taken.size() > TAKEN_MOST) {
            var oldest = taken.pollFirstEntry();
            digests.remove(oldest.getValue());
            forgotten = oldest.getKey();
        }
    }

    void save(Frame state) {
        var rows = new ArrayList<Object>();
        taken.forEach((base, digest) -> rows.add(Frame.of("order").with("base", base).with("digest", HexFormat.of().parseHex(digest))));
        state.with("config", config).with("orders", rows).with("forgotten", forgotten + 1);
    }

    void restore(Frame state) {
        config = state.bytes("config");
        try {
            charter = config.length == 0 ? Charter.NONE : Charter.read(config);
        } catch (Charter.Invalid e) {
            throw new IllegalArgumentException("a configuration that cannot be read: " + e.getMessage(), e);
        }
        taken.clear();
        digests.clear();
        forgotten = state.number("forgotten") - 1;
        state.frames("orders").forEach(row -> remember(row.number("base"), HexFormat.of().formatHex(row.bytes("digest"))));
        restoreFormer(state.texts("taken"));
    }

    private void restoreFormer(List<String> former) {
        if (!former.isEmpty()) {
            digests.addAll(former);
            forgotten = charter.revision() - 1;
        }
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
