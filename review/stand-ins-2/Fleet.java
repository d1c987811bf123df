import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: machines with an edge and a control node, and store
 * machines, each role as a process of its own with the command of the deploy file. Stands in for
 * the platform: it writes settings, starts, stops and kills processes.
 */
final class Fleet implements AutoCloseable {
  static final List<String> ZONES = List.of("vake", "saburtalo", "isani");
  private static final int FE = 8022;
  private static final int READY = 8029;
  private static final int CTL = 8024;
  private static final int PEERS = 7580;

  /** One role on one machine. */
  final class Role {
    final String node;
    final String role;
    final String ip;
    final int zone;
    final Path log;
    private Process process;

    Role(final String node, final String role, final String ip, final int zone) {
      this.node = node;
      this.role = role;
      this.ip = ip;
      this.zone = zone;
      this.log = folder.resolve(node + "." + role + ".log");
    }

    String fe() {
      return ip + ":" + FE;
    }

    int port() {
      return FE;
    }

    void start(final boolean bootstrap) throws IOException {
      final Path settings = folder.resolve(node + "." + role + ".yaml");
      Files.writeString(settings, settings(this, bootstrap));
      final ProcessBuilder builder = new ProcessBuilder(command(role));
      builder.directory(repository.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("YEWJUNCTION_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
    }

    boolean runs() {
      return process != null && process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor();
    }

    /** SIGTERM, and SIGKILL after GraceS. */
    void terminate() throws InterruptedException {
      process.destroy();
      if (!process.waitFor(6, java.util.concurrent.TimeUnit.SECONDS)) {
        kill();
      }
    }

    void signal(final String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    long pid() {
      return process.pid();
    }

    /** Number of lines of the log that contain a text. */
    long count(final String text) throws IOException {
      if (!Files.exists(log)) {
        return 0;
      }
      try (Stream<String> lines = Files.lines(log, StandardCharsets.UTF_8)) {
        return lines.filter(line -> line.contains(text)).count();
      }
    }
  }

  final Path repository = Path.of("").toAbsolutePath();
  final Path folder;
  final List<Role> edges = new ArrayList<>();
  final List<Role> controls = new ArrayList<>();
  final List<Role> stores = new ArrayList<>();
  private final String net;

  Fleet() throws IOException {
    folder = Files.createTempDirectory("fleet");
    net = freeNet();
    for (int zone = 0; zone < 3; zone++) {
      final String edge = "edge-" + ZONES.get(zone) + "-1";
      edges.add(new Role(edge, "edge", net + (10 + zone), zone));
      controls.add(new Role(edge, "control", net + (10 + zone), zone));
      stores.add(new Role("store-" + ZONES.get(zone) + "-1", "store", net + (20 + zone), zone));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    final Thread watchdog = new Thread(Fleet::endInTime, "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
  }

  /** A script that takes too long could not run. */
  private static void endInTime() {
    try {
      Thread.sleep(114_000);
      System.out.println("could not run: out of time");
      System.exit(2);
    } catch (final InterruptedException failure) {
      Thread.currentThread().interrupt();
    }
  }

  /** A part of 127.0.0.0/8 where the ports are free. */
  private static String freeNet() throws IOException {
    final Random random = new Random();
    for (int attempt = 0; attempt < 50; attempt++) {
      final String net = "127." + (2 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
      boolean free = true;
      for (int host = 10; host < 23 && free; host++) {
        for (final int port : new int[] {FE, READY, CTL, PEERS, PEERS + 1}) {
          try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(net + host))) {
            free &= socket.isBound();
          } catch (final IOException failure) {
            free = false;
          }
        }
      }
      if (free) {
        return net;
      }
    }
    throw new IOException("no free addresses");
  }

  /** The command of a role in the deploy file, split at spaces. */
  private List<String> command(final String role) throws IOException {
    boolean here = false;
    for (final String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        here = line.trim().equals("[roles." + role + "]");
      } else if (here && line.startsWith("run")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("no role " + role);
  }

  private String settings(final Role role, final boolean bootstrap) throws IOException {
    final boolean store = role.role.equals("store");
    final String zone = ZONES.get(role.zone);
    final StringBuilder text = new StringBuilder();
    text.append("Nodename: \"").append(role.node).append("\"\nRole: \"").append(role.role);
    text.append("\"\nCls: \"").append(store ? "store" : "edge").append("\"\nServes:\n  - \"");
    text.append(role.role.equals("control") ? "ctl" : role.role);
    text.append("\"\nIp: \"").append(role.ip).append("\"\nAz: \"").append(zone);
    text.append("\"\nRgn: \"tbilisi\"\nAzs:\n");
    ZONES.forEach(one -> text.append("  ").append(one).append(": \"tbilisi\"\n"));
    if (role.role.equals("edge")) {
      text.append("Listen:\n  Fe: \"").append(role.ip).append(":").append(FE);
      text.append("\"\n  Ready: \"").append(role.ip).append(":").append(READY).append("\"\n");
    } else if (role.role.equals("control")) {
      text.append("Listen:\n  Ctl: \"").append(role.ip).append(":").append(CTL).append("\"\n");
    } else {
      text.append("Listen: {}\n");
    }
    text.append("PortRange:\n  - ").append(PEERS).append("\n  - ").append(PEERS + 15);
    text.append("\nSeeds:\n");
    controls.forEach(one -> text.append("  - \"" + one.ip + ":" + CTL + "\"\n"));
    text.append("Bootstrap: ").append(bootstrap).append("\nVoting: true\nLims:\n  Cpu: 0.75\n");
    text.append("  Ncpu: 2\n  MemMb: 430\n  Nofile: ").append(store ? 8200 : 4300);
    text.append("\n  NetMbps: 600.0\n  DiskMb: ").append(store ? 260 : 64).append("\n");
    final Path data = folder.resolve(role.node + "." + role.role + ".data");
    Files.createDirectories(data);
    text.append("Datadir: \"").append(data).append("\"\n");
    text.append("Disco: \"registry\"\nIngress: \"vip\"\nHbMs: 1200\nInForce:\n");
    for (final String part :
        List.of("base", "drain", "config", "cost", "topics", "recover", "tenants", "quota")) {
      text.append("  - \"").append(part).append("\"\n");
    }
    text.append("Tolerate:\n  Mach: 1\n  Azs: 0\n  Rgns: 0\nBounds:\n  SeedLagS: 3\n  ReuseS: 2\n");
    text.append("  ContactMs: 4000\n  AckMs: 5000\n  SyncS: 4\n  DrainMs: 3000\n  GraceS: 6\n");
    text.append("  LossSlackMs: 200\n  ApplyMs: 3000\n  RevertMs: 250\n  StretchMs: 12000\n");
    text.append("  RevokeAll: true\n  RevokeMs: 5000\n  QuotaWinS: 5\n  QuotaExcess: 0.1\n");
    text.append("  QuotaSlack: 20\n  RecoverS: 12\n  PingS: 2\n  ReattachS: 2\n  ResendS: 10\n");
    text.append("  PresenceMs: 5000\n  PresenceErr: 0.05\n");
    return text.toString();
  }

  /** Starts all processes on empty disks. */
  void startAll() throws IOException {
    for (final Role role : all()) {
      role.start(true);
    }
  }

  List<Role> all() {
    final List<Role> all = new ArrayList<>(controls);
    all.addAll(stores);
    all.addAll(edges);
    return all;
  }

  /** Sends the first configuration until it is taken, and waits until all edges are ready. */
  void configure(final String json) throws IOException, InterruptedException {
    final long end = System.nanoTime() + 30_000_000_000L;
    int status = 0;
    for (int turn = 0; status != 200 && System.nanoTime() < end; turn++) {
      status = post(controls.get(turn % 3).ip + ":" + CTL, "/-/config/replace", 0, json);
      Thread.sleep(status == 200 ? 0 : 100);
    }
    if (status != 200) {
      throw new IOException("configuration: " + status);
    }
    for (final Role edge : edges) {
      while (!ready(edge)) {
        if (System.nanoTime() > end) {
          throw new IOException(edge.node + " is not ready");
        }
        Thread.sleep(100);
      }
    }
  }

  /** One try to replace the configuration, at a control node in turn; returns the status. */
  int replace(final long base, final String json, final int turn) {
    return post(controls.get(turn % 3).ip + ":" + CTL, "/-/config/replace", base, json);
  }

  private static int post(
      final String address, final String path, final long base, final String json) {
    String at = "http://" + address + path;
    try {
      for (int hop = 0; hop < 3; hop++) {
        final HttpURLConnection call =
            (HttpURLConnection) URI.create(at).toURL().openConnection(java.net.Proxy.NO_PROXY);
        call.setConnectTimeout(1_000);
        call.setReadTimeout(1_500);
        call.setInstanceFollowRedirects(false);
        call.setRequestMethod("POST");
        call.setDoOutput(true);
        call.setRequestProperty("Base-Version", String.valueOf(base));
        call.setRequestProperty("Content-Type", "application/json");
        call.getOutputStream().write(json.getBytes(StandardCharsets.UTF_8));
        final int status = call.getResponseCode();
        if (status != 307) {
          return status;
        }
        at = call.getHeaderField("Location");
      }
    } catch (final IOException failure) {
      return -1;
    }
    return 307;
  }

  boolean ready(final Role edge) {
    try {
      final HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://" + edge.ip + ":" + READY + "/-/readyz")
                  .toURL()
                  .openConnection(java.net.Proxy.NO_PROXY);
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      final int status = call.getResponseCode();
      try (InputStream in = status < 400 ? call.getInputStream() : call.getErrorStream()) {
        if (in != null) {
          in.readAllBytes();
        }
      }
      return status == 200;
    } catch (final IOException failure) {
      return false;
    }
  }

  /** The store that says in its log that it leads; null when none does. */
  Role leadingStore() throws IOException {
    for (final Role store : stores) {
      if (store.runs() && leads(store)) {
        return store;
      }
    }
    return null;
  }

  private static boolean leads(final Role store) throws IOException {
    boolean leads = false;
    for (final String line : Files.readAllLines(store.log, StandardCharsets.UTF_8)) {
      if (line.contains("LEADERSHIP_GAINED group 1")) {
        leads = true;
      } else if (line.contains("LEADERSHIP_LOST group 1") || line.contains("LOG_OPENED group 1")) {
        leads = false;
      }
    }
    return leads;
  }

  private void endAll() {
    for (final Role role : all()) {
      if (role.runs()) {
        role.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (final Role role : all()) {
      if (role.runs()) {
        role.kill();
      }
    }
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> paths = Files.walk(folder)) {
        paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      }
    }
  }
}
