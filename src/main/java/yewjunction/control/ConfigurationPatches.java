package yewjunction.control;

import static yewjunction.control.FieldReader.items;
import static yewjunction.control.FieldReader.text;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueFactory;
import com.typesafe.config.ConfigValueType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an update makes of a configuration, and which update leads from one configuration to
 * another. An update replaces, adds and removes items of lists by their {@code Name}.
 */
final class ConfigurationPatches {
  private ConfigurationPatches() {}

  /** Adds a patch to the command if there is one that leads to exactly the same configuration. */
  static void attachTo(
      final ControlCommand command, final Configuration before, final Configuration after) {
    if (before == null) {
      return;
    }
    try {
      final String patch = difference(before.source(), after.source());
      if (patch != null
          && Configuration.of(before.updated(Configuration.parse(patch))).digest()
              == after.digest()) {
        command.patch = patch;
        command.patchDigest = after.digest();
      }
    } catch (final ConfigException | ConfigurationException failure) {
      // Without a patch the whole is sent: no reason to refuse what was checked already.
      command.patch = null;
    }
  }

  private static String difference(final Config before, final Config after) {
    final Set<String> lists = new HashSet<>(before.root().keySet());
    lists.addAll(after.root().keySet());
    lists.remove("Ver");
    Config patch = ConfigFactory.empty().withValue("Ver", after.getValue("Ver"));
    for (final String list : lists) {
      final ConfigValue old = before.root().get(list);
      final ConfigValue fresh = after.root().get(list);
      if (fresh == null || fresh.valueType() != ConfigValueType.LIST) {
        // An update can replace a field that is no list only if it is an object, and can remove
        // none.
        if (!java.util.Objects.equals(old, fresh)) {
          if (fresh == null || fresh.valueType() != ConfigValueType.OBJECT) {
            return null;
          }
          patch = patch.withValue("Upsert." + list, fresh);
        }
        continue;
      }
      final Map<String, ConfigValue> known = byName(before, list);
      final Map<String, ConfigValue> wanted = byName(after, list);
      final List<ConfigValue> upserts = new ArrayList<>();
      wanted.forEach(
          (name, item) -> {
            if (!item.equals(known.get(name))) {
              upserts.add(item);
            }
          });
      known.keySet().removeAll(wanted.keySet());
      if (!upserts.isEmpty()) {
        patch = patch.withValue("Upsert." + list, ConfigValueFactory.fromIterable(upserts));
      }
      if (!known.isEmpty()) {
        patch = patch.withValue("Del." + list, ConfigValueFactory.fromIterable(known.keySet()));
      }
    }
    return Configuration.toJson(patch);
  }

  private static Map<String, ConfigValue> byName(final Config from, final String list) {
    final Map<String, ConfigValue> items = new HashMap<>();
    for (final Config item : items(from, list)) {
      items.put(item.getString("Name"), item.root());
    }
    return items;
  }

  /** What an update makes of a configuration: named items replaced, added or removed. */
  static Config apply(final Config source, final Config update) {
    final Config upserts =
        update.hasPath("Upsert") ? update.getConfig("Upsert") : ConfigFactory.empty();
    final Config removals = update.hasPath("Del") ? update.getConfig("Del") : ConfigFactory.empty();
    final Set<String> lists = new HashSet<>(upserts.root().keySet());
    lists.addAll(removals.root().keySet());
    Config changed = source.withValue("Ver", update.getValue("Ver"));
    for (final String list : lists) {
      changed = changed.withValue(list, mergeList(source, list, upserts, removals));
    }
    return changed;
  }

  private static ConfigValue mergeList(
      final Config source, final String list, final Config upserts, final Config removals) {
    // Lims is no list of named items: an Upsert replaces it as a whole.
    if (upserts.hasPath(list) && upserts.getValue(list).valueType() == ConfigValueType.OBJECT) {
      return upserts.getValue(list);
    }
    final Map<String, ConfigValue> byName = new LinkedHashMap<>();
    for (final Config item : items(source, list)) {
      byName.put(text(item, "Name", list, true), item.root());
    }
    for (final String name :
        removals.hasPath(list) ? removals.getStringList(list) : List.<String>of()) {
      byName.remove(name);
    }
    for (final Config item : items(upserts, list)) {
      byName.put(text(item, "Name", "Upsert." + list, true), item.root());
    }
    return ConfigValueFactory.fromIterable(byName.values());
  }
}
