package yewjunction.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.List;
import java.util.concurrent.Callable;
import yewjunction.common.ExitCode;

/**
 * The entry point: one jar with two servers, {@code data-plane} and {@code control-plane}, and
 * tools around them.
 */
public final class Main {
  private Main() {}

  /** Runs the command that the arguments name, and ends the JVM with its exit code. */
  public static void main(final String[] arguments) {
    int code = ExitCode.UNEXPECTED_ERROR;
    try {
      code = run(arguments);
    } catch (final Exception | Error failure) {
      failure.printStackTrace();
    }
    // Also after a failure: the agent's thread alone would keep a process alive that serves nobody.
    System.exit(code);
  }

  /** Runs the command that the arguments name and returns its exit code. */
  static int run(final String[] arguments) throws Exception {
    if (arguments.length == 0) {
      printHelp();
      return ExitCode.USAGE;
    }
    if (arguments[0].equals("help") || arguments[0].equals("--help")) {
      printHelp();
      return ExitCode.OK;
    }
    // A server's start is service lost, and its plain form needs no parser: setting the library up
    // costs as much as the rest.
    if (arguments.length == 1 && arguments[0].equals(DataPlaneCommand.NAME)) {
      return new DataPlaneCommand().call();
    }
    if (arguments.length == 1 && arguments[0].equals(ControlPlaneCommand.NAME)) {
      return new ControlPlaneCommand().call();
    }
    final Callable<Integer> command;
    try {
      command = commands().parse(arguments);
    } catch (final ParseException failure) {
      System.err.println(failure.getMessage());
      System.err.println("usage: yewjunction data-plane|control-plane|check|doctor|rehearse|help");
      return ExitCode.USAGE;
    }
    return command.call();
  }

  private static void printHelp() throws Exception {
    Help.help(commands().getMetadata(), List.of());
  }

  private static Cli<Callable<Integer>> commands() {
    final CliBuilder<Callable<Integer>> builder = Cli.builder("yewjunction");
    builder.withDescription("A realtime messaging service whose nodes act as one");
    builder.withCommand(DataPlaneCommand.class);
    builder.withCommand(ControlPlaneCommand.class);
    builder.withCommand(CheckCommand.class);
    builder.withCommand(RehearseCommand.class);
    builder.withCommand(DoctorCommand.class);
    return builder.build();
  }
}
