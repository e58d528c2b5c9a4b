package wellwheel.control;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import wellwheel.config.Configuration;
import wellwheel.config.ConfigurationPatch;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;

/**
 * The newest configuration and the digests of the changes that led to it; judges whether another
 * change may be taken.
 */
final class ConfigurationChanges {
  static final int TAKEN_MOST = 4096;
  private static final int DIGEST_BYTES = 16;
  private static final byte PATCH_MARK = 1;
  private static final System.Logger LOG = System.getLogger("orders");
  private static final byte[] NO_CONFIG =
      "{\"Revision\":0,\"Routing\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);

  /** Patches that are kept to be sent to nodes which have the version that they build on. */
  static final int PATCHES_MOST = 64;

  /** How a change is given: as the whole configuration or by some named items. */
  enum Form {
    WHOLE,
    PATCH
  }

  /** A patch that was taken: the version it builds on, the one it makes, and its JSON. */
  record Patch(long base, long revision, byte[] bytes) {}

  private byte[] config = {};
  private final List<byte[]> unmerged = new ArrayList<>();
  private final ArrayDeque<Patch> patches = new ArrayDeque<>();
  private Configuration configuration = Configuration.NONE;

  /** Digest of the change that was taken on top of each version. */
  private final TreeMap<Long, String> taken = new TreeMap<>();

  /** The newest version of which it is no longer known what was taken on top of it. */
  private long forgotten = -1;

  record Verdict(boolean proper, boolean provable, ControlNode.Reply reply) {
    static Verdict sure(ControlNode.Reply reply) {
      return new Verdict(false, false, reply);
    }

    static Verdict byState(ControlNode.Reply reply) {
      return new Verdict(false, true, reply);
    }
  }

  Configuration configuration() {
    return configuration;
  }

  /** The newest configuration as JSON; empty before the first. */
  byte[] config() {
    try {
      for (var patch : unmerged) {
        config = ConfigurationPatch.apply(config, patch);
      }
    } catch (Configuration.Invalid e) {
      throw new IllegalStateException("a patch that was taken cannot be applied", e);
    }
    unmerged.clear();
    return config;
  }

  byte[] readable() {
    var whole = config();
    return whole.length == 0 ? NO_CONFIG : whole;
  }

  /** The patches that lead from a version to the newest; empty if they are not all known. */
  List<Patch> since(long revision) {
    var found = new ArrayList<Patch>();
    for (var patch : patches) {
      if (patch.base() == revision || !found.isEmpty()) {
        found.add(patch);
      }
    }
    return found;
  }

  /** Whether this very change was taken: a repeat has the same body and builds on the same base. */
  private boolean took(Form form, byte[] bytes, long base) {
    return digest(form, bytes).equals(taken.get(base));
  }

  Verdict judge(Form form, byte[] bytes, Optional<Long> base) {
    if (base.isPresent() && took(form, bytes, base.get())) {
      return Verdict.sure(ControlNode.Reply.of(ResultCode.FINE));
    }
    if (form == Form.PATCH && base.isPresent() && base.get() != configuration.revision()) {
      return Verdict.byState(loser(base.get()));
    }
    try {
      return judge(next(form, bytes), base);
    } catch (Configuration.Invalid e) {
      return Verdict.sure(ControlNode.Reply.of(ResultCode.BAD_CONFIG, e.getMessage()));
    }
  }

  private Verdict judge(Configuration next, Optional<Long> base) {
    if (base.isEmpty()) {
      return Verdict.sure(
          ControlNode.Reply.of(
              ResultCode.BAD_CONFIG, "Based-On-Version is missing or not a number"));
    }
    if (base.get() != configuration.revision()) {
      return Verdict.byState(loser(base.get()));
    }
    if (next.revision() <= configuration.revision()) {
      return Verdict.byState(
          ControlNode.Reply.of(
              ResultCode.BAD_CONFIG,
              "/Revision: not above the current " + configuration.revision()));
    }
    return new Verdict(true, false, ControlNode.Reply.of(ResultCode.FINE));
  }

  private Configuration next(Form form, byte[] bytes) throws Configuration.Invalid {
    return form == Form.PATCH ? configuration.patched(bytes) : Configuration.read(bytes);
  }

  /** What became of a change that went through the log. */
  ControlNode.Reply outcome(Form form, byte[] bytes, long base) {
    return took(form, bytes, base) ? ControlNode.Reply.of(ResultCode.FINE) : loser(base);
  }

  private ControlNode.Reply loser(long base) {
    return base <= forgotten
        ? ControlNode.Reply.of(
            ResultCode.NO_LEADER, "unclear: built on a version too old to remember")
        : ControlNode.Reply.of(
            ResultCode.OTHER_BASE, "the current version is " + configuration.revision());
  }

  void apply(Form form, long base, byte[] bytes) {
    if (base != configuration.revision()) {
      return;
    }
    try {
      var next = next(form, bytes);
      if (next.revision() > configuration.revision()) {
        configuration = next;
        keep(form, base, bytes);
        remember(base, digest(form, bytes));
      }
    } catch (Configuration.Invalid e) {
      LOG.log(System.Logger.Level.ERROR, "refused at apply: " + e.getMessage());
    }
  }

  private void keep(Form form, long base, byte[] bytes) {
    if (form == Form.WHOLE) {
      config = bytes;
      unmerged.clear();
      patches.clear();
      return;
    }
    unmerged.add(bytes);
    patches.addLast(new Patch(base, configuration.revision(), bytes));
    if (patches.size() > PATCHES_MOST) {
      patches.removeFirst();
    }
    if (unmerged.size() > PATCHES_MOST) {
      config();
    }
  }

  private void remember(long base, String digest) {
    taken.put(base, digest);
    while (taken.size() > TAKEN_MOST) {
      forgotten = taken.pollFirstEntry().getKey();
    }
  }

  void save(Frame state) {
    var rows = new ArrayList<Object>();
    taken.forEach(
        (base, digest) ->
            rows.add(
                Frame.of("order")
                    .with("base", base)
                    .with("digest", HexFormat.of().parseHex(digest))));
    state.with("config", config()).with("orders", rows).with("forgotten", forgotten + 1);
  }

  void restore(Frame state) {
    config = state.bytes("config");
    unmerged.clear();
    patches.clear();
    try {
      configuration = config.length == 0 ? Configuration.NONE : Configuration.read(config);
    } catch (Configuration.Invalid e) {
      throw new IllegalArgumentException(
          "a configuration that cannot be read: " + e.getMessage(), e);
    }
    taken.clear();
    forgotten = state.number("forgotten") - 1;
    state
        .frames("orders")
        .forEach(
            row -> remember(row.number("base"), HexFormat.of().formatHex(row.bytes("digest"))));
    if (!state.texts("taken").isEmpty()) {
      forgotten = configuration.revision() - 1;
    }
  }

  /** A patch and a whole configuration of the same bytes are two different changes. */
  private static String digest(Form form, byte[] bytes) {
    try {
      var sum = MessageDigest.getInstance("SHA-256");
      if (form == Form.PATCH) {
        sum.update(PATCH_MARK);
      }
      return HexFormat.of().formatHex(sum.digest(bytes), 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
