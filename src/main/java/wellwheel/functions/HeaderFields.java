package wellwheel.functions;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Which header fields of requests and answers go along. */
final class HeaderFields {
  private static final Set<String> OF_A_CONNECTION =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private static final Set<String> SET_BY_THE_SYSTEM =
      Set.of("time-left-ms", "target-server", "customer", "authorization");

  private HeaderFields() {}

  /** The fields of a client's request that an instance gets. */
  static List<String> ofRequest(List<String> fields) {
    return without(fields, true);
  }

  /** The fields of an instance's answer that the client gets. */
  static List<String> ofAnswer(List<String> fields) {
    return without(fields, false);
  }

  private static List<String> without(List<String> fields, boolean request) {
    var named = namedByConnection(fields);
    var kept = new ArrayList<String>(fields.size());
    for (var i = 0; i + 1 < fields.size(); i += 2) {
      var name = fields.get(i).toLowerCase(Locale.ROOT);
      var dropped =
          OF_A_CONNECTION.contains(name)
              || named.contains(name)
              || request && SET_BY_THE_SYSTEM.contains(name);
      if (!dropped) {
        kept.add(fields.get(i));
        kept.add(fields.get(i + 1));
      }
    }
    return kept;
  }

  private static List<String> namedByConnection(List<String> fields) {
    var named = new ArrayList<String>();
    for (var i = 0; i + 1 < fields.size(); i += 2) {
      if (fields.get(i).equalsIgnoreCase("connection")) {
        for (var name : fields.get(i + 1).split(",")) {
          named.add(name.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    return named;
  }
}
