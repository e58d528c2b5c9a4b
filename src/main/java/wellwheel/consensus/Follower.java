package wellwheel.consensus;

import java.util.Optional;
import wellwheel.transport.Frame;

/**
 * What a leader knows of one follower: how far its log is level, what is under way to it and when
 * it last answered.
 */
final class Follower {
  static final long FIRST_WAIT_US = 1_000_000;
  private static final long LAST_WAIT_US = 8_000_000;
  long next;
  long match;
  long contactUs = Long.MIN_VALUE / 2;
  long sinceUs;
  long sentUs;
  long batch;
  long batchLast;
  long movedUs;
  long waitUs = FIRST_WAIT_US;
  long disk;
  boolean blank;
  long blankStamp;
  boolean leaving;
  boolean probing;
  Optional<ChunkSender> chunks = Optional.empty();

  Follower(long next, long nowUs) {
    this.next = next;
    this.sinceUs = nowUs;
  }

  boolean counts() {
    return !blank;
  }

  long silentUs(long nowUs) {
    return nowUs - Math.max(sinceUs, contactUs);
  }

  boolean underWay(long nowUs) {
    if (batch == 0) {
      return false;
    }
    if (nowUs - movedUs < waitUs) {
      return true;
    }
    waitUs = Math.min(2 * waitUs, LAST_WAIT_US);
    movedUs = nowUs;
    return chunks
        .map(
            each -> {
              each.rewind();
              return true;
            })
        .orElse(false);
  }

  void begins(long number, long last, long nowUs) {
    batch = number;
    batchLast = last;
    movedUs = nowUs;
  }

  void holds(long index) {
    probing = false;
    match = Math.max(match, index);
    next = Math.max(next, match + 1);
    if (batch != 0 && match >= batchLast) {
      ends();
    }
  }

  void misses(long last) {
    probing = true;
    next = Math.max(match + 1, Math.min(next - 1, last + 1));
  }

  void moves(long nowUs) {
    movedUs = nowUs;
    waitUs = FIRST_WAIT_US;
  }

  void broken() {
    chunks.ifPresentOrElse(ChunkSender::rewind, () -> batch = 0);
  }

  void ends() {
    batch = 0;
    waitUs = FIRST_WAIT_US;
    chunks = Optional.empty();
  }

  boolean hears(Frame answer, long stamp, long lastIndex) {
    var newDisk = answer.number("disk") != disk;
    if (newDisk && answer.number("sent") <= contactUs) {
      return false;
    }
    if (newDisk) {
      disk = answer.number("disk");
      match = 0;
      next = lastIndex + 1;
      ends();
    }
    if (answer.flag("blank") && (newDisk || !blank)) {
      blankStamp = stamp;
    }
    blank = answer.flag("blank");
    leaving = answer.flag("leaving");
    return true;
  }
}
