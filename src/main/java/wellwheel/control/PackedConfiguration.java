package wellwheel.control;

import java.util.function.Supplier;
import wellwheel.cluster.PackedBytes;

/**
 * The newest configuration in the form in which it is sent to nodes, made once for each version.
 *
 * @param revision the version
 * @param bytes its packed JSON
 */
record PackedConfiguration(long revision, byte[] bytes) {
  static final PackedConfiguration NONE = new PackedConfiguration(0, new byte[0]);

  /** This one if it is of the version, else a new one. */
  PackedConfiguration of(long wanted, Supplier<byte[]> json) {
    return wanted == revision
        ? this
        : new PackedConfiguration(wanted, PackedBytes.pack(json.get()));
  }
}
