package wellwheel.config;

import java.util.Map;
import java.util.Set;

/**
 * The tenants of a configuration, also those without a key.
 *
 * @param listed whether the configuration contains a list of tenants, be it empty
 */
record Tenants(boolean listed, Set<String> names, Map<String, Configuration.Tenant> byKey) {
  static final Tenants NONE = new Tenants(false, Set.of(), Map.of());
}
