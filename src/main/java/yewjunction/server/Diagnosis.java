package yewjunction.server;

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
import yewjunction.common.YewjunctionException;
import yewjunction.doctor.Doctor;
import yewjunction.doctor.Finding;
import yewjunction.doctor.Finding.Code;
import yewjunction.settings.Settings;
import yewjunction.maintenance.MaintenanceWindows;

import static yewjunction.common.ToolLimits.DOCTOR_AGAIN_MS;

/** The doctor on the command line. */
final class Diagnosis {
    private static final int FINDINGS = 1;
    private static final int COULD_NOT_LOOK = 2;

    private static final Set<Code> PASSING = EnumSet.of(Code.EDGE_NOT_READY, Code.LEADERS_DIFFER, Code.VERSIONS_DIFFER,
        Code.SIBLING_SUSPECT, Code.NO_LEADER, Code.CRUX_OUTSIDE, Code.LEDGER_TORN);

    private Diagnosis() {
    }

    static int run(final String file, final String folder, final String calendar, final boolean json, final PrintStream out,
            final PrintStream err) {
        final String named = file != null ? file : System.getenv(Main.SETTINGS_VARIABLE);
        if (named == null) {
            err.println("no settings file: set " + Main.SETTINGS_VARIABLE + " or give --settings FILE");
            return COULD_NOT_LOOK;
        }
        if (folder != null && !Files.isDirectory(Path.of(folder))) {
            err.println("no such folder: " + folder);
            return COULD_NOT_LOOK;
        }
        final MaintenanceWindows windows = calendar == null ? null : MaintenanceWindows.read(Path.of(calendar));
        final List<Finding> findings;
        try {
            findings = lasting(Settings.load(Path.of(named)), folder == null ? null : Path.of(folder), windows);
        } catch (final YewjunctionException defect) {
            err.println(defect.code() + " " + defect.getMessage());
            return COULD_NOT_LOOK;
        } catch (final UncheckedIOException defect) {
            err.println("cannot read " + folder + ": " + defect.getCause().getMessage());
            return COULD_NOT_LOOK;
        }
        tell(findings, json, out);
        return findings.isEmpty() ? Main.EXIT_OK : FINDINGS;
    }

    /** What the second look finds too: elections, roll-outs and starts pass within moments, and news of them a little later. */
    private static List<Finding> lasting(final Settings settings, final Path folder, final MaintenanceWindows windows) {
        final List<Finding> first = new Doctor(settings, folder).planned(windows).examine();
        if (first.stream().noneMatch(finding -> PASSING.contains(finding.code()))) {
            return first;
        }
        try {
            Thread.sleep(DOCTOR_AGAIN_MS);
        } catch (final InterruptedException defect) {
            Thread.currentThread().interrupt();
        }
        final List<Finding> second = new Doctor(settings, folder).planned(windows).examine();
        second.removeIf(finding -> PASSING.contains(finding.code())
            && first.stream().noneMatch(earlier -> earlier.code() == finding.code()));
        return second;
    }

    private static void tell(final List<Finding> findings, final boolean json, final PrintStream out) {
        if (json) {
            out.println(ConfigValueFactory.fromIterable(findings.stream().map(finding -> Map.of("Code", finding.code().name(),
                "Seen", finding.seen(), "Todo", finding.todo(), "Planned", finding.planned())).toList()).render(ConfigRenderOptions.concise()));
        } else {
            findings.forEach(finding -> out.println(finding.code() + ": " + finding.seen() + "\n    do: " + finding.todo()
                + (finding.planned().isEmpty() ? "" : "\n    planned: " + finding.planned())));
            out.println(findings.isEmpty() ? "healthy" : findings.size() + " findings");
        }
    }
}
