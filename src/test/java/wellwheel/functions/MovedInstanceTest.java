package wellwheel.functions;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wellwheel.cluster.ClusterView;
import wellwheel.config.Configuration;
import wellwheel.runtime.EventQueue;
import wellwheel.transport.Frame;

/**
 * Guards against slots that two owners hand out, and against instances that nobody gets any more.
 */
class MovedInstanceTest {
  private static final String FORMER = "10.2.0.1";
  private static final String NEXT = "10.2.0.2";
  private static final long LONG_IDLE_US = 2_000_000;

  private static final class OneInstance implements Platform {
    @Override
    public void start(String service, String worker, String key, long fence, Consumer<Start> done) {
      done.accept(new Start.NoRoom());
    }

    @Override
    public void stop(String id, long fence, Consumer<Boolean> done) {
      done.accept(true);
    }

    @Override
    public void instances(Consumer<Optional<List<Listed>>> done) {
      done.accept(Optional.of(List.of(new Listed("i-1", "s0", "10.9.0.1:80", "z", "w-1", false))));
    }

    @Override
    public void workers(Consumer<Optional<List<Worker>>> done) {
      done.accept(Optional.of(List.of(new Worker("w-1", "z", 1 << 20, true))));
    }
  }

  private static final class Leader implements Scaler.Leadership {
    @Override
    public boolean leads() {
      return true;
    }

    @Override
    public long term() {
      return 1;
    }

    @Override
    public Configuration configuration() {
      try {
        var json = FunctionsWorld.configurationJson().getBytes(StandardCharsets.UTF_8);
        return Configuration.read(json);
      } catch (Configuration.Invalid e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public List<ClusterView.Member> owners() {
      return List.of(
          new ClusterView.Member("former", "edge", FORMER, "z"),
          new ClusterView.Member("next", "edge", NEXT, "z"));
    }
  }

  private final EventQueue time = new EventQueue();

  /** What owners were told, each list once however often it was told. */
  private final Set<String> assigned = new LinkedHashSet<>();

  private final Scaler scaler =
      new Scaler(
          time.clock(() -> true),
          this::told,
          new OneInstance(),
          new Leader(),
          "core-1",
          60_000_000,
          300);

  private void told(String ip, Frame frame) {
    if (frame.kind().equals(Scaler.ASSIGNED)) {
      var ids = frame.frames("rows").get(0).frames("is").stream().map(each -> each.text("i"));
      assigned.add(ip + " " + ids.toList());
    }
  }

  private void report(String id, String ip, Frame... rows) {
    scaler.onFrame(
        ip,
        Frame.of(Scaler.REPORT)
            .with("id", id)
            .with("zone", "z")
            .with("v", Long.MAX_VALUE)
            .with("rows", Arrays.<Object>asList(rows)));
  }

  private static Frame row(int waiting, int running, String... instances) {
    var rows = new ArrayList<Object>();
    for (var id : instances) {
      rows.add(new Frame().with("i", id).with("a", "10.9.0.1:80").with("n", running));
    }
    return new Frame().with("s", "s0").with("w", waiting).with("n", running).with("is", rows);
  }

  /** The former owner has the instance and no work; then another one has work. */
  @BeforeEach
  void moveFromIdleOwner() {
    scaler.tick();
    report("next", NEXT);
    report("former", FORMER);
    report("former", FORMER, row(1, 0));
    assertThat(assigned).containsExactly(FORMER + " [i-1]");
    report("former", FORMER, row(0, 0, "i-1"));
    time.runFor(LONG_IDLE_US);
    report("former", FORMER, row(0, 0, "i-1"));
    assigned.clear();
    report("next", NEXT, row(1, 0));
  }

  @Test
  void theFormerOwnerIsToldFirstAndTheNextOneOnceItHasLetGo() {
    assertThat(assigned).containsExactly(FORMER + " []");
    report("former", FORMER, row(0, 1, "i-1"));
    report("next", NEXT, row(1, 0));
    assertThat(assigned).doesNotContain(NEXT + " [i-1]");
    report("former", FORMER, row(0, 0));
    assertThat(assigned).contains(NEXT + " [i-1]");
  }

  @Test
  void aReportWithoutTheFunctionLetsGoToo() {
    report("former", FORMER);
    assertThat(assigned).containsExactly(FORMER + " []", NEXT + " [i-1]").inOrder();
  }
}
