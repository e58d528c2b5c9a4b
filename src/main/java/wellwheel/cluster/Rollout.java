package wellwheel.cluster;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wellwheel.transport.Frame;

/** The state of a service's rollout to a new version of its processors. */
public record Rollout(
    String service,
    List<Integer> steps,
    int legsPerStep,
    long stepUs,
    double tolerance,
    int leastErrors,
    Phase phase,
    List<String> trusted,
    String next,
    int step,
    long run,
    long epoch,
    List<String> reverted) {
  private static final int STEPS_MOST = 20;
  private static final int VERSIONS_MOST = 16;

  /** What a rollout is doing. */
  public enum Phase {
    IDLE,
    SHIFTING,
    HELD
  }

  /** A policy that cannot be used, and why. */
  public static final class Invalid extends Exception {
    Invalid(String why) {
      super(why);
    }
  }

  /** Attempts and errors of both versions. */
  public record Tally(long newLegs, long newBad, long oldLegs, long oldBad) {
    public static final Tally NONE = new Tally(0, 0, 0, 0);

    public Tally and(Tally other) {
      return new Tally(
          newLegs + other.newLegs,
          newBad + other.newBad,
          oldLegs + other.oldLegs,
          oldBad + other.oldBad);
    }

    public Tally with(boolean fresh, boolean bad) {
      return and(
          new Tally(fresh ? 1 : 0, fresh && bad ? 1 : 0, fresh ? 0 : 1, !fresh && bad ? 1 : 0));
    }

    public Frame frame() {
      return new Frame()
          .with("nl", newLegs)
          .with("nb", newBad)
          .with("ol", oldLegs)
          .with("ob", oldBad);
    }

    public static Tally read(Frame frame) {
      return new Tally(
          frame.number("nl"), frame.number("nb"), frame.number("ol"), frame.number("ob"));
    }
  }

  public static Rollout policy(String service, byte[] body, List<String> versions) throws Invalid {
    try {
      var root = JsonParser.parseString(new String(body, StandardCharsets.UTF_8)).getAsJsonObject();
      var steps = new ArrayList<Integer>();
      root.getAsJsonArray("Steps")
          .forEach(item -> steps.add(whole(item.getAsBigDecimal().doubleValue(), "Steps")));
      var current = root.has("Current") ? List.of(root.get("Current").getAsString()) : versions;
      var rollout =
          new Rollout(
              service,
              List.copyOf(steps),
              whole(amount(root, "LegsPerStep", 20), "LegsPerStep"),
              Math.round(amount(root, "SecondsPerStep", 5) * 1e6),
              amount(root, "Tolerance", 0.05),
              whole(amount(root, "LeastErrors", 3), "LeastErrors"),
              Phase.IDLE,
              current,
              "",
              0,
              0,
              0,
              List.of());
      rollout.check();
      return rollout;
    } catch (RuntimeException e) {
      throw new Invalid("the policy cannot be read: " + e.getMessage());
    }
  }

  private static int whole(double amount, String field) {
    if (amount != Math.rint(amount) || amount < 0 || amount > 1_000_000) {
      throw new IllegalArgumentException(field + " is not a whole number");
    }
    return (int) amount;
  }

  private static double amount(JsonObject from, String field, double otherwise) {
    return from.has(field) ? from.get(field).getAsDouble() : otherwise;
  }

  private void check() throws Invalid {
    require(
        !steps.isEmpty() && steps.size() <= STEPS_MOST,
        "/Steps: 1 to " + STEPS_MOST + " steps are wanted");
    for (var i = 0; i < steps.size(); i++) {
      require(steps.get(i) > (i == 0 ? 0 : steps.get(i - 1)), "/Steps/" + i + ": steps must rise");
      require(steps.get(i) <= 100, "/Steps/" + i + ": past 100");
    }
    require(steps.get(steps.size() - 1) == 100, "/Steps: the last step must be 100");
    require(tolerance >= 0 && tolerance <= 1, "/Tolerance: outside 0 to 1");
    require(legsPerStep >= 1, "/LegsPerStep: at least 1");
    require(leastErrors >= 1, "/LeastErrors: at least 1");
    require(stepUs >= 0 && stepUs <= 86_400_000_000L, "/SecondsPerStep: outside 0 to 86400");
  }

  private static void require(boolean holds, String why) throws Invalid {
    if (!holds) {
      throw new Invalid(why);
    }
  }

  public int share() {
    return next.isEmpty() ? 0 : steps.get(step);
  }

  public boolean over(Tally tally) {
    var old = tally.oldLegs() == 0 ? 0 : (double) tally.oldBad() / tally.oldLegs();
    return tally.newBad() >= leastErrors
        && (double) tally.newBad() / tally.newLegs() - old > tolerance;
  }

  private Rollout at(
      Phase newPhase,
      List<String> newTrusted,
      String newNext,
      int newStep,
      long newRun,
      List<String> newReverted) {
    return new Rollout(
        service,
        steps,
        legsPerStep,
        stepUs,
        tolerance,
        leastErrors,
        newPhase,
        last(newTrusted),
        newNext,
        newStep,
        newRun,
        epoch + 1,
        last(newReverted));
  }

  private static List<String> last(List<String> versions) {
    return List.copyOf(
        versions.subList(Math.max(0, versions.size() - VERSIONS_MOST), versions.size()));
  }

  private static List<String> and(List<String> versions, String more) {
    var all = new ArrayList<>(versions);
    all.remove(more);
    all.add(more);
    return all;
  }

  public Rollout started(String version) {
    return at(
        Phase.SHIFTING,
        trusted,
        version,
        0,
        epoch + 1,
        reverted.stream().filter(each -> !each.equals(version)).toList());
  }

  public Rollout onward() {
    return step + 1 < steps.size()
        ? at(Phase.SHIFTING, trusted, next, step + 1, run, reverted)
        : at(Phase.IDLE, and(trusted, next), "", 0, run, reverted);
  }

  public Rollout held(boolean hold) {
    return at(hold ? Phase.HELD : Phase.SHIFTING, trusted, next, step, run, reverted);
  }

  public Rollout takenBack() {
    return at(Phase.IDLE, trusted, "", 0, run, and(reverted, next));
  }

  public Rollout after(Rollout old) {
    return new Rollout(
        service,
        steps,
        legsPerStep,
        stepUs,
        tolerance,
        leastErrors,
        Phase.IDLE,
        trusted.isEmpty() ? old.trusted : trusted,
        "",
        0,
        old.run,
        old.epoch + 1,
        old.reverted);
  }

  public String current() {
    return trusted.isEmpty() ? "" : trusted.get(trusted.size() - 1);
  }

  public Frame frame() {
    return new Frame()
        .with("service", service)
        .with("steps", List.<Object>copyOf(steps.stream().map(Long::valueOf).toList()))
        .with("legs", legsPerStep)
        .with("stepUs", stepUs)
        .with("tolerance", tolerance)
        .with("errors", leastErrors)
        .with("phase", phase.ordinal())
        .with("trusted", List.<Object>copyOf(trusted))
        .with("next", next)
        .with("step", step)
        .with("run", run)
        .with("epoch", epoch)
        .with("reverted", List.<Object>copyOf(reverted));
  }

  public static Rollout read(Frame frame) {
    return new Rollout(
        frame.text("service"),
        frame.numbers("steps").stream().map(Long::intValue).toList(),
        frame.small("legs"),
        frame.number("stepUs"),
        frame.part("tolerance"),
        frame.small("errors"),
        Phase.values()[frame.small("phase")],
        List.copyOf(frame.texts("trusted")),
        frame.text("next"),
        frame.small("step"),
        frame.number("run"),
        frame.number("epoch"),
        List.copyOf(frame.texts("reverted")));
  }

  public JsonObject json(Tally tally) {
    var root = new JsonObject();
    root.addProperty("Service", service);
    root.addProperty("Phase", phase.name().toLowerCase(java.util.Locale.ROOT));
    root.addProperty("Current", current());
    root.addProperty("Next", next);
    root.addProperty("SharePercent", share());
    root.addProperty("Epoch", epoch);
    root.addProperty("Tolerance", tolerance);
    root.addProperty("NewLegs", tally.newLegs());
    root.addProperty("NewErrors", tally.newBad());
    root.addProperty("OldLegs", tally.oldLegs());
    root.addProperty("OldErrors", tally.oldBad());
    var gone = new JsonArray();
    reverted.forEach(gone::add);
    root.add("Reverted", gone);
    return root;
  }
}
