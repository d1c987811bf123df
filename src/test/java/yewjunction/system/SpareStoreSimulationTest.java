package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.membership.NodeRole;
import yewjunction.simulation.TrafficMeter;

/**
 * More stores than votes, relays inside zones, and failures of whoever serves: nothing is lost, and
 * nothing runs in circles.
 */
class SpareStoreSimulationTest extends SystemSimulation {
  /**
   * bytes a second between zones; several times what this load needs with all its elections and
   * catching up.
   */
  private static final long ACROSS_MOST = 400_000;

  private void begin(final long seed) {
    open(seed, SimulatedCluster.tenant("t", "key", 1_000));
    cluster.network.meter = new TrafficMeter();
    for (final String spare : List.of("10.1.0.19:7000", "10.2.0.19:7000")) {
      cluster.boot(spare, false);
    }
    for (int i = 0; i < 12; i++) {
      final SimulatedClient client =
          new SimulatedClient(cluster, checker, "c" + i, "zone" + (1 + i % 3), "key");
      for (int topic = 0; topic < 3; topic++) {
        client.subscribe("s.t" + (i + topic) % 6);
      }
    }
    publishEvery(20, 6);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void nothingIsLostWhoeverServes(final long seed) {
    begin(seed);
    cluster.network.loss = 0.02;
    for (int round = 0; round < 5; round++) {
      final long startMs = cluster.network.nowMs();
      cluster.network.meter.reset();
      final List<String> stores = cluster.all(NodeRole.STORE);
      final String store = stores.get(cluster.network.random.nextInt(stores.size()));
      switch ((int) ((seed + round) % 6)) {
        case 0 -> cluster.kill(store);
        case 1 -> {
          // Away for long enough to lose its vote.
          cluster.nodes.keySet().stream()
              .filter(other -> !other.equals(store))
              .forEach(other -> cluster.network.cut(store, other));
          cluster.network.runFor(4_500);
        }
        case 2 -> cluster.nodes.keySet().forEach(cluster::kill);
        case 3 -> cluster.nodes.keySet().forEach(cluster::powerOff);
        case 4 -> {
          cluster.powerOff(store);
          cluster.network.host(store).wipe();
        }
        default -> cluster.stop(store);
      }
      cluster.network.runFor(300 + cluster.network.random.nextInt(1_500));
      cluster.network.join();
      cluster.bootAll();
      cluster.network.runFor(6_000);
      final long across =
          cluster.network.meter.across.values().stream().mapToLong(row -> row[1]).sum();
      assertTrue(
          across < ACROSS_MOST * (cluster.network.nowMs() - startMs) / 1_000,
          "round " + round + ": " + across + " bytes across zones");
    }
    // At the end all take up again what they have, from the start of what is kept.
    cluster.nodes.keySet().forEach(cluster::kill);
    cluster.network.runFor(500);
    cluster.bootAll();
    cluster.network.runFor(4_000);
    settle();
    assertEquals(List.of(), checker.expired);
    assertTrue(checker.ackedCount() > 500, "acked " + checker.ackedCount());
  }
}
