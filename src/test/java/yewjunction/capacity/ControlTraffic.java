package yewjunction.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.membership.NodeRole;

/** What a fleet that only keeps itself together says and costs, for one number of nodes. */
final class ControlTraffic {
  /** simulated ms; the news of a start ride on pings for up to a minute where nodes are many. */
  private static final long SETTLE_MS = 60_000;

  private static final long WATCH_MS = 30_000;

  /**
   * Layers whose messages are control; store and herald messages of an idle fleet too: nobody
   * publishes here.
   */
  private static final List<String> LAYERS = List.of("membership", "control", "raft", "fanout", "");

  final Map<String, Double> figures = new TreeMap<>();

  /** False when the fleet did not settle: then there are no figures. */
  boolean measure(final int edgeCount, final int storeCount, final int controlNodeCount) {
    final HollowFleet fleet = new HollowFleet(edgeCount, edgeCount, storeCount, controlNodeCount);
    fleet.network.runFor(1_500);
    if (!fleet.configure(90, 60)
        || !fleet.network.runUntil(() -> fleet.ready() == edgeCount, 60_000)) {
      return false;
    }
    figures.put("start: ms until all edges are ready", (double) fleet.network.nowMs());
    fleet.network.runFor(SETTLE_MS);
    fleet.meter.reset();
    final ThreadUsage usage = new ThreadUsage();
    fleet.network.runFor(WATCH_MS);
    final double nodeSeconds = (edgeCount + storeCount + controlNodeCount) * WATCH_MS / 1_000.0;
    figures.put(
        "all: us of CPU a node and second, simulator and both ends of the codec included",
        usage.cpuMicros() / nodeSeconds);
    figures.put("all: KB allocated a node and second", usage.allocatedKb() / nodeSeconds);
    role("edge", fleet, fleet.edges);
    role("store", fleet, fleet.stores);
    role("control", fleet, fleet.controlNodes);
    if (fleet.ready() != edgeCount) {
      return false;
    }
    restart(fleet);
    change(fleet);
    System.gc();
    final Runtime runtime = Runtime.getRuntime();
    figures.put(
        "all: KB of heap a node",
        (runtime.totalMemory() - runtime.freeMemory())
            / 1_024.0
            / (edgeCount + storeCount + controlNodeCount));
    return fleet.ready() == edgeCount;
  }

  private void role(final String role, final HollowFleet fleet, final List<String> addresses) {
    for (final String layer : LAYERS) {
      double messages = 0;
      double bytes = 0;
      double most = 0;
      for (final String address : addresses) {
        final long[] row = fleet.meter.totalsOf(address, layer);
        messages += row[0] + row[2];
        bytes += row[1] + row[3];
        most = Math.max(most, row[1] + row[3]);
      }
      final double seconds = WATCH_MS / 1_000.0;
      final String name = layer.isEmpty() ? "in all" : layer;
      figures.put(
          role + ": " + name + ", messages/s a node, both ways",
          messages / addresses.size() / seconds);
      figures.put(
          role + ": " + name + ", bytes/s a node, both ways", bytes / addresses.size() / seconds);
      if (layer.isEmpty()) {
        figures.put(role + ": " + name + ", bytes/s of the busiest", most / seconds);
      }
    }
  }

  /** What one restarted edge makes all others hear. */
  private void restart(final HollowFleet fleet) {
    final String address = fleet.edges.get(fleet.edges.size() / 2);
    fleet.network.host(address).kill();
    fleet.network.runFor(50);
    fleet.meter.reset();
    fleet.boot(address, NodeRole.EDGE, false);
    fleet.network.runUntil(() -> fleet.edge(address).ready(), 20_000);
    fleet.network.runFor(1_000);
    double bytes = 0;
    for (final String edge : fleet.edges) {
      bytes += edge.equals(address) ? 0 : fleet.meter.totalsOf(edge, "control.LeaseResponse")[3];
    }
    figures.put(
        "restart of one edge: bytes of leases and facts that each other edge hears",
        bytes / (fleet.edges.size() - 1));
  }

  /** What one change of the configuration costs, and how long until the last edge has it. */
  private void change(final HollowFleet fleet) {
    fleet.network.runFor(3_000);
    fleet.meter.reset();
    final long startMs = fleet.network.nowMs();
    if (!fleet.configure(90, 60)) {
      throw new IllegalStateException("a second configuration was not taken");
    }
    final long takenMs = fleet.network.nowMs();
    fleet.network.runFor(1_000);
    double bytes = 0;
    for (final String edge : fleet.edges) {
      bytes += fleet.meter.totalsOf(edge, "control.LeaseResponse")[3];
    }
    figures.put("change of the configuration: ms until acknowledged", (double) (takenMs - startMs));
    figures.put("change of the configuration: bytes an edge hears", bytes / fleet.edges.size());
  }
}
