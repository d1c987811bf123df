package yewjunction.settings;

import static yewjunction.common.ErrorCode.SETTINGS_FIELD;
import static yewjunction.common.ErrorCode.SETTINGS_MISSING;
import static yewjunction.common.ErrorCode.SETTINGS_UNREADABLE;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;
import yewjunction.transport.SocketAddresses;

/**
 * What the settings file tells a process; docs/operating.md lists its fields. Immutable. Unknown
 * fields are ignored; a field that is missing or wrong is named in the text of the {@link
 * SettingsException}.
 */
public record Settings(
    String node,
    String role,
    List<String> serves,
    String ip,
    String zone,
    String clientAddress,
    String readinessAddress,
    String operatorAddress,
    int firstPort,
    int lastPort,
    List<String> seeds,
    boolean bootstrap,
    String dataFolder,
    int toleratedLosses,
    double pingS,
    double quotaWindowS,
    double quotaExcess,
    double quotaSlack,
    long diskMb) {
  /** Which of the program's ports of a machine is whose: two processes share one machine. */
  public static final int DATA_PORT_OFFSET = 0;

  public static final int CONTROL_PORT_OFFSET = 1;

  /**
   * Reads and checks a file.
   *
   * @throws SettingsException when it cannot be read or a field is missing or wrong
   */
  public static Settings load(final Path file) {
    final String text;
    try {
      text = Files.readString(file);
    } catch (final IOException failure) {
      throw new SettingsException(SETTINGS_MISSING, "cannot read " + file, failure);
    }
    return read(text);
  }

  /**
   * Reads and checks the text of a settings file.
   *
   * @throws SettingsException when a field is missing or wrong
   */
  public static Settings read(final String text) {
    final Object tree;
    try {
      tree = new Yaml(new SafeConstructor(new LoaderOptions())).load(text);
    } catch (final YAMLException failure) {
      throw new SettingsException(SETTINGS_UNREADABLE, failure.getMessage(), failure);
    }
    if (!(tree instanceof Map<?, ?> map)) {
      throw new SettingsException(SETTINGS_UNREADABLE, "not a map of fields");
    }
    return of(map);
  }

  private static Settings of(final Map<?, ?> map) {
    final Map<?, ?> listen = map(map, "Listen");
    final Map<?, ?> bounds = map(map, "Bounds");
    final Map<?, ?> tolerate = map(map, "Tolerate");
    final List<String> serves = textList(map, "Serves");
    final List<?> ports = list(map, "PortRange");
    if (ports.size() != 2
        || !(ports.get(0) instanceof Integer first)
        || !(ports.get(1) instanceof Integer last)
        || first < 1
        || last > 65_535
        || last - first < CONTROL_PORT_OFFSET) {
      throw new SettingsException(
          SETTINGS_FIELD, "PortRange: must be two ports with at least two numbers between them");
    }
    final boolean edge = serves.contains("edge");
    final boolean disk =
        serves.contains("store") || serves.contains("ctl") && map.get("Datadir") != null;
    final List<String> seeds = textList(map, "Seeds");
    seeds.forEach(seed -> address(seed, "Seeds"));
    final String ip = text(map, "Ip");
    address(ip + ":1", "Ip");
    return new Settings(
        text(map, "Nodename"),
        text(map, "Role"),
        serves,
        ip,
        text(map, "Az"),
        edge ? listenAddress(listen, "Fe") : "",
        edge ? listenAddress(listen, "Ready") : "",
        serves.contains("ctl") ? listenAddress(listen, "Ctl") : "",
        first,
        last,
        seeds,
        Boolean.TRUE.equals(map.get("Bootstrap")),
        disk ? text(map, "Datadir") : "",
        (int) number(tolerate, "Mach", "Tolerate.Mach", 1),
        number(bounds, "PingS", "Bounds.PingS", 2),
        number(bounds, "QuotaWinS", "Bounds.QuotaWinS", 5),
        number(bounds, "QuotaExcess", "Bounds.QuotaExcess", 0),
        number(bounds, "QuotaSlack", "Bounds.QuotaSlack", 0),
        (long) number(map(map, "Lims"), "DiskMb", "Lims.DiskMb", 0));
  }

  private static Map<?, ?> map(final Map<?, ?> from, final String field) {
    final Object value = from.get(field);
    if (value == null) {
      return Map.of();
    }
    if (!(value instanceof Map<?, ?> map)) {
      throw new SettingsException(SETTINGS_FIELD, field + ": must be a map");
    }
    return map;
  }

  private static List<?> list(final Map<?, ?> from, final String field) {
    if (!(from.get(field) instanceof List<?> list)) {
      throw new SettingsException(SETTINGS_FIELD, field + ": must be a list");
    }
    return list;
  }

  private static List<String> textList(final Map<?, ?> from, final String field) {
    final List<String> texts = new ArrayList<>();
    list(from, field).forEach(item -> texts.add(String.valueOf(item)));
    return texts;
  }

  private static String text(final Map<?, ?> from, final String field) {
    final Object value = from.get(field);
    if (value == null || String.valueOf(value).isBlank()) {
      throw new SettingsException(SETTINGS_FIELD, field + ": is missing");
    }
    return String.valueOf(value);
  }

  private static String listenAddress(final Map<?, ?> listen, final String field) {
    final Object value = listen.get(field);
    if (value == null) {
      throw new SettingsException(SETTINGS_FIELD, "Listen." + field + ": is missing");
    }
    address(String.valueOf(value), "Listen." + field);
    return String.valueOf(value);
  }

  private static void address(final String text, final String field) {
    try {
      SocketAddresses.parse(text);
    } catch (final IllegalArgumentException failure) {
      throw new SettingsException(
          SETTINGS_FIELD, field + ": not an address ip:port: " + text, failure);
    }
  }

  private static double number(
      final Map<?, ?> from, final String field, final String path, final double otherwise) {
    final Object value = from.get(field);
    if (value == null) {
      return otherwise;
    }
    if (!(value instanceof Number number) || number.doubleValue() < 0) {
      throw new SettingsException(SETTINGS_FIELD, path + ": must be a number of 0 or more");
    }
    return number.doubleValue();
  }

  /** Peer addresses of the control nodes on the seeds' machines: ports are alike on all. */
  public List<String> controlNodeAddresses() {
    return seeds.stream()
        .map(seed -> SocketAddresses.ip(seed) + ":" + (firstPort + CONTROL_PORT_OFFSET))
        .distinct()
        .toList();
  }

  /**
   * Two copies must outlast the losses to be tolerated: so many voters make a majority without
   * them.
   */
  public int votersNeeded() {
    return 2 * Math.max(1, toleratedLosses) + 1;
  }

  /** The address for other nodes of the program with that port offset. */
  public String address(final int offset) {
    return ip + ":" + (firstPort + offset);
  }
}
