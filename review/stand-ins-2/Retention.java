import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A space is replaced by one with a longer LingerS, then removed, and added again later; while it
 * is gone, all stores are killed once. A client that was away wants what was acknowledged.
 */
final class Retention {
  private static final String TOPIC = "kafi810.order7";
  private static final int SHORT_S = 10;
  private static final int LONG_S = 60;
  private static final long GONE_MS = 25_500;

  private Retention() {}

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
    fleet.configure(Configs.spaces(3, Configs.route("r-a", "kafi810.", SHORT_S)));
    record.say("version 3: the space kafi810. is kept for " + SHORT_S + " s");
    final BlockingQueue<Client.Line> lines = new LinkedBlockingQueue<>();
    final Client before = new Client(fleet.edges.get(0).ip, fleet.edges.get(0).port(), lines::add);
    before.send("HELLO diner k0");
    await(lines, 3_000, "OK", "HELLO");
    before.send("SUB " + TOPIC);
    final String cursor = await(lines, 3_000, "OK", "SUB").words()[3];
    before.close();
    record.say("the client has subscribed, OK at " + cursor + ", and goes away");
    final BlockingQueue<Client.Line> answers = new LinkedBlockingQueue<>();
    final Client sender = new Client(fleet.edges.get(1).ip, fleet.edges.get(1).port(), answers::add);
    sender.send("HELLO kitchen k1");
    await(answers, 3_000, "OK", "HELLO");
    final long sentMs = Client.nowMs();
    sender.publish(TOPIC, 1, "order-7-is-on-its-way");
    await(answers, 3_000, "ACK", TOPIC, "1");
    record.say("PUB " + TOPIC + " 1 is acknowledged");
    sender.close();
    Thread.sleep(1_000);
    change(fleet, record, 3, Configs.spaces(5, Configs.route("r-b", "kafi810.", LONG_S)));
    record.say("version 5: the space kafi810. is kept for " + LONG_S + " s, by another route");
    Thread.sleep(1_000);
    change(fleet, record, 5, Configs.spaces(7));
    record.say("version 7: the space is removed");
    Thread.sleep(1_200);
    if (trouble) {
      for (final Fleet.Role store : fleet.stores) {
        store.kill();
      }
      record.say("all stores are killed");
      Thread.sleep(800);
      for (final Fleet.Role store : fleet.stores) {
        store.start(false);
      }
      record.say("all stores start again, with their disks");
    } else {
      Thread.sleep(800);
    }
    Thread.sleep(GONE_MS);
    change(fleet, record, 7, Configs.spaces(9, Configs.route("r-b", "kafi810.", LONG_S)));
    record.say("version 9: the space kafi810. is there again, kept for " + LONG_S + " s");
    Thread.sleep(500);
    return takeUp(fleet, record, cursor, sentMs);
  }

  /** The client comes back with its cursor; returns the exit code. */
  private static int takeUp(
      final Fleet fleet, final Record record, final String cursor, final long sentMs)
      throws Exception {
    final BlockingQueue<Client.Line> lines = new LinkedBlockingQueue<>();
    final Client after = new Client(fleet.edges.get(2).ip, fleet.edges.get(2).port(), lines::add);
    after.send("HELLO diner k0");
    await(lines, 3_000, "OK", "HELLO");
    final long endMs = Client.nowMs() + 8_000;
    while (Client.nowMs() < endMs) {
      record.say("SUB " + TOPIC + " " + cursor + ", the message is " + (Client.nowMs() - sentMs) + " ms old");
      after.send("SUB " + TOPIC + " " + cursor);
      Client.Line line = lines.poll(1_500, TimeUnit.MILLISECONDS);
      while (line != null) {
        record.say("answer: " + String.join(" ", line.words()));
        if (line.is("MSG", TOPIC)) {
          record.say("the message came");
          return 0;
        }
        if (line.is("REFUSE", "SUB") && line.words()[4].equals("EXPIRED")) {
          final long ageMs = Client.nowMs() - sentMs;
          record.say("it can't be taken up, and the one message that it lacks is " + ageMs
              + " ms old; LingerS is " + LONG_S);
          return ageMs < LONG_S * 1_000L ? 1 : 2;
        }
        line = lines.poll(1_500, TimeUnit.MILLISECONDS);
      }
    }
    record.say("neither the message nor EXPIRED came");
    return 1;
  }

  private static void change(
      final Fleet fleet, final Record record, final long base, final String json)
      throws Exception {
    for (int turn = 0; turn < 50; turn++) {
      final int status = fleet.replace(base, json, turn);
      record.note("replace on " + base + ": " + status);
      if (status == 200) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("no configuration on " + base);
  }

  private static Client.Line await(
      final BlockingQueue<Client.Line> lines, final long forMs, final String... begin)
      throws Exception {
    final long end = Client.nowMs() + forMs;
    while (Client.nowMs() < end) {
      final Client.Line line = lines.poll(100, TimeUnit.MILLISECONDS);
      if (line != null && line.is(begin)) {
        return line;
      }
    }
    throw new IOException("no " + String.join(" ", begin));
  }
}
