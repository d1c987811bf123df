package yewjunction.server;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import yewjunction.server.ServerProcess.NodeRole;
import yewjunction.common.YewjunctionException;
import yewjunction.common.LogEvent;
import yewjunction.settings.Settings;

/** yewjunction: one jar, two programs, and tools round them. */
public final class Main {
    public static final int EXIT_OK = 0;
    public static final int EXIT_USAGE = 2;
    public static final int EXIT_SETTINGS = 3;
    public static final int EXIT_LEDGER = 4;
    public static final int EXIT_DISK = 5;
    public static final int EXIT_LISTEN = 6;
    public static final int EXIT_DEFECT = 7;
    static final String SETTINGS_VARIABLE = "YEWJUNCTION_SETTINGS";

    private Main() {
    }

    /** Common to both programs. */
    abstract static class ServerCommand implements Callable<Integer> {
        @Option(name = "--settings", title = "FILE", description = "settings file; else the one named by " + SETTINGS_VARIABLE)
        String file;
        @Option(name = "--calendar", title = "PLACE", description = "an iCalendar file, or a folder of them: planned work is named in events")
        String calendar;

        Path path() {
            final String named = file != null ? file : System.getenv(SETTINGS_VARIABLE);
            return named == null ? null : Path.of(named);
        }

        @Override
        public Integer call() {
            final Path path = path();
            if (path == null) {
                System.err.println("no settings file: set " + SETTINGS_VARIABLE + " or give --settings FILE");
                return EXIT_SETTINGS;
            }
            final SignalHandlers signals = SignalHandlers.listen();
            final SettingsReloader settingsFile = new SettingsReloader(path);
            try {
                return process(settingsFile, settingsFile.load()).signalled(signals).planned(calendar).run();
            } catch (final YewjunctionException defect) {
                System.err.println(defect.code() + " " + defect.getMessage());
                return switch (defect.code()) {
                    case LEDGER_DAMAGED -> {
                        LogEvent.LEDGER_DAMAGED.warn(defect.getMessage());
                        yield EXIT_LEDGER;
                    }
                    case LEDGER_DISK -> EXIT_DISK;
                    default -> EXIT_SETTINGS;
                };
            } catch (final java.io.UncheckedIOException defect) {
                System.err.println(defect.getMessage() + ": " + defect.getCause().getMessage());
                return EXIT_LISTEN;
            }
        }

        abstract ServerProcess process(SettingsReloader settingsFile, Settings settings);
    }

    @Command(name = "tide", description = "Data plane: clients' links where it serves edge, kept messages where it serves store")
    public static final class DataPlaneCommand extends ServerCommand {
        @Override
        ServerProcess process(final SettingsReloader settingsFile, final Settings settings) {
            return new ServerProcess(settingsFile, settings, settings.serves().contains("store") ? NodeRole.VAULT : NodeRole.TIDE);
        }
    }

    @Command(name = "crux", description = "Control plane: configuration, names and voters; serves the operator")
    public static final class ControlPlaneCommand extends ServerCommand {
        @Override
        ServerProcess process(final SettingsReloader settingsFile, final Settings settings) {
            return new ServerProcess(settingsFile, settings, NodeRole.CRUX);
        }
    }

    @Command(name = "check", description = "Checks a settings file (YAML) or an operator's configuration (JSON) offline")
    public static final class CheckCommand implements Callable<Integer> {
        @Arguments(title = "FILE", description = "the file to check")
        String file;

        @Override
        public Integer call() {
            if (file == null) {
                System.err.println("usage: yewjunction check FILE");
                return EXIT_USAGE;
            }
            return FileChecker.check(Path.of(file), System.out, System.err);
        }
    }

    @Command(name = "doctor", description = "Looks for common faults; changes nothing. 0 healthy, 1 findings, 2 could not look")
    public static final class DoctorCommand implements Callable<Integer> {
        @Option(name = "--settings", title = "FILE", description = "a machine's settings file; else the one named by " + SETTINGS_VARIABLE)
        String file;
        @Option(name = "--data", title = "FOLDER", description = "a data folder to read as well")
        String folder;
        @Option(name = "--calendar", title = "PLACE", description = "an iCalendar file, or a folder of them, with planned work")
        String calendar;
        @Option(name = "--json", description = "findings as JSON")
        boolean json;

        @Override
        public Integer call() {
            return Diagnosis.run(file, folder, calendar, json, System.out, System.err);
        }
    }

    @Command(name = "rehearse", description = "Starts a whole small system on loopback, passes one message through it, and ends")
    public static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return Rehearsal.run(System.out);
        }
    }

    private static Cli<Callable<Integer>> cli() {
        final CliBuilder<Callable<Integer>> builder = Cli.builder("yewjunction");
        builder.withDescription("A realtime messaging service whose nodes act as one");
        builder.withCommand(DataPlaneCommand.class);
        builder.withCommand(ControlPlaneCommand.class);
        builder.withCommand(CheckCommand.class);
        builder.withCommand(RehearseCommand.class);
        builder.withCommand(DoctorCommand.class);
        return builder.build();
    }

    public static void main(final String[] arguments) throws Exception {
        int code = EXIT_DEFECT;
        try {
            code = run(arguments);
        } catch (final Exception | Error defect) {
            defect.printStackTrace();
        }
        // Also when it threw: the agent's thread alone would keep a process that serves nobody.
        System.exit(code);
    }

    static int run(final String[] arguments) throws Exception {
        if (arguments.length == 0 || arguments[0].equals("help") || arguments[0].equals("--help")) {
            Help.help(cli().getMetadata(), java.util.List.of());
            return arguments.length == 0 ? EXIT_USAGE : EXIT_OK;
        }
        // A daemon's start is service lost, and its plain form needs no parser: the library's set-up costs as much as the rest.
        if (arguments.length == 1 && arguments[0].equals("tide")) {
            return new DataPlaneCommand().call();
        }
        if (arguments.length == 1 && arguments[0].equals("crux")) {
            return new ControlPlaneCommand().call();
        }
        final Callable<Integer> command;
        try {
            command = cli().parse(arguments);
        } catch (final ParseException defect) {
            System.err.println(defect.getMessage());
            System.err.println("usage: yewjunction tide|crux|check|doctor|rehearse|help");
            return EXIT_USAGE;
        }
        return command.call();
    }
}
