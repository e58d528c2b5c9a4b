package wellwheel.functions;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.ManualClock;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Frame;
import wellwheel.transport.PooledHttpClient;

/** Guards against calls being refused by an owner that has not heard of a new function yet. */
class FunctionOwnerTest {
  private static final String FRONT = "10.0.0.7";

  private static final InstanceClient NO_INSTANCES =
      new InstanceClient() {
        @Override
        public void send(
            String address,
            String instanceId,
            FunctionCall call,
            int connections,
            Consumer<PooledHttpClient.Answer> done) {}

        @Override
        public void forget(String address) {}
      };

  private final List<Frame> sent = new ArrayList<>();
  private final FrontNode owner = owner();

  private FrontNode owner() {
    try {
      var options =
          NodeOptions.read(
              "{\"NodeName\":\"me\",\"Ip\":\"10.0.0.9\",\"Zone\":\"z\",\"ListenOn\":{},\"InternalPorts\":[7100,7115],"
                  + "\"SeedNodes\":[\"10.0.0.1:1\"],\"Rollout\":\"functions\"}");
      var clock = new ManualClock();
      var node = new FrontNode(options, clock, (ip, frame) -> sent.add(frame), NO_INSTANCES, 1);
      var frame =
          Frame.of("claim.ok")
              .with("sent", clock.nowUs)
              .with("core", clock.nowUs)
              .with("rev", 1)
              .with(
                  "config",
                  "{\"Revision\":1,\"Routing\":[],\"Backends\":[]}"
                      .getBytes(StandardCharsets.UTF_8));
      node.onFrame("10.0.0.1", Frame.unpack(frame.pack()));
      return node;
    } catch (NodeOptions.Unusable e) {
      throw new IllegalStateException(e);
    }
  }

  private CallOutcome outcomeOfCallUnder(long revision) {
    var call =
        new FunctionCall(
            "new",
            "c",
            "POST",
            "/x",
            List.of(),
            new byte[0],
            1,
            false,
            1,
            false,
            5_000_000,
            revision);
    sent.clear();
    owner.onFrame(FRONT, Frame.unpack(call.toFrame(3).pack()));
    assertThat(sent).hasSize(1);
    return CallOutcome.read(sent.get(0));
  }

  @Test
  void aCallOfAFunctionThatIsNotKnownYetIsTriedAgain() {
    assertThat(outcomeOfCallUnder(2)).isInstanceOf(CallOutcome.Moved.class);
  }

  @Test
  void aCallOfAFunctionThatIsNotThereIsRefusedAsNotRun() {
    assertThat(outcomeOfCallUnder(1)).isEqualTo(new CallOutcome.Ended(ResultCode.NO_INSTANCE));
  }
}
