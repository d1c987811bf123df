package yewjunction.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What messages cost on their way: leader, followers, serving stores, edges, for one count of
 * messages, edges and listeners.
 */
final class MessageCost {
  /** simulated ms. */
  private static final long SETTLE_MS = 6_000;

  private static final long WATCH_MS = 8_000;

  private static final int VAULTS = 5;
  private static final int CRUXES = 3;
  private static final int BODY_BYTES = 100;
  final Map<String, Double> figures = new TreeMap<>();

  /**
   * False when not all that was published was acknowledged and delivered: then there are no
   * figures.
   */
  boolean measure(final int perSecond, final int edgeCount, final int listeners) {
    final HollowFleet fleet =
        new HollowFleet(perSecond + edgeCount + listeners, edgeCount, VAULTS, CRUXES);
    fleet.network.loss = 0;
    fleet.network.runFor(1_500);
    if (!fleet.configure(3, 3)
        || !fleet.network.runUntil(() -> fleet.ready() == edgeCount, 30_000)) {
      return false;
    }
    final List<HollowClient> readers = new ArrayList<>();
    final List<HollowClient> senders = new ArrayList<>();
    for (final String edge : fleet.edges) {
      for (int i = 0; i < listeners; i++) {
        final HollowClient reader = new HollowClient(fleet, edge, "reader" + readers.size());
        reader.say("SUB s0.t\r\n");
        readers.add(reader);
      }
      senders.add(new HollowClient(fleet, edge, "sender" + senders.size()));
    }
    fleet.network.every(500, () -> readers.forEach(reader -> reader.say("PING\r\n")));
    fleet.network.every(500, () -> senders.forEach(sender -> sender.say("PING\r\n")));
    fleet.network.runFor(SETTLE_MS);
    fleet.meter.reset();
    final ThreadUsage usage = new ThreadUsage();
    final long count = perSecond * WATCH_MS / 1_000;
    for (long i = 0; i < count; i++) {
      final long number = i + 1;
      fleet.network.afterMicros(
          1_000_000 * i / perSecond,
          () ->
              senders
                  .get((int) (number % senders.size()))
                  .say(
                      "PUB s0.t "
                          + number
                          + " "
                          + BODY_BYTES
                          + "\r\n"
                          + "x".repeat(BODY_BYTES)
                          + "\r\n"));
    }
    fleet.network.runFor(WATCH_MS);
    final String leader = fleet.leadingStore();
    final double seconds = WATCH_MS / 1_000.0;
    figures.put(
        "all: ms of CPU a second, simulator included", usage.cpuMicros() / 1_000.0 / seconds);
    figures.put("all: KB allocated a second", usage.allocatedKb() / seconds);
    figures.put(
        "leader: bytes/s to each follower",
        fleet.meter.totalsOf(leader, "raft.AppendEntries")[1] / seconds / (VAULTS - 1));
    figures.put(
        "leader: messages/s to each follower",
        fleet.meter.totalsOf(leader, "raft.AppendEntries")[0] / seconds / (VAULTS - 1));
    figures.put(
        "leader: bytes/s of offers taken",
        fleet.meter.totalsOf(leader, "store.AdmitRequest")[3] / seconds);
    double flow = 0;
    for (final String store : fleet.stores) {
      flow += fleet.meter.totalsOf(store, "fanout.StreamBatch")[1];
    }
    figures.put("homes: bytes/s of the streams to all edges", flow / seconds);
    fleet.network.runFor(1_500);
    final long acknowledged = senders.stream().mapToLong(sender -> sender.acknowledged).sum();
    final long delivered = readers.stream().mapToLong(reader -> reader.messages).sum();
    figures.put(
        "edges: bytes/s to clients",
        readers.stream().mapToLong(reader -> reader.bytes).sum() / seconds);
    return acknowledged == count && delivered == count * readers.size();
  }
}
