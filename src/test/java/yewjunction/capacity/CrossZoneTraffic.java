package yewjunction.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What crosses zones, by kind of message, with so many stores: 90 edges, 450 clients, 100 messages,
 * 60 counts and 250 changed subscriptions a second.
 */
final class CrossZoneTraffic {
  private static final int EDGES = 90;
  private static final int CLIENTS = 450;
  private static final int TOPICS = 600;
  private static final int SECONDS = 10;

  private CrossZoneTraffic() {}

  static Map<String, Double> measure(final int stores) {
    final HollowFleet fleet = new HollowFleet(stores, EDGES, stores, 5);
    fleet.network.loss = 0;
    fleet.network.runFor(1_500);
    if (!fleet.configure(90, 60) || !fleet.network.runUntil(() -> fleet.ready() == EDGES, 30_000)) {
      return null;
    }
    final List<HollowClient> clients = connect(fleet);
    fleet.network.runFor(10_000);
    fleet.meter.reset();
    startTraffic(fleet, clients);
    fleet.network.runFor(SECONDS * 1_000);
    return figures(fleet);
  }

  private static List<HollowClient> connect(final HollowFleet fleet) {
    final List<HollowClient> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      final HollowClient client = new HollowClient(fleet, fleet.edges.get(i % EDGES), "u" + i);
      for (int topic = 0; topic < 3; topic++) {
        client.say("SUB s0.t" + (i * 7 + topic * 211) % TOPICS + "\r\n");
      }
      clients.add(client);
    }
    fleet.network.every(500, () -> clients.forEach(client -> client.say("PING\r\n")));
    return clients;
  }

  private static void startTraffic(final HollowFleet fleet, final List<HollowClient> clients) {
    final long[] published = new long[1];
    fleet.network.every(
        10,
        () -> {
          published[0]++;
          clients
              .get((int) (published[0] * 31 % CLIENTS))
              .say(
                  "PUB s0.t"
                      + published[0] * 17 % TOPICS
                      + " "
                      + published[0]
                      + " 100\r\n"
                      + "x".repeat(100)
                      + "\r\n");
        });
    final long[] changed = new long[1];
    // Clients drop a topic and take another one, 250 times a second.
    fleet.network.every(
        4,
        () -> {
          changed[0]++;
          clients
              .get((int) (changed[0] * 7 % CLIENTS))
              .say(
                  "UNSUB s0.t"
                      + changed[0] * 7 % TOPICS
                      + "\r\nSUB s0.t"
                      + changed[0] * 11 % TOPICS
                      + "\r\n");
        });
    fleet.network.every(
        16,
        () ->
            clients
                .get((int) (published[0] * 13 % CLIENTS))
                .say("WHO s0.t" + published[0] * 5 % TOPICS + "\r\n"));
  }

  private static Map<String, Double> figures(final HollowFleet fleet) {
    final Map<String, Double> figures = new TreeMap<>();
    double all = 0;
    for (final Map.Entry<String, long[]> row : fleet.meter.across.entrySet()) {
      figures.put(row.getKey() + ": bytes/s between zones", (double) row.getValue()[1] / SECONDS);
      figures.put(
          row.getKey() + ": messages/s between zones", (double) row.getValue()[0] / SECONDS);
      all += row.getValue()[1];
    }
    figures.put("all: bytes/s between zones", all / SECONDS);
    return figures;
  }
}
