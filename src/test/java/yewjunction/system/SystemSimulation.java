package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * One simulated day: a system with a configuration and ready edges, a checker, and an end at which
 * all must be well.
 */
abstract class SystemSimulation {
  SimulatedCluster cluster;
  DeliveryChecker checker;

  /** No more messages are sent. */
  boolean quiet;

  /** Starts a system and waits for its edges. */
  void open(final long seed, final String tenants) {
    open(seed, 1, tenants);
  }

  void open(final long seed, final int storesInZone, final String tenants) {
    open(new SimulatedCluster(seed, storesInZone), tenants);
  }

  void open(final SimulatedCluster newCluster, final String tenants) {
    cluster = newCluster;
    checker = new DeliveryChecker();
    checker.clock = cluster.network::nowMs;
    cluster.network.runFor(1_500);
    cluster.configure(SimulatedCluster.route("s."), tenants);
    assertTrue(
        cluster.network.runUntil(() -> cluster.readyEdges(null).size() == 6, 10_000),
        "edges not ready");
  }

  /** A random client that has few messages open publishes on one of the first topics. */
  void publishEvery(final long ms, final int topics) {
    cluster.network.runFor(2_000);
    cluster.network.every(
        ms,
        () -> {
          final SimulatedClient client =
              cluster.clients.get(cluster.network.random.nextInt(cluster.clients.size()));
          if (client.unanswered.size() < 4 && !quiet) {
            client.publish("s.t" + cluster.network.random.nextInt(topics));
          }
        });
  }

  /** All is mended, what is under way arrives, and the rules are looked at. */
  void settle() {
    cluster.network.join();
    cluster.network.loss = 0;
    cluster.bootAll();
    cluster.network.runFor(6_000);
    quiet = true;
    cluster.network.runFor(6_000);
    checker.settle();
  }
}
