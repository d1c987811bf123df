package yewjunction.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import yewjunction.common.ExitCode;
import yewjunction.membership.NodeRole;
import yewjunction.server.ServerProcess;
import yewjunction.server.SettingsReloader;

/**
 * A whole small system in one process on loopback: takes a configuration and carries one message.
 */
final class Rehearsal {
  private static final int STEP_MS = 50;
  private static final int PATIENCE_MS = 20_000;
  private static final String CONFIGURATION =
      """
        {"Ver":1,"Routes":[{"Name":"r","Host":"","Pfx":"rehearsal.","Type":"kept","TimeoutMs":1500,"LingerS":30.0,\
        "Fifo":"topic","Public":false},{"Name":"d","Host":"","Pfx":"dispatch.","Type":"kept","TimeoutMs":1500,"LingerS":30.0,\
        "Fifo":"from","After":["r"],"Public":false}],"Svcs":[],"Lims":{"Subs":20},"Tenants":[{"Name":"t","Apikeys":["key"],\
        "RatePerS":50,"Burst":50},{"Name":"rush","Apikeys":["rush"],"RatePerS":5,"Burst":1,"BorrowMax":3,"RepayShare":0.5}]}""";
  private final Path folder;
  private final int port;
  private final PrintStream out;

  private Rehearsal(final Path folder, final PrintStream out) throws IOException {
    this.folder = folder;
    this.out = out;
    // A free port shows where a free range most likely begins.
    try (ServerSocket probe =
        new ServerSocket(0, 1, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
      port = Math.min(probe.getLocalPort(), 65_000);
    }
  }

  static int run(final PrintStream out) throws IOException, InterruptedException {
    final Path folder = Files.createTempDirectory("yewjunction");
    try {
      return raise(folder, out).play();
    } finally {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    }
  }

  /** Starts the system in a folder; it runs until this process ends. */
  static Rehearsal raise(final Path folder, final PrintStream out) throws IOException {
    final Rehearsal rehearsal = new Rehearsal(folder, out);
    rehearsal.start("127.0.0.1", "control", "ctl", NodeRole.CONTROL);
    for (int i = 1; i <= 3; i++) {
      rehearsal.start("127.0.0." + i, "store" + i, "store", NodeRole.STORE);
    }
    rehearsal.start("127.0.0.4", "edge", "edge", NodeRole.EDGE);
    return rehearsal;
  }

  private void start(final String ip, final String name, final String serves, final NodeRole role)
      throws IOException {
    final Path file = folder.resolve(name + ".yaml");
    Files.writeString(
        file,
        "Nodename: "
            + name
            + "\nRole: "
            + name
            + "\nServes: ["
            + serves
            + "]\nIp: "
            + ip
            + "\nAz: zone-"
            + name
            + "\nListen: {Fe: '"
            + ip
            + ":"
            + (port + 4)
            + "', Ready: '"
            + ip
            + ":"
            + (port + 5)
            + "', Ctl: '"
            + ip
            + ":"
            + (port + 6)
            + "'}\nPortRange: ["
            + port
            + ", "
            + (port + 3)
            + "]\nSeeds: ['127.0.0.1:"
            + (port + 6)
            + "']\nBootstrap: true\nDatadir: "
            + folder.resolve(name)
            + "\n");
    final SettingsReloader settingsFile = new SettingsReloader(file);
    final ServerProcess process = new ServerProcess(settingsFile, settingsFile.load(), role);
    final Thread thread = new Thread(process::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  int play() throws IOException, InterruptedException {
    final HttpClient caller = HttpClient.newHttpClient();
    final HttpRequest replace =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + (port + 6) + "/-/config/replace"))
            .header("Base-Version", "0")
            .timeout(Duration.ofSeconds(2))
            .POST(HttpRequest.BodyPublishers.ofString(CONFIGURATION))
            .build();
    final HttpRequest ready =
        HttpRequest.newBuilder(URI.create("http://127.0.0.4:" + (port + 5) + "/-/readyz"))
            .timeout(Duration.ofSeconds(2))
            .build();
    if (!until(caller, replace) || !until(caller, ready)) {
      out.println("rehearsal: no answer in time");
      return ExitCode.FINDINGS;
    }
    try (Socket client = new Socket("127.0.0.4", port + 4)) {
      client.setSoTimeout(5_000);
      final BufferedReader in =
          new BufferedReader(
              new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
      for (final String line :
          new String[] {
            "HELLO c key", "SUB rehearsal.one", "PUB rehearsal.one 1 20\r\nabcdefghijklmnopqrst"
          }) {
        client.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
        final String response = in.readLine();
        out.println("rehearsal: " + line.lines().findFirst().orElse("") + " -> " + response);
        if (response == null || response.startsWith("REFUSE")) {
          return ExitCode.FINDINGS;
        }
      }
      out.println("rehearsal: -> " + in.readLine());
      in.readLine();
      final int done = filtered(client, in);
      final RehearsalClients showcase = new RehearsalClients("127.0.0.4", port + 4, port + 6, out);
      return done == ExitCode.OK && showcase.order() && showcase.borrowing()
          ? ExitCode.OK
          : ExitCode.FINDINGS;
    }
  }

  /** One repository of many, then another one: only what the filter in force lets through comes. */
  private int filtered(final Socket client, final BufferedReader in) throws IOException {
    // Each step ends with a line that says it is done: what is sent next is judged by what stands
    // then.
    final String[][] steps = {
      {"SUB rehearsal.all - repo-1,tool-*", "OK SUB"},
      {publication(2, "repo-2") + "\r\n" + publication(3, "repo-1"), "repo-1 no. 3"},
      {"SUB rehearsal.all - repo-2", "OK SUB"},
      {publication(4, "tool-7") + "\r\n" + publication(5, "repo-2"), "repo-2 no. 5"}
    };
    for (final String[] step : steps) {
      client.getOutputStream().write((step[0] + "\r\n").getBytes(StandardCharsets.US_ASCII));
      String line;
      do {
        line = in.readLine();
        out.println("rehearsal: " + line);
        if (line == null
            || line.startsWith("REFUSE")
            || line.startsWith("repo-2 no. 2")
            || line.startsWith("tool-7")) {
          return ExitCode.FINDINGS;
        }
      } while (!line.startsWith(step[1]));
    }
    return ExitCode.OK;
  }

  private static String publication(final int number, final String key) {
    final String body = key + " no. " + number + " has been crawled again";
    return "PUB rehearsal.all " + number + " " + body.length() + "\r\n" + body;
  }

  private static boolean until(final HttpClient caller, final HttpRequest request)
      throws InterruptedException {
    for (int waitedMs = 0; waitedMs < PATIENCE_MS; waitedMs += STEP_MS) {
      try {
        if (caller.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
          return true;
        }
      } catch (final IOException notYet) {
        // The process is still starting: asked again.
      }
      Thread.sleep(STEP_MS);
    }
    return false;
  }
}
