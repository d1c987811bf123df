package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.system.LinearizabilityChecker.NEVER;

import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What operators saw through the worst of days, against a plain register with compare-and-set. */
class LinearizabilitySimulationTest {
  private static final int SEEDS = 12;
  private SimulatedCluster cluster;

  private List<LinearizabilityChecker.Call> history(
      final long seed, final Function<SimulatedCluster, ConcurrentOperators.Gate> plant) {
    cluster = new SimulatedCluster(seed, true);
    final ConcurrentOperators operators =
        new ConcurrentOperators(cluster, seed * 31, plant.apply(cluster));
    final OperatorCalls orders = new OperatorCalls(cluster);
    final Random trouble = new Random(seed * 37);
    cluster.network.runFor(1_500);
    operators.begin();
    for (int round = 0; round < 8; round++) {
      cluster.network.runFor(500 + trouble.nextInt(1_500));
      final String leader = orders.leader();
      final String other = orders.others(leader).get(trouble.nextInt(2));
      final int kind = trouble.nextInt(9);
      switch (kind) {
        case 0 -> cluster.kill(leader);
        case 1 -> cluster.powerOff(leader);
        case 2, 3, 7 -> orders.cutOff(leader);
        case 4 -> cluster.network.cut(leader, other);
        case 5 -> cluster.stop(leader);
        case 6 -> {
          cluster.powerOff(other);
          cluster.network.host(other).wipe();
        }
        default -> orders.controlNodes.forEach(cluster::powerOff);
      }
      cluster.network.runFor(300 + trouble.nextInt(2_500));
      cluster.network.join();
      cluster.bootAll();
      // A lost disk counts as a loss until its machine has caught up and votes again.
      cluster.network.runFor(kind == 6 ? 6_000 : 0);
    }
    cluster.network.runFor(3_000);
    operators.quiet = true;
    cluster.network.runFor(2_000);
    return operators.history;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void whatOperatorsSeeIsARegisters(final long seed) {
    final List<LinearizabilityChecker.Call> history = history(seed, FaultyOperatorApi::real);
    final long taken =
        history.stream().filter(call -> call.change() != null && call.status() == 200).count();
    final long refused = history.stream().filter(call -> call.status() == 412).count();
    final long unclear = history.stream().filter(call -> call.status() == 0).count();
    assertTrue(
        taken > 20 && refused > 10 && unclear > 20,
        taken + " taken, " + refused + " refused, " + unclear + " unclear");
    final LinearizabilityChecker register = new LinearizabilityChecker(history);
    assertTrue(
        register.linearizes(),
        () -> "no order of " + history.size() + " calls after " + register.steps + " steps");
  }

  private void isFound(final Function<SimulatedCluster, ConcurrentOperators.Gate> plant) {
    boolean found = false;
    for (long seed = 1; seed <= SEEDS && !found; seed++) {
      found = !new LinearizabilityChecker(history(seed, plant)).linearizes();
    }
    assertTrue(found, "found in none of " + SEEDS);
  }

  @Test
  void aRefusalFromStaleStateIsFound() {
    isFound(FaultyOperatorApi::refusesFromStaleState);
  }

  @Test
  void aRefusalOfWhatWasTakenIsFound() {
    isFound(FaultyOperatorApi::refusesWhatWasTaken);
  }

  @Test
  void anAcknowledgementOfBothOfARacedPairIsFound() {
    isFound(FaultyOperatorApi::acknowledgesBothOfAPair);
  }

  private static LinearizabilityChecker.Call order(
      final long base,
      final long version,
      final String change,
      final int status,
      final long calledMs,
      final long returnedMs) {
    return new LinearizabilityChecker.Call(
        base, version, change, "a", status, calledMs, returnedMs);
  }

  private static boolean possible(final LinearizabilityChecker.Call... calls) {
    return new LinearizabilityChecker(List.of(calls)).linearizes();
  }

  @Test
  void theSearchTellsPossibleFromImpossible() {
    assertTrue(
        possible(
            order(0, 1, "a", 0, 0, NEVER),
            order(0, 1, "a", 200, 5, 6),
            order(0, 0, null, 404, 0, 3),
            order(0, 1, null, 200, 8, 9)));
    // The other of two with one number.
    assertFalse(possible(order(0, 1, "b", 200, 1, 2), order(0, 1, null, 200, 3, 4)));
    // Not read although acknowledged before; read although another was taken; refused although
    // nothing came between.
    assertFalse(possible(order(0, 1, "a", 200, 1, 2), order(0, 0, null, 404, 3, 4)));
    assertFalse(possible(order(0, 1, "a", 200, 1, 2), order(0, 2, "b", 200, 1, 4)));
    assertFalse(possible(order(0, 1, "a", 412, 1, 2)));
    assertFalse(possible(order(0, 1, "a", 200, 1, 2), order(0, 1, "a", 412, 3, 4)));
    // A call without an answer may have taken effect, at any later time, once, or never.
    assertTrue(
        possible(
            order(0, 1, "a", 0, 1, NEVER),
            order(0, 0, null, 404, 3, 4),
            order(0, 1, null, 200, 5, 6),
            order(1, 2, "b", 200, 7, 8)));
    assertFalse(
        possible(
            order(0, 1, "a", 0, 1, NEVER),
            order(0, 1, null, 200, 3, 4),
            order(0, 0, null, 404, 5, 6)));
    assertTrue(possible(order(0, 1, "a", 0, 1, NEVER), order(0, 2, "b", 200, 3, 4)));
    assertEquals(0, new LinearizabilityChecker(List.of()).steps);
  }
}
