package wellwheel.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.Strictness;
import com.google.gson.internal.Streams;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The operators' configuration, checked and immutable: paths, services, tenants, limits. */
public final class Configuration {
  public static final Configuration NONE =
      new Configuration(
          0, List.of(), Map.of(), Tenants.NONE, new Caps(16384, 262144, 3_000_000, 15_000_000));

  /** What is promised of a route's requests. */
  public enum Kind {
    /** Kept and run later. */
    BACKGROUND,
    /** Answered at once; may run more than once. */
    SAFE,
    /** Answered at once; runs at most once a try. */
    UNSAFE;

    private static Optional<Kind> of(String word) {
      return Arrays.stream(values())
          .filter(kind -> kind.name().toLowerCase(Locale.ROOT).equals(word))
          .findFirst();
    }
  }

  /** A route: which requests it takes, to which service they go, and within which times. */
  public record Path(
      String name,
      Kind kind,
      String host,
      String prefix,
      String service,
      int rank,
      long startAimUs,
      long aimUs,
      long giveUpUs,
      int tries,
      long keepUs,
      boolean inOrder,
      boolean open) {}

  /**
   * What a service needs whose processors the system starts itself.
   *
   * @param memoryMb memory that one instance takes on a worker machine
   * @param startupUs how long a start takes on average
   * @param slots the most requests that one instance may hold at once
   */
  public record Function(int memoryMb, long startupUs, int slots) {}

  /** A service and how its processors are reached. */
  public record Service(
      String name,
      int maxConns,
      double perS,
      boolean dropsRepeats,
      boolean pull,
      String endpoint,
      Optional<Function> function) {
    public boolean paced() {
      return perS > 0 || !endpoint.isEmpty();
    }
  }

  /** A tenant and its limit. */
  public record Tenant(String name, double perS, double burst) {}

  /** Bounds of what clients may send. */
  public record Caps(int headerBytes, int bodyBytes, long headerWaitUs, long idleUs) {}

  /** A configuration that cannot be used: the place and the reason. */
  public static final class Invalid extends Exception {
    public Invalid(String place, String why) {
      super(place + ": " + why);
    }
  }

  private final long revision;
  private final List<Path> paths;
  private final Map<String, List<Path>> pathsByHost = new HashMap<>();
  private final Map<String, Service> services;
  private final Tenants tenants;
  private final Caps caps;

  private Configuration(
      long revision, List<Path> paths, Map<String, Service> services, Tenants tenants, Caps caps) {
    this.revision = revision;
    this.paths = paths;
    this.services = services;
    this.tenants = tenants;
    this.caps = caps;
    paths.forEach(
        path -> pathsByHost.computeIfAbsent(path.host(), h -> new ArrayList<>()).add(path));
    pathsByHost
        .values()
        .forEach(list -> list.sort(Comparator.comparingInt((Path p) -> -p.prefix().length())));
  }

  public long revision() {
    return revision;
  }

  public Caps caps() {
    return caps;
  }

  public Optional<Path> path(String host, String target) {
    var query = target.indexOf('?');
    var bare = query < 0 ? target : target.substring(0, query);
    for (var path : pathsByHost.getOrDefault(plainHost(host), List.of())) {
      if (bare.startsWith(path.prefix())) {
        return Optional.of(path);
      }
    }
    return Optional.empty();
  }

  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  public Iterable<Service> services() {
    return services.values();
  }

  /** Whether the configuration contains {@code Customers}, though none of them may have a key. */
  public boolean keysRequired() {
    return tenants.listed();
  }

  public Optional<Tenant> tenant(String key) {
    return Optional.ofNullable(tenants.byKey().get(key));
  }

  public static String plainHost(String host) {
    var lower = host.toLowerCase(Locale.ROOT);
    var colon = lower.lastIndexOf(':');
    return colon > 0 ? lower.substring(0, colon) : lower;
  }

  public static Configuration read(byte[] bytes) throws Invalid {
    return new Builder(parse(bytes)).build();
  }

  /**
   * The configuration with some named items changed, as {@link ConfigurationPatch} describes.
   *
   * @throws Invalid if what comes out would be no valid configuration
   */
  public Configuration patched(byte[] patch) throws Invalid {
    return new Builder(parse(patch), this).build();
  }

  public static List<String> faults(byte[] bytes) {
    try {
      var builder = new Builder(parse(bytes));
      builder.gather();
      return builder.faults.stream().map(Invalid::getMessage).toList();
    } catch (Invalid e) {
      return List.of(e.getMessage());
    }
  }

  private interface Check {
    void run() throws Invalid;
  }

  static JsonObject parse(byte[] bytes) throws Invalid {
    try {
      var text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      var reader = new JsonReader(new StringReader(text));
      reader.setStrictness(Strictness.STRICT);
      var element = Streams.parse(reader);
      if (reader.peek() != JsonToken.END_DOCUMENT || !element.isJsonObject()) {
        throw new Invalid("/", "not one whole object");
      }
      return element.getAsJsonObject();
    } catch (CharacterCodingException e) {
      throw new Invalid("/", "not UTF-8");
    } catch (IOException | JsonParseException | IllegalStateException | StackOverflowError e) {
      throw new Invalid("/", "not whole JSON");
    }
  }

