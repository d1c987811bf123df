import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients publish the largest bodies that the protocol allows, far below their quotas; all stores
 * are killed at one moment and started again. Then new clients take up places that were saved before.
 */
public final class LargeBodies {
  private static final int SENDERS = 16;
  private static final int BODY_BYTES = 16_384;
  private static final long GAP_MS = Long.getLong("gap", 400);
  private static final long TROUBLE_AT_MS = 34_000;
  private static final long SAVED_AT_MS = 64_000;
  private static final long TRAFFIC_MS = 82_000;

  /** Until then all that was sent after the places were saved is younger than LingerS. */
  private static final long CHECKED_AT_MS = SAVED_AT_MS + 34_000;

  private record Sent(long number, long ackedMs, long afterStartMs) {}

  private static final Map<String, List<Sent>> ACKED = new ConcurrentHashMap<>();
  private static final Map<String, Integer> ENDS = new TreeMap<>();
  private static final Map<String, String> SAVED = new ConcurrentHashMap<>();
  private static final AtomicLong REFUSED = new AtomicLong();
  private static final AtomicLong LATE_SENT = new AtomicLong();
  private static final AtomicLong LATE_SERVED = new AtomicLong();
  private static volatile boolean sending = true;
  private static volatile boolean recovered;

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
    final String answer = fleet.call("POST", "/-/config/replace", 0L, Operator.configuration(7, 8, "kafi."), 20_000);
    fleet.say("operator: replace 7 on 0: " + answer);
    if (!answer.startsWith("200") || !fleet.awaitReady(20_000)) {
      return 2;
    }
    for (int i = 0; i < SENDERS; i++) {
      background(() -> subscribe(fleet, "kafi.t" + me(), me()), i);
      background(() -> send(fleet, "kafi.t" + me(), me()), i);
    }
    final long startMs = fleet.ms();
    while (fleet.ms() - startMs < TROUBLE_AT_MS) {
      Thread.sleep(200);
      if (watch(fleet)) {
        return 2;
      }
    }
    fleet.say("clients: " + acked() + " messages of " + BODY_BYTES + " bytes were acknowledged, " + REFUSED + " tries refused");
    if (acked() < 1_000) {
      return 2;
    }
    if (trouble) {
      for (final Fleet.Node store : fleet.all("store")) {
        fleet.kill(store);
      }
      Thread.sleep(800);
      for (final Fleet.Node store : fleet.all("store")) {
        fleet.start(store);
      }
    }
    final long recoverMs = fleet.ms();
    while (fleet.ms() - startMs < SAVED_AT_MS) {
      Thread.sleep(200);
      watch(fleet);
      recovered = fleet.ms() - recoverMs > 12_000;
    }
    final Map<String, String> cursors = new TreeMap<>(SAVED);
    final long savedMs = fleet.ms();
    fleet.say("places saved: " + cursors.size());
    while (fleet.ms() - startMs < TRAFFIC_MS) {
      Thread.sleep(200);
      watch(fleet);
    }
    sending = false;
    Thread.sleep(1_500);
    fleet.say("sent later than RecoverS after the stores were back: " + LATE_SENT + ", served: " + LATE_SERVED);
    // Each place is taken up by a new client, again and again, until all messages behind it came.
    final Map<String, TreeSet<Long>> missing = new TreeMap<>();
    for (final Map.Entry<String, String> place : cursors.entrySet()) {
      final TreeSet<Long> owed = new TreeSet<>();
      for (final Sent sent : ACKED.get(place.getKey())) {
        // First sent after the place was saved, so surely behind it; younger than LingerS at the end of the check.
        if (sent.afterStartMs > savedMs) {
          owed.add(sent.number);
        }
      }
      missing.put(place.getKey(), owed);
    }
    fleet.say("owed behind the saved places: " + missing.values().stream().mapToInt(TreeSet::size).sum());
    final List<Thread> takers = new ArrayList<>();
    for (final Map.Entry<String, String> place : cursors.entrySet()) {
      final Thread taker = new Thread(() -> takeUp(fleet, place.getKey(), place.getValue(), missing.get(place.getKey()), startMs + CHECKED_AT_MS));
      taker.setDaemon(true);
      taker.start();
      takers.add(taker);
    }
    while (fleet.ms() < startMs + CHECKED_AT_MS && takers.stream().anyMatch(Thread::isAlive)) {
      Thread.sleep(250);
      watch(fleet);
    }
    for (final Thread taker : takers) {
      taker.join(2_000);
    }
    int lost = 0;
    for (final Map.Entry<String, TreeSet<Long>> one : missing.entrySet()) {
      synchronized (one.getValue()) {
        lost += one.getValue().size();
        if (!one.getValue().isEmpty()) {
          fleet.say("LOST on " + one.getKey() + ": numbers " + one.getValue());
        }
      }
    }
    for (final Fleet.Node store : fleet.all("store")) {
      fleet.say(store.name + ": lives " + store.lives + "; " + fleet.logLines(store, "OutOfMemoryError", 2).replace('\n', '|'));
    }
    fleet.say("acknowledged messages that were not delivered to who took up a saved place: " + lost);
    final boolean rested = LATE_SENT.get() > 0 && LATE_SERVED.get() * 4 < LATE_SENT.get();
    final long ended = fleet.all("store").stream().filter(store -> ENDS.getOrDefault(store.name, 0) >= 3).count();
    fleet.say("processes that ended by themselves: " + ENDS);
    fleet.say("LOST " + (lost > 0) + ", RECOVER " + rested + ", Fault " + (ended >= 2));
    return lost > 0 || rested || ended >= 2 ? 1 : 0;
  }

  private static long acked() {
    return ACKED.values().stream().mapToLong(List::size).sum();
  }

  /** The platform: a process that ended is started again after a short delay. Returns whether one did. */
  private static boolean watch(final Fleet fleet) throws Exception {
    boolean ended = false;
    for (final Fleet.Node node : fleet.all("store")) {
      if (fleet.endedByItself(node)) {
        fleet.say(node.name + " ended by itself, exit code " + node.process.exitValue());
        ended = true;
        ENDS.merge(node.name, 1, Integer::sum);
        Thread.sleep(500);
        fleet.start(node);
      }
    }
    return ended;
  }

  private static final ThreadLocal<Integer> ME = new ThreadLocal<>();

  private static int me() {
    return ME.get();
  }

  private static void background(final Runnable work, final int me) {
    final Thread thread =
        new Thread(
            () -> {
              ME.set(me);
              work.run();
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static Fleet.Node edgeFor(final Fleet fleet, final int attempt) {
    final List<Fleet.Node> edges = fleet.all("edge");
    return edges.get(Math.floorMod(attempt, edges.size()));
  }

  /** A client that publishes on its own topic, one message at a time. */
  private static void send(final Fleet fleet, final String topic, final int me) {
    final String body = "b".repeat(BODY_BYTES);
    final List<Sent> acked = ACKED.computeIfAbsent(topic, key -> java.util.Collections.synchronizedList(new ArrayList<>()));
    long number = 0;
    boolean again = false;
    long firstMs = 0;
    int attempt = me;
    long dueMs = fleet.ms();
    while (sending) {
      try (Client client = new Client(fleet, edgeFor(fleet, attempt++).ip)) {
        client.send("HELLO sender" + me + " key" + me % 8);
        if (client.await("OK HELLO", 2_000) == null) {
          continue;
        }
        while (sending) {
          if (!again) {
            number++;
            firstMs = fleet.ms();
          }
          final boolean late = recovered;
          LATE_SENT.addAndGet(late && !again ? 1 : 0);
          client.publish(topic, number, body);
          // After UNKNOWN, a cut or silence the same number is sent again; after RETRY a new one.
          again = true;
          final Client.Line line = client.next(1_500);
          if (line == null || line.text().equals("CLOSED")) {
            break;
          }
          if (line.text().equals("ACK " + topic + " " + number)) {
            acked.add(new Sent(number, line.ms(), firstMs));
            LATE_SERVED.addAndGet(late ? 1 : 0);
            again = false;
          } else {
            REFUSED.incrementAndGet();
            again = line.text().endsWith("UNKNOWN");
          }
          // An even pace: what was held up is made up for.
          dueMs += GAP_MS;
          Thread.sleep(Math.max(5, dueMs - fleet.ms()));
        }
      } catch (final Exception failure) {
        pause(300);
      }
    }
  }

  /** A client that listens, so that there are places to be saved. */
  private static void subscribe(final Fleet fleet, final String topic, final int me) {
    int attempt = me + 1;
    while (sending) {
      try (Client client = new Client(fleet, edgeFor(fleet, attempt++).ip)) {
        client.send("HELLO reader" + me + " key" + me % 8);
        if (client.await("OK HELLO", 2_000) == null) {
          continue;
        }
        final String cursor = SAVED.get(topic);
        client.send("SUB " + topic + (cursor == null ? "" : " " + cursor));
        long pingMs = fleet.ms();
        while (sending) {
          // It has said nothing for PingS: it sends PING, whatever it receives.
          if (fleet.ms() - pingMs >= 2_000) {
            client.send("PING");
            pingMs = fleet.ms();
          }
          final Client.Line line = client.next(500);
          if (line == null) {
            continue;
          } else if (line.text().equals("CLOSED") || line.text().startsWith("REFUSE SUB")) {
            break;
          } else if (line.text().startsWith("MSG ") || line.text().startsWith("OK SUB")) {
            final String[] words = line.text().split(" ");
            SAVED.put(topic, line.text().startsWith("MSG ") ? words[2] : words[3]);
          }
        }
      } catch (final Exception failure) {
        // Comes back below.
      }
      pause(300);
    }
  }

  /** A new client takes up a saved place until it has all that is owed, or the time is over. */
  private static void takeUp(
      final Fleet fleet, final String topic, final String cursor, final TreeSet<Long> owed, final long endMs) {
    final int me = Integer.parseInt(topic.substring(topic.indexOf(".t") + 2));
    int attempt = me;
    while (fleet.ms() < endMs && !owed.isEmpty()) {
      try (Client client = new Client(fleet, edgeFor(fleet, attempt++).ip)) {
        client.send("HELLO taker" + me + " key" + me % 8);
        if (client.await("OK HELLO", 2_000) != null) {
          client.send("SUB " + topic + " " + cursor);
          while (fleet.ms() < endMs && !owed.isEmpty()) {
            final Client.Line line = client.next(1_500);
            if (line == null) {
              client.send("PING");
            } else if (line.text().startsWith("REFUSE SUB")) {
              fleet.say("taker" + me + ": " + line.text());
              break;
            } else if (line.text().equals("CLOSED")) {
              break;
            } else if (line.text().startsWith("MSG ")) {
              synchronized (owed) {
                owed.remove(Long.parseLong(line.text().split(" ")[4]));
              }
            }
          }
        }
      } catch (final Exception failure) {
        // Comes back below.
      }
      pause(500);
    }
  }

  private static void pause(final long ms) {
    try {
      Thread.sleep(ms);
    } catch (final InterruptedException stop) {
      Thread.currentThread().interrupt();
    }
  }
}
