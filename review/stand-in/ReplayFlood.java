import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of one zone subscribe to busy topics. Their edge is killed; they come back a few seconds
 * later, with their cursors, to the other edge of the zone.
 */
public final class ReplayFlood {
  private static final int CLIENTS = Integer.getInteger("clients", 150);
  private static final int TOPICS = Integer.getInteger("topics", 40);
  private static final int BODY_BYTES = 16_384;
  private static final long GAP_MS = Long.getLong("gap", 1_000);
  private static final long DARK_MS = 3_500;
  private static final AtomicLong ACKED = new AtomicLong();
  private static final AtomicLong DELIVERED = new AtomicLong();
  private static final AtomicLong TAKEN_UP = new AtomicLong();
  private static volatile boolean running = true;

  /** The edges that the platform gives new connections of the zone to. */
  private static volatile List<Fleet.Node> in = List.of();

  public static void main(final String[] args) throws Exception {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]))) {
      result = play(fleet, trouble);
      fleet.say("exit " + result);
    }
    System.exit(result);
  }

  private static int play(final Fleet fleet, final boolean trouble) throws Exception {
    fleet.startAll(3);
    final Fleet.Node second = fleet.add("edge-vake-2", "edge", "vake", "127.0.30.4", true);
    fleet.start(second);
    final String answer = fleet.call("POST", "/-/config/replace", 0L, Operator.configuration(7, 8, "kafi."), 20_000);
    fleet.say("operator: replace 7 on 0: " + answer);
    if (!answer.startsWith("200") || !fleet.awaitReady(20_000)) {
      return 2;
    }
    final Fleet.Node first = fleet.node("edge-vake-1");
    in = List.of(first, second);
    start(() -> platform(fleet, List.of(first, second)));
    for (int i = 0; i < CLIENTS; i++) {
      final int me = i;
      start(() -> read(fleet, me));
    }
    Thread.sleep(2_000);
    for (int i = 0; i < TOPICS; i++) {
      final int me = i;
      start(() -> publish(fleet, me));
    }
    Thread.sleep(8_000);
    fleet.say("acknowledged " + ACKED + ", delivered " + DELIVERED);
    final long killedMs = fleet.ms();
    boolean down = trouble;
    if (trouble) {
      fleet.kill(first);
    }
    final Map<String, Integer> ends = new TreeMap<>();
    while (fleet.ms() < killedMs + 72_000) {
      Thread.sleep(250);
      if (down && fleet.ms() - killedMs >= DARK_MS) {
        down = false;
        fleet.start(first);
      }
      for (final Fleet.Node node : fleet.all("edge")) {
        if (fleet.endedByItself(node) && !(down && node == first)) {
          fleet.say(node.name + " ended by itself, exit code " + node.process.exitValue());
          ends.merge(node.name, 1, Integer::sum);
          Thread.sleep(500);
          fleet.start(node);
        }
      }
    }
    running = false;
    fleet.say("acknowledged " + ACKED + ", delivered " + DELIVERED + ", subscriptions taken up " + TAKEN_UP + ", ended by themselves: " + ends);
    for (final Fleet.Node node : fleet.all("edge")) {
      fleet.say(node.name + ": " + fleet.logLines(node, "Error", 2).replace('\n', '|'));
    }
    final long machines = ends.values().stream().filter(count -> count >= 3).count();
    fleet.say("Fault: machines whose process ended by itself three times: " + machines);
    return machines >= 2 ? 1 : 0;
  }

  /** Asks each second whether the zone's edges are ready; after two misses one gets no new connections. */
  private static void platform(final Fleet fleet, final List<Fleet.Node> zone) {
    final Map<Fleet.Node, Integer> misses = new HashMap<>();
    while (running) {
      final List<Fleet.Node> chosen = new ArrayList<>();
      for (final Fleet.Node edge : zone) {
        misses.put(edge, fleet.isReady(edge) ? 0 : misses.getOrDefault(edge, 0) + 1);
        if (misses.get(edge) < 2) {
          chosen.add(edge);
        }
      }
      // When none is in, those of the nearest zones.
      in = chosen.isEmpty() ? List.of(fleet.node("edge-isani-1")) : chosen;
      pause(1_000);
    }
  }

  private static void start(final Runnable work) {
    final Thread thread = new Thread(null, work, "client", 256 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  private static void publish(final Fleet fleet, final int me) {
    final String body = "b".repeat(BODY_BYTES);
    long number = 0;
    boolean again = false;
    while (running) {
      try (Client client = new Client(fleet, fleet.node("edge-saburtalo-1").ip)) {
        client.send("HELLO sender" + me + " key" + (1 + me % 7));
        if (client.await("OK HELLO", 2_000) == null) {
          continue;
        }
        while (running) {
          number += again ? 0 : 1;
          client.publish("kafi.t" + me, number, body);
          again = true;
          final Client.Line line = client.next(1_500);
          if (line == null || line.text().equals("CLOSED")) {
            break;
          }
          again = line.text().endsWith("UNKNOWN");
          ACKED.addAndGet(line.text().startsWith("ACK") ? 1 : 0);
          Thread.sleep(GAP_MS);
        }
      } catch (final Exception failure) {
        pause(300);
      }
    }
  }

  private static void read(final Fleet fleet, final int me) {
    final Map<String, String> cursors = new HashMap<>();
    int attempt = 0;
    int failures = -1;
    final Random random = new Random(me);
    while (running) {
      if (attempt > 0) {
        // Within ReattachS, and longer after failures.
        pause(Math.min(4_000, (1_000 + random.nextInt(1_000)) << Math.min(3, failures)));
      }
      failures++;
      try (Client client = new Client(fleet, place(me, attempt++))) {
        client.send("HELLO reader" + me + " key0");
        if (client.await("OK HELLO", 2_000) == null) {
          continue;
        }
        for (int i = 0; i < TOPICS; i++) {
          final String topic = "kafi.t" + i;
          client.send("SUB " + topic + (cursors.containsKey(topic) ? " " + cursors.get(topic) : ""));
        }
        while (running) {
          final Client.Line line = client.next(1_500);
          if (line == null) {
            client.send("PING");
            continue;
          }
          final String[] words = line.text().split(" ");
          if (words[0].equals("MSG")) {
            cursors.put(words[1], words[2]);
            DELIVERED.incrementAndGet();
          } else if (words[0].equals("OK") && words[1].equals("SUB")) {
            cursors.put(words[2], words[3]);
            TAKEN_UP.incrementAndGet();
            failures = 0;
          } else if (words[0].equals("REFUSE") && words[1].equals("SUB")) {
            if (words[words.length - 1].equals("EXPIRED")) {
              cursors.remove(words[2]);
            }
            client.send("SUB " + words[2] + (cursors.containsKey(words[2]) ? " " + cursors.get(words[2]) : ""));
          } else if (words[0].equals("CLOSED")) {
            break;
          }
        }
      } catch (final Exception failure) {
        // Comes back above.
      }
    }
  }

  private static String place(final int me, final int attempt) {
    final List<Fleet.Node> now = in;
    return now.get((me + attempt) % now.size()).ip;
  }

  private static void pause(final long ms) {
    try {
      Thread.sleep(ms);
    } catch (final InterruptedException stop) {
      Thread.currentThread().interrupt();
    }
  }
}
