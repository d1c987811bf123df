import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/**
 * A store machine is retired, and comes back empty, at another address, under its name. Later the
 * operator asks for it to be retired again, when too few would remain; and another store loses its
 * disk. With TROUBLE=0 the machine that comes has a new name, and all else is the same.
 */
public final class NameReturns {
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
    fleet.start(fleet.add("store-vake-2", "store", "vake", "127.0.20.4", true));
    final String answer = fleet.call("POST", "/-/config/replace", 0L, Operator.configuration(7, 8, "kafi."), 20_000);
    fleet.say("operator: replace 7 on 0: " + answer);
    if (!answer.startsWith("200") || !fleet.awaitReady(20_000)) {
      return 2;
    }
    Thread.sleep(3_000);
    // Retired in the ordinary way; the platform removes it at 'finished'.
    if (!retire(fleet, "store-vake-1", fleet.node("store-vake-1"))) {
      return 2;
    }
    Thread.sleep(4_000);
    final String name = trouble ? "store-vake-1" : "store-vake-3";
    final Fleet.Node back = fleet.add(name, "store", "vake", "127.0.20.5", false);
    fleet.start(back);
    Thread.sleep(8_000);
    if (!retire(fleet, "store-vake-2", fleet.node("store-vake-2"))) {
      return 2;
    }
    Thread.sleep(5_000);
    String cursor = null;
    try (Client client = new Client(fleet, fleet.all("edge").get(2).ip)) {
      client.send("HELLO reader key0");
      client.await("OK HELLO", 3_000);
      client.send("SUB " + TOPIC);
      final Client.Line ok = client.await("OK SUB", 3_000);
      if (ok == null) {
        return 2;
      }
      cursor = ok.text().split(" ")[3];
      fleet.say("reader: SUB " + TOPIC + " -> " + ok.text() + ", and goes away");
    }
    try (Client client = new Client(fleet, fleet.all("edge").get(1).ip)) {
      client.send("HELLO sender key1");
      client.await("OK HELLO", 3_000);
      client.publish(TOPIC, 1, "order-0123456789-abcdefgh");
      final Client.Line ack = client.await("ACK", 3_000);
      if (ack == null) {
        return 2;
      }
      fleet.say("sender: PUB " + TOPIC + " 1 -> " + ack.text());
    }
    final long ackedMs = fleet.ms();
    // Three store machines are left, and three are needed: to be answered 409.
    retire(fleet, name, back);
    final Fleet.Node other = fleet.node("store-saburtalo-1");
    fleet.say("platform: " + other.name + " loses its disk (Tolerate.Mach is 1)");
    fleet.kill(other);
    delete(other.data);
    Thread.sleep(1_000);
    fleet.start(other);
    // Longer than SyncS: all that can come back is back.
    Thread.sleep(5_000);
    int attempt = 0;
    while (fleet.ms() - ackedMs < 33_000) {
      try (Client client = new Client(fleet, fleet.all("edge").get(attempt++ % 3).ip)) {
        client.send("HELLO reader key0");
        if (client.await("OK HELLO", 2_000) != null) {
          client.send("SUB " + TOPIC + " " + cursor);
          final Client.Line line = client.next(2_000);
          fleet.say("reader: SUB " + TOPIC + " " + cursor + " -> " + (line == null ? "silence" : line.text()));
          if (line != null && line.text().startsWith("OK SUB")) {
            final Client.Line message = client.await("MSG " + TOPIC, 4_000);
            if (message != null) {
              fleet.say("reader: " + message.text());
              return 0;
            }
          }
        }
      } catch (final Exception failure) {
        // Comes back below.
      }
      Thread.sleep(1_000);
    }
    fleet.say("LOST: an acknowledged message, " + (fleet.ms() - ackedMs) + " ms old, does not come to who takes up a saved place");
    return 1;
  }

  /** The operator and the platform: begin, ask until it is finished, remove machine and disk. */
  private static boolean retire(final Fleet fleet, final String name, final Fleet.Node machine) throws Exception {
    String answer = "";
    final long beginMs = fleet.ms();
    while (fleet.ms() - beginMs < 5_000) {
      answer = fleet.call("POST", "/-/retire/" + name + "/begin", null, "{\"OverS\":8}", 5_000);
      fleet.say("operator: retire " + name + ": " + answer);
      if (answer.startsWith("200") || answer.startsWith("409")) {
        break;
      }
      Thread.sleep(500);
    }
    if (!answer.startsWith("200")) {
      return false;
    }
    final long endMs = fleet.ms() + 12_000;
    while (fleet.ms() < endMs) {
      answer = fleet.call("GET", "/-/retire/" + name + "/show", null, "", 5_000);
      if (answer.contains("finished")) {
        fleet.say("operator: " + name + " is " + answer + " " + (fleet.ms() - beginMs) + " ms after the order; the machine is removed with its disk");
        fleet.kill(machine);
        delete(machine.data);
        return true;
      }
      Thread.sleep(200);
    }
    fleet.say("operator: " + name + " is not finished: " + answer);
    return false;
  }

  private static void delete(final Path folder) throws Exception {
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
