package wellwheel.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Map;
import java.util.Optional;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;

/**
 * Asks all day for states and bodies of accepted messages and checks that no answer is older than
 * what a client or a worker had been told before the question was sent.
 */
final class StateWatch {
  private static final long ASK_EVERY_US = 7_000;
  private static final int BODY_ONE_IN = 4;
  private static final String FINISHED = "finished";
  private static final String FAILED = "failed";

  private final Scenario play;

  /** Answers to questions about messages that were known to have ended. */
  int endedChecked;

  /** Answers to questions about messages that were not known to have ended. */
  int openChecked;

  private StateWatch(Scenario play) {
    this.play = play;
  }

  static StateWatch of(Scenario play) {
    var watch = new StateWatch(play);
    watch.next();
    return watch;
  }

  private void next() {
    draw().ifPresent(this::ask);
    play.world.after(ASK_EVERY_US, this::next);
  }

  private Optional<HistoryChecker.Entry> draw() {
    var entries = new ArrayList<>(play.checker.entries.values());
    if (entries.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(entries.get(play.world.random().nextInt(entries.size())))
        .filter(entry -> entry.acceptedUs < Long.MAX_VALUE);
  }

  private void ask(HistoryChecker.Entry entry) {
    var body = play.world.random().nextInt(BODY_ONE_IN) == 0;
    var knownEnd = entry.toldEnd;
    play.world.ask(
        play.anyEdge(),
        "GET",
        (body ? "/message-body/" : "/message/") + entry.name,
        Map.of("Host", HistoryChecker.HOST, "Authorization", "Bearer " + play.key),
        new byte[0],
        answer -> answer.ifPresent(each -> check(entry, body, knownEnd, each)));
  }

  private void check(
      HistoryChecker.Entry entry, boolean body, String knownEnd, Exchange.Answer answer) {
    var sure = answer.code() == ResultCode.FINE;
    if (!sure && answer.code() != ResultCode.NO_MESSAGE) {
      return;
    }
    endedChecked += knownEnd.isEmpty() ? 0 : 1;
    openChecked += knownEnd.isEmpty() ? 1 : 0;
    if (body) {
      checkBody(entry, knownEnd, answer);
    } else if (!sure) {
      fault(entry, "is not known any more");
    } else {
      checkState(entry, knownEnd, new String(answer.body(), StandardCharsets.UTF_8));
    }
  }

  private void checkBody(HistoryChecker.Entry entry, String knownEnd, Exchange.Answer answer) {
    if (answer.code() != ResultCode.FINE) {
      return;
    }
    var text = new String(answer.body(), StandardCharsets.UTF_8);
    if (knownEnd.equals(FINISHED)) {
      fault(entry, "gives its body as if it waited");
    } else if (!text.equals(new String(entry.body, StandardCharsets.UTF_8))) {
      fault(entry, "gives " + answer.body().length + " bytes of another body");
    }
  }

  private void checkState(HistoryChecker.Entry entry, String knownEnd, String state) {
    if (!state.contains(knownEnd)) {
      fault(entry, "is shown as " + state + " after " + knownEnd);
    }
    entry.toldEnd =
        state.contains(FINISHED) ? FINISHED : state.contains(FAILED) ? FAILED : entry.toldEnd;
  }

  private void fault(HistoryChecker.Entry entry, String what) {
    play.checker.faults.add(
        "LOST " + entry.id + " (" + entry.service + ") " + what + " at " + play.world.nowUs());
  }
}
