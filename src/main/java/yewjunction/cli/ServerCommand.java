package yewjunction.cli;

import com.github.rvesse.airline.annotations.Option;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import yewjunction.common.ErrorCode;
import yewjunction.common.ExitCode;
import yewjunction.common.LogEvent;
import yewjunction.common.YewjunctionException;
import yewjunction.membership.NodeRole;
import yewjunction.server.ServerProcess;
import yewjunction.server.SettingsReloader;
import yewjunction.server.SignalHandlers;
import yewjunction.settings.Settings;

/**
 * What the two servers have in common: their options, and how a failure to start becomes an exit
 * code.
 */
abstract class ServerCommand implements Callable<Integer> {
  /** The environment variable that names the settings file where no option does. */
  static final String SETTINGS_VARIABLE = "YEWJUNCTION_SETTINGS";

  @Option(
      name = "--settings",
      title = "FILE",
      description = "settings file; else the one named by " + SETTINGS_VARIABLE)
  String file;

  @Option(
      name = "--calendar",
      title = "PLACE",
      description = "an iCalendar file, or a folder of them: planned work is named in events")
  String calendar;

  /** What a process with these settings is for. */
  abstract NodeRole role(Settings settings);

  @Override
  public Integer call() {
    final Path path = settingsPath(file);
    if (path == null) {
      System.err.println("no settings file: set " + SETTINGS_VARIABLE + " or give --settings FILE");
      return ExitCode.SETTINGS;
    }
    // Before anything else: a signal that nobody handles would end the JVM.
    final SignalHandlers signals = SignalHandlers.listen();
    final SettingsReloader settingsFile = new SettingsReloader(path);
    try {
      final Settings settings = settingsFile.load();
      return new ServerProcess(settingsFile, settings, role(settings))
          .withSignals(signals)
          .withCalendar(calendar)
          .run();
    } catch (final YewjunctionException failure) {
      System.err.println(failure.code() + " " + failure.getMessage());
      return exitCode(failure);
    } catch (final UncheckedIOException failure) {
      System.err.println(failure.getMessage() + ": " + failure.getCause().getMessage());
      return ExitCode.ADDRESS_UNAVAILABLE;
    }
  }

  /** The path given, else the one that the environment names, else null. */
  static Path settingsPath(final String given) {
    final String named = given != null ? given : System.getenv(SETTINGS_VARIABLE);
    return named == null ? null : Path.of(named);
  }

  private static int exitCode(final YewjunctionException failure) {
    if (failure.code() == ErrorCode.STORAGE_DAMAGED) {
      LogEvent.LOG_DAMAGED.warn(failure.getMessage());
      return ExitCode.STORAGE_DAMAGED;
    }
    return failure.code() == ErrorCode.STORAGE_FAILED ? ExitCode.DISK_FAILED : ExitCode.SETTINGS;
  }
}
