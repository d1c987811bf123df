package yewjunction.control;

import static yewjunction.common.ErrorCode.CONFIG_FIELD;
import static yewjunction.common.ErrorCode.CONFIG_KEY;
import static yewjunction.common.ErrorCode.CONFIG_PLACE;
import static yewjunction.common.ErrorCode.CONFIG_SERVICE;
import static yewjunction.common.ErrorCode.CONFIG_TIMEOUT;
import static yewjunction.common.ErrorCode.CONFIG_UNREADABLE;
import static yewjunction.control.FieldReader.items;
import static yewjunction.control.FieldReader.names;
import static yewjunction.control.FieldReader.number;
import static yewjunction.control.FieldReader.text;
import static yewjunction.limits.QuotaLimits.DEFAULT_REPAY_SHARE;
import static yewjunction.limits.QuotaLimits.MAX_BORROW;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigSyntax;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One version of the operator's configuration, checked. Immutable; all fields are kept as they were
 * sent, also those that this release does not know.
 */
public final class Configuration {
  private final Config source;
  private final long version;
  private final List<Route> routes = new ArrayList<>();
  private final Map<String, Tenant> tenantsByKey = new HashMap<>();
  private final Map<String, Tenant> tenantsByName = new HashMap<>();
  private int maxSubscriptions = Integer.MAX_VALUE;

  /**
   * A prefix of topics and its terms.
   *
   * @param timeoutMs until a publish is answered
   * @param retentionMs for which messages are stored
   * @param after names of routes whose earlier messages come first
   */
  public record Route(
      String name,
      String host,
      String prefix,
      long timeoutMs,
      long retentionMs,
      boolean isPublic,
      Set<String> after) {
    /**
     * Whether no subscriber of both gets a message of this route before an earlier one of the
     * other.
     */
    public boolean follows(final Route other) {
      return after.contains(other.name);
    }
  }

  /**
   * Who sends and subscribes by its keys.
   *
   * @param borrowMax whole messages it may owe, 0 for none
   * @param repayPpm millionths of its rate withheld while it owes
   */
  public record Tenant(
      String name,
      Set<String> keys,
      double ratePerSecond,
      double burst,
      long borrowMax,
      long repayPpm) {}

  private Configuration(final Config source) {
    this.source = source;
    version = number(source, "Ver", "Ver");
    // A version is a whole number above 0: 0 stands for no configuration at all.
    if (version <= 0) {
      throw new ConfigurationException(CONFIG_FIELD, "Ver: must be above 0");
    }
  }

  /** Reads JSON and checks all of it; a failure names the path. */
  public static Configuration read(final String json) {
    return of(parse(json));
  }

  /**
   * Reads JSON without checking what it says.
   *
   * @throws ConfigurationException when it is no JSON object
   */
  public static Config parse(final String json) {
    try {
      return ConfigFactory.parseString(
          json, ConfigParseOptions.defaults().setSyntax(ConfigSyntax.JSON));
    } catch (final ConfigException failure) {
      throw new ConfigurationException(CONFIG_UNREADABLE, failure.getMessage(), failure);
    }
  }

  /**
   * Checks all of a configuration that was parsed.
   *
   * @throws ConfigurationException with the path of the first fault
   */
  public static Configuration of(final Config source) {
    try {
      final Configuration configuration = new Configuration(source);
      configuration.readRoutes();
      configuration.readTenants();
      if (source.hasPath("Lims.Subs")) {
        configuration.maxSubscriptions = source.getInt("Lims.Subs");
      }
      return configuration;
    } catch (final ConfigException failure) {
      throw new ConfigurationException(CONFIG_FIELD, failure.getMessage(), failure);
    }
  }

  private void readRoutes() {
    final Set<String> services = new HashSet<>();
    for (final Config service : items(source, "Svcs")) {
      services.add(text(service, "Name", "Svcs", true));
    }
    final Set<String> names = new HashSet<>();
    final Set<String> places = new HashSet<>();
    for (final Config item : items(source, "Routes")) {
      final Route route = readRoute(item, names, places, services);
      routes.add(route);
    }
    for (final Route route : routes) {
      checkAfter(route, names);
    }
    // The longest prefix wins, so the first that fits is the one.
    routes.sort((one, other) -> other.prefix.length() - one.prefix.length());
  }

  /** Reads one route, and adds its name and place to those that no other one may have. */
  private static Route readRoute(
      final Config item,
      final Set<String> names,
      final Set<String> places,
      final Set<String> services) {
    final String name = text(item, "Name", "Routes", true);
    final String path = "Routes." + name;
    final String host = text(item, "Host", path, false);
    final String prefix = text(item, "Pfx", path, true);
    final String service = text(item, "Svc", path, false);
    if (!names.add(name)) {
      throw new ConfigurationException(CONFIG_PLACE, path + ": the name stands twice");
    }
    if (!places.add(host + " " + prefix)) {
      throw new ConfigurationException(
          CONFIG_PLACE, path + ": another route has the same Host and Pfx");
    }
    if (!service.isEmpty() && !services.contains(service)) {
      throw new ConfigurationException(
          CONFIG_SERVICE, path + ".Svc: there is no service " + service);
    }
    if (!item.hasPath("TimeoutMs") || item.getDouble("TimeoutMs") <= 0) {
      throw new ConfigurationException(CONFIG_TIMEOUT, path + ".TimeoutMs: must be above 0");
    }
    final double lingerS = item.hasPath("LingerS") ? item.getDouble("LingerS") : 0;
    return new Route(
        name,
        host,
        prefix,
        (long) item.getDouble("TimeoutMs"),
        (long) (lingerS * 1_000),
        item.hasPath("Public") && item.getBoolean("Public"),
        Set.copyOf(names(item, "After", path)));
  }

