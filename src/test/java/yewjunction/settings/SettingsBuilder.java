package yewjunction.settings;

import java.util.List;

/**
 * Settings of a simulated process: a test names what matters to it, and the rest is as on a small
 * deployment.
 */
public final class SettingsBuilder {
  private final String node;
  private final String role;
  private final String ip;
  private String zone = "zone";
  private int firstPort = 7000;
  private List<String> seeds = List.of();
  private boolean bootstrap;
  private String dataFolder = "/data";
  private int toleratedLosses = 1;
  private long diskMb = 64;
  private boolean listening = true;

  private SettingsBuilder(final String node, final String role, final String ip) {
    this.node = node;
    this.role = role;
    this.ip = ip;
  }

  public static SettingsBuilder settings(final String node, final String role, final String ip) {
    return new SettingsBuilder(node, role, ip);
  }

  public SettingsBuilder zone(final String chosen) {
    zone = chosen;
    return this;
  }

  public SettingsBuilder firstPort(final int chosen) {
    firstPort = chosen;
    return this;
  }

  public SettingsBuilder seeds(final List<String> chosen) {
    seeds = chosen;
    return this;
  }

  public SettingsBuilder bootstrap(final boolean chosen) {
    bootstrap = chosen;
    return this;
  }

  public SettingsBuilder dataFolder(final String chosen) {
    dataFolder = chosen;
    return this;
  }

  public SettingsBuilder toleratedLosses(final int chosen) {
    toleratedLosses = chosen;
    return this;
  }

  public SettingsBuilder diskMb(final long chosen) {
    diskMb = chosen;
    return this;
  }

  /** Without addresses for clients and operators. */
  public SettingsBuilder withoutListeners() {
    listening = false;
    return this;
  }

  public Settings build() {
    return new Settings(
        node,
        role,
        List.of(role),
        ip,
        zone,
        listening ? ip + ":8022" : "",
        listening ? ip + ":8029" : "",
        listening ? ip + ":8024" : "",
        firstPort,
        firstPort + 15,
        seeds,
        bootstrap,
        dataFolder,
        toleratedLosses,
        2,
        5,
        0.1,
        20,
        diskMb);
  }
}
