import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A message is accepted, and its ACK is lost with the connection. The sender comes back at once, on
 * another edge, gets its OK and sends the same number again; that edge has just been frozen.
 */
final class Repeat {
  private static final int ROUNDS = 6;
  private static final long FREEZE_MS = 2_800;

  /** The space's TimeoutMs: a client waits so long for an answer to PUB. */
  private static final int TIMEOUT_MS = 4_000;


  private Repeat() {}

  public static void main(final String[] arguments) throws Exception {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]));
        Fleet fleet = new Fleet()) {
      status = run(fleet, record, trouble);
    } catch (final IOException failure) {
      System.out.println("could not run: " + failure);
    }
    System.exit(status);
  }

  private static int run(final Fleet fleet, final Record record, final boolean trouble)
      throws Exception {
    fleet.startAll();
    fleet.configure(
        Configs.config(3, 8, 38, 38).replace("\"TimeoutMs\":1200", "\"TimeoutMs\":" + TIMEOUT_MS));
    record.say("the fleet serves");
    int broken = 0;
    for (int round = 0; round < ROUNDS; round++) {
      final String topic = "kalo181.c" + round;
      final List<String> got = new CopyOnWriteArrayList<>();
      final BlockingQueue<Client.Line> atSubscriber = new LinkedBlockingQueue<>();
      final Client subscriber =
          new Client(
              fleet.edges.get(2).ip,
              fleet.edges.get(2).port(),
              line -> {
                if (line.is("MSG")) {
                  got.add(line.body());
                  record.note("subscriber gets " + String.join(" ", line.words()) + " " + line.body());
                }
                atSubscriber.add(line);
              })
              .withPings();
      subscriber.send("HELLO sub" + round + " k1");
      await(atSubscriber, "OK", "HELLO");
      subscriber.send("SUB " + topic);
      await(atSubscriber, "OK", "SUB");
      final boolean twice = round(fleet, record, trouble, round, topic, got);
      broken += twice ? 1 : 0;
      subscriber.close();
      Thread.sleep(4_500);
    }
    record.say("rounds " + ROUNDS + ", a message came twice in " + broken);
    return broken > 0 ? 1 : 0;
  }

  private static boolean round(
      final Fleet fleet,
      final Record record,
      final boolean trouble,
      final int round,
      final String topic,
      final List<String> got)
      throws Exception {
    final Fleet.Role first = fleet.edges.get(round % 2);
    final Fleet.Role second = fleet.edges.get((round + 1) % 2);
    final String body = "ride-to-door-" + round + "-kadmblcfeoaih";
    final String name = "courier" + round;
    final BlockingQueue<Client.Line> unread = new LinkedBlockingQueue<>();
    final Client before = new Client(first.ip, first.port(), unread::add);
    before.send("HELLO " + name + " k0");
    await(unread, "OK", "HELLO");
    record.say("round " + round + ": PUB 1 at " + first.node);
    before.publish(topic, 1, body);
    if (trouble) {
      // The client never sees the ACK: its connection is reset once the message has been delivered.
      for (int turn = 0; got.isEmpty() && turn < 200; turn++) {
        Thread.sleep(5);
      }
      before.reset();
      record.say("the message was delivered " + got.size() + " times; the connection was reset");
    } else {
      await(unread, "ACK", topic, "1");
      before.close();
    }
    final long sentMs = Client.nowMs();
    final BlockingQueue<Client.Line> answers = new LinkedBlockingQueue<>();
    Client after = new Client(second.ip, second.port(), answers::add).withPings();
    after.send("HELLO " + name + " k0");
    await(answers, "OK", "HELLO");
    record.say("HELLO answered by " + second.node);
    if (trouble) {
      second.signal("STOP");
      record.say(second.node + " stands still");
    }
    after.publish(topic, 1, body);
    record.say("PUB 1 again, " + (Client.nowMs() - sentMs) + " ms after the reset");
    if (trouble) {
      Thread.sleep(FREEZE_MS);
      second.signal("CONT");
      record.say(second.node + " goes on");
    }
    long number = 1;
    for (int attempt = 0; attempt < 5; attempt++) {
      final Client.Line answer = answer(answers, after);
      if (answer == null) {
        // Silence or a cut: the same number is sent again, over a new connection.
        after.reset();
        record.say("no answer; the client comes back at " + first.node);
        after = new Client(first.ip, first.port(), answers::add).withPings();
        after.send("HELLO " + name + " k0");
        await(answers, "OK", "HELLO");
        after.publish(topic, number, body);
        record.say("PUB " + number);
        continue;
      }
      record.say("answer: " + String.join(" ", answer.words()));
      if (answer.is("ACK")) {
        break;
      }
      if (answer.is("REFUSE", "PUB") && answer.words()[4].equals("RETRY")) {
        // The promise: it was not done and never will be. So it is sent under a new number.
        number++;
        Thread.sleep(400);
      }
      record.say("PUB " + number);
      try {
        after.publish(topic, number, body);
      } catch (final IOException failure) {
        record.say("the connection has ended");
      }
    }
    Thread.sleep(500);
    after.close();
    record.say("the subscriber got it " + got.size() + " times");
    return got.size() > 1;
  }

  /** The next answer; null after TimeoutMs, or when the connection has ended. */
  private static Client.Line answer(final BlockingQueue<Client.Line> answers, final Client client)
      throws InterruptedException {
    final long end = Client.nowMs() + TIMEOUT_MS;
    while (Client.nowMs() < end) {
      final Client.Line line = answers.poll(50, TimeUnit.MILLISECONDS);
      if (line != null && !line.is("PONG")) {
        return line;
      }
      if (line == null && client.ended()) {
        return null;
      }
    }
    return null;
  }

  private static Client.Line await(
      final BlockingQueue<Client.Line> lines, final String... begin) throws Exception {
    final long end = Client.nowMs() + 3_000;
    while (Client.nowMs() < end) {
      final Client.Line line = lines.poll(100, TimeUnit.MILLISECONDS);
      if (line != null && line.is(begin)) {
        return line;
      }
    }
    throw new IOException("no " + String.join(" ", begin));
  }
}
