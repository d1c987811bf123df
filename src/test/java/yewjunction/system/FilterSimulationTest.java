package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.membership.NodeRole;

/**
 * Filters under load while edges fail, drain and are cut off, and while filters change mid-flow.
 */
class FilterSimulationTest extends SystemSimulation {
  private static final List<String> FILTERS =
      List.of("key-1", "key-1,key-3,key-5", "key-*", "key-2", "nobody-sends-this", "*");

  private void begin(final long seed) {
    open(
        seed,
        SimulatedCluster.tenant("t", "key", 1_000)
            + ","
            + SimulatedCluster.tenant("u", "other", 1_000));
    for (int i = 0; i < 12; i++) {
      final SimulatedClient client =
          new SimulatedClient(
              cluster, checker, "c" + i, "zone" + (1 + i % 3), i % 2 == 0 ? "key" : "other");
      // The first three read everything and tell the checker where each message stands.
      for (int topic = 0; topic < 3; topic++) {
        if (i >= 3) {
          client.filters.put("s.t" + topic, FILTERS.get(i % FILTERS.size()));
        }
        client.subscribe("s.t" + topic);
      }
    }
    publishEvery(25, 3);
  }

  private void change() {
    final SimulatedClient client =
        cluster.clients.get(3 + cluster.network.random.nextInt(cluster.clients.size() - 3));
    client.filter(
        "s.t" + cluster.network.random.nextInt(3),
        FILTERS.get(cluster.network.random.nextInt(FILTERS.size())));
  }

  @Override
  void settle() {
    super.settle();
    assertEquals(List.of(), checker.expired);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void failoversAndChangesDeliverExactlyTheMatchingMessages(final long seed) {
    begin(seed);
    cluster.network.loss = 0.02;
    cluster.network.every(60, this::change);
    for (int round = 0; round < 6; round++) {
      final List<String> edges = cluster.all(NodeRole.EDGE);
      final String edge = edges.get(cluster.network.random.nextInt(edges.size()));
      switch (cluster.network.random.nextInt(5)) {
        case 0 -> cluster.kill(edge);
        case 1 -> cluster.powerOff(edge);
        case 2 -> cluster.stop(edge);
        case 3 -> cluster.all(NodeRole.STORE).forEach(store -> cluster.network.cut(edge, store));
        default ->
            cluster.clients.forEach(
                client -> {
                  if (cluster.network.random.nextBoolean()) {
                    client.resetConnection();
                  }
                });
      }
      cluster.network.runFor(1_000 + cluster.network.random.nextInt(2_000));
      cluster.network.join();
      cluster.bootAll();
      cluster.network.runFor(3_000);
    }
    settle();
    assertTrue(
        checker.ackedCount() > 300 && checker.owed > 2_000,
        "acked " + checker.ackedCount() + " owed " + checker.owed);
  }

  @Test
  void aCursorStaysFreshThoughNothingWantedComes() {
    begin(21);
    final SimulatedClient reader = new SimulatedClient(cluster, checker, "patient", "zone1", "key");
    reader.filters.put("s.t0", "nobody-sends-this");
    reader.subscribe("s.t0");
    // Far longer than messages are kept; then its edge dies and it takes up its cursor elsewhere.
    cluster.network.runFor(70_000);
    cluster.kill(reader.edge());
    cluster.network.runFor(5_000);
    reader.filter("s.t0", "key-*");
    cluster.network.runFor(3_000);
    settle();
    assertTrue(
        checker.newestDelivered.containsKey("patient"), "nothing came after the filter let it");
  }

  @Test
  void aBadFilterLeavesTheOneInForce() {
    begin(22);
    final SimulatedClient reader = cluster.clients.get(3);
    reader.filter("s.t0", "key-1");
    cluster.network.runFor(500);
    // The client notes a filter only when told that it is in force.
    reader.filter("s.t0", "key-*x");
    cluster.network.runFor(500);
    reader.filter("s.t0", "k".repeat(1_100));
    cluster.network.runFor(500);
    reader.filters.put("s.t0", "key-1");
    assertEquals(List.of("c3 s.t0 BADMSG", "c3 s.t0 TOOBIG"), checker.revoked);
    checker.revoked.clear();
    checker.reopen("c3", "s.t0");
    cluster.network.runFor(3_000);
    settle();
  }
}
