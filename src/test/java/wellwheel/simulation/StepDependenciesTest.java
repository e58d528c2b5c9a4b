package wellwheel.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.control.ControlNode;
import wellwheel.runtime.ResultCode;

class StepDependenciesTest {
  private static final long SECOND = Scenario.SECOND;

  private final List<HistoryChecker.Entry> last = new ArrayList<>();

  private static HistoryChecker.Entry hand(
      Scenario play,
      String service,
      String orderKey,
      long delayMs,
      List<HistoryChecker.Entry> after,
      Consumer<HistoryChecker.Entry> kept) {
    return play.handIn(play.anyEdge(), service, orderKey, "acme", play.key, delayMs, after, kept);
  }

  private void chains(Scenario play, long untilUs) {
    if (play.world.nowUs() >= untilUs) {
      return;
    }
    var thing = "shipment-" + play.world.random().nextInt(6);
    hand(
        play,
        "quote",
        "",
        0,
        List.of(),
        quote ->
            hand(
                play,
                "notice",
                "",
                0,
                List.of(quote),
                notice -> hand(play, "book", thing, 0, List.of(quote, notice), last::add)));
    play.world.after(60_000 + play.world.random().nextInt(60_000), () -> chains(play, untilUs));
  }

  private static ControlNode.Reply told(Scenario play, Consumer<Consumer<ControlNode.Reply>> call) {
    var replies = new ArrayList<ControlNode.Reply>();
    call.accept(replies::add);
    play.run(4 * SECOND);
    assertThat(replies).hasSize(1);
    return replies.get(0);
  }

  private static ControlNode control(Scenario play) {
    for (var wait = 0; wait < 20 && play.world.leader().isEmpty(); wait++) {
      play.run(SECOND / 2);
    }
    return play.world.leader().orElseThrow().control();
  }

  private static JsonObject json(ControlNode.Reply reply) {
    assertThat(reply.code()).isEqualTo(ResultCode.FINE);
    return JsonParser.parseString(new String(reply.body(), StandardCharsets.UTF_8))
        .getAsJsonObject();
  }

