import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: three control nodes, three stores, some edges, each a process of
 * its own, started with the command of the deploy file and settings like those of the users' pages.
 * Stand-ins for the platform (signals, restarts) and for the operator.
 */
final class Fleet implements AutoCloseable {
  private static final String[] ZONES = {"vake", "saburtalo", "isani"};

  /** One machine's one process. */
  static final class Node {
    String name;
    String role;
    String zone;
    String ip;
    Path settings;
    Path data;
    Path log;
    Process process;
    int lives;
    boolean seenReady;
  }

  private final Path root;
  private final Path folder;
  private final PrintWriter record;
  private final long startNs = System.nanoTime();
  private final int port;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  long version;

  Fleet(final Path root, final Path recordFile) throws IOException {
    this.root = root;
    folder = Files.createTempDirectory("review");
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    port = freePort();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /** A range of eight ports that are free on all addresses used here. */
  private static int freePort() throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      final int first = 20_000 + (int) (Math.random() * 10_000);
      boolean free = true;
      for (int at = first; at < first + 8 && free; at++) {
        try (ServerSocket probe = new ServerSocket(at, 1, InetAddress.getByName("0.0.0.0"))) {
          free = probe.isBound();
        } catch (final IOException taken) {
          free = false;
        }
      }
      if (free) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  long ms() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  void say(final String text) {
    synchronized (record) {
      record.printf("%8d ms  %s%n", ms(), text);
    }
  }

  int clientPort() {
    return port + 4;
  }

  Node node(final String name) {
    return nodes.get(name);
  }

  List<Node> all(final String role) {
    final List<Node> chosen = new ArrayList<>();
    nodes.values().stream().filter(one -> one.role.equals(role)).forEach(chosen::add);
    return chosen;
  }

  /** Three control nodes, three stores and so many edges, all at once. */
  void startAll(final int edges) throws IOException {
    for (int i = 0; i < 3; i++) {
      start(add("control-" + ZONES[i], "control", ZONES[i], "127.0.10." + (i + 1), true));
    }
    for (int i = 0; i < 3; i++) {
      start(add("store-" + ZONES[i] + "-1", "store", ZONES[i], "127.0.20." + (i + 1), true));
    }
    for (int i = 0; i < edges; i++) {
      start(add("edge-" + ZONES[i % 3] + "-" + (i / 3 + 1), "edge", ZONES[i % 3], "127.0.30." + (i + 1), true));
    }
  }

  /** Writes the settings of a machine. */
  Node add(
      final String name, final String role, final String zone, final String ip, final boolean first)
      throws IOException {
    final Node node = new Node();
    node.name = name;
    node.role = role;
    node.zone = zone;
    node.ip = ip;
    node.settings = folder.resolve(name + ".yaml");
    node.data = folder.resolve(name + ".data");
    node.log = folder.resolve(name + ".log");
    nodes.put(name, node);
    writeSettings(node, first);
    return node;
  }

  private void writeSettings(final Node node, final boolean bootstrap) throws IOException {
    final boolean disk = !node.role.equals("edge");
    final String serves = node.role.equals("control") ? "ctl" : node.role;
    final StringBuilder text = new StringBuilder();
    text.append("Nodename: \"").append(node.name).append("\"\n");
    text.append("Role: \"").append(node.role).append("\"\n");
    text.append("Cls: \"").append(node.role.equals("store") ? "store" : "edge").append("\"\n");
    text.append("Serves:\n  - \"").append(serves).append("\"\n");
    text.append("Ip: \"").append(node.ip).append("\"\n");
    text.append("Az: \"").append(node.zone).append("\"\nRgn: \"tbilisi\"\n");
    text.append("Azs:\n");
    for (final String zone : ZONES) {
      text.append("  ").append(zone).append(": \"tbilisi\"\n");
    }
    text.append("Listen:\n");
    text.append("  Fe: \"").append(node.ip).append(":").append(port + 4).append("\"\n");
    text.append("  Ready: \"").append(node.ip).append(":").append(port + 5).append("\"\n");
    text.append("  Ctl: \"").append(node.ip).append(":").append(port + 6).append("\"\n");
    text.append("PortRange:\n  - ").append(port).append("\n  - ").append(port + 3).append("\n");
    text.append("Seeds:\n");
    for (int i = 1; i <= 3; i++) {
      text.append("  - \"127.0.10.").append(i).append(":").append(port + 6).append("\"\n");
    }
    text.append("Bootstrap: ").append(bootstrap).append("\n");
    text.append("Voting: ").append(disk).append("\n");
    text.append("Lims:\n  Cpu: 0.75\n  Ncpu: 2\n  MemMb: 430\n  Nofile: 4300\n  NetMbps: " + (node.role.equals("store") ? 600 : 2000) + ".0\n");
    text.append("  DiskMb: ").append(node.role.equals("store") ? 260 : 64).append("\n");
    text.append("Datadir: \"").append(disk ? node.data.toString() : "").append("\"\n");
    text.append("Disco: \"registry\"\nIngress: \"vip\"\nHbMs: 1200\n");
    text.append("InForce: [base, drain, config, cost, topics, recover, tenants, quota]\n");
    text.append("Tolerate:\n  Mach: 1\n  Azs: 0\n  Rgns: 0\n");
    text.append("Bounds:\n  SeedLagS: 3\n  ReuseS: 2\n  ContactMs: 4000\n  AckMs: 5000\n  SyncS: 4\n");
    text.append("  DrainMs: 3000\n  GraceS: 6\n  LossSlackMs: 200\n  ApplyMs: 3000\n  RevertMs: 250\n");
    text.append("  StretchMs: 12000\n  RevokeAll: true\n  RevokeMs: 5000\n  QuotaWinS: 5\n");
    text.append("  QuotaExcess: 0.1\n  QuotaSlack: 20\n  RecoverS: 12\n  PingS: 2\n  ReattachS: 2\n");
    text.append("  ResendS: 10\n  PresenceMs: 5000\n  PresenceErr: 0.05\n");
    final String yaml = disk ? text.toString() : text.toString().replace("Datadir: \"\"\n", "");
    Files.writeString(node.settings, yaml);
  }

  /** The words of the role's command in the deploy file. */
  private List<String> command(final String role) throws IOException {
    boolean inRole = false;
    for (final String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        inRole = line.equals("[roles." + role + "]");
      } else if (inRole && line.startsWith("run = ")) {
        final String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(List.of(run.split(" ")));
      }
    }
    throw new IOException("no role " + role);
  }

