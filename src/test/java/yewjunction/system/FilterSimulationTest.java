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
      final SimulatedClient customer =
          new SimulatedClient(
              town, judge, "c" + i, "zone" + (1 + i % 3), i % 2 == 0 ? "key" : "other");
      // The first three read everything and tell the judge where each message stands.
      for (int topic = 0; topic < 3; topic++) {
        if (i >= 3) {
          customer.filters.put("s.t" + topic, FILTERS.get(i % FILTERS.size()));
        }
        customer.subscribe("s.t" + topic);
      }
    }
    publishEvery(25, 3);
  }

  private void change() {
    final SimulatedClient customer =
        town.customers.get(3 + town.world.luck.nextInt(town.customers.size() - 3));
    customer.filter(
        "s.t" + town.world.luck.nextInt(3), FILTERS.get(town.world.luck.nextInt(FILTERS.size())));
  }

  @Override
  void settle() {
    super.settle();
    assertEquals(List.of(), judge.expired);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void failoversAndChangesDeliverExactlyTheMatchingMessages(final long seed) {
    begin(seed);
    town.world.loss = 0.02;
    town.world.every(60, this::change);
    for (int round = 0; round < 6; round++) {
      final List<String> edges = town.all(NodeRole.EDGE);
      final String edge = edges.get(town.world.luck.nextInt(edges.size()));
      switch (town.world.luck.nextInt(5)) {
        case 0 -> town.kill(edge);
        case 1 -> town.powerOff(edge);
        case 2 -> town.stop(edge);
        case 3 -> town.all(NodeRole.STORE).forEach(vault -> town.world.cut(edge, vault));
        default ->
            town.customers.forEach(
                customer -> {
                  if (town.world.luck.nextBoolean()) {
                    customer.cut();
                  }
                });
      }
      town.world.runFor(1_000 + town.world.luck.nextInt(2_000));
      town.world.join();
      town.bootAll();
      town.world.runFor(3_000);
    }
    settle();
    assertTrue(
        judge.ackedCount() > 300 && judge.owed > 2_000,
        "acked " + judge.ackedCount() + " owed " + judge.owed);
  }

  @Test
  void aCursorStaysFreshThoughNothingWantedComes() {
    begin(21);
    final SimulatedClient reader = new SimulatedClient(town, judge, "patient", "zone1", "key");
    reader.filters.put("s.t0", "nobody-sends-this");
    reader.subscribe("s.t0");
    // Far longer than messages are kept; then its edge dies and it takes up its cursor elsewhere.
    town.world.runFor(70_000);
    town.kill(reader.edge());
    town.world.runFor(5_000);
    reader.filter("s.t0", "key-*");
    town.world.runFor(3_000);
    settle();
    assertTrue(
        judge.newestDelivered.containsKey("patient"), "nothing came after the filter let it");
  }

  @Test
  void aBadFilterLeavesTheOneInForce() {
    begin(22);
    final SimulatedClient reader = town.customers.get(3);
    reader.filter("s.t0", "key-1");
    town.world.runFor(500);
    // The customer notes a filter only when told that it is in force.
    reader.filter("s.t0", "key-*x");
    town.world.runFor(500);
    reader.filter("s.t0", "k".repeat(1_100));
    town.world.runFor(500);
    reader.filters.put("s.t0", "key-1");
    assertEquals(List.of("c3 s.t0 BADMSG", "c3 s.t0 TOOBIG"), judge.revoked);
    judge.revoked.clear();
    judge.reopen("c3", "s.t0");
    town.world.runFor(3_000);
    settle();
  }
}
