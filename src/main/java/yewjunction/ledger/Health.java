package yewjunction.ledger;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A ledger file as the daemons would read it; only read. */
public record Health(String file, long bytes, long goodBytes, boolean damaged) {
    /** All ledger files of a folder. */
    public static List<Health> look(final Path folder) {
        final List<Health> found = new ArrayList<>();
        for (final String name : List.of("charter", "messages")) {
            final Path file = folder.resolve(name);
            if (Files.isRegularFile(file)) {
                try {
                    final byte[] bytes = Files.readAllBytes(file);
                    final Record.Reading reading = Record.read(bytes);
                    found.add(new Health(file.toString(), bytes.length, reading.goodBytes(), reading.damaged()));
                } catch (final IOException defect) {
                    throw new UncheckedIOException(defect);
                }
            }
        }
        return found;
    }
}
