package yewjunction.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yewjunction.membership.NodeRole;
import yewjunction.settings.Settings;
import yewjunction.simulation.SimulatedHost;

/** What can be done to a system's machines, each command noted. */
abstract class FaultInjector {
  /** ms; for so long a machine that came back still counts as lost. */
  static final long SYNC_MS = 4_000;

  /** What was done when: with the seed, all that is needed to look at a failing world. */
  final List<String> plan = new ArrayList<>();

  final SimulatedCluster cluster;
  final Random random;
  private int machines = 100;

  FaultInjector(final SimulatedCluster cluster, final Random draw) {
    this.cluster = cluster;
    this.random = draw;
  }

  void note(final String what) {
    plan.add(cluster.network.nowMs() + " " + what);
  }

  static String machine(final String address) {
    return address.substring(0, address.indexOf(':'));
  }

  /** Processes on a machine. */
  List<String> on(final String machine) {
    return cluster.nodes.keySet().stream()
        .filter(address -> machine(address).equals(machine))
        .toList();
  }

  List<SimulatedHost> hosts(final String machine) {
    return on(machine).stream().map(cluster.network::host).toList();
  }

  List<String> controlNodes() {
    return cluster.nodes.keySet().stream()
        .filter(address -> !machine(address).endsWith(".2"))
        .map(RandomFaults::machine)
        .distinct()
        .toList();
  }

  /** Whoever leads the stores, or the first of them. */
  String leader() {
    return cluster.leadingStore();
  }

  long span(final int leastMs, final int mostMs) {
    return leastMs + random.nextInt(mostMs - leastMs);
  }

  void restoreAll() {
    cluster.bootAll();
  }

  void lost(final long forMs) {
    cluster.network.runFor(forMs);
    restoreAll();
    cluster.network.runFor(SYNC_MS);
  }

  /**
   * Two machines at once, often of one group: each by itself is killed, cut off, frozen, without
   * power, or without its disk.
   */
  void pair() {
    final List<String> from =
        random.nextInt(3) == 0
            ? controlNodes()
            : (random.nextBoolean() ? cluster.all(NodeRole.STORE) : cluster.all(NodeRole.CONTROL))
                .stream().map(FaultInjector::machine).toList();
    final String first =
        random.nextBoolean() && from.contains(machine(leader()))
            ? machine(leader())
            : from.get(random.nextInt(from.size()));
    final List<String> others = from.stream().filter(one -> !one.equals(first)).toList();
    apply(first);
    cluster.network.runFor(random.nextInt(3) * span(1, 900));
    apply(others.get(random.nextInt(others.size())));
    cluster.network.runFor(span(300, 6_000));
    cluster.network.join();
    cluster.nodes.keySet().forEach(address -> cluster.network.host(address).thaw());
    lost(0);
  }

  private void apply(final String victim) {
    final int kind = random.nextInt(6);
    note(
        "of two: "
            + List.of("kill", "power", "wipe", "cut", "freeze", "replace").get(kind)
            + " "
            + victim);
    switch (kind) {
      case 0 -> on(victim).forEach(cluster::kill);
      case 1 -> on(victim).forEach(cluster::powerOff);
      case 2 -> wipe(victim);
      case 3 ->
          cluster.nodes.keySet().stream()
              .filter(other -> !machine(other).equals(victim))
              .forEach(other -> cluster.network.cut(victim + ":", other));
      case 4 -> hosts(victim).forEach(SimulatedHost::freeze);
      default -> {
        remove(victim);
        cluster.network.after(1_000, () -> note("by " + bootLike(victim)));
      }
    }
  }

  void killWhileCutOff(final String victim, final long forMs) {
    note("killed while cut off " + victim + " " + forMs);
    controlNodes().forEach(other -> cluster.network.cut(victim + ":", other + ":"));
    cluster.network.runFor(forMs / 2);
    on(victim).forEach(cluster::kill);
    cluster.network.runFor(forMs / 4);
    restoreAll();
    cluster.network.runFor(forMs / 4);
    cluster.network.join();
    lost(0);
  }

  void killAsItWakes(final String victim, final long forMs) {
    note("frozen, connections reset, killed as it wakes " + victim + " " + forMs);
    hosts(victim).forEach(SimulatedHost::freeze);
    cluster.network.runFor(forMs / 2);
    hosts(victim).forEach(SimulatedHost::resetConnections);
    cluster.network.runFor(forMs / 2);
    hosts(victim).forEach(SimulatedHost::thaw);
    cluster.network.runFor(random.nextInt(30));
    on(victim).forEach(cluster::kill);
    lost(span(100, 2_000));
  }

  void wipe(final String machine) {
    on(machine).forEach(cluster::powerOff);
    hosts(machine).forEach(SimulatedHost::wipe);
  }

  void cut(final String victim, final long forMs) {
    final boolean fromControlNodesOnly = random.nextBoolean();
    final int ways = random.nextInt(3);
    note(
        "cut "
            + victim
            + (fromControlNodesOnly ? " from the control nodes" : "")
            + " "
            + List.of("both ways", "out", "in").get(ways)
            + " "
            + forMs);
    for (final String other :
        fromControlNodesOnly
            ? controlNodes()
            : cluster.nodes.keySet().stream().map(RandomFaults::machine).distinct().toList()) {
      if (!other.equals(victim) && ways != 2) {
        cluster.network.cutOneWay(victim + ":", other + ":");
      }
      if (!other.equals(victim) && ways != 1) {
        cluster.network.cutOneWay(other + ":", victim + ":");
      }
    }
    cluster.network.runFor(forMs);
    cluster.network.join();
    lost(0);
  }

  // --- other machines ---

  /** A machine of the same kind and zone, empty, at an address that nobody has heard of. */
  String bootLike(final String machine) {
    final boolean isStore = machine.endsWith("9");
    machines += 10;
    final String fresh =
        machine.substring(0, machine.lastIndexOf('.') + 1) + (machines % 1_000 + (isStore ? 9 : 1));
    cluster.seeds =
        cluster.all(NodeRole.CONTROL).stream()
            .filter(controlNode -> cluster.network.host(controlNode).up())
            .limit(3)
            .map(controlNode -> machine(controlNode) + ":8024")
            .toList();
    if (!isStore) {
      cluster.boot(fresh + ":" + (SimulatedCluster.PORT + Settings.CONTROL_PORT_OFFSET), false);
    }
    cluster.boot(fresh + ":" + SimulatedCluster.PORT, false);
    return fresh;
  }

  /** Gone for good, with its disk. */
  void remove(final String machine) {
    for (final String address : on(machine)) {
      cluster.powerOff(address);
      cluster.network.host(address).wipe();
      cluster.nodes.remove(address);
    }
  }

  void replace(final String victim) {
    note("replace " + victim);
    remove(victim);
    cluster.network.runFor(1_000);
    note("by " + bootLike(victim));
    cluster.network.runFor(SYNC_MS);
  }

  /** The new one first, then the old one is told to end; it has as long as the platform gives. */
  void replacePlanned(final String victim) {
    final String fresh = bootLike(victim);
    final long startMs = cluster.network.nowMs();
    note(
        "replace planned "
            + victim
            + (machine(leader()).equals(victim) ? ", which leads," : "")
            + " by "
            + fresh);
    cluster.network.runFor(span(1_000, 3_000));
    note("stop " + victim);
    on(victim).forEach(cluster::stop);
    cluster.network.runUntil(() -> hosts(victim).stream().noneMatch(SimulatedHost::up), 6_000);
    remove(victim);
    cluster.network.runFor(Math.max(1_000, startMs + SYNC_MS - cluster.network.nowMs()));
  }
}
