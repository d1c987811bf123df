package yewjunction.system;

import java.util.List;
import java.util.Random;
import yewjunction.membership.NodeRole;
import yewjunction.simulation.SimulatedHost;

/**
 * Troubles drawn from a seed. One machine of the control group or of the stores is lost at a time,
 * and counts as lost until SyncS after it is back; edges go in any number, and now and then
 * everything goes at once with its disks kept.
 */
final class RandomFaults extends FaultInjector {
  private final DeliveryChecker checker;
  private final RetryingOperator operator;

  /**
   * With more kinds, which the worlds with small numbers, kept since they failed once, do without.
   */
  private final boolean harder;

  private int edgesUnderWay;
  boolean quiet;

  RandomFaults(
      final SimulatedCluster cluster,
      final DeliveryChecker checker,
      final RetryingOperator operator,
      final long seed) {
    super(cluster, new Random(seed * 7_919));
    this.checker = checker;
    this.operator = operator;
    harder = seed >= 10_000;
    edge();
  }

  // --- edges without a disk: in any number, at any moment ---

  private void edge() {
    cluster.network.after(
        span(600, 3_500),
        () -> {
          if (!quiet && edgesUnderWay < 2) {
            applyToEdge(
                cluster.all(NodeRole.EDGE).stream()
                    .filter(edge -> machine(edge).endsWith(".2"))
                    .toList()
                    .get(random.nextInt(3)));
          }
          edge();
        });
  }

  private void applyToEdge(final String edge) {
    final SimulatedHost host = cluster.network.host(edge);
    if (!host.up() || host.frozen()) {
      return;
    }
    final long forMs = span(200, 4_000);
    final int kind = random.nextInt(6);
    note(
        "edge "
            + edge
            + " "
            + List.of("kill", "power", "stop", "freeze", "connections reset", "clients reset")
                .get(kind)
            + " "
            + forMs);
    switch (kind) {
      case 0 -> cluster.kill(edge);
      case 1 -> cluster.powerOff(edge);
      case 2 -> cluster.stop(edge);
      case 3 -> host.freeze();
      case 4 -> host.resetConnections();
      default -> cluster.clients.forEach(SimulatedClient::resetConnection);
    }
    edgesUnderWay++;
    cluster.network.after(
        forMs,
        () -> {
          edgesUnderWay--;
          host.thaw();
          if (!host.up()) {
            cluster.boot(edge, false);
          }
        });
  }

  // --- machines with a disk: one at a time ---

  /** Injects one fault, and returns when nothing counts as lost any more. */
  void next() {
    // As many as are to be borne, and that may be two.
    if (cluster.losses > 1 && random.nextInt(2) == 0) {
      pair();
      return;
    }
    final List<String> controlNodes = controlNodes();
    final String machine = controlNodes.get(random.nextInt(controlNodes.size()));
    final String victim = random.nextInt(3) == 0 ? machine(leader()) : machine;
    final long forMs = span(300, 6_000);
    final int kind = random.nextInt(harder ? 21 : 16);
    switch (kind) {
      case 0 -> {
        note("kill " + victim + " " + forMs);
        on(victim).forEach(cluster::kill);
        lost(forMs);
      }
      case 1 -> {
        note("power " + victim + " " + forMs);
        on(victim).forEach(cluster::powerOff);
        lost(forMs);
      }
      case 2 -> {
        note("wipe " + victim + " " + forMs);
        wipe(victim);
        lost(forMs);
      }
      case 3, 4 -> replace(victim);
      case 5, 6 -> replacePlanned(random.nextBoolean() ? machine(leader()) : victim);
      case 7 -> freeze(victim, forMs);
      case 8, 9 -> cut(victim, forMs);
      case 10 -> resetConnections(victim);
      case 11 -> slowDisk(victim, forMs);
      case 12 -> {
        note("disk stalls " + victim + " " + forMs);
        hosts(victim).forEach(host -> host.stallDisk(forMs));
        lost(forMs);
      }
      case 13 -> killMany(random.nextBoolean(), random.nextBoolean());
      case 14 -> afterAck(random.nextBoolean());
      case 15 -> retireOrAdd();
      case 16, 17 -> afterOrder(random.nextBoolean());
      case 18 -> {
        note("connections reset on all control nodes");
        controlNodes().forEach(one -> hosts(one).forEach(SimulatedHost::resetConnections));
      }
      case 19 -> killWhileCutOff(victim, forMs);
      default -> killAsItWakes(victim, forMs);
    }
    cluster.network.runFor(span(0, 1_500));
  }

  private void freeze(final String victim, final long forMs) {
    note("freeze " + victim + " " + forMs);
    hosts(victim).forEach(SimulatedHost::freeze);
    cluster.network.runFor(forMs);
    hosts(victim).forEach(SimulatedHost::thaw);
    lost(0);
  }

