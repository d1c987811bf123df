package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.membership.NodeRole;

/** The whole system under the rules, on simulated machines. */
class SystemSimulationTest extends SystemSimulation {
  private void begin(final long seed, final int perSecond) {
    open(
        seed,
        SimulatedCluster.tenant("t", "key", perSecond)
            + ","
            + SimulatedCluster.tenant("u", "other", perSecond));
    for (int i = 0; i < 12; i++) {
      final SimulatedClient customer =
          new SimulatedClient(
              town, judge, "c" + i, "zone" + (1 + i % 3), i % 2 == 0 ? "key" : "other");
      for (int topic = 0; topic < 3; topic++) {
        customer.subscribe("s.t" + (i + topic) % 6);
      }
    }
    publishEvery(40, 6);
  }

  @Override
  void settle() {
    super.settle();
    assertEquals(List.of(), judge.expired);
  }

  @Test
  void aQuietDayIsServedWhole() {
    begin(1, 1_000);
    town.world.runFor(10_000);
    settle();
    assertTrue(judge.ackedCount() > 200, "acked " + judge.ackedCount());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void theRulesHoldUnderTroubles(final long seed) {
    begin(seed, 1_000);
    town.world.loss = 0.02;
    for (int round = 0; round < 6; round++) {
      final String tide = any(NodeRole.EDGE);
      final String vault = any(NodeRole.STORE);
      final String crux = any(NodeRole.CONTROL);
      switch (town.world.luck.nextInt(11)) {
        case 0 -> town.kill(tide);
        case 1 -> town.powerOff(tide);
        case 2 -> town.kill(vault);
        case 3 -> town.powerOff(vault);
        case 4 -> {
          town.powerOff(vault);
          town.world.host(vault).wipe();
        }
        case 5 -> town.kill(crux);
        case 6 -> town.stop(tide);
        case 7 -> town.stop(vault);
        case 8 ->
            town.customers.forEach(
                customer -> {
                  if (town.world.luck.nextInt(3) > 0) {
                    customer.cut();
                  }
                });
        case 9 -> town.all(NodeRole.STORE).forEach(other -> town.world.cut(vault, other));
        default -> town.nodes.keySet().forEach(town::powerOff);
      }
      town.world.runFor(500 + town.world.luck.nextInt(3_000));
      town.world.join();
      town.bootAll();
      town.world.runFor(5_000);
    }
    settle();
    assertTrue(judge.ackedCount() > 300, "acked " + judge.ackedCount());
  }

  private String any(final NodeRole role) {
    final List<String> all = town.all(role);
    return all.get(town.world.luck.nextInt(all.size()));
  }

  @Test
  void aKeyTakenAwayOpensNothingMore() {
    begin(3, 1_000);
    town.world.runFor(3_000);
    // One edge is cut off from every crux: its lease must end by itself.
    final String lonely = town.readyEdges("zone1").get(0);
    town.all(NodeRole.CONTROL)
        .forEach(
            crux -> {
              if (!crux.startsWith(lonely.substring(0, lonely.indexOf(':')))) {
                town.world.cut(lonely, crux);
              }
            });
    town.configure(
        SimulatedCluster.route("s."),
        SimulatedCluster.tenant("t", "key", 1_000)
            + ","
            + SimulatedCluster.tenant("u", "newer", 1_000));
    final long ackMs = town.world.nowMs();
    town.world.runFor(5_000);
    // The lonely edge never hears of it: there it is the lapsed lease that ends all service.
    town.customers.stream()
        .filter(customer -> customer.key.equals("other") && !lonely.equals(customer.edge()))
        .forEach(
            customer ->
                assertTrue(
                    judge.revoked.stream().anyMatch(one -> one.startsWith(customer.name + " ")),
                    customer.name));
    town.world.runFor(5_000);
    // The others go on; who holds the old key hears of nothing sent after the bound, wherever it is
    // connected.
    for (final SimulatedClient customer : town.customers) {
      final long newestMs = judge.newestDelivered.getOrDefault(customer.name, 0L);
      assertEquals(
          customer.key.equals("key"),
          newestMs > ackMs + 5_000,
          customer.name + " " + (newestMs - ackMs));
    }
  }

  @Test
  void aTenantGetsItsRateAndNotMuchMore() {
    begin(4, 10);
    town.world.runFor(20_000);
    final long endMs = town.world.nowMs();
    // 25 messages a second come from two tenants that may send 10 each.
    for (long fromMs = endMs - 19_000; fromMs < endMs - 5_000; fromMs += 250) {
      final long count = judge.ackedBetween(fromMs, fromMs + 5_000);
      assertTrue(count <= 2 * ((10 * 5 + 10) * 1.1 + 20), count + " from " + fromMs);
      assertTrue(count >= 2 * 10 * 5 * 0.85, count + " from " + fromMs);
    }
    settle();
  }

  /**
   * Many are denied by leaders that soon hand over, and their words come late: whoever is told
   * RETRY, nobody gets it.
   */
  @ParameterizedTest
  @ValueSource(longs = {71, 72, 73, 74, 75, 76})
  void aDenialThatComesLateBindsNobodyElse(final long seed) {
    begin(seed, 8);
    town.world.loss = 0.15;
    for (int round = 0; round < 12; round++) {
      final String lead =
          town.all(NodeRole.STORE).stream()
              .filter(
                  vault ->
                      town.world.host(vault).up()
                          && ((yewjunction.node.StoreNode) town.nodes.get(vault)).leads())
              .findFirst()
              .orElse(town.all(NodeRole.STORE).get(0));
      town.stop(lead);
      town.world.runFor(1_500);
      town.bootAll();
      town.world.runFor(700);
    }
    settle();
  }

  @Test
  void aDrainedEdgeMovesItsClientsBeforeItEnds() {
    begin(6, 1_000);
    town.world.runFor(2_000);
    final String leaving = town.readyEdges("zone2").get(0);
    town.stop(leaving);
    assertTrue(
        town.world.runUntil(() -> !town.world.host(leaving).up(), 4_000),
        "still up after the grace");
    settle();
  }
}
