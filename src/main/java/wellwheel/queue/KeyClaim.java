package wellwheel.queue;

/** A claim on an idempotency key that the key's home partition has not decided yet. */
final class KeyClaim {
  /** Distinguishes this claim from others for a message of the same name. */
  final long number;

  /** Steady time of the newest request, in microseconds. */
  long sentUs;

  KeyClaim(long number) {
    this.number = number;
  }
}
