package wellwheel.lantern;

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
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

public final class Charter {
    public static final Charter NONE = new Charter(0, List.of(), Map.of(), List.of(), new Caps(16384, 262144, 3_000_000, 15_000_000));

    public record Path(String name, String host, String prefix, String service, int rank, long startAimUs, long aimUs, long giveUpUs, int tries, long keepUs, boolean inOrder, boolean open) { }

    public record Service(String name, int maxConns, double perS, boolean dropsRepeats, boolean pull, String endpoint) {
        public boolean paced() {
            return perS > 0 || !endpoint.isEmpty();
        }
    }

    public record Tenant(String name, double perS, double burst) { }

    public record Caps(int headerBytes, int bodyBytes, long headerWaitUs, long idleUs) { }

    public static final class Invalid extends Exception {
        public Invalid(String place, String why) {
            super(place + ": " + why);
        }
    }

    private final long revision;
    private final Map<String, List<Path>> pathsByHost = new HashMap<>();
    private final Map<String, Service> services;
    private final Map<String, Tenant> tenantsByKey = new HashMap<>();
    private final Caps caps;

    private Charter(long revision, List<Path> paths, Map<String, Service> services, List<Map.Entry<String, Tenant>> keys, Caps caps) {
        this.revision = revision;
        this.services = services;
        this.caps = caps;
        paths.forEach(path -> pathsByHost.computeIfAbsent(path.host(), h -> new ArrayList<>()).add(path));
        pathsByHost.values().forEach(list -> list.sort(Comparator.comparingInt((Path p) -> -p.prefix().length())));
        keys.forEach(entry -> tenantsByKey.put(entry.getKey(), entry.getValue()));
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

    public Optional<Tenant> tenant(String key) {
        return Optional.ofNullable(tenantsByKey.get(key));
    }

    public static String plainHost(String host) {
        var lower = host.toLowerCase(Locale.ROOT);
        var colon = lower.lastIndexOf(':');
        return colon > 0 ? lower.substring(0, colon) : lower;
    }

    public static Charter read(byte[] bytes) throws Invalid {
        return new Builder(parse(bytes)).build();
    }

    private static JsonObject parse(byte[] bytes) throws Invalid {
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

        Builder(JsonObject root) {
            this.root = root;
        }

        Charter build() throws Invalid {
            var revision = whole(root, "", "Revision", 1, Long.MAX_VALUE);
            var services = services();
            var paths = paths(services);
            return new Charter(revision, paths, services, keys(), caps());
        }

        private Map<String, Service> services() throws Invalid {
            var found = new LinkedHashMap<String, Service>();
            var place = 0;
            for (var item : list(root, "", "Backends")) {
                var at = "/Backends/" + place++;
                var each = object(item, at);
                var name = text(each, at, "Name");
                var endpoint = each.has("Endpoint") && !each.get("Endpoint").isJsonNull() ? address(each, at) : "";
                var perS = fraction(each, at, "RatePerS", 0);
                var service = new Service(name, (int) whole(each, at, "MaxConns", 1, 1_000_000), perS, flag(each, at, "DropsRepeats"), flag(each, at, "WorkerPull"), endpoint);
                if (found.put(name, service) != null) {
                    throw new Invalid(at, "two services are named " + name);
                }
            }
            return found;
        }

        private String address(JsonObject each, String at) throws Invalid {
            var address = text(each, at, "Endpoint");
            if (!address.matches("[0-9A-Za-z.\\-]+:[0-9]{1,5}") || Integer.parseInt(address.substring(address.indexOf(':') + 1)) > 65535) {
                throw new Invalid(at + "/Endpoint", "not host:port");
            }
            return address;
        }

        private List<Path> paths(Map<String, Service> services) throws Invalid {
            var found = new ArrayList<Path>();
            var places = new HashSet<String>();
            var place = 0;
            for (var item : list(root, "", "Routing")) {
                var at = "/Routing/" + place++;
                var path = path(object(item, at), at);
                if (!services.containsKey(path.service())) {
                    throw new Invalid(at + "/Backend", "unknown service " + path.service());
                }
                if (!places.add(path.host() + " " + path.prefix())) {
                    throw new Invalid(at, "host and prefix are taken by another path");
                }
                found.add(path);
            }
            return found;
        }

        private Path path(JsonObject each, String at) throws Invalid {
            var host = plainHost(text(each, at, "Host"));
            var prefix = text(each, at, "PathStart");
            if (!prefix.startsWith("/")) {
                throw new Invalid(at + "/PathStart", "does not start with /");
            }
            return new Path(text(each, at, "Name"), host, prefix, text(each, at, "Backend"), (int) whole(each, at, "Rank", 0, 1000),
                us(each, at, "StartTargetMs", 0), us(each, at, "TargetMs", 0), us(each, at, "GiveUpMs", 1), (int) whole(each, at, "Tries", 1, 1000),
                (long) (fraction(each, at, "KeepForS", 0) * 1e6), flag(each, at, "InOrder"), flag(each, at, "Public"));
        }

        private List<Map.Entry<String, Tenant>> keys() throws Invalid {
            var found = new HashMap<String, Tenant>();
            var names = new HashSet<String>();
            var place = 0;
            for (var item : root.has("Customers") ? list(root, "", "Customers") : new JsonArray()) {
                var at = "/Customers/" + place++;
                var each = object(item, at);
                var tenant = new Tenant(text(each, at, "Name"), fraction(each, at, "RatePerS", 0), fraction(each, at, "Burst", 0));
                if (!names.add(tenant.name())) {
                    throw new Invalid(at, "two tenants are named " + tenant.name());
                }
                for (var key : list(each, at, "ApiKeys")) {
                    if (!key.isJsonPrimitive() || !key.getAsJsonPrimitive().isString() || found.put(key.getAsString(), tenant) != null) {
                        throw new Invalid(at + "/ApiKeys", "a key is not text or is held twice");
                    }
                }
            }
            return List.copyOf(found.entrySet());
        }

        private Caps caps() throws Invalid {
            if (!root.has("Caps")) {
                return NONE.caps;
            }
            var each = object(root.get("Caps"), "/Caps");
            return new Caps((int) whole(each, "/Caps", "MaxHeaderBytes", 64, 1 << 20), (int) whole(each, "/Caps", "MaxBodyBytes", 0, 64 << 20),
                us(each, "/Caps", "HeaderWaitMs", 1), us(each, "/Caps", "IdleMs", 1));
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
            if (item == null || !item.isJsonPrimitive() || !item.getAsJsonPrimitive().isString() || item.getAsString().isEmpty()) {
                throw new Invalid(at + "/" + field, "text is wanted");
            }
            return item.getAsString();
        }

        private static double fraction(JsonObject from, String at, String field, double least) throws Invalid {
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

        private static long whole(JsonObject from, String at, String field, long least, long most) throws Invalid {
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
