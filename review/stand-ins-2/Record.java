import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
  private final long startMs = Client.nowMs();
  private final PrintWriter out;

  Record(final Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void say(final String text) {
    final String line = "%8.3f %s".formatted((Client.nowMs() - startMs) / 1000.0, text);
    out.println(line);
    out.flush();
    System.out.println(line);
  }

  /** For the record only. */
  synchronized void note(final String text) {
    out.printf("%8.3f %s%n", (Client.nowMs() - startMs) / 1000.0, text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