  private static void checkAfter(final Route route, final Set<String> names) {
    final String path = "Routes." + route.name + ".After: ";
    for (final String earlier : route.after) {
      if (earlier.equals(route.name)) {
        throw new ConfigurationException(CONFIG_FIELD, path + "names the route itself");
      }
      if (!names.contains(earlier)) {
        throw new ConfigurationException(CONFIG_FIELD, path + "there is no route " + earlier);
      }
    }
  }

  private void readTenants() {
    for (final Config item : items(source, "Tenants")) {
      final String name = text(item, "Name", "Tenants", true);
      final Set<String> keys =
          new HashSet<>(item.hasPath("Apikeys") ? item.getStringList("Apikeys") : List.of());
      final Tenant tenant = tenant(name, keys, item);
      if (tenantsByName.put(name, tenant) != null) {
        throw new ConfigurationException(CONFIG_KEY, "Tenants." + name + ": the name stands twice");
      }
      for (final String key : keys) {
        if (tenantsByKey.put(key, tenant) != null) {
          throw new ConfigurationException(
              CONFIG_KEY, "Tenants." + name + ".Apikeys: another tenant has the same key");
        }
      }
    }
  }

  private static Tenant tenant(final String name, final Set<String> keys, final Config item) {
    final String path = "Tenants." + name;
    final double rate = item.hasPath("RatePerS") ? item.getDouble("RatePerS") : 0;
    final double borrowMax = number(item, "BorrowMax", path, 0);
    final double repayShare = number(item, "RepayShare", path, DEFAULT_REPAY_SHARE);
    if (borrowMax < 0 || borrowMax > MAX_BORROW || borrowMax != Math.rint(borrowMax)) {
      throw new ConfigurationException(
          CONFIG_FIELD, path + ".BorrowMax: must be a whole number from 0 to " + MAX_BORROW);
    }
    // A share below a millionth would never repay anything.
    if (!(repayShare >= 1e-6 && repayShare <= 1)) {
      throw new ConfigurationException(
          CONFIG_FIELD, path + ".RepayShare: must be above 0 (at least 0.000001) and at most 1");
    }
    if (borrowMax > 0 && !(rate > 0 && rate <= MAX_BORROW)) {
      throw new ConfigurationException(
          CONFIG_FIELD,
          path + ".BorrowMax: needs a RatePerS above 0 that repays it, at most " + MAX_BORROW);
    }
    return new Tenant(
        name,
        keys,
        rate,
        item.hasPath("Burst") ? item.getDouble("Burst") : 0,
        (long) borrowMax,
        Math.round(repayShare * 1e6));
  }

  /** Its number; above 0. */
  public long version() {
    return version;
  }

  /** The route with the longest prefix of the topic, null when there is none. */
  public Route routeOf(final String topic) {
    for (final Route route : routes) {
      if (route.host.isEmpty() && topic.startsWith(route.prefix)) {
        return route;
      }
    }
    return null;
  }

  /** Milliseconds for which messages of a topic are kept, 0 without a route. */
  public long retentionMsOf(final String topic) {
    final Route route = routeOf(topic);
    return route == null ? 0 : route.retentionMs();
  }

  /** Whose key that is, null when nobody's. */
  public Tenant tenantOfKey(final String key) {
    return tenantsByKey.get(key);
  }

  /** The tenant of that name, null when there is none. */
  public Tenant tenant(final String name) {
    return tenantsByName.get(name);
  }

  /** All tenants; read-only. */
  public Collection<Tenant> tenants() {
    return Collections.unmodifiableCollection(tenantsByName.values());
  }

  /** All routes, the longest prefix first; read-only. */
  public Collection<Route> routes() {
    return Collections.unmodifiableCollection(routes);
  }

  /** Milliseconds: of all routes the longest retention, 0 without routes. */
  public long longestRetentionMs() {
    return routes.stream().mapToLong(Route::retentionMs).max().orElse(0);
  }

  /** How many topics a client may subscribe to on one connection. */
  public int maxSubscriptions() {
    return maxSubscriptions;
  }

  /** The whole text, with all fields as they were sent. */
  public String json() {
    return toJson(source);
  }

  Config source() {
    return source;
  }

  /**
   * A hash that is the same for two configurations with the same meaning, in whatever order they
   * list it.
   */
  long digest() {
    long sum = version * 31 + maxSubscriptions;
    for (final Route route : routes) {
      // Sorted: the order in which a set lists its names differs from process to process.
      sum +=
          (route.name
                      + " "
                      + route.host
                      + " "
                      + route.prefix
                      + " "
                      + route.timeoutMs
                      + " "
                      + route.retentionMs
                      + " "
                      + route.isPublic
                      + new TreeSet<>(route.after))
                  .hashCode()
              * 0x9e3779b97f4a7c15L;
    }
    for (final Tenant tenant : tenantsByName.values()) {
      sum +=
          (tenant.name
                      + " "
                      + tenant.ratePerSecond
                      + " "
                      + tenant.burst
                      + " "
                      + tenant.borrowMax
                      + " "
                      + tenant.repayPpm
                      + new TreeSet<>(tenant.keys))
                  .hashCode()
              * 0xbf58476d1ce4e5b9L;
    }
    return sum;
  }

  static String toJson(final Config config) {
    return config.root().render(ConfigRenderOptions.concise());
  }

  /** What an update makes of this configuration: named items replaced, added or removed. */
  Config updated(final Config update) {
    return ConfigurationPatches.apply(source, update);
  }
}
