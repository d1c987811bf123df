package yewjunction.doctor;

import static yewjunction.limits.ToolLimits.MAX_CLOCK_DIFFERENCE_MS;
import static yewjunction.limits.ToolLimits.PROBE_TIMEOUT_MS;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import yewjunction.doctor.Finding.Code;
import yewjunction.doctor.HttpProbe.Response;
import yewjunction.maintenance.MaintenanceWindows;
import yewjunction.settings.Settings;

/**
 * Looks for common faults from where it runs: at the operator's addresses of the control nodes, at
 * this machine's readiness address, and in its data folder. Changes nothing. Each check is a class
 * of its own; this one collects the statuses, and runs the checks in order.
 *
 * <p>Blocks for at most PROBE_TIMEOUT_MS for each address; used by one thread.
 */
public final class Doctor {
  private final Settings settings;
  private final Path dataFolder;
  private final HttpProbe probe = new HttpProbe(PROBE_TIMEOUT_MS);
  private MaintenanceWindows windows;

  /** The folder may be null: a machine without a disk, or not this machine's. */
  public Doctor(final Settings settings, final Path dataFolder) {
    this.settings = settings;
    this.dataFolder = dataFolder;
  }

  /** Planned work that explains a finding is named beside it. */
  public Doctor planned(final MaintenanceWindows chosenWindows) {
    windows = chosenWindows;
    return this;
  }

  /** Looks once; empty when nothing is wrong. */
  public List<Finding> examine() {
    final Findings findings = new Findings(windows);
    final SortedMap<String, Config> statuses = new TreeMap<>();
    settings.seeds().stream().distinct().forEach(seed -> examineSeed(seed, statuses, findings));
    if (!statuses.isEmpty()) {
      examineStatuses(statuses, findings);
    }
    if (!settings.readinessAddress().isEmpty()) {
      examineReadiness(findings);
    }
    if (dataFolder != null) {
      new FolderCheck(settings.diskMb(), findings).run(dataFolder);
    }
    if (windows != null) {
      for (final String file : windows.unreadable()) {
        findings.add(Code.CALENDAR_BAD, file, "mend the calendar file; the others count");
      }
    }
    return findings.all();
  }

  private void examineSeed(
      final String seed, final SortedMap<String, Config> statuses, final Findings findings) {
    final Response response = probe.get(seed, "/-/outlook/show");
    if (response.status() == -1) {
      findings.add(
          Code.SEED_SILENT,
          seed + ": " + response.body(),
          "see whether the control node there runs and can be reached from here");
      return;
    }
    if (response.clockMs() != null && Math.abs(response.clockMs()) > MAX_CLOCK_DIFFERENCE_MS) {
      findings.add(
          Code.CLOCK_APART,
          seed + ": its clock is " + response.clockMs() + " ms ahead of this one",
          "set the clocks");
    }
    try {
      if (response.status() != 200) {
        throw new ConfigException.Generic("status " + response.status());
      }
      final Config status = ConfigFactory.parseString(response.body());
      status.getBoolean("Leads");
      statuses.put(seed, status);
    } catch (final ConfigException failure) {
      findings.add(
          Code.SEED_ODD,
          seed + ": " + failure.getMessage(),
          "see what listens there; releases too far apart?");
    }
  }

  private void examineStatuses(final SortedMap<String, Config> statuses, final Findings findings) {
    new ControlGroupCheck(statuses, settings.votersNeeded(), findings).run();
    new MemberCheck(statuses, findings).run();
    statuses.values().forEach(new ProcessCheck(findings)::run);
    // Only the leader has reports of all stores: without it nothing can be said of them.
    statuses.values().stream()
        .filter(status -> status.getBoolean("Leads"))
        .findFirst()
        .ifPresent(
            leader ->
                new StoreCheck(settings.votersNeeded(), findings)
                    .run(leader.getConfigList("Vaults")));
  }

  private void examineReadiness(final Findings findings) {
    final Response response = probe.get(settings.readinessAddress(), "/-/readyz");
    if (response.status() == -1) {
      findings.add(
          Code.READY_SILENT,
          settings.readinessAddress() + ": " + response.body(),
          "see whether the edge's process runs");
    }
  }
}
