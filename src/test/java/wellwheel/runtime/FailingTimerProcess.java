package wellwheel.runtime;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;

/** A process whose periodic task runs out of memory. */
public final class FailingTimerProcess {
  private FailingTimerProcess() {}

  public static void main(String[] arguments) {
    var clock = new LoopClock(new NioEventLoopGroup(1).next());
    clock.every(
        10_000,
        () -> {
          var held = new ArrayList<byte[]>();
          while (true) {
            held.add(new byte[1 << 20]);
          }
        });
  }
}
