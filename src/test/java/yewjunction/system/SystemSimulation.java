package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * One simulated day: a town with a configuration and ready edges, a judge, and an end at which all
 * must be well.
 */
abstract class SystemSimulation {
  SimulatedCluster town;
  DeliveryChecker judge;

  /** No more messages are sent. */
  boolean quiet;

  /** Starts a town and waits for its edges. */
  void open(final long seed, final String tenants) {
    open(seed, 1, tenants);
  }

  void open(final long seed, final int vaultsInZone, final String tenants) {
    open(new SimulatedCluster(seed, vaultsInZone), tenants);
  }

  void open(final SimulatedCluster newTown, final String tenants) {
    town = newTown;
    judge = new DeliveryChecker();
    judge.clock = town.world::nowMs;
    town.world.runFor(1_500);
    town.configure(SimulatedCluster.route("s."), tenants);
    assertTrue(
        town.world.runUntil(() -> town.readyEdges(null).size() == 6, 10_000), "edges not ready");
  }

  /** A random customer that has few messages open publishes on one of the first topics. */
  void publishEvery(final long ms, final int topics) {
    town.world.runFor(2_000);
    town.world.every(
        ms,
        () -> {
          final SimulatedClient customer =
              town.customers.get(town.world.luck.nextInt(town.customers.size()));
          if (customer.open.size() < 4 && !quiet) {
            customer.publish("s.t" + town.world.luck.nextInt(topics));
          }
        });
  }

  /** All is mended, what is under way arrives, and the rules are looked at. */
  void settle() {
    town.world.join();
    town.world.loss = 0;
    town.bootAll();
    town.world.runFor(6_000);
    quiet = true;
    town.world.runFor(6_000);
    judge.settle();
  }
}
