package wellwheel.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import wellwheel.config.Configuration;
import wellwheel.runtime.Clock;
import wellwheel.transport.Frame;
import wellwheel.transport.Network;

/**
 * A node's lease with the control leader: renews it, follows a change of leader, and holds the
 * newest configuration, partition table, members and processors that came with it.
 */
public final class ClusterLease {
  private static final System.Logger LOG = System.getLogger("claim");
  private static final long RENEW_US = 400_000;
  private static final long RETRY_US = 120_000;
  private final Clock clock;
  private final Network wire;
  private final String id;
  private final Supplier<Frame> introduction;
  private final Runnable onNews;
  private final ControlAddresses controlNodes;
  private long askedUs = Long.MIN_VALUE / 2;
  private boolean answered = true;
  private long confirmedUs = Long.MIN_VALUE / 2;
  private long coreOffsetUs;
  private boolean coreKnown;
  private Configuration configuration = Configuration.NONE;
  private ClusterView view = ClusterView.NONE;
  private long rosterVersion;
  private List<ClusterView.Processor> roster = List.of();
  private long shiftsVersion;
  private List<Rollout> rollouts = List.of();

  public ClusterLease(
      Clock clock,
      Network wire,
      String id,
      List<String> seeds,
      Supplier<Frame> introduction,
      Runnable onNews) {
    this.clock = clock;
    this.wire = wire;
    this.id = id;
    this.introduction = introduction;
    this.onNews = onNews;
    controlNodes = new ControlAddresses(seeds, id.hashCode());
  }

  public Configuration configuration() {
    return configuration;
  }

  public ClusterView view() {
    return view;
  }

  public List<ClusterView.Processor> roster() {
    return roster;
  }

  public List<Rollout> rollouts() {
    return rollouts;
  }

  public String control() {
    return controlNodes.current();
  }

  public long ageUs() {
    return clock.steadyUs() - confirmedUs;
  }

  public boolean knowsCore() {
    return coreKnown;
  }

  public long coreUs() {
    return coreKnown ? clock.steadyUs() + coreOffsetUs : clock.wallUs();
  }

  public void tick() {
    var nowUs = clock.steadyUs();
    if (nowUs - askedUs < (answered ? RENEW_US : RETRY_US)) {
      return;
    }
    if (!answered) {
      controlNodes.next();
    }
    renew();
  }

  public long dueUs() {
    return askedUs + (answered ? RENEW_US : RETRY_US);
  }

  public void renew() {
    askedUs = clock.steadyUs();
    answered = false;
    wire.send(
        control(),
        introduction
            .get()
            .with("id", id)
            .with("sent", askedUs)
            .with("rev", configuration.revision())
            .with("lay", view.version())
            .with("mem", view.memberVersion())
            .with("ros", rosterVersion)
            .with("shi", shiftsVersion));
  }

  public void onDown(String ip) {
    if (ip.equals(control()) && !answered) {
      askedUs = Math.min(askedUs, clock.steadyUs() - RETRY_US + 50_000);
    }
  }

  public void onFrame(String from, Frame frame) {
    switch (frame.kind()) {
      case "claim.ok" -> {
        if (frame.number("sent") >= confirmedUs) {
          confirm(from, frame);
        }
        takeNews(frame);
      }
      case "claim.no" -> redirect(from, frame.text("leader"));
      case "news" -> takeNews(frame);
      default -> {}
    }
  }

  private void confirm(String from, Frame frame) {
    confirmedUs = frame.number("sent");
    answered = true;
    if (!control().equals(from)) {
      redirect(from, from);
      answered = true;
    }
    hearCoreTime(frame.number("core"), confirmedUs);
    controlNodes.votersAre(frame.texts("voters"));
  }

  /**
   * Takes the core's time in an answer, which was made at some moment since the question. What is
   * known already stays where it agrees with that, so that a late answer does not shift it.
   */
  private void hearCoreTime(long answeredCoreUs, long askedUs) {
    var leastUs = answeredCoreUs - clock.steadyUs();
    var mostUs = answeredCoreUs - askedUs;
    if (!coreKnown || coreOffsetUs < leastUs || coreOffsetUs > mostUs) {
      coreOffsetUs = (leastUs + mostUs) / 2;
      coreKnown = true;
    }
  }

  /** Takes the seeds of a changed options file in place of the former ones. */
  public void seedsAre(List<String> ips) {
    controlNodes.seedsAre(ips);
  }

  private void redirect(String from, String leader) {
    if (!from.equals(control()) && !leader.equals(from)) {
      return;
    }
    if (leader.isEmpty()) {
      return;
    }
    if (!leader.equals(control())) {
      controlNodes.leaderIs(leader);
      if (!leader.equals(from)) {
        renew();
      }
    }
  }

  private void takeNews(Frame frame) {
    var changed = takeConfiguration(frame);
    var partitions = frame.frames("lines");
    var missed = frame.number("since") > view.version();
    if (!partitions.isEmpty() && !missed) {
      view = view.withPartitions(partitions.stream().map(ClusterView.Partition::read).toList());
      changed = true;
    }
    if (frame.has("members") && frame.number("mem") > view.memberVersion()) {
      view =
          view.withMembers(
              frame.number("mem"),
              frame.frames("members").stream().map(ClusterView.Member::read).toList());
      changed = true;
    }
    if (frame.has("roster") && frame.number("ros") > rosterVersion) {
      rosterVersion = frame.number("ros");
      roster = frame.frames("roster").stream().map(ClusterView.Processor::read).toList();
      changed = true;
    }
    if (frame.has("shifts") && frame.number("shi") > shiftsVersion) {
      shiftsVersion = frame.number("shi");
      rollouts = frame.frames("shifts").stream().map(Rollout::read).toList();
      changed = true;
    }
    if (changed) {
      onNews.run();
    }
    if (missed && answered) {
      renew();
    }
  }

  private boolean takeConfiguration(Frame frame) {
    try {
      if (frame.has("config") && frame.number("rev") > configuration.revision()) {
        configuration = Configuration.read(PackedBytes.unpack(frame.bytes("config")));
        return true;
      }
      return takePatches(frame.frames("patches"));
    } catch (Configuration.Invalid | IllegalArgumentException e) {
      LOG.log(
          System.Logger.Level.ERROR, "a committed configuration cannot be read: " + e.getMessage());
      return false;
    }
  }

  private boolean takePatches(List<Frame> patches) throws Configuration.Invalid {
    var changed = false;
    for (var patch : patches) {
      if (patch.number("base") == configuration.revision()) {
        configuration = configuration.patched(patch.bytes("bytes"));
        changed = true;
      }
    }
    return changed;
  }

  public Optional<ClusterView.Partition> partition(int number) {
    return view.partition(number);
  }
}
