package yewjunction.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import yewjunction.common.ExitCode;
import yewjunction.common.YewjunctionException;
import yewjunction.control.Configuration;
import yewjunction.settings.Settings;

/** Checks a file offline, with the very code that the servers use. */
@Command(
    name = "check",
    description = "Checks a settings file (YAML) or an operator's configuration (JSON) offline")
public final class CheckCommand implements Callable<Integer> {
  @Arguments(title = "FILE", description = "the file to check")
  String file;

  @Override
  public Integer call() {
    if (file == null) {
      System.err.println("usage: yewjunction check FILE");
      return ExitCode.USAGE;
    }
    return check(Path.of(file), System.out, System.err);
  }

  /** Returns 0 for a good file, 1 for a bad one, and 2 for one that cannot be read. */
  static int check(final Path file, final PrintStream out, final PrintStream err) {
    final String text;
    try {
      text = Files.readString(file);
    } catch (final IOException failure) {
      err.println("cannot read " + file);
      return ExitCode.USAGE;
    }
    try {
      out.println(describe(text));
      return ExitCode.OK;
    } catch (final YewjunctionException failure) {
      err.println(file + ": " + failure.code() + " " + failure.getMessage());
      return ExitCode.FINDINGS;
    }
  }

  /**
   * An operator's configuration is JSON and a settings file YAML: the first character tells them
   * apart.
   */
  private static String describe(final String text) {
    if (text.stripLeading().startsWith("{")) {
      return "configuration version " + Configuration.read(text).version() + ": good";
    }
    return "settings of " + Settings.read(text).node() + ": good";
  }
}
