import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** A connection of a client: writes commands, and hands each line that comes to its owner. */
final class Client implements AutoCloseable {
  /** A line and, after MSG, its body. */
  record Line(long atMs, String[] words, String body) {
    boolean is(final String... begin) {
      for (int place = 0; place < begin.length; place++) {
        if (place >= words.length || !words[place].equals(begin[place])) {
          return false;
        }
      }
      return true;
    }
  }

  private final Socket socket;
  private final Consumer<Line> owner;
  private volatile boolean ended;
  private volatile long saidMs = nowMs();

  Client(final String address, final int port, final Consumer<Line> owner) throws IOException {
    this.owner = owner;
    socket = new Socket();
    socket.connect(new InetSocketAddress(address, port), 1_000);
    socket.setTcpNoDelay(true);
    final Thread reader = new Thread(this::read, "client");
    reader.setDaemon(true);
    reader.start();
  }

  /** From now on it sends PING when it has said nothing for a while, shorter than PingS. */
  Client withPings() {
    final Thread pings =
        new Thread(
            () -> {
              try {
                while (!ended) {
                  Thread.sleep(200);
                  if (nowMs() - saidMs > 1_500) {
                    send("PING");
                  }
                }
              } catch (final IOException | InterruptedException failure) {
                // It has ended.
              }
            },
            "pings");
    pings.setDaemon(true);
    pings.start();
    return this;
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private void read() {
    try {
      final InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      String line;
      while ((line = line(in)) != null) {
        final String[] words = line.split(" ");
        String body = null;
        if (words[0].equals("MSG")) {
          body =
              new String(
                  in.readNBytes(Integer.parseInt(words[words.length - 1])),
                  StandardCharsets.US_ASCII);
          in.readNBytes(2);
        }
        owner.accept(new Line(nowMs(), words, body));
      }
    } catch (final IOException failure) {
      // Ended by either side.
    }
    ended = true;
  }

  private static String line(final InputStream in) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    int one;
    while ((one = in.read()) >= 0) {
      if (one == '\n') {
        final String text = bytes.toString(StandardCharsets.US_ASCII);
        return text.substring(0, text.length() - 1);
      }
      bytes.write(one);
    }
    return null;
  }

  synchronized void send(final String text) throws IOException {
    saidMs = nowMs();
    socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  void publish(final String topic, final long number, final String body) throws IOException {
    send("PUB " + topic + " " + number + " " + body.length() + "\r\n" + body);
  }

  boolean ended() {
    return ended;
  }

  /** Resets the connection. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
