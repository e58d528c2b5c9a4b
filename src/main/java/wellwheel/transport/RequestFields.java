package wellwheel.transport;

import java.util.Optional;

/** Checks and reads the text of single fields of a request, without regular expressions. */
public final class RequestFields {
  private static final int NAME_MOST = 64;
  private static final int DIGITS_MOST = 15;
  private static final int LEASE_DIGITS_MOST = 12;
  private static final int PARTITION_DIGITS_MOST = 3;
  private static final String BEARER = "Bearer";

  private RequestFields() {}

  /** Whether the text is the name of a try or message: 1 to 64 letters, digits or {@code -_.}. */
  public static boolean isName(String text) {
    if (text.isEmpty() || text.length() > NAME_MOST) {
      return false;
    }
    for (var i = 0; i < text.length(); i++) {
      var c = text.charAt(i);
      var fits =
          c >= 'a' && c <= 'z'
              || c >= 'A' && c <= 'Z'
              || c >= '0' && c <= '9'
              || c == '.'
              || c == '_'
              || c == '-';
      if (!fits) {
        return false;
      }
    }
    return true;
  }

  /** Whether the text is 1 to {@code most} decimal digits. */
  public static boolean isDigits(String text, int most) {
    if (text.isEmpty() || text.length() > most) {
      return false;
    }
    for (var i = 0; i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return false;
      }
    }
    return true;
  }

  /** A whole number of up to 15 digits; -1 if the text is none, the default if it is missing. */
  public static long number(Optional<String> text, long otherwise) {
    if (text.isEmpty()) {
      return otherwise;
    }
    var trimmed = text.get().trim();
    return isDigits(trimmed, DIGITS_MOST) ? Long.parseLong(trimmed) : -1;
  }

  /** The key in an {@code Authorization} header. */
  public static Optional<String> bearerKey(String authorization) {
    var words = authorization.trim();
    var space = words.indexOf(' ');
    if (space < 0 || !words.substring(0, space).equalsIgnoreCase(BEARER)) {
      return Optional.empty();
    }
    var key = words.substring(space).trim();
    return key.indexOf(' ') < 0 ? Optional.of(key) : Optional.empty();
  }

  /** Whether the text is a lease: partition, epoch and attempt, separated by points. */
  public static boolean isLease(String text) {
    var first = text.indexOf('.');
    var second = text.indexOf('.', first + 1);
    return first > 0
        && second > 0
        && isDigits(text.substring(0, first), PARTITION_DIGITS_MOST)
        && isDigits(text.substring(first + 1, second), LEASE_DIGITS_MOST)
        && isDigits(text.substring(second + 1), LEASE_DIGITS_MOST);
  }
}
