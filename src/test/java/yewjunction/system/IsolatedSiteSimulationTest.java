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
 * A site loses its link under load and comes back: one history, each message once and in order, no
 * partner first.
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
      final SimulatedClient customer =
          new SimulatedClient(town, judge, "c" + i, "zone" + (1 + i % 3), "key" + tenant("c" + i));
      customer.subscribe("s.t" + tenant(customer.name));
    }
    town.world.runFor(2_000);
    town.world.every(
        12,
        () -> {
          final List<SimulatedClient> all = town.customers;
          // The first tenant may be made to send most.
          final int chosen =
              town.world.luck.nextInt(100) < heavyShare
                  ? TENANTS * town.world.luck.nextInt(6)
                  : town.world.luck.nextInt(all.size());
          final SimulatedClient customer = all.get(chosen);
          if (customer.open.size() < 8 && !quiet) {
            customer.publish("s.t" + tenant(customer.name));
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

  /** All vaults hold the same messages at the same places, as far back as each still keeps them. */
  private void sameHistories() {
    final Map<Long, String> history = new TreeMap<>();
    for (final String vault : town.all(NodeRole.STORE)) {
      ((StoreNode) town.nodes.get(vault))
          .cellar()
          .between(0, Long.MAX_VALUE)
          .forEach(
              message -> {
                final String told = message.topic + " " + message.client + " " + message.number;
                assertEquals(
                    told,
                    history.computeIfAbsent(message.index, key -> told),
                    "at " + message.index);
              });
    }
    assertTrue(history.size() > 100, "only " + history.size());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void theSiteFoldsBackIntoOneHistory(final long seed) {
    begin(seed);
    town.world.runFor(3_000);
    for (int round = 0; round < 3; round++) {
      final boolean withVault = town.world.luck.nextBoolean();
      final String zone = "zone" + (1 + town.world.luck.nextInt(3));
      switch ((int) (seed % 4)) {
        case 0 -> {
          // Short: within the patience of clients and leases.
          town.darken(zone, withVault);
          town.world.runFor(200 + town.world.luck.nextInt(900));
        }
        case 1 -> {
          // Long: leases lapse, clients move out and come back; an edge of the site dies in the
          // dark.
          town.darken(zone, withVault);
          town.world.runFor(6_000);
          town.kill(
              town.all(NodeRole.EDGE).stream()
                  .filter(edge -> SimulatedCluster.zone(edge).equals(zone))
                  .findFirst()
                  .orElseThrow());
          town.world.runFor(3_000);
        }
        case 2 -> {
          // Flapping.
          for (int flap = 0; flap < 6; flap++) {
            town.darken(zone, withVault);
            town.world.runFor(150 + town.world.luck.nextInt(1_200));
            town.world.join();
            town.world.runFor(100 + town.world.luck.nextInt(600));
          }
        }
        default -> {
          // The lead changes meanwhile.
          town.darken(zone, withVault);
          town.world.runFor(800);
          final List<String> outside =
              town.all(NodeRole.STORE).stream()
                  .filter(vault -> !SimulatedCluster.zone(vault).equals(zone))
                  .toList();
          town.kill(outside.get(town.world.luck.nextInt(2)));
          town.world.runFor(1_500);
        }
      }
      town.world.join();
      town.bootAll();
      town.world.runFor(4_000);
    }
    settle();
    assertEquals(List.of(), judge.expired);
    assertTrue(judge.ackedCount() > 500, "acked " + judge.ackedCount());
  }

  /** When, after the site is back, each tenant's clients had all that was sent before. */
  private Map<Integer, Long> catchUpMs(final long backMs) {
    final Map<Integer, Long> last = new HashMap<>();
    judge.arrivals.stream()
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
    town.world.loss = 0;
    town.world.runFor(3_000);
    town.darken("zone1", true);
    town.world.runFor(2_000);
    town.world.join();
    final long backMs = town.world.nowMs();
    town.world.runFor(6_000);
    final Map<Integer, Long> caughtUp = catchUpMs(backMs);
    final long soonest = caughtUp.values().stream().min(Long::compare).orElseThrow();
    final long latest = caughtUp.values().stream().max(Long::compare).orElseThrow();
    assertEquals(TENANTS, caughtUp.size());
    // One of them has several times the backlog of each other.
    assertTrue(latest - soonest < 250, "caught up after " + caughtUp);
    settle();
  }

  /**
   * An edge that was away for longer than messages are kept lacks what its home has dropped: nobody
   * loses by it.
   */
  @Test
  void anEdgeThatLacksWhatItsHomeHasDroppedLosesNobodyAMessage() {
    begin(41);
    town.world.runFor(3_000);
    final String edge = town.readyEdges("zone1").get(0);
    // Only the stream is cut: leases stay, and so do the links of its clients until it lets them
    // go.
    town.all(NodeRole.STORE).forEach(vault -> town.world.cut(edge, vault));
    town.world.runFor(75_000);
    town.world.join();
    town.world.runFor(5_000);
    settle();
    assertEquals(List.of(), judge.expired);
  }
}