  private void resetConnections(final String victim) {
    final int times = 1 + random.nextInt(5);
    note("connections reset " + victim + " " + times);
    for (int time = 0; time < times; time++) {
      hosts(victim).forEach(SimulatedHost::resetConnections);
      cluster.network.runFor(span(50, 600));
    }
  }

  private void slowDisk(final String victim, final long forMs) {
    final long micros = 1_000 * span(10, 120);
    note("slow disk " + victim + " " + micros + " us " + forMs);
    hosts(victim).forEach(host -> host.syncMicros = micros);
    cluster.network.runFor(forMs);
    hosts(victim).forEach(host -> host.syncMicros = 2_000);
    lost(0);
  }

  private void killMany(final boolean power, final boolean withEdges) {
    note("all " + (power ? "lose power" : "are killed") + (withEdges ? ", edges too" : ""));
    cluster.nodes.keySet().stream()
        .filter(address -> withEdges || !machine(address).endsWith(".2"))
        .forEach(power ? cluster::powerOff : cluster::kill);
    cluster.network.runFor(span(300, 2_500));
    restoreAll();
    cluster.network.runFor(SYNC_MS);
  }

  /** The store that leads goes the moment something was acknowledged. */
  private void afterAck(final boolean withDisk) {
    final int before = checker.acks;
    cluster.network.runUntil(() -> checker.acks > before, 3_000);
    final String victim = machine(leader());
    note("right after an acknowledgement " + (withDisk ? "power " : "wipe ") + victim);
    on(victim).forEach(cluster::powerOff);
    if (!withDisk) {
      hosts(victim).forEach(SimulatedHost::wipe);
    }
    lost(span(300, 3_000));
  }

  /**
   * The control node that acknowledged an order goes at once, or while the next one is on its way.
   */
  private void afterOrder(final boolean withDisk) {
    final int before = operator.acks;
    cluster.network.runUntil(() -> operator.acks > before, 3_000);
    cluster.network.runFor(random.nextInt(3) * span(1, 60));
    final String victim = machine(operator.acknowledger);
    if (on(victim).isEmpty()) {
      return;
    }
    note("right after an order " + (withDisk ? "power " : "wipe ") + victim);
    on(victim).forEach(cluster::powerOff);
    if (!withDisk) {
      hosts(victim).forEach(SimulatedHost::wipe);
    }
    lost(span(300, 3_000));
  }

  private void retireOrAdd() {
    final List<String> stores = cluster.all(NodeRole.STORE);
    if (stores.size() < 2 * cluster.losses + 2 || stores.size() < 7 && random.nextBoolean()) {
      note("add " + bootLike(machine(stores.get(random.nextInt(stores.size())))));
      cluster.network.runFor(SYNC_MS);
      return;
    }
    final String victim =
        random.nextBoolean() ? leader() : stores.get(random.nextInt(stores.size()));
    note("retire " + victim);
    cluster.insist("POST", "/-/retire/node-" + victim + "/begin", 0, "{\"OverS\":10}", 200);
    final long startMs = cluster.network.nowMs();
    while (!cluster
        .insist("GET", "/-/retire/node-" + victim + "/show", 0, "", 200)
        .json()
        .contains("finished")) {
      cluster.network.runFor(200);
      if (cluster.network.nowMs() - startMs > 20_000) {
        throw new AssertionError(victim + " was never emptied");
      }
    }
    note("emptied " + victim);
    remove(machine(victim));
  }

  // --- the end ---

  /** The last fault, right after something was acknowledged or at any moment. */
  void closing() {
    final int kind = random.nextInt(4);
    final int moment = random.nextInt(3);
    final int before = moment == 0 ? operator.acks : checker.acks;
    if (moment < 2) {
      cluster.network.runUntil(() -> (moment == 0 ? operator.acks : checker.acks) > before, 3_000);
    }
    cluster.network.runFor(harder ? random.nextInt(60) : 0);
    note(
        "closing fault after "
            + List.of("an order's", "a message's", "no").get(moment)
            + " acknowledgement: "
            + List.of(
                    "all lose power",
                    "all are killed",
                    "one is wiped",
                    "one is wiped, the rest lose power")
                .get(kind));
    final List<String> controlNodes = controlNodes();
    final String wiped =
        random.nextBoolean()
            ? machine(leader())
            : controlNodes.get(random.nextInt(controlNodes.size()));
    switch (kind) {
      case 0 -> cluster.nodes.keySet().forEach(cluster::powerOff);
      case 1 -> cluster.nodes.keySet().forEach(cluster::kill);
      default -> {
        if (kind == 3) {
          cluster.nodes.keySet().forEach(cluster::powerOff);
        }
        note("wiped " + wiped);
        wipe(wiped);
        if (cluster.losses > 1) {
          final String other = controlNodes.get(random.nextInt(controlNodes.size()));
          note("wiped " + other);
          wipe(other);
        }
      }
    }
    cluster.network.runFor(span(300, 3_000));
    quiet = true;
    restoreAll();
  }
}
