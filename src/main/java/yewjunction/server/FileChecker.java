package yewjunction.server;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import yewjunction.common.YewjunctionException;
import yewjunction.control.Configuration;
import yewjunction.settings.Settings;

/** Offline checks by the very code the daemons use. */
final class FileChecker {
    private FileChecker() {
    }

    static int check(final Path file, final PrintStream out, final PrintStream err) {
        final String text;
        try {
            text = Files.readString(file);
        } catch (final IOException defect) {
            err.println("cannot read " + file);
            return Main.EXIT_USAGE;
        }
        try {
            // An operator's configuration is JSON, a settings file YAML: the first sign tells them apart.
            if (text.stripLeading().startsWith("{")) {
                out.println("configuration version " + Configuration.read(text).version() + ": good");
            } else {
                out.println("settings of " + Settings.read(text).node() + ": good");
            }
            return Main.EXIT_OK;
        } catch (final YewjunctionException defect) {
            err.println(file + ": " + defect.code() + " " + defect.getMessage());
            return 1;
        }
    }
}
