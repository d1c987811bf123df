import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One edge is killed. Its clients come back to the others with their cursors, a second or two
 * later, and meanwhile a few messages of 16 KiB were published on each of their topics.
 */
final class Herd {
  private static final int CLIENTS = 133;
  private static final int TOPICS = 40;
  private static final int MESSAGES = 5;
  private static final int BODY = 16 << 10;
  private static final long REATTACH_MS = 2_000;
  private static final long WATCH_MS = 85_000;
  private static final long PING_MS = 1_500;

  /** 2.5 times PingS without a byte: the client resets its connection. */
  private static final long SILENCE_MS = 5_000;


  private final Fleet fleet;
  private final Record record;
  private final List<Subscriber> subscribers = new ArrayList<>();
  private final Map<Fleet.Role, Integer> ends = new HashMap<>();
  private final Map<Fleet.Role, Long> restartMs = new HashMap<>();
  private final AtomicInteger delivered = new AtomicInteger();
  private volatile Fleet.Role struck;

  /** A client with its cursors; it reads all the time, and sends PING when it was silent. */
  private final class Subscriber {
    final int place;
    final String[] cursors = new String[TOPICS];
    final CountDownLatch ready = new CountDownLatch(TOPICS);
    Client client;
    long backMs;
    long saidMs;
    long heardMs;
    int attempt;

    Subscriber(final int place) {
      this.place = place;
    }

    synchronized void onLine(final Client.Line line) {
      heardMs = Client.nowMs();
      if (line.is("OK", "HELLO")) {
        record.note("client " + place + " gets OK HELLO");
        for (int topic = 0; topic < TOPICS; topic++) {
          send("SUB " + topic(topic) + (cursors[topic] == null ? "" : " " + cursors[topic]));
        }
      } else if (line.is("OK", "SUB")) {
        record.note("client " + place + " gets " + String.join(" ", line.words()));
        final int topic = number(line.words()[2]);
        if (cursors[topic] == null) {
          cursors[topic] = line.words()[3];
          ready.countDown();
        }
      } else if (line.is("MSG")) {
        record.note("client " + place + " gets MSG " + line.words()[1] + " " + line.words()[2]);
        cursors[number(line.words()[1])] = line.words()[2];
        delivered.incrementAndGet();
      } else if (line.is("REFUSE", "SUB")) {
        record.note("client " + place + " gets " + String.join(" ", line.words()));
        final int topic = number(line.words()[2]);
        again.add(new long[] {Client.nowMs() + 700, topic});
      }
    }

    private final List<long[]> again = new ArrayList<>();

    private synchronized void send(final String line) {
      try {
        saidMs = Client.nowMs();
        client.send(line);
      } catch (final IOException failure) {
        // It has ended: the client comes back.
      }
    }

    synchronized void turn(final long nowMs) {
      if (client != null && !client.ended()) {
        if (nowMs - saidMs > PING_MS) {
          send("PING");
        }
        if (nowMs - heardMs > SILENCE_MS) {
          record.note("client " + place + " heard nothing for 5 s and resets its connection");
          reset();
          return;
        }
        for (final var each = again.iterator(); each.hasNext(); ) {
          final long[] one = each.next();
          if (one[0] <= nowMs) {
            each.remove();
            send("SUB " + topic((int) one[1]) + " " + cursors[(int) one[1]]);
          }
        }
      } else if (client != null && backMs == 0) {
        again.clear();
        backMs = nowMs + 500 + place * (REATTACH_MS - 500) / CLIENTS;
      } else if (nowMs >= backMs) {
        backMs = 0;
        connect();
      }
    }

    private void reset() {
      try {
        client.reset();
      } catch (final IOException failure) {
        // It has ended.
      }
    }

    /** The platform gives the connection to an edge that runs. */
    void connect() {
      for (int shift = 0; shift < 3; shift++) {
        final Fleet.Role edge = fleet.edges.get(attempt == 0 ? 0 : (place + attempt + shift) % 2 + 1);
        if (!edge.runs() || edge == struck) {
          continue;
        }
        try {
          attempt++;
          heardMs = Client.nowMs();
          client = new Client(edge.ip, edge.port(), this::onLine);
          record.note("client " + place + " says HELLO at " + edge.node);
          send("HELLO sub" + place + " k0");
          return;
        } catch (final IOException failure) {
          // The next one.
        }
      }
      backMs = Client.nowMs() + 500;
    }
  }

  private Herd(final Fleet fleet, final Record record) {
    this.fleet = fleet;
    this.record = record;
  }

  private static String topic(final int place) {
    return "kafi810.h" + place;
  }

  private static int number(final String topic) {
    return Integer.parseInt(topic.substring("kafi810.h".length()));
  }

