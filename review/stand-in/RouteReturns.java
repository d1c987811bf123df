import java.nio.file.Path;

/**
 * A version removes a space, and the next one, two seconds later, adds it again as it was. A client
 * that was away meanwhile comes back with its cursor; what it lacks is younger than LingerS.
 */
public final class RouteReturns {
  private static final String TOPIC = "kafi.orders";

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
    String answer =
        fleet.call("POST", "/-/config/replace", 0L, Operator.configuration(7, 8, "kafi.", "kalo."), 20_000);
    fleet.say("operator: replace 7 on 0: " + answer);
    if (!answer.startsWith("200") || !fleet.awaitReady(20_000)) {
      return 2;
    }
    final String cursor;
    try (Client reader = new Client(fleet, fleet.all("edge").get(0).ip)) {
      reader.send("HELLO reader key0");
      reader.await("OK HELLO", 3_000);
      reader.send("SUB " + TOPIC);
      final Client.Line ok = reader.await("OK SUB", 3_000);
      if (ok == null) {
        return 2;
      }
      fleet.say("reader: SUB " + TOPIC + " -> " + ok.text());
      cursor = ok.text().split(" ")[3];
    }
    fleet.say("reader goes away with cursor " + cursor);
    final long ackedMs;
    try (Client sender = new Client(fleet, fleet.all("edge").get(1).ip)) {
      sender.send("HELLO sender key1");
      sender.await("OK HELLO", 3_000);
      sender.publish(TOPIC, 1, "order-0123456789-abcdefgh");
      final Client.Line ack = sender.await("ACK", 3_000);
      if (ack == null) {
        return 2;
      }
      ackedMs = ack.ms();
      fleet.say("sender: PUB " + TOPIC + " 1 -> " + ack.text());
    }
    Thread.sleep(14_000);
    if (trouble) {
      answer =
          fleet.call("POST", "/-/config/update", 7L, "{\"Ver\":9,\"Upsert\":{},\"Del\":{\"Routes\":[\"r-0\"]}}", 5_000);
      fleet.say("operator: update 9 on 7 removes r-0: " + answer);
      if (!answer.startsWith("200")) {
        return 2;
      }
      Thread.sleep(2_000);
      answer =
          fleet.call(
              "POST",
              "/-/config/update",
              9L,
              "{\"Ver\":11,\"Upsert\":{\"Routes\":[" + Operator.route("r-0", "kafi.") + "]},\"Del\":{}}",
              5_000);
      fleet.say("operator: update 11 on 9 adds r-0 again: " + answer);
      if (!answer.startsWith("200")) {
        return 2;
      }
    } else {
      Thread.sleep(2_000);
    }
    // ApplyMs and a little more.
    Thread.sleep(4_000);
    try (Client reader = new Client(fleet, fleet.all("edge").get(2).ip)) {
      reader.send("HELLO reader key0");
      reader.await("OK HELLO", 3_000);
      reader.send("SUB " + TOPIC + " " + cursor);
      for (int tries = 0; tries < 5; tries++) {
        final Client.Line line = reader.next(4_000);
        final long ageMs = fleet.ms() - ackedMs;
        fleet.say("reader: SUB " + TOPIC + " " + cursor + " -> " + (line == null ? "silence" : line.text()) + " (the message it lacks is " + ageMs + " ms old)");
        if (ageMs > 34_000 || line == null) {
          return line == null ? 1 : 2;
        }
        if (line.text().startsWith("MSG " + TOPIC)) {
          return 0;
        }
        if (line.text().endsWith("EXPIRED")) {
          fleet.say("LOST: the reader hears that it can't take up the subscription, though what it lacks is younger than LingerS (35 s)");
          return 1;
        }
        if (line.text().endsWith("RETRY") || line.text().endsWith("NOSPACE")) {
          Thread.sleep(500);
          reader.send("SUB " + TOPIC + " " + cursor);
        }
      }
    }
    return 1;
  }
}
