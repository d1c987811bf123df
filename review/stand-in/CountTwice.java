import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients ask for counts, each about many topics. While an edge has such questions before it, the
 * store that it is attached to is killed; it is started again. Each question may be answered once.
 */
public final class CountTwice {
  private static final int CLIENTS = 60;
  private static final int TOPICS = 200;
  private static final int KILLS = 9;

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
    final List<Client> clients = new ArrayList<>();
    final List<Map<String, Integer>> open = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      final Client client = new Client(fleet, fleet.all("edge").get(i % 3).ip);
      clients.add(client);
      open.add(new HashMap<>());
      client.send("HELLO client" + i + " key" + i % 8);
      if (client.await("OK HELLO", 3_000) == null) {
        return 2;
      }
      client.send("SUB kafi.t" + i);
      if (client.await("OK SUB", 3_000) == null) {
        return 2;
      }
    }
    rest(clients, 4_000);
    int questions = 0;
    for (int kill = 0; kill < KILLS; kill++) {
      final Fleet.Node store = fleet.all("store").get(kill % 3);
      final Process killer = trouble ? fleet.killSoon(store, 15) : null;
      // Each client asks about each topic once a round.
      for (int topic = 0; topic < TOPICS; topic++) {
        for (int i = 0; i < CLIENTS; i++) {
          final String name = "kafi.t" + i + "x" + topic;
          if (clients.get(i).closed) {
            continue;
          }
          clients.get(i).send("WHO " + name);
          open.get(i).merge(name, 1, Integer::sum);
          questions++;
        }
      }
      rest(clients, 2_000);
      if (trouble) {
        killer.waitFor();
        fleet.start(store);
      }
      // Longer than SyncS, so that no two stores count as lost at once.
      rest(clients, 7_000);
    }
    Thread.sleep(3_000);
    int answers = 0;
    int refusals = 0;
    int tooMany = 0;
    int closed = 0;
    for (int i = 0; i < CLIENTS; i++) {
      closed += clients.get(i).closed ? 1 : 0;
      for (Client.Line line = clients.get(i).lines.poll(); line != null; line = clients.get(i).lines.poll()) {
        final String[] words = line.text().split(" ");
        final boolean refused = line.text().startsWith("REFUSE WHO");
        if (words[0].equals("COUNT") || refused) {
          answers += refused ? 0 : 1;
          refusals += refused ? 1 : 0;
          final int left = open.get(i).merge(words[refused ? 2 : 1], -1, Integer::sum);
          if (left < 0) {
            tooMany++;
            if (tooMany <= 20) {
              fleet.say("client" + i + " asked once, and got a second answer at " + line.ms() + " ms: " + line.text());
            }
          }
        }
      }
    }
    fleet.say("WHO sent: " + questions + ", COUNT received: " + answers + ", refused: " + refusals + ", connections closed: " + closed + ", answers to nothing that was asked: " + tooMany);
    return answers == 0 ? 2 : tooMany == 0 ? 0 : 1;
  }

  /** The clients have nothing to ask, and ping. */
  private static void rest(final List<Client> clients, final long ms) throws Exception {
    for (long left = ms; left > 0; left -= 1_000) {
      for (final Client client : clients) {
        if (!client.closed) {
          client.send("PING");
        }
      }
      Thread.sleep(Math.min(left, 1_000));
    }
  }
}
