package yewjunction.system;

import java.util.function.Function;

/** A settled system and single operator's calls to it, for tests that may plant a fault. */
abstract class OperatorCallsSimulation {
  SimulatedCluster cluster;
  OperatorCalls orders;

  /** What stands before the real operator APIs: nothing, or a fault that the test is to find. */
  Function<SimulatedCluster, ConcurrentOperators.Gate> plant = FaultyOperatorApi::real;

  final void begin(final long seed) {
    orders = OperatorCalls.begun(seed, plant);
    cluster = orders.cluster;
  }
}
