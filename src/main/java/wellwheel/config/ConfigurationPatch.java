package wellwheel.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wellwheel.config.Configuration.Invalid;

/**
 * A change of named items of a configuration: {@code Revision}, {@code PutItems} (by list, the
 * items to add or to replace by {@code Name}) and {@code RemoveNames} (by list, the names to take
 * out).
 */
public final class ConfigurationPatch {
  static final String ROUTES = "Routing";
  static final String SERVICES = "Backends";
  static final String TENANTS = "Customers";
  private static final List<String> LISTS = List.of(ROUTES, SERVICES, TENANTS);
  private static final String PUT = "PutItems";
  private static final String REMOVE = "RemoveNames";
  private static final String NAME = "Name";
  private static final String REVISION = "Revision";

  private ConfigurationPatch() {}

  /**
   * The whole configuration, as JSON, that a patch makes of another one.
   *
   * @throws Invalid if the patch cannot be read; what comes out is not checked
   */
  public static byte[] apply(byte[] whole, byte[] patch) throws Invalid {
    var root = Configuration.parse(whole);
    var change = Configuration.parse(patch);
    var changed = changedNames(change);
    var added = itemsOf(change);
    for (var list : LISTS) {
      var items = merged(root, list, changed.get(list), added.getAsJsonArray(list));
      if (root.has(list) || !items.isEmpty()) {
        root.add(list, items);
      }
    }
    if (change.has(REVISION)) {
      root.add(REVISION, change.get(REVISION));
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static JsonArray merged(
      JsonObject root, String list, Set<String> changed, JsonArray added) {
    var items = new JsonArray();
    if (root.has(list) && root.get(list).isJsonArray()) {
      for (var item : root.getAsJsonArray(list)) {
        if (!changed.contains(item.getAsJsonObject().get(NAME).getAsString())) {
          items.add(item);
        }
      }
    }
    items.addAll(added);
    return items;
  }

  /** The items to put, in the form of a configuration: each list is there, if only empty. */
  static JsonObject itemsOf(JsonObject patch) throws Invalid {
    var put = section(patch, PUT);
    var root = new JsonObject();
    if (patch.has(REVISION)) {
      root.add(REVISION, patch.get(REVISION));
    }
    for (var list : LISTS) {
      root.add(list, put.has(list) ? array(put, PUT, list) : new JsonArray());
    }
    return root;
  }

  /** The names, by list, of which nothing stays as it was. */
  static Map<String, Set<String>> changedNames(JsonObject patch) throws Invalid {
    var put = section(patch, PUT);
    var remove = section(patch, REMOVE);
    var names = new HashMap<String, Set<String>>();
    for (var list : LISTS) {
      var changed = new HashSet<String>();
      if (put.has(list)) {
        for (var item : array(put, PUT, list)) {
          changed.add(nameOf(item, list));
        }
      }
      if (remove.has(list)) {
        for (var name : array(remove, REMOVE, list)) {
          changed.add(text(name, "/" + REMOVE + "/" + list));
        }
      }
      names.put(list, changed);
    }
    return names;
  }

  private static JsonObject section(JsonObject patch, String name) throws Invalid {
    if (!patch.has(name) || patch.get(name).isJsonNull()) {
      return new JsonObject();
    }
    if (!patch.get(name).isJsonObject()) {
      throw new Invalid("/" + name, "an object is wanted");
    }
    var section = patch.getAsJsonObject(name);
    for (var list : section.keySet()) {
      if (!LISTS.contains(list)) {
        throw new Invalid("/" + name + "/" + list, "no such list");
      }
    }
    return section;
  }

  private static JsonArray array(JsonObject section, String at, String list) throws Invalid {
    if (!section.get(list).isJsonArray()) {
      throw new Invalid("/" + at + "/" + list, "a list is wanted");
    }
    return section.getAsJsonArray(list);
  }

  private static String nameOf(JsonElement item, String list) throws Invalid {
    var at = "/" + PUT + "/" + list;
    if (!item.isJsonObject() || !item.getAsJsonObject().has(NAME)) {
      throw new Invalid(at, "an item without a name");
    }
    return text(item.getAsJsonObject().get(NAME), at);
  }

  private static String text(JsonElement element, String at) throws Invalid {
    if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString()) {
      throw new Invalid(at, "text is wanted");
    }
    return element.getAsString();
  }
}
