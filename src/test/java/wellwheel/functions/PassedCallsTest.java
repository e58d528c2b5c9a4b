package wellwheel.functions;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import wellwheel.config.Configuration;
import wellwheel.runtime.EventQueue;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;
import wellwheel.transport.Frame;

class PassedCallsTest {
  private static final String HERE = "10.2.0.1";
  private static final String FIRST = "10.2.0.2";
  private static final String SECOND = "10.2.0.3";

  private static final class Client implements Exchange {
    private int status;

    @Override
    public String method() {
      return "POST";
    }

    @Override
    public String target() {
      return "/safe0/x";
    }

    @Override
    public Optional<String> header(String name) {
      return name.equals("Attempt-Id") ? Optional.of("c") : Optional.empty();
    }

    @Override
    public byte[] body() {
      return new byte[0];
    }

    @Override
    public List<String> fields() {
      return List.of("Attempt-Id", "c");
    }

    @Override
    public void answer(Answer answer) {
      status = answer.code().status();
    }

    @Override
    public void relay(Relayed answer) {
      status = answer.status();
    }

    @Override
    public boolean open() {
      return status == 0;
    }

    @Override
    public void onClose(Runnable task) {}
  }

  private final EventQueue time = new EventQueue();
  private final List<String> sent = new ArrayList<>();
  private final List<FunctionPool.CallKey> ownedHere = new ArrayList<>();
  private final List<FunctionPool.CallKey> withdrawnHere = new ArrayList<>();
  private String owner = FIRST;
  private int budget = 1;

  private final PassedCalls calls =
      new PassedCalls(
          this,
          HERE,
          time.clock(() -> true),
          (ip, frame) -> sent.add(ip + " " + frame.kind()),
          new PassedCalls.Owners() {
            @Override
            public String choose(String service) {
              return owner;
            }

            @Override
            public void own(
                FunctionPool.CallKey key, FunctionCall call, Consumer<CallOutcome> done) {
              ownedHere.add(key);
            }

            @Override
            public boolean retry() {
              return budget-- > 0;
            }

            @Override
            public void withdraw(FunctionPool.CallKey key) {
              withdrawnHere.add(key);
            }
          },
          0);

  private Client take() throws Configuration.Invalid {
    var json = FunctionsWorld.configurationJson().getBytes(StandardCharsets.UTF_8);
    var path = Configuration.read(json).path("h", "/safe0/x").orElseThrow();
    var client = new Client();
    calls.take(client, path, Optional.empty(), 1);
    return client;
  }

  private static CallOutcome answered() {
    return new CallOutcome.Answered(new Exchange.Relayed(200, List.of(), new byte[0]));
  }

  /** Guards against calls that begin, at the owner they were passed on to, after their answer. */
  @Test
  void anAnswerOfAFormerOwnerEndsTheCallAtThePresentOne() throws Exception {
    var client = take();
    owner = SECOND;
    calls.lost(FIRST);
    calls.over(FIRST, 1, answered());
    assertThat(client.status).isEqualTo(200);
    assertThat(sent)
        .containsExactly(FIRST + " call", SECOND + " call", SECOND + " call.withdraw")
        .inOrder();
  }

  @Test
  void anAnswerOfAFormerOwnerEndsTheCallThatThisNodeOwnsByThen() throws Exception {
    take();
    owner = HERE;
    calls.lost(FIRST);
    calls.over(FIRST, 1, answered());
    assertThat(ownedHere).containsExactly(new FunctionPool.CallKey(HERE, 1));
    assertThat(withdrawnHere).containsExactly(new FunctionPool.CallKey(HERE, 1));
  }

  @Test
  void anOwnerIsToldWhatItMayStillBegin() throws Exception {
    take();
    take();
    owner = SECOND;
    calls.unsent(FIRST, 2);
    var check = new CallCheck("s0", List.of(1L, 2L, 3L));
    assertThat(calls.check(FIRST, check))
        .isEqualTo(new CallCheck.Answer("s0", List.of(1L), List.of(2L, 3L)));
    assertThat(calls.check(SECOND, check))
        .isEqualTo(new CallCheck.Answer("s0", List.of(2L), List.of(1L, 3L)));
  }

  @Test
  void aCheckAndItsAnswerArriveAsTheyWere() {
    var check = new CallCheck("s", List.of(1L, 1L << 40));
    assertThat(CallCheck.read(Frame.unpack(check.toFrame().pack()))).isEqualTo(check);
    var answer = new CallCheck.Answer("s", List.of(1L), List.of(7L << 33));
    assertThat(CallCheck.Answer.read(Frame.unpack(answer.toFrame().pack()))).isEqualTo(answer);
  }

  @Test
  void aLostOwnerCostsARetryAndWithoutOneTheCallEnds() throws Exception {
    var first = take();
    var second = take();
    owner = SECOND;
    calls.lost(FIRST);
    assertThat(first.status).isEqualTo(0);
    assertThat(second.status).isEqualTo(ResultCode.RUN_UNKNOWN.status());
  }
}