  public static void main(final String[] arguments) throws Exception {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet()) {
      status = new Herd(fleet, record).run(trouble);
    } catch (final IOException failure) {
      System.out.println("could not run: " + failure);
    }
    System.exit(status);
  }

  private int run(final boolean trouble) throws Exception {
    fleet.startAll();
    fleet.configure(Configs.config(3, 8, 38, 38));
    record.say("the fleet serves");
    for (int place = 0; place < CLIENTS; place++) {
      subscribers.add(new Subscriber(place));
      subscribers.get(place).connect();
    }
    for (final Subscriber subscriber : subscribers) {
      while (!subscriber.ready.await(20, TimeUnit.MILLISECONDS)) {
        turns();
      }
    }
    record.say(CLIENTS + " clients with " + TOPICS + " subscriptions each are at " + fleet.edges.get(0).node);
    final AtomicInteger acked = new AtomicInteger();
    final List<Client> publishers = new ArrayList<>();
    for (int tenant = 0; tenant < 8; tenant++) {
      final Fleet.Role edge = fleet.edges.get(2);
      final Client publisher =
          new Client(
              edge.ip,
              edge.port(),
              line -> {
                record.note("publisher gets " + String.join(" ", line.words()));
                if (line.is("ACK")) {
                  acked.incrementAndGet();
                }
              });
      publisher.send("HELLO pub" + tenant + " k" + tenant);
      publishers.add(publisher);
    }
    Thread.sleep(300);
    if (trouble) {
      struck = fleet.edges.get(0);
      struck.kill();
      record.say(struck.node + " is killed");
    }
    final String body = "x".repeat(BODY);
    for (int turn = 0; turn < MESSAGES; turn++) {
      for (int topic = 0; topic < TOPICS; topic++) {
        record.note("PUB " + topic(topic) + " " + (turn + 1) + " " + BODY);
        publishers.get(topic % 8).publish(topic(topic), turn * TOPICS + topic + 1, body);
      }
      turns();
      Thread.sleep(80);
    }
    final long startMs = Client.nowMs();
    long saidMs = startMs;
    while (Client.nowMs() - startMs < WATCH_MS) {
      turns();
      platform();
      if (struck != null && Client.nowMs() - startMs > 3_000) {
        struck.start(false);
        struck = null;
      }
      if (Client.nowMs() - saidMs > 3_000) {
        saidMs = Client.nowMs();
        record.say(
            "acknowledged " + acked + " of " + MESSAGES * TOPICS + ", delivered " + delivered + " of "
                + MESSAGES * TOPICS * CLIENTS);
        for (final Client publisher : publishers) {
          if (!publisher.ended()) {
            publisher.send("PING");
          }
        }
      }
      if (ends.values().stream().filter(times -> times >= 3).count() >= 2
          || !trouble && delivered.get() == MESSAGES * TOPICS * CLIENTS) {
        record.say("seen enough");
        break;
      }
      Thread.sleep(10);
    }
    int machines = 0;
    for (final Map.Entry<Fleet.Role, Integer> end : ends.entrySet()) {
      record.say(end.getKey().node + ": ended by itself " + end.getValue() + " times");
      machines += end.getValue() >= 3 ? 1 : 0;
    }
    record.say(
        "of 6 machines, " + machines + " had a process that ended by itself three times or more; delivered "
            + delivered + " of " + MESSAGES * TOPICS * CLIENTS);
    int still = 0;
    for (final Fleet.Role edge : fleet.edges) {
      still += edge.runs() && answersNobody(edge) ? 1 : 0;
    }
    record.say("edges whose process runs and that answer nobody for 6 s: " + still);
    return machines >= 2 || still > 0 ? 1 : 0;
  }

  private boolean answersNobody(final Fleet.Role edge) throws Exception {
    final CountDownLatch answered = new CountDownLatch(1);
    try (Client client = new Client(edge.ip, edge.port(), line -> answered.countDown())) {
      client.send("PING");
      return !answered.await(6, TimeUnit.SECONDS) && edge.runs();
    } catch (final IOException failure) {
      // It has just ended, or is being started.
      return false;
    }
  }

  private void turns() {
    final long nowMs = Client.nowMs();
    subscribers.forEach(subscriber -> subscriber.turn(nowMs));
  }

  private void platform() throws IOException {
    final long nowMs = Client.nowMs();
    for (final Fleet.Role role : fleet.all()) {
      if (role != struck && !role.runs() && !restartMs.containsKey(role)) {
        ends.merge(role, 1, Integer::sum);
        restartMs.put(role, nowMs + 500);
        record.say(role.node + " " + role.role + " ended by itself, exit " + role.exitCode());
      } else if (role != struck && !role.runs() && nowMs >= restartMs.get(role)) {
        restartMs.remove(role);
        role.start(false);
      }
    }
  }
}
