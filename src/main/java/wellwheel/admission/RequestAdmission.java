package wellwheel.admission;

import java.util.Optional;
import wellwheel.cluster.ClusterLease;
import wellwheel.config.Configuration;
import wellwheel.runtime.ResultCode;
import wellwheel.transport.Exchange;
import wellwheel.transport.RequestFields;

/**
 * Decides for edge nodes and fronts which route a request takes and whether its key opens it. A key
 * counts only while this node is sure that no acknowledged configuration has taken it away: while
 * its last contact with a majority of the control nodes is more recent than {@code RevokeWithinMs},
 * less a margin for the request's way here.
 */
public final class RequestAdmission {
  private static final long MARGIN_MOST_US = 1_000_000;
  private static final double MARGIN_SHARE = 0.2;

  /** Which requests need a key, routes that are open to all apart. */
  public enum KeyRule {
    /** Each one. */
    ALWAYS,

    /** Each one, in a configuration that contains {@code Customers}, be there any or not. */
    WHERE_CONFIGURED
  }

  /** What becomes of a request. */
  public sealed interface Verdict {}

  /**
   * It is let in.
   *
   * @param tenant whose key it bears, if it bears one
   */
  public record Admitted(Configuration.Path path, Optional<Configuration.Tenant> tenant)
      implements Verdict {}

  /** It is not let in, and not run. */
  public record Refused(ResultCode code) implements Verdict {}

  private final ClusterLease lease;
  private final KeyRule rule;
  private final long sureUs;

  /**
   * @param revokeUs time after which a key that was taken away must open nothing any more
   */
  public RequestAdmission(ClusterLease lease, KeyRule rule, long revokeUs) {
    this.lease = lease;
    this.rule = rule;
    sureUs = revokeUs - Math.min(MARGIN_MOST_US, (long) (MARGIN_SHARE * revokeUs));
  }

  /** Whether this node can be sure which keys hold. */
  public boolean isSure() {
    return lease.knowsCore() && lease.ageUs() < sureUs;
  }

  /** The tenant whose key the request bears. */
  public Optional<Configuration.Tenant> tenantOf(Exchange exchange) {
    return RequestFields.bearerKey(exchange.header("Authorization").orElse(""))
        .flatMap(lease.configuration()::tenant);
  }

  /** Lets a request in or refuses it, as the newest configuration known here says. */
  public Verdict admit(Exchange exchange) {
    var configuration = lease.configuration();
    var keysCount = rule == KeyRule.ALWAYS || configuration.keysRequired();
    if (configuration.revision() == 0 || keysCount && !isSure()) {
      return new Refused(ResultCode.NO_CLAIM);
    }
    var path = configuration.path(exchange.header("Host").orElse(""), exchange.target());
    if (path.isEmpty()) {
      return new Refused(ResultCode.NO_PATH);
    }
    var tenant = tenantOf(exchange);
    if (keysCount && tenant.isEmpty() && !path.get().open()) {
      return new Refused(ResultCode.NO_KEY);
    }
    return new Admitted(path.get(), tenant);
  }
}
