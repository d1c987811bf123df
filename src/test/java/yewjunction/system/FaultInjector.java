package yewjunction.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yewjunction.membership.NodeRole;
import yewjunction.node.StoreNode;
import yewjunction.settings.Settings;
import yewjunction.simulation.SimulatedHost;

/** What can be done to a town's machines, each deed noted. */
abstract class FaultInjector {
  /** ms; for so long a machine that came back still counts as lost. */
  static final long SYNC_MS = 4_000;

  /** What was done when: with the seed, all that is needed to look at a failing world. */
  final List<String> plan = new ArrayList<>();

  final SimulatedCluster town;
  final Random draw;
  private int machines = 100;

  FaultInjector(final SimulatedCluster town, final Random draw) {
    this.town = town;
    this.draw = draw;
  }

  void note(final String what) {
    plan.add(town.world.nowMs() + " " + what);
  }

  static String machine(final String address) {
    return address.substring(0, address.indexOf(':'));
  }

  /** Processes on a machine. */
  List<String> on(final String machine) {
    return town.nodes.keySet().stream()
        .filter(address -> machine(address).equals(machine))
        .toList();
  }

  List<SimulatedHost> hosts(final String machine) {
    return on(machine).stream().map(town.world::host).toList();
  }

  List<String> core() {
    return town.nodes.keySet().stream()
        .filter(address -> !machine(address).endsWith(".2"))
        .map(RandomFaults::machine)
        .distinct()
        .toList();
  }

  /** Whoever leads the vaults, or the first of them. */
  String leader() {
    return town.all(NodeRole.STORE).stream()
        .filter(vault -> town.world.host(vault).up() && ((StoreNode) town.nodes.get(vault)).leads())
        .findFirst()
        .orElse(town.all(NodeRole.STORE).get(0));
  }

  long span(final int leastMs, final int mostMs) {
    return leastMs + draw.nextInt(mostMs - leastMs);
  }

  void back() {
    town.bootAll();
  }

  void lost(final long forMs) {
    town.world.runFor(forMs);
    back();
    town.world.runFor(SYNC_MS);
  }

  /**
   * Two machines at once, often of one group: each by itself is killed, cut off, frozen, without
   * power, or without its disk.
   */
  void pair() {
    final List<String> from =
        draw.nextInt(3) == 0
            ? core()
            : (draw.nextBoolean() ? town.all(NodeRole.STORE) : town.all(NodeRole.CONTROL))
                .stream().map(FaultInjector::machine).toList();
    final String first =
        draw.nextBoolean() && from.contains(machine(leader()))
            ? machine(leader())
            : from.get(draw.nextInt(from.size()));
    final List<String> others = from.stream().filter(one -> !one.equals(first)).toList();
    strike(first);
    town.world.runFor(draw.nextInt(3) * span(1, 900));
    strike(others.get(draw.nextInt(others.size())));
    town.world.runFor(span(300, 6_000));
    town.world.join();
    town.nodes.keySet().forEach(address -> town.world.host(address).thaw());
    lost(0);
  }

  private void strike(final String victim) {
    final int kind = draw.nextInt(6);
    note(
        "of two: "
            + List.of("kill", "power", "wipe", "cut", "freeze", "replace").get(kind)
            + " "
            + victim);
    switch (kind) {
      case 0 -> on(victim).forEach(town::kill);
      case 1 -> on(victim).forEach(town::powerOff);
      case 2 -> wipe(victim);
      case 3 ->
          town.nodes.keySet().stream()
              .filter(other -> !machine(other).equals(victim))
              .forEach(other -> town.world.cut(victim + ":", other));
      case 4 -> hosts(victim).forEach(SimulatedHost::freeze);
      default -> {
        remove(victim);
        town.world.after(1_000, () -> note("by " + bootLike(victim)));
      }
    }
  }

  void killWhileCutOff(final String victim, final long forMs) {
    note("killed while cut off " + victim + " " + forMs);
    core().forEach(other -> town.world.cut(victim + ":", other + ":"));
    town.world.runFor(forMs / 2);
    on(victim).forEach(town::kill);
    town.world.runFor(forMs / 4);
    back();
    town.world.runFor(forMs / 4);
    town.world.join();
    lost(0);
  }

  void killAsItWakes(final String victim, final long forMs) {
    note("frozen, links reset, killed as it wakes " + victim + " " + forMs);
    hosts(victim).forEach(SimulatedHost::freeze);
    town.world.runFor(forMs / 2);
    hosts(victim).forEach(SimulatedHost::resetLinks);
    town.world.runFor(forMs / 2);
    hosts(victim).forEach(SimulatedHost::thaw);
    town.world.runFor(draw.nextInt(30));
    on(victim).forEach(town::kill);
    lost(span(100, 2_000));
  }

  void wipe(final String machine) {
    on(machine).forEach(town::powerOff);
    hosts(machine).forEach(SimulatedHost::wipe);
  }

  void cut(final String victim, final long forMs) {
    final boolean fromCoreOnly = draw.nextBoolean();
    final int ways = draw.nextInt(3);
    note(
        "cut "
            + victim
            + (fromCoreOnly ? " from the core" : "")
            + " "
            + List.of("both ways", "out", "in").get(ways)
            + " "
            + forMs);
    for (final String other :
        fromCoreOnly
            ? core()
            : town.nodes.keySet().stream().map(RandomFaults::machine).distinct().toList()) {
      if (!other.equals(victim) && ways != 2) {
        town.world.cutOneWay(victim + ":", other + ":");
      }
      if (!other.equals(victim) && ways != 1) {
        town.world.cutOneWay(other + ":", victim + ":");
      }
    }
    town.world.runFor(forMs);
    town.world.join();
    lost(0);
  }

  // --- other machines ---

  /** A machine of the same kind and zone, empty, at an address that nobody has heard of. */
  String bootLike(final String machine) {
    final boolean vault = machine.endsWith("9");
    machines += 10;
    final String fresh =
        machine.substring(0, machine.lastIndexOf('.') + 1) + (machines % 1_000 + (vault ? 9 : 1));
    town.seeds =
        town.all(NodeRole.CONTROL).stream()
            .filter(crux -> town.world.host(crux).up())
            .limit(3)
            .map(crux -> machine(crux) + ":8024")
            .toList();
    if (!vault) {
      town.boot(fresh + ":" + (SimulatedCluster.PORT + Settings.CONTROL_PORT_OFFSET), false);
    }
    town.boot(fresh + ":" + SimulatedCluster.PORT, false);
    return fresh;
  }

  /** Gone for good, with its disk. */
  void remove(final String machine) {
    for (final String address : on(machine)) {
      town.powerOff(address);
      town.world.host(address).wipe();
      town.nodes.remove(address);
    }
  }

  void replace(final String victim) {
    note("replace " + victim);
    remove(victim);
    town.world.runFor(1_000);
    note("by " + bootLike(victim));
    town.world.runFor(SYNC_MS);
  }

  /** The new one first, then the old one is told to end; it has as long as the platform gives. */
  void replacePlanned(final String victim) {
    final String fresh = bootLike(victim);
    final long startMs = town.world.nowMs();
    note(
        "replace planned "
            + victim
            + (machine(leader()).equals(victim) ? ", which leads," : "")
            + " by "
            + fresh);
    town.world.runFor(span(1_000, 3_000));
    note("stop " + victim);
    on(victim).forEach(town::stop);
    town.world.runUntil(() -> hosts(victim).stream().noneMatch(SimulatedHost::up), 6_000);
    remove(victim);
    town.world.runFor(Math.max(1_000, startMs + SYNC_MS - town.world.nowMs()));
  }
}
