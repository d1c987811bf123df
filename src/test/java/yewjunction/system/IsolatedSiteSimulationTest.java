package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.membership.NodeRole;
import yewjunction.node.StoreNode;

/**
 * A site loses its connection under load and comes back: one history, each message once and in
 * order, no partner first.
 */
class IsolatedSiteSimulationTest extends SystemSimulation {
  private static final int TENANTS = 4;
  private int heavyShare;

  private void begin(final long seed) {
    final StringBuilder tenants = new StringBuilder();
    for (int tenant = 0; tenant < TENANTS; tenant++) {
      tenants
          .append(tenant == 0 ? "" : ",")
          .append(SimulatedCluster.tenant("t" + tenant, "key" + tenant, 1_000));
    }
    open(seed, tenants.toString());
    for (int i = 0; i < 6 * TENANTS; i++) {
      final SimulatedClient client =
          new SimulatedClient(
              cluster, checker, "c" + i, "zone" + (1 + i % 3), "key" + tenant("c" + i));
      client.subscribe("s.t" + tenant(client.name));
    }
    cluster.network.runFor(2_000);
    cluster.network.every(
        12,
        () -> {
          final List<SimulatedClient> all = cluster.clients;
          // The first tenant may be made to send most.
          final int chosen =
              cluster.network.random.nextInt(100) < heavyShare
                  ? TENANTS * cluster.network.random.nextInt(6)
                  : cluster.network.random.nextInt(all.size());
          final SimulatedClient client = all.get(chosen);
          if (client.unanswered.size() < 8 && !quiet) {
            client.publish("s.t" + tenant(client.name));
          }
        });
  }

  private static int tenant(final String client) {
    return Integer.parseInt(client.substring(1)) % TENANTS;
  }

  @Override
  void settle() {
    super.settle();
    sameHistories();
  }

  /** All stores hold the same messages at the same places, as far back as each still keeps them. */
  private void sameHistories() {
    final Map<Long, String> history = new TreeMap<>();
    for (final String store : cluster.all(NodeRole.STORE)) {
      ((StoreNode) cluster.nodes.get(store))
          .messageStore()
          .between(0, Long.MAX_VALUE)
          .forEach(
              message -> {
                final String description =
                    message.topic + " " + message.client + " " + message.sequenceNumber;
                assertEquals(
                    description,
                    history.computeIfAbsent(message.index, key -> description),
                    "at " + message.index);
              });
    }
    assertTrue(history.size() > 100, "only " + history.size());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void theSiteFoldsBackIntoOneHistory(final long seed) {
    begin(seed);
    cluster.network.runFor(3_000);
    for (int round = 0; round < 3; round++) {
      final boolean withStores = cluster.network.random.nextBoolean();
      final String zone = "zone" + (1 + cluster.network.random.nextInt(3));
      switch ((int) (seed % 4)) {
        case 0 -> {
          // Short: within the patience of clients and leases.
          cluster.isolateZone(zone, withStores);
          cluster.network.runFor(200 + cluster.network.random.nextInt(900));
        }
        case 1 -> {
          // Long: leases lapse, clients move out and come back; an edge of the site dies in the
          // unreachable.
          cluster.isolateZone(zone, withStores);
          cluster.network.runFor(6_000);
          cluster.kill(
              cluster.all(NodeRole.EDGE).stream()
                  .filter(edge -> SimulatedCluster.zone(edge).equals(zone))
                  .findFirst()
                  .orElseThrow());
          cluster.network.runFor(3_000);
        }
        case 2 -> {
          // Flapping.
          for (int flap = 0; flap < 6; flap++) {
            cluster.isolateZone(zone, withStores);
            cluster.network.runFor(150 + cluster.network.random.nextInt(1_200));
            cluster.network.join();
            cluster.network.runFor(100 + cluster.network.random.nextInt(600));
          }
        }
        default -> {
          // The lead changes meanwhile.
          cluster.isolateZone(zone, withStores);
          cluster.network.runFor(800);
          final List<String> outside =
              cluster.all(NodeRole.STORE).stream()
                  .filter(store -> !SimulatedCluster.zone(store).equals(zone))
                  .toList();
          cluster.kill(outside.get(cluster.network.random.nextInt(2)));
          cluster.network.runFor(1_500);
        }
      }
      cluster.network.join();
      cluster.bootAll();
      cluster.network.runFor(4_000);
    }
    settle();
    assertEquals(List.of(), checker.expired);
    assertTrue(checker.ackedCount() > 500, "acked " + checker.ackedCount());
  }

  /** When, after the site is back, each tenant's clients had all that was sent before. */
  private Map<Integer, Long> catchUpMs(final long backMs) {
    final Map<Integer, Long> last = new HashMap<>();
    checker.arrivals.stream()
        .filter(arrival -> arrival.sentMs() < backMs && arrival.atMs() > backMs)
        .forEach(
            arrival -> last.merge(tenant(arrival.client()), arrival.atMs() - backMs, Math::max));
    return last;
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void noPartnersChannelComesFirst(final long seed) {
    heavyShare = 80;
    begin(seed);
    cluster.network.loss = 0;
    cluster.network.runFor(3_000);
    cluster.isolateZone("zone1", true);
    cluster.network.runFor(2_000);
    cluster.network.join();
    final long backMs = cluster.network.nowMs();
    cluster.network.runFor(6_000);
    final Map<Integer, Long> caughtUp = catchUpMs(backMs);
    final long soonest = caughtUp.values().stream().min(Long::compare).orElseThrow();
    final long latest = caughtUp.values().stream().max(Long::compare).orElseThrow();
    assertEquals(TENANTS, caughtUp.size());
    // One of them has several times the backlog of each other.
    assertTrue(latest - soonest < 250, "caught up after " + caughtUp);
    settle();
  }

  /**
   * An edge that was away for longer than messages are kept lacks what its serving store has
   * dropped: nobody loses by it.
   */
  @Test
  void anEdgeThatLacksWhatItsStoreHasDroppedLosesNobodyAMessage() {
    begin(41);
    cluster.network.runFor(3_000);
    final String edge = cluster.readyEdges("zone1").get(0);
    // Only the stream is cut: leases stay, and so do the connections of its clients until it lets
    // them go.
    cluster.all(NodeRole.STORE).forEach(store -> cluster.network.cut(edge, store));
    cluster.network.runFor(75_000);
    cluster.network.join();
    cluster.network.runFor(5_000);
    settle();
    assertEquals(List.of(), checker.expired);
  }
}
