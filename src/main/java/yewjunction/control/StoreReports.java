package yewjunction.control;

import static yewjunction.limits.LeaseLimits.REPLICA_RETIREMENT_MS;
import static yewjunction.limits.LeaseLimits.STORES_REPORT_MS;
import static yewjunction.limits.RaftLimits.REGISTRATION_INTERVAL_MS;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.control.LeaseMessages.ProcessReport;

/**
 * What a leader knows of the stores: their newest reports. They are in no log, so a new leader
 * knows nothing of a store before that has reported, and must not conclude anything from its
 * absence before all had time to.
 *
 * <p>Owned by {@link NodeRegistry}; all calls on the agent's thread.
 */
final class StoreReports {
  /** Milliseconds: a store that has not reported for several intervals counts as gone. */
  private static final long RECENT_MS = 10 * REGISTRATION_INTERVAL_MS;

  private final AgentContext context;
  private final Supplier<ClusterState> clusterState;
  private final Map<String, StoreReport> byAddress = new TreeMap<>();
  private long leaderSinceMs;

  private record StoreReport(ProcessReport process, long receivedMs) {}

  /**
   * Starts without reports.
   *
   * @param clusterState looked up for each use, since a snapshot replaces it
   */
  StoreReports(final AgentContext context, final Supplier<ClusterState> clusterState) {
    this.context = context;
    this.clusterState = clusterState;
  }

  void put(final ProcessReport process) {
    byAddress.put(process.address, new StoreReport(process, context.nowMs()));
  }

  /** This node does not lead: what it knew is outdated. */
  void clear() {
    byAddress.clear();
  }

  void onLeaderChange() {
    leaderSinceMs = context.nowMs();
  }

  int size() {
    return byAddress.size();
  }

  /** The stores that have reported to this leader, by address. */
  Collection<ProcessReport> processes() {
    return byAddress.values().stream().map(StoreReport::process).toList();
  }

  /** The zone that the store at an address has reported. */
  String zoneOf(final String address) {
    return byAddress.get(address).process.zone;
  }

  /** The address of a node that has reported recently. */
  String addressOf(final String node) {
    return recentReportOf(node).process.address;
  }

  private StoreReport recentReportOf(final String node) {
    for (final StoreReport report : byAddress.values()) {
      if (report.process.node.equals(node) && ageMs(report) < RECENT_MS) {
        return report;
      }
    }
    return null;
  }

  private long ageMs(final StoreReport report) {
    return context.nowMs() - report.receivedMs;
  }

  /** Whether a node has reported recently, or is being retired, or has been. */
  boolean isKnown(final String node) {
    return recentReportOf(node) != null || clusterState.get().retirementOf(node) != null;
  }

  /** Whether this node has led for long enough that every store in contact has reported. */
  boolean allStoresHaveReported() {
    return context.nowMs() - leaderSinceMs >= STORES_REPORT_MS;
  }

  /**
   * Whether a node is surely none of the system: all have had time to report, and it has not within
   * REPLICA_RETIREMENT_MS.
   */
  boolean isCertainlyUnknown(final String node) {
    return allStoresHaveReported()
        && byAddress.values().stream()
            .noneMatch(
                report ->
                    report.process.node.equals(node) && ageMs(report) < REPLICA_RETIREMENT_MS);
  }

  /** Whether at least so many stores remain when this one is retired. */
  boolean canSpare(final String node, final int needed) {
    final Set<String> retiring = clusterState.get().retiringAddresses();
    final long staying =
        byAddress.values().stream()
            .filter(
                report ->
                    !report.process.node.equals(node)
                        && !retiring.contains(report.process.address)
                        && ageMs(report) < RECENT_MS)
            .count();
    return staying >= needed;
  }

  /** One row a store, for operators. */
  List<Map<String, Object>> storeRows() {
    final List<Map<String, Object>> rows = new ArrayList<>();
    for (final StoreReport report : byAddress.values()) {
      rows.add(
          Map.of(
              "Nodename",
              report.process.node,
              "Applied",
              report.process.appliedIndex,
              "SeenMs",
              ageMs(report),
              "Accounts",
              report.process.balances.stream().map(AccountBalance::toRow).toList()));
    }
    return rows;
  }

  /** One tenant's account as each store holds it, for operators. */
  List<Map<String, Object>> balanceRows(final String tenant) {
    final List<Map<String, Object>> rows = new ArrayList<>();
    for (final StoreReport report : byAddress.values()) {
      for (final AccountBalance balance : report.process.balances) {
        if (balance.tenant.equals(tenant)) {
          final Map<String, Object> row = balance.toRow();
          row.put("Nodename", report.process.node);
          row.put("SeenMs", ageMs(report));
          rows.add(row);
        }
      }
    }
    return rows;
  }
}