  private static String state(Scenario play, HistoryChecker.Entry entry) {
    var found = new ArrayList<String>();
    play.world.ask(
        play.anyEdge(),
        "GET",
        "/message/" + entry.name,
        Map.of("Host", HistoryChecker.HOST, "Authorization", "Bearer " + play.key),
        new byte[0],
        answer -> found.add(new String(answer.orElseThrow().body(), StandardCharsets.UTF_8)));
    play.run(3 * SECOND);
    return found.get(0);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 14, 16, 18})
  void noStepStartsBeforeThoseItReliesOnWhateverFails(long seed) {
    var play =
        Scenario.trouble(
            seed,
            16 * SECOND,
            each -> {
              chains(each, each.world.nowUs() + 14 * SECOND);
              each.run(3 * SECOND);
              var storageNodes = each.world.hosts("storage");
              each.pulledOut = seed % 2 == 0 || seed % 5 == 0 ? "w0" : "";
              switch ((int) seed % 5) {
                case 0 -> {}
                case 1 -> each.world.kill(storageNodes.get(1));
                case 2 -> each.world.term(storageNodes.get(0));
                case 3 -> each.world.cutOff(storageNodes.get(2), 2 * SECOND);
                default -> {
                  each.powerLost = true;
                  List.of("control", "storage", "edge")
                      .forEach(
                          role ->
                              each.world
                                  .hosts(role)
                                  .forEach(host -> each.world.powerOff(host, SECOND)));
                }
              }
              each.run(4 * SECOND);
              each.world.kill(each.world.hosts("edge").get(0));
            });
    assertThat(last.size()).isAtLeast(20);
    for (var entry : last) {
      assertWithMessage(entry.id).that(entry.successes).isAtLeast(1);
      entry.after.forEach(
          step -> assertWithMessage(step.id).that(step.doneUs).isAtMost(entry.firstStartUs));
    }
  }

  private double inAim(long seed, boolean pulledOut) {
    var play =
        Scenario.trouble(
            seed,
            12 * SECOND,
            each -> {
              chains(each, each.world.nowUs() + 10 * SECOND);
              each.run(3 * SECOND);
              each.pulledOut = pulledOut ? "w5" : "";
              each.run(9 * SECOND);
            });
    var quotes =
        play.checker.entries.values().stream()
            .filter(entry -> entry.service.equals("quote") && entry.acceptedUs < Long.MAX_VALUE)
            .toList();
    quotes.forEach(entry -> assertWithMessage(entry.id).that(entry.successes).isEqualTo(1));
    return (double)
            quotes.stream().filter(entry -> entry.firstStartUs - entry.sentUs <= 500_000).count()
        / quotes.size();
  }

  @Test
  void callsStartInTimeAlthoughAWorkerIsPulledOut() {
    var with = 0.0;
    var without = 0.0;
    for (var seed = 31L; seed <= 36; seed++) {
      with += inAim(seed, true) / 6;
      without += inAim(seed, false) / 6;
    }
    System.out.printf("STEPS in aim with a worker pulled out %.4f, without %.4f%n", with, without);
    assertThat(without).isGreaterThan(0.9);
    assertThat(with).isAtLeast(without - 0.03);
  }

  @Test
  void aStepThatFailedHoldsItsLaterOnesUntilAnOperatorDecides() {
    var play = new Scenario(21).up();
    var later = new ArrayList<HistoryChecker.Entry>();
    var step =
        hand(
            play,
            "carrier",
            "",
            20_000,
            List.of(),
            kept -> {
              later.add(
                  hand(
                      play,
                      "notice",
                      "",
                      0,
                      List.of(kept),
                      first -> later.add(hand(play, "notice", "", 0, List.of(first), each -> {}))));
              later.add(hand(play, "quote", "", 0, List.of(kept), each -> {}));
            });
    play.run(2 * SECOND);
    var before = json(told(play, answer -> control(play).steps(step.name, answer)));
    assertThat(before.get("Holds").getAsString()).contains("delay");
    assertThat(before.getAsJsonArray("LaterSteps")).hasSize(3);
    assertThat(before.getAsJsonArray("LaterSteps").toString())
        .contains("waits for step " + step.name);
    assertThat(told(play, answer -> control(play).decideStep(step.name, false, answer)).code())
        .isEqualTo(ResultCode.NOT_HELD);
    assertThat(later.stream().filter(each -> each.firstStartUs < Long.MAX_VALUE).toList())
        .isEmpty();
    var without =
        HistoryChecker.config(2, play.key, 4).replaceFirst("\\{\"Name\":\"r-carrier\".*?\\},", "");
    assertThat(
            told(
                    play,
                    answer ->
                        play.world.configure(without.getBytes(StandardCharsets.UTF_8), 1, answer))
                .code())
        .isEqualTo(ResultCode.FINE);
    play.run(10 * SECOND);
    assertThat(state(play, step)).contains("failed");
    var warning =
        json(told(play, answer -> control(play).warnings(false, answer)))
            .getAsJsonArray("Warnings")
            .toString();
    assertThat(warning).contains("step-holds-others");
    assertThat(warning).contains(step.name);
    assertThat(warning).contains("\"Later\":2");
    assertThat(
            json(told(play, answer -> control(play).steps(step.id, answer)))
                .getAsJsonArray("LaterSteps")
                .toString())
        .contains("held until an operator decides");
    var held = later.get(0);
    var dropped = later.get(1);
    play.world.hosts("storage").forEach(host -> play.world.powerOff(host, SECOND));
    play.run(8 * SECOND);
    assertThat(told(play, answer -> control(play).decideStep(dropped.name, true, answer)).code())
        .isEqualTo(ResultCode.FINE);
    assertThat(state(play, dropped)).contains("failed");
    held.after = List.of();
    assertThat(told(play, answer -> control(play).decideStep(held.name, false, answer)).code())
        .isEqualTo(ResultCode.FINE);
    play.run(6 * SECOND);
    assertThat(state(play, held)).contains("finished");
    assertThat(state(play, later.get(2))).contains("finished");
    assertThat(dropped.firstStartUs).isEqualTo(Long.MAX_VALUE);
    play.checker.clean();
  }

  @Test
  void laterStepsOfAnOrderAreNamedWhileTheFirstIsTriedAgain() {
    var play = new Scenario(22).up();
    var all = new ArrayList<HistoryChecker.Entry>();
    for (var number = 0; number < 4; number++) {
      hand(play, "book", "one", number == 0 ? 6_000 : 0, List.of(), all::add);
      play.run(SECOND / 4);
    }
    var found = json(told(play, answer -> control(play).steps(all.get(0).name, answer)));
    var later = found.getAsJsonArray("LaterSteps");
    assertThat(
            later.asList().stream()
                .map(each -> each.getAsJsonObject().get("Step").getAsString())
                .toList())
        .isEqualTo(all.subList(1, 4).stream().map(each -> each.name).toList());
    assertThat(later.get(0).getAsJsonObject().get("Holds").getAsString())
        .contains("before it in its order");
    play.run(10 * SECOND);
    play.checker.clean();
    assertThat(all.stream().filter(each -> each.successes == 0).toList()).isEmpty();
  }

  @Test
  void namesThatAreNoneAreRefused() {
    var play = new Scenario(23).up();
    var codes = new ArrayList<ResultCode>();
    var own = new ArrayList<HistoryChecker.Entry>();
    hand(play, "quote", "", 5_000, List.of(), own::add);
    play.run(SECOND);
    for (var names :
        List.of("nobody", "0-nobody", "", ",", "a,b,c,d,e,f,g,h,i", own.get(0).name + ", nobody")) {
      play.world.ask(
          play.anyEdge(),
          "POST",
          "/quote/x",
          Map.of(
              "Host",
              HistoryChecker.HOST,
              "Attempt-Id",
              "x" + codes.size(),
              "Authorization",
              "Bearer " + play.key,
              "Runs-After",
              names),
          new byte[0],
          answer -> codes.add(answer.map(each -> each.code()).orElseThrow()));
      play.run(3 * SECOND);
    }
    play.world.ask(
        play.anyEdge(),
        "POST",
        "/quote/x",
        Map.of(
            "Host",
            HistoryChecker.HOST,
            "Attempt-Id",
            "y",
            "Authorization",
            "Bearer beta-key",
            "Runs-After",
            own.get(0).name),
        new byte[0],
        answer -> codes.add(answer.map(each -> each.code()).orElseThrow()));
    play.run(3 * SECOND);
    assertThat(codes)
        .containsExactly(
            ResultCode.NO_STEP,
            ResultCode.NO_STEP,
            ResultCode.BAD_STEPS,
            ResultCode.BAD_STEPS,
            ResultCode.BAD_STEPS,
            ResultCode.NO_STEP,
            ResultCode.NO_STEP)
        .inOrder();
    assertThat(told(play, answer -> control(play).steps("nobody", answer)).code())
        .isEqualTo(ResultCode.NO_MESSAGE);
    assertThat(told(play, answer -> control(play).decideStep("7-nobody", true, answer)).code())
        .isEqualTo(ResultCode.NO_MESSAGE);
    assertThat(told(play, answer -> control(play).decideStep("nobody", true, answer)).code())
        .isEqualTo(ResultCode.NO_MESSAGE);
  }
}
