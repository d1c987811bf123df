import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** One connection of a client: lines out, lines in; a message's body is kept with its line. */
final class Client implements AutoCloseable {
  /** A line that came, with the body that followed. */
  record Line(long ms, String text, String body) {}

  final Socket socket = new Socket();
  final BlockingQueue<Line> lines = new LinkedBlockingQueue<>();
  volatile boolean closed;
  private final Fleet fleet;

  Client(final Fleet fleet, final String ip) throws IOException {
    this.fleet = fleet;
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(ip, fleet.clientPort()), 1_000);
    final Thread reader = new Thread(this::read, "client");
    reader.setDaemon(true);
    reader.start();
  }

  private void read() {
    try (InputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10)) {
      for (String line = line(in); line != null; line = line(in)) {
        String body = "";
        if (line.startsWith("MSG ")) {
          final int length = Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
          body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
          in.readNBytes(2);
        }
        lines.add(new Line(fleet.ms(), line, body));
      }
    } catch (final IOException gone) {
      // Told by 'closed'.
    }
    closed = true;
    lines.add(new Line(fleet.ms(), "CLOSED", ""));
  }

  private static String line(final InputStream in) throws IOException {
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int one = in.read(); one >= 0; one = in.read()) {
      if (one == '\n') {
        return out.toString(StandardCharsets.US_ASCII).trim();
      }
      out.write(one);
    }
    return null;
  }

  synchronized void send(final String text) throws IOException {
    socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  void publish(final String topic, final long number, final String body) throws IOException {
    send("PUB " + topic + " " + number + " " + body.length() + "\r\n" + body);
  }

  /** The next line, null when none came in time. */
  Line next(final long mostMs) throws InterruptedException {
    return lines.poll(mostMs, TimeUnit.MILLISECONDS);
  }

  /** The next line that begins so; others are dropped. Null when none came in time, or the connection ended. */
  Line await(final String start, final long mostMs) throws InterruptedException {
    final long end = fleet.ms() + mostMs;
    while (true) {
      final Line line = next(Math.max(0, end - fleet.ms()));
      if (line == null || line.text.equals("CLOSED") || line.text.startsWith(start)) {
        return line == null || line.text.equals("CLOSED") ? null : line;
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
