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
  private static final double WATCH_S = WATCH_MS / 1_000.0;

  private static final int STORES = 5;
  private static final int CONTROL_NODES = 3;
  private static final int BODY_BYTES = 100;
  final Map<String, Double> figures = new TreeMap<>();
  private final List<HollowClient> readers = new ArrayList<>();
  private final List<HollowClient> senders = new ArrayList<>();

  /**
   * False when not all that was published was acknowledged and delivered: then there are no
   * figures.
   */
  boolean measure(final int perSecond, final int edgeCount, final int listeners) {
    final HollowFleet fleet =
        new HollowFleet(perSecond + edgeCount + listeners, edgeCount, STORES, CONTROL_NODES);
    fleet.network.loss = 0;
    fleet.network.runFor(1_500);
    if (!fleet.configure(3, 3)
        || !fleet.network.runUntil(() -> fleet.ready() == edgeCount, 30_000)) {
      return false;
    }
    connect(fleet, listeners);
    fleet.network.runFor(SETTLE_MS);
    fleet.meter.reset();
    final ThreadUsage usage = new ThreadUsage();
    final long count = perSecond * WATCH_MS / 1_000;
    for (long number = 1; number <= count; number++) {
      publishLater(fleet, 1_000_000 * (number - 1) / perSecond, number);
    }
    fleet.network.runFor(WATCH_MS);
    record(fleet, usage);
    fleet.network.runFor(1_500);
    figures.put(
        "edges: bytes/s to clients",
        readers.stream().mapToLong(reader -> reader.bytes).sum() / WATCH_S);
    final long acknowledged = senders.stream().mapToLong(sender -> sender.acknowledged).sum();
    final long delivered = readers.stream().mapToLong(reader -> reader.messages).sum();
    return acknowledged == count && delivered == count * readers.size();
  }

  private void connect(final HollowFleet fleet, final int listeners) {
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
  }

  private void publishLater(final HollowFleet fleet, final long delayMicros, final long number) {
    fleet.network.afterMicros(
        delayMicros,
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

  private void record(final HollowFleet fleet, final ThreadUsage usage) {
    final String leader = fleet.leadingStore();
    figures.put(
        "all: ms of CPU a second, simulator included", usage.cpuMicros() / 1_000.0 / WATCH_S);
    figures.put("all: KB allocated a second", usage.allocatedKb() / WATCH_S);
    figures.put(
        "leader: bytes/s to each follower",
        fleet.meter.totalsOf(leader, "raft.AppendEntries")[1] / WATCH_S / (STORES - 1));
    figures.put(
        "leader: messages/s to each follower",
        fleet.meter.totalsOf(leader, "raft.AppendEntries")[0] / WATCH_S / (STORES - 1));
    figures.put(
        "leader: bytes/s of publish requests received",
        fleet.meter.totalsOf(leader, "store.AdmitRequest")[3] / WATCH_S);
    double streamed = 0;
    for (final String store : fleet.stores) {
      streamed += fleet.meter.totalsOf(store, "fanout.StreamBatch")[1];
    }
    figures.put("serving stores: bytes/s of the streams to all edges", streamed / WATCH_S);
  }
}
