package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Function;
import org.junit.jupiter.api.Test;
import yewjunction.system.OperatorCalls.Call;

/** Orders to empty store machines, under new leaders, at once, and after all is over. */
class RetirementSimulationTest extends OperatorCallsSimulation {
  private static final String STORE = "/-/retire/node-10.1.0.9:7000/";

  @Test
  void aNewLeaderKnowsNothingAgainstAMachineThatHasNotCalledYet() {
    begin(8);
    cluster.boot("10.1.0.19:7000", false);
    cluster.network.runFor(3_000);
    for (int round = 0; round < 4; round++) {
      final String old = orders.leader();
      cluster.kill(old);
      final String fresh = orders.leader(orders.others(old));
      for (int again = 0; again < 20; again++) {
        final Call begun = orders.now(fresh, "POST", STORE + "begin", "0", "{}");
        assertTrue(
            begun.status() == 200 || begun.status() == 503 || begun.status() == 307, begun.json());
        final Call shown = orders.now(fresh, "GET", STORE + "show", "0", "");
        assertTrue(
            shown.status() == 200 || shown.status() == 503 || shown.status() == 307, shown.json());
      }
      cluster.bootAll();
      cluster.network.runFor(1_500);
    }
    assertEquals(200, orders.insist("POST", STORE + "begin", 0, "{}").status());
  }

  @Test
  void twoMachinesMayNotBothCountOnTheSameSpare() {
    begin(9);
    cluster.boot("10.1.0.19:7000", false);
    cluster.network.runFor(3_000);
    final String leader = orders.leader();
    final Call one = orders.send(leader, "POST", STORE + "begin", "0", "{}");
    final Call other = orders.send(leader, "POST", "/-/retire/node-10.2.0.9:7000/begin", "0", "{}");
    cluster.network.runFor(500);
    assertEquals(200, one.status(), one.json());
    assertEquals(409, other.status(), other.json());
  }

  @Test
  void aRetirementIsKnownWhenTheMachineIsLongGone() {
    begin(10);
    cluster.boot("10.1.0.19:7000", false);
    cluster.network.runFor(3_000);
    assertEquals(200, orders.insist("POST", STORE + "begin", 0, "{}").status());
    assertTrue(
        cluster.network.runUntil(
            () -> orders.insist("GET", STORE + "show", 0, "").json().contains("finished"), 20_000));
    cluster.powerOff("10.1.0.9:7000");
    cluster.network.host("10.1.0.9:7000").wipe();
    cluster.nodes.remove("10.1.0.9:7000");
    // All that was in memory goes, too.
    orders.controlNodes.forEach(cluster::powerOff);
    cluster.bootAll();
    cluster.network.runFor(70_000);
    assertEquals(200, orders.insist("POST", STORE + "begin", 0, "{}").status());
    assertTrue(orders.insist("GET", STORE + "show", 0, "").json().contains("finished"));
    assertEquals(404, orders.insist("POST", "/-/retire/nobody/begin", 0, "{}").status());
  }

  private void isFound(
      final Function<SimulatedCluster, ConcurrentOperators.Gate> fault, final Runnable test) {
    plant = fault;
    assertThrows(AssertionError.class, test::run);
  }

  @Test
  void eachPlantedFaultIsFound() {
    isFound(
        FaultyOperatorApi.ofMachines(503, 404),
        this::aNewLeaderKnowsNothingAgainstAMachineThatHasNotCalledYet);
    isFound(FaultyOperatorApi.ofMachines(409, 200), this::twoMachinesMayNotBothCountOnTheSameSpare);
    isFound(
        FaultyOperatorApi.ofMachines(200, 404), this::aRetirementIsKnownWhenTheMachineIsLongGone);
  }
}