  private static final class Builder {
    private final JsonObject root;
    private final List<Invalid> faults = new ArrayList<>();
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final List<Path> paths = new ArrayList<>();
    private final Set<String> places = new HashSet<>();
    private final Map<String, Tenant> keys = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private boolean tenantsListed;
    private long revision;
    private Caps caps = NONE.caps;

    Builder(JsonObject root) {
      this.root = root;
      tenantsListed = root.has("Customers");
    }

    /** Begins with the items of another configuration that the patch leaves as they are. */
    Builder(JsonObject patch, Configuration base) throws Invalid {
      root = ConfigurationPatch.itemsOf(patch);
      var changed = ConfigurationPatch.changedNames(patch);
      base.services.values().stream()
          .filter(each -> !changed.get(ConfigurationPatch.SERVICES).contains(each.name()))
          .forEach(each -> services.put(each.name(), each));
      base.paths.stream()
          .filter(each -> !changed.get(ConfigurationPatch.ROUTES).contains(each.name()))
          .forEach(this::keep);
      keepTenants(base.tenants, changed.get(ConfigurationPatch.TENANTS));
      caps = base.caps;
    }

    private void keepTenants(Tenants base, Set<String> changed) {
      base.byKey()
          .forEach(
              (key, tenant) -> {
                if (!changed.contains(tenant.name())) {
                  keys.put(key, tenant);
                }
              });
      base.names().stream().filter(name -> !changed.contains(name)).forEach(tenants::add);
      tenantsListed = base.listed();
    }

    private void keep(Path path) {
      places.add(path.host() + " " + path.prefix());
      paths.add(path);
    }

    Configuration build() throws Invalid {
      gather();
      if (!faults.isEmpty()) {
        throw faults.get(0);
      }
      var listed = new Tenants(tenantsListed, Set.copyOf(tenants), Map.copyOf(keys));
      return new Configuration(revision, paths, services, listed, caps);
    }

    private void gather() {
      check(() -> revision = whole(root, "", "Revision", 1, Long.MAX_VALUE));
      check(() -> each("Backends", this::service));
      check(() -> each("Routing", this::path));
      check(
          () -> {
            if (root.has("Customers")) {
              each("Customers", this::tenant);
            }
          });
      check(() -> caps = caps());
      paths.stream()
          .filter(path -> !services.containsKey(path.service()))
          .findFirst()
          .ifPresent(path -> faults.add(unknownService("/Routing", path)));
    }

    private static Invalid unknownService(String at, Path path) {
      return new Invalid(at + "/Backend", "unknown service " + path.service());
    }

    private void check(Check check) {
      try {
        check.run();
      } catch (Invalid e) {
        faults.add(e);
      }
    }

    private interface Item {
      void read(JsonObject each, String at) throws Invalid;
    }

    private void each(String field, Item reader) throws Invalid {
      var place = 0;
      for (var item : list(root, "", field)) {
        var at = "/" + field + "/" + place++;
        check(() -> reader.read(object(item, at), at));
      }
    }

    private void service(JsonObject each, String at) throws Invalid {
      var name = text(each, at, "Name");
      var endpoint =
          each.has("Endpoint") && !each.get("Endpoint").isJsonNull() ? address(each, at) : "";
      var perS = isGiven(each, "RatePerS") ? fraction(each, at, "RatePerS", 0) : 0;
      var service =
          new Service(
              name,
              (int) whole(each, at, "MaxConns", 1, 1_000_000),
              perS,
              flag(each, at, "DropsRepeats"),
              flag(each, at, "WorkerPull"),
              endpoint,
              function(each, at));
      if (services.put(name, service) != null) {
        throw new Invalid(at, "two services are named " + name);
      }
    }

    private static Optional<Function> function(JsonObject each, String at) throws Invalid {
      if (!isGiven(each, "MaxInFlight")) {
        return Optional.empty();
      }
      return Optional.of(
          new Function(
              (int) whole(each, at, "MemoryMb", 1, 1 << 24),
              us(each, at, "StartupMs", 0),
              (int) whole(each, at, "MaxInFlight", 1, 100_000)));
    }

    private static boolean isGiven(JsonObject from, String field) {
      return from.has(field) && !from.get(field).isJsonNull();
    }

    private String address(JsonObject each, String at) throws Invalid {
      var address = text(each, at, "Endpoint");
      if (!address.matches("[0-9A-Za-z.\\-]+:[0-9]{1,5}")
          || Integer.parseInt(address.substring(address.indexOf(':') + 1)) > 65535) {
        throw new Invalid(at + "/Endpoint", "not host:port");
      }
      return address;
    }

