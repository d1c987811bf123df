package yewjunction.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The examples of the README that need a client of their own, on the real wire: declared order, and
 * borrowing ahead.
 */
final class RehearsalClients {
  private static final int STEP_MS = 100;
  private static final int PATIENCE_MS = 5_000;
  private final String edge;
  private final int clientPort;
  private final int operatorPort;
  private final PrintStream out;

  RehearsalClients(
      final String edge, final int clientPort, final int operatorPort, final PrintStream out) {
    this.edge = edge;
    this.clientPort = clientPort;
    this.operatorPort = operatorPort;
    this.out = out;
  }

  /**
   * Sends all lines at once and returns what is received, up to as many lines of those that count.
   */
  private List<String> talk(
      final Socket client,
      final BufferedReader in,
      final String said,
      final int wanted,
      final String... words)
      throws IOException {
    client.getOutputStream().write(said.getBytes(StandardCharsets.US_ASCII));
    final List<String> heard = new ArrayList<>();
    while (heard.size() < wanted) {
      final String line = in.readLine();
      if (line == null) {
        throw new IOException("closed by the edge");
      }
      for (final String word : words) {
        if (line.startsWith(word)) {
          out.println("rehearsal: " + line);
          heard.add(line);
        }
      }
    }
    return heard;
  }

  private Socket connect() throws IOException {
    final Socket client = new Socket(edge, clientPort);
    client.setSoTimeout(5_000);
    return client;
  }

  private static BufferedReader reader(final Socket client) throws IOException {
    return new BufferedReader(
        new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
  }

  private static String publication(final String topic, final int number) {
    final String body = topic + " no. " + number + " ........";
    return "PUB " + topic + " " + number + " " + body.length() + "\r\n" + body + "\r\n";
  }

  /**
   * A dispatch follows its order change, for a client that comes back and names the dispatches
   * first, too.
   */
  boolean order() throws IOException {
    final List<String> live;
    try (Socket client = connect()) {
      final BufferedReader in = reader(client);
      talk(client, in, "HELLO o key\r\nSUB dispatch.one\r\nSUB rehearsal.order\r\n", 3, "OK");
      live =
          talk(
              client,
              in,
              publication("rehearsal.order", 1) + publication("dispatch.one", 2),
              2,
              "MSG");
    }
    final String[] first = live.get(0).split(" ");
    final long cursor = Long.parseLong(first[2]) - 1;
    final List<String> again;
    try (Socket client = connect()) {
      again =
          talk(
              client,
              reader(client),
              "HELLO o key\r\nSUB dispatch.one "
                  + cursor
                  + "\r\nSUB rehearsal.order "
                  + cursor
                  + "\r\n",
              2,
              "MSG");
    }
    return first[1].equals("rehearsal.order")
        && live.get(1).startsWith("MSG dispatch.one")
        && live.equals(again);
  }

  /**
   * A tenant sends eight at once: one it may, three are borrowed, the rest is denied, and soon all
   * is repaid.
   */
  boolean borrowing() throws IOException, InterruptedException {
    // From here on its terms are in the log.
    shown("\"Borrowed\":0.0", 1);
    final StringBuilder rush = new StringBuilder("HELLO r rush\r\n");
    for (int number = 1; number <= 8; number++) {
      rush.append(publication("rehearsal.rush" + number, number));
    }
    try (Socket client = connect()) {
      talk(client, reader(client), rush.toString(), 8, "ACK", "REFUSE PUB");
    }
    out.println("rehearsal: " + shown("\"Debt\":3.0", 1));
    final String page = shown("\"Repaid\":3.0", 3);
    out.println("rehearsal: " + page);
    return page.contains("\"Repaid\":3.0");
  }

  /**
   * The tenant's page once so many stores say so: they tell a control node with their next lease
   * what they hold.
   */
  private String shown(final String wanted, final int stores)
      throws IOException, InterruptedException {
    final HttpClient caller = HttpClient.newHttpClient();
    final HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + operatorPort + "/-/quota/rush/show"))
            .timeout(Duration.ofSeconds(2))
            .build();
    String page = "";
    for (int waitedMs = 0;
        waitedMs < PATIENCE_MS && page.split(wanted, -1).length <= stores;
        waitedMs += STEP_MS) {
      Thread.sleep(STEP_MS);
      page = caller.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }
    return page;
  }
}
