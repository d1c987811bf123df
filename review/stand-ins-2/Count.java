import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients ask for the number of subscribers, once a second and one question at a time. An edge
 * stands still for a moment, and meanwhile the store that serves it is killed. Each question has to
 * be answered at most once.
 */
final class Count {
  private static final int CLIENTS = 90;
  private static final int ROUNDS = 8;
  private static final long FREEZE_MS = 400;
  private static final long ASK_EVERY_MS = 1_000;

  private Count() {}

  /** A client with one question at a time. */
  private static final class Asker {
    final Fleet.Role edge;
    final String topic;
    final Record record;
    final Client client;
    private int asked;
    private int answered;
    private int excess;
    private long askedMs;

    Asker(final Fleet.Role edge, final int place, final Record record) throws IOException {
      this.edge = edge;
      this.record = record;
      topic = "kafi810.w" + place;
      askedMs = Client.nowMs() + place * ASK_EVERY_MS / CLIENTS;
      client = new Client(edge.ip, edge.port(), this::onLine);
      client.send("HELLO who" + place + " k" + place % 8);
    }

    private synchronized void onLine(final Client.Line line) {
      record.note(topic + ": " + String.join(" ", line.words()));
      if (line.is("COUNT", topic) || line.is("REFUSE", "WHO")) {
        answered++;
        if (answered > asked) {
          excess++;
          answered = asked;
          record.say(
              "nothing was asked: "
                  + String.join(" ", line.words())
                  + " at "
                  + edge.node
                  + ", "
                  + (Client.nowMs() - askedMs)
                  + " ms after the last question, which was answered already");
        }
      }
    }

    synchronized void ask() throws IOException {
      if (!client.ended() && answered == asked && Client.nowMs() - askedMs >= ASK_EVERY_MS) {
        asked++;
        askedMs = Client.nowMs();
        record.note(topic + ": WHO " + topic + " is sent");
        client.send("WHO " + topic);
      }
    }
  }

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
    fleet.configure(Configs.config(3, 8, 38, 38));
    record.say("the fleet serves");
    final List<Asker> askers = new ArrayList<>();
    for (int place = 0; place < CLIENTS; place++) {
      askers.add(new Asker(fleet.edges.get(place % 3), place, record));
    }
    askFor(askers, 4_000);
    for (int round = 0; round < ROUNDS; round++) {
      final Fleet.Role edge = fleet.edges.get(round % 3);
      final Fleet.Role store = fleet.stores.get(round % 3);
      if (trouble) {
        edge.signal("STOP");
        store.kill();
        record.say(edge.node + " stands still, " + store.node + " is killed");
      }
      askFor(askers, FREEZE_MS);
      if (trouble) {
        edge.signal("CONT");
        record.say(edge.node + " goes on");
      }
      askFor(askers, 500);
      if (trouble) {
        store.start(false);
        record.say(store.node + " starts again");
      }
      askFor(askers, 8_000);
    }
    Thread.sleep(1_000);
    int excess = 0;
    int asked = 0;
    for (final Asker asker : askers) {
      excess += asker.excess;
      asked += asker.asked;
      asker.client.close();
    }
    record.say("asked " + asked + ", answers that nothing was asked for: " + excess);
    return excess > 0 ? 1 : 0;
  }

  private static void askFor(final List<Asker> askers, final long forMs) throws Exception {
    final long endMs = Client.nowMs() + forMs;
    while (Client.nowMs() < endMs) {
      for (final Asker asker : askers) {
        asker.ask();
      }
      Thread.sleep(5);
    }
  }
}