    private void path(JsonObject each, String at) throws Invalid {
      var path = onePath(each, at);
      if (!services.containsKey(path.service())) {
        throw unknownService(at, path);
      }
      if (!places.add(path.host() + " " + path.prefix())) {
        throw new Invalid(at, "host and prefix are taken by another path");
      }
      paths.add(path);
    }

    private Path onePath(JsonObject each, String at) throws Invalid {
      var host = plainHost(text(each, at, "Host"));
      var prefix = text(each, at, "PathStart");
      if (!prefix.startsWith("/")) {
        throw new Invalid(at + "/PathStart", "does not start with /");
      }
      var kind = kind(each, at);
      var kept = kind == Kind.BACKGROUND;
      return new Path(
          text(each, at, "Name"),
          kind,
          host,
          prefix,
          text(each, at, "Backend"),
          (int) whole(each, at, "Rank", 0, 1000),
          kept ? us(each, at, "StartTargetMs", 0) : 0,
          us(each, at, "TargetMs", 0),
          us(each, at, "GiveUpMs", 1),
          (int) whole(each, at, "Tries", 1, 1000),
          kept ? (long) (fraction(each, at, "KeepForS", 0) * 1e6) : 0,
          flag(each, at, "InOrder"),
          flag(each, at, "Public"));
    }

    private static Kind kind(JsonObject each, String at) throws Invalid {
      if (!each.has("Type")) {
        return Kind.BACKGROUND;
      }
      var word = text(each, at, "Type");
      var kind = Kind.of(word);
      if (kind.isEmpty()) {
        throw new Invalid(at + "/Type", "unknown type " + word);
      }
      return kind.get();
    }

    private void tenant(JsonObject each, String at) throws Invalid {
      var tenant =
          new Tenant(
              text(each, at, "Name"),
              fraction(each, at, "RatePerS", 0),
              fraction(each, at, "Burst", 0));
      tenantsListed = true;
      if (tenant.name().chars().anyMatch(Character::isISOControl)) {
        throw new Invalid(at + "/Name", "a control character in a name");
      }
      if (!tenants.add(tenant.name())) {
        throw new Invalid(at, "two tenants are named " + tenant.name());
      }
      for (var key : list(each, at, "ApiKeys")) {
        if (!key.isJsonPrimitive()
            || !key.getAsJsonPrimitive().isString()
            || keys.put(key.getAsString(), tenant) != null) {
          throw new Invalid(at + "/ApiKeys", "a key is not text or is held twice");
        }
      }
    }

    private Caps caps() throws Invalid {
      if (!root.has("Caps")) {
        return caps;
      }
      var each = object(root.get("Caps"), "/Caps");
      return new Caps(
          (int) whole(each, "/Caps", "MaxHeaderBytes", 64, 1 << 20),
          (int) whole(each, "/Caps", "MaxBodyBytes", 0, 64 << 20),
          us(each, "/Caps", "HeaderWaitMs", 1),
          us(each, "/Caps", "IdleMs", 1));
    }

    private static JsonArray list(JsonObject from, String at, String field) throws Invalid {
      if (!from.has(field) || !from.get(field).isJsonArray()) {
        throw new Invalid(at + "/" + field, "a list is wanted");
      }
      return from.getAsJsonArray(field);
    }

    private static JsonObject object(JsonElement item, String at) throws Invalid {
      if (!item.isJsonObject()) {
        throw new Invalid(at, "an object is wanted");
      }
      return item.getAsJsonObject();
    }

    private static String text(JsonObject from, String at, String field) throws Invalid {
      var item = from.get(field);
      if (item == null
          || !item.isJsonPrimitive()
          || !item.getAsJsonPrimitive().isString()
          || item.getAsString().isEmpty()) {
        throw new Invalid(at + "/" + field, "text is wanted");
      }
      return item.getAsString();
    }

    private static double fraction(JsonObject from, String at, String field, double least)
        throws Invalid {
      var item = from.get(field);
      if (item == null || !item.isJsonPrimitive() || !item.getAsJsonPrimitive().isNumber()) {
        throw new Invalid(at + "/" + field, "a number is wanted");
      }
      var value = item.getAsDouble();
      if (!(value >= least && value <= 1e15)) {
        throw new Invalid(at + "/" + field, "out of range");
      }
      return value;
    }

    private static long whole(JsonObject from, String at, String field, long least, long most)
        throws Invalid {
      var value = fraction(from, at, field, least);
      if (value != Math.rint(value) || value > most) {
        throw new Invalid(at + "/" + field, "a whole number in range is wanted");
      }
      return (long) value;
    }

    private static long us(JsonObject from, String at, String field, double least) throws Invalid {
      return Math.round(fraction(from, at, field, least) * 1000);
    }

    private static boolean flag(JsonObject from, String at, String field) throws Invalid {
      if (!from.has(field)) {
        return false;
      }
      var item = from.get(field);
      if (!item.isJsonPrimitive() || !item.getAsJsonPrimitive().isBoolean()) {
        throw new Invalid(at + "/" + field, "true or false is wanted");
      }
      return item.getAsBoolean();
    }
  }
}
