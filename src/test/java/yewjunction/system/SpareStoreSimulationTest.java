package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.membership.NodeRole;
import yewjunction.simulation.TrafficMeter;

/**
 * More vaults than seats, relays inside zones, and failures of whoever serves: nothing is lost, and
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
    town.world.meter = new TrafficMeter();
    for (final String spare : List.of("10.1.0.19:7000", "10.2.0.19:7000")) {
      town.boot(spare, false);
    }
    for (int i = 0; i < 12; i++) {
      final SimulatedClient customer =
          new SimulatedClient(town, judge, "c" + i, "zone" + (1 + i % 3), "key");
      for (int topic = 0; topic < 3; topic++) {
        customer.subscribe("s.t" + (i + topic) % 6);
      }
    }
    publishEvery(20, 6);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void nothingIsLostWhoeverServes(final long seed) {
    begin(seed);
    town.world.loss = 0.02;
    for (int round = 0; round < 5; round++) {
      final long startMs = town.world.nowMs();
      town.world.meter.reset();
      final List<String> vaults = town.all(NodeRole.STORE);
      final String vault = vaults.get(town.world.luck.nextInt(vaults.size()));
      switch ((int) ((seed + round) % 6)) {
        case 0 -> town.kill(vault);
        case 1 -> {
          // Away for long enough to lose its seat.
          town.nodes.keySet().stream()
              .filter(other -> !other.equals(vault))
              .forEach(other -> town.world.cut(vault, other));
          town.world.runFor(4_500);
        }
        case 2 -> town.nodes.keySet().forEach(town::kill);
        case 3 -> town.nodes.keySet().forEach(town::powerOff);
        case 4 -> {
          town.powerOff(vault);
          town.world.host(vault).wipe();
        }
        default -> town.stop(vault);
      }
      town.world.runFor(300 + town.world.luck.nextInt(1_500));
      town.world.join();
      town.bootAll();
      town.world.runFor(6_000);
      final long across = town.world.meter.across.values().stream().mapToLong(row -> row[1]).sum();
      assertTrue(
          across < ACROSS_MOST * (town.world.nowMs() - startMs) / 1_000,
          "round " + round + ": " + across + " bytes across zones");
    }
    // At the end all take up again what they have, from the start of what is kept.
    town.nodes.keySet().forEach(town::kill);
    town.world.runFor(500);
    town.bootAll();
    town.world.runFor(4_000);
    settle();
    assertEquals(List.of(), judge.expired);
    assertTrue(judge.ackedCount() > 500, "acked " + judge.ackedCount());
  }
}
