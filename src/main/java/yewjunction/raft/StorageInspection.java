package yewjunction.raft;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What a log file looks like to the code that opens it, for tools: nothing is changed.
 *
 * @param file path of the file
 * @param bytes its length
 * @param validBytes length of the part before the first record that is not valid
 * @param damaged whether valid records lie behind that place
 */
public record StorageInspection(String file, long bytes, long validBytes, boolean damaged) {
  /** All log files of a folder. */
  public static List<StorageInspection> inspect(final Path folder) {
    final List<StorageInspection> found = new ArrayList<>();
    for (final String name : List.of("charter", "messages")) {
      final Path file = folder.resolve(name);
      if (Files.isRegularFile(file)) {
        try {
          final byte[] bytes = Files.readAllBytes(file);
          final LogRecord.ScanResult reading = LogRecord.scan(bytes);
          found.add(
              new StorageInspection(
                  file.toString(), bytes.length, reading.validBytes(), reading.damaged()));
        } catch (final IOException failure) {
          throw new UncheckedIOException(failure);
        }
      }
    }
    return found;
  }
}
