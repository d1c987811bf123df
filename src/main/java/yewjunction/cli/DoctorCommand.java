package yewjunction.cli;

import static yewjunction.limits.ToolLimits.SECOND_LOOK_DELAY_MS;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import yewjunction.common.ExitCode;
import yewjunction.common.YewjunctionException;
import yewjunction.doctor.Doctor;
import yewjunction.doctor.Finding;
import yewjunction.doctor.Finding.Code;
import yewjunction.maintenance.MaintenanceWindows;
import yewjunction.settings.Settings;

/**
 * Runs the doctor and prints what it found. Faults that pass by themselves count only when a second
 * look finds them too.
 */
@Command(
    name = "doctor",
    description =
        "Looks for common faults; changes nothing. 0 healthy, 1 findings, 2 could not look")
public final class DoctorCommand implements Callable<Integer> {
  private static final Set<Code> TRANSIENT =
      EnumSet.of(
          Code.EDGE_NOT_READY,
          Code.LEADERS_DIFFER,
          Code.VERSIONS_DIFFER,
          Code.SIBLING_SUSPECT,
          Code.NO_LEADER,
          Code.CRUX_OUTSIDE,
          Code.LEDGER_TORN);

  @Option(
      name = "--settings",
      title = "FILE",
      description =
          "a machine's settings file; else the one named by " + ServerCommand.SETTINGS_VARIABLE)
  String file;

  @Option(name = "--data", title = "FOLDER", description = "a data folder to read as well")
  String folder;

  @Option(
      name = "--calendar",
      title = "PLACE",
      description = "an iCalendar file, or a folder of them, with planned work")
  String calendar;

  @Option(name = "--json", description = "findings as JSON")
  boolean json;

  @Override
  public Integer call() {
    return run(file, folder, calendar, json, System.out, System.err);
  }

  static int run(
      final String file,
      final String folder,
      final String calendar,
      final boolean json,
      final PrintStream out,
      final PrintStream err) {
    final Path settings = ServerCommand.settingsPath(file);
    if (settings == null) {
      err.println(
          "no settings file: set " + ServerCommand.SETTINGS_VARIABLE + " or give --settings FILE");
      return ExitCode.USAGE;
    }
    if (folder != null && !Files.isDirectory(Path.of(folder))) {
      err.println("no such folder: " + folder);
      return ExitCode.USAGE;
    }
    final MaintenanceWindows windows =
        calendar == null ? null : MaintenanceWindows.read(Path.of(calendar));
    final List<Finding> findings;
    try {
      findings =
          findLasting(Settings.load(settings), folder == null ? null : Path.of(folder), windows);
    } catch (final YewjunctionException failure) {
      err.println(failure.code() + " " + failure.getMessage());
      return ExitCode.USAGE;
    } catch (final UncheckedIOException failure) {
      err.println("cannot read " + folder + ": " + failure.getCause().getMessage());
      return ExitCode.USAGE;
    }
    print(findings, json, out);
    return findings.isEmpty() ? ExitCode.OK : ExitCode.FINDINGS;
  }

  /**
   * What the second look finds too: elections, roll-outs and starts pass within moments, and news
   * of them a little later.
   */
  private static List<Finding> findLasting(
      final Settings settings, final Path folder, final MaintenanceWindows windows) {
    final List<Finding> first = new Doctor(settings, folder).planned(windows).examine();
    if (first.stream().noneMatch(finding -> TRANSIENT.contains(finding.code()))) {
      return first;
    }
    try {
      Thread.sleep(SECOND_LOOK_DELAY_MS);
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    final List<Finding> second = new Doctor(settings, folder).planned(windows).examine();
    second.removeIf(
        finding ->
            TRANSIENT.contains(finding.code())
                && first.stream().noneMatch(earlier -> earlier.code() == finding.code()));
    return second;
  }

  private static void print(
      final List<Finding> findings, final boolean json, final PrintStream out) {
    if (json) {
      out.println(
          ConfigValueFactory.fromIterable(
                  findings.stream()
                      .map(
                          finding ->
                              Map.of(
                                  "Code",
                                  finding.code().name(),
                                  "Seen",
                                  finding.seen(),
                                  "Todo",
                                  finding.todo(),
                                  "Planned",
                                  finding.planned()))
                      .toList())
              .render(ConfigRenderOptions.concise()));
    } else {
      findings.forEach(
          finding ->
              out.println(
                  finding.code()
                      + ": "
                      + finding.seen()
                      + "\n    do: "
                      + finding.todo()
                      + (finding.planned().isEmpty()
                          ? ""
                          : "\n    planned: " + finding.planned())));
      out.println(findings.isEmpty() ? "healthy" : findings.size() + " findings");
    }
  }
}