  void start(final Node node) throws IOException {
    if (node.lives == 1) {
      // Bootstrap is true only when the whole system starts for the first time.
      writeSettings(node, false);
    }
    final ProcessBuilder builder = new ProcessBuilder(command(node.role));
    builder.directory(root.toFile());
    final Map<String, String> kept = new LinkedHashMap<>();
    for (final String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (System.getenv(name) != null) {
        kept.put(name, System.getenv(name));
      }
    }
    builder.environment().clear();
    builder.environment().putAll(kept);
    builder.environment().put("YEWJUNCTION_SETTINGS", node.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
    node.process = builder.start();
    node.lives++;
    say("platform: start " + node.name + " (life " + node.lives + ")");
  }

  void signal(final Node node, final String signal) throws IOException, InterruptedException {
    say("platform: SIG" + signal + " " + node.name);
    new ProcessBuilder("kill", "-" + signal, String.valueOf(node.process.pid())).start().waitFor();
  }

  void kill(final Node node) throws IOException, InterruptedException {
    signal(node, "KILL");
    node.process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Kills a process a few milliseconds from now. */
  Process killSoon(final Node node, final long afterMs) throws IOException {
    say("platform: SIGKILL " + node.name + " in " + afterMs + " ms");
    return new ProcessBuilder("sh", "-c", "sleep " + afterMs / 1e3 + "; kill -KILL " + node.process.pid()).start();
  }

  boolean isReady(final Node edge) {
    try {
      return http.send(
                  HttpRequest.newBuilder(
                          URI.create("http://" + edge.ip + ":" + (port + 5) + "/-/readyz"))
                      .timeout(Duration.ofSeconds(1))
                      .build(),
                  HttpResponse.BodyHandlers.discarding())
              .statusCode()
          == 200;
    } catch (final IOException notYet) {
      return false;
    } catch (final InterruptedException stop) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  boolean awaitReady(final long mostMs) throws InterruptedException {
    final long end = ms() + mostMs;
    while (ms() < end) {
      if (all("edge").stream().allMatch(this::isReady)) {
        say("platform: all edges are ready");
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** One call of the operator: follows 307 twice, and goes on to another node until there is a clear answer. */
  String call(final String method, final String path, final Long base, final String body, final long mostMs)
      throws InterruptedException {
    final long end = ms() + mostMs;
    final List<Node> controls = all("control");
    int at = 0;
    String last = "no answer";
    while (ms() < end) {
      String address = controls.get(at++ % controls.size()).ip + ":" + (port + 6);
      for (int hop = 0; hop <= 2; hop++) {
        try {
          final HttpRequest.Builder request =
              HttpRequest.newBuilder(URI.create("http://" + address + path))
                  .timeout(Duration.ofSeconds(1));
          if (base != null) {
            request.header("Base-Version", String.valueOf(base));
          }
          request.header("Content-Type", "application/json");
          if (method.equals("POST")) {
            request.POST(HttpRequest.BodyPublishers.ofString(body));
          }
          final HttpResponse<String> response =
              http.send(request.build(), HttpResponse.BodyHandlers.ofString());
          last = response.statusCode() + " " + response.body();
          if (response.statusCode() == 307) {
            final String location = response.headers().firstValue("Location").orElse("");
            address = location.substring(7, location.indexOf('/', 7));
            continue;
          }
          if (response.statusCode() < 500) {
            return last;
          }
        } catch (final IOException failure) {
          last = "no answer: " + failure;
        }
        break;
      }
      Thread.sleep(200);
    }
    return last;
  }

  /** Whether a process ended by itself; says how. */
  boolean endedByItself(final Node node) {
    return !node.process.isAlive();
  }

  String logLines(final Node node, final String containing, final int most) throws IOException {
    final List<String> found = new ArrayList<>();
    if (Files.exists(node.log)) {
      for (final String line : Files.readAllLines(node.log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
        if (line.contains(containing)) {
          found.add(line);
        }
      }
    }
    return String.join("\n", found.subList(Math.max(0, found.size() - most), found.size()));
  }

  private void killAll() {
    for (final Node node : nodes.values()) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (final Node node : nodes.values()) {
      try {
        node.process.waitFor(5, TimeUnit.SECONDS);
      } catch (final InterruptedException stop) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") == null) {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } else {
      System.err.println("kept " + folder);
    }
    say("all processes ended");
    record.flush();
  }
}
