package wellwheel.functions;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Holds what comes at instances against what the clients of the calls sent and were told. */
final class ArrivalChecker {
  private static final long SLACK_US = 500_000;

  private record Arrival(long atUs, boolean again) {}

  private final Map<String, FunctionsWorld.Call> calls = new HashMap<>();
  private final Set<String> seen = new HashSet<>();
  private final List<Arrival> arrivals = new ArrayList<>();

  /** Calls that were given over half a second more than their clients still waited. */
  final List<String> givenTooLong = new ArrayList<>();

  /** Calls that began over half a second after their clients had an answer. */
  final List<String> begunTooLate = new ArrayList<>();

  void sent(FunctionsWorld.Call call) {
    calls.put(call.id, call);
  }

  void arrives(FunctionCall call, long nowUs) {
    arrivals.add(new Arrival(nowUs, !seen.add(call.attemptId())));
    var client = calls.get(call.attemptId());
    var remainingUs = client.sentUs + FunctionsWorld.LEFT_US - nowUs;
    if (call.leftUs() > remainingUs + SLACK_US) {
      givenTooLong.add(call.attemptId());
    }
    if (nowUs > client.answeredUs + SLACK_US) {
      begunTooLate.add(call.attemptId());
    }
  }

  long sentAgain() {
    return arrivals.stream().filter(Arrival::again).count();
  }

  /** In no window calls were sent again oftener than the budget of all nodes together allows. */
  void assertWithinBudget(double ratio, double slack, long windowUs) {
    var window = new ArrayDeque<Arrival>();
    var again = 0;
    for (var each : arrivals) {
      window.addLast(each);
      again += each.again() ? 1 : 0;
      while (window.peekFirst().atUs() <= each.atUs() - windowUs) {
        again -= window.pollFirst().again() ? 1 : 0;
      }
      assertWithMessage("sent again in the window that ends at " + each.atUs())
          .that((double) again)
          .isAtMost(ratio * (window.size() - again) + slack);
    }
  }
}
