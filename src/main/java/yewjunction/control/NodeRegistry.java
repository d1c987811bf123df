package yewjunction.control;

import static yewjunction.limits.LeaseLimits.FIRST_STORES_WAIT_MS;
import static yewjunction.limits.LeaseLimits.REPLICA_RETIREMENT_MS;
import static yewjunction.limits.LeaseLimits.STORES_REPORT_MS;
import static yewjunction.limits.RaftLimits.REGISTRATION_INTERVAL_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.control.LeaseMessages.ProcessReport;
import yewjunction.control.LeaseMessages.RegisterRequest;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.raft.RaftNode;

/**
 * The leader's decisions about processes: replica ids of edges, the first voters among the stores,
 * and retirements. A leader knows the stores by their reports alone, so a new one decides nothing
 * against an operator before all had time to report.
 *
 * <p>Owned by {@link ControlService}; all calls on the agent's thread.
 */
final class NodeRegistry {
  private final AgentContext context;
  private final PeerTransport transport;
  private final ControlStateMachine stateMachine;
  private final RaftNode raftNode;
  private final MembershipList membership;
  private final int voterCount;
  private final Map<String, StoreReport> storeReports = new TreeMap<>();
  private final Map<String, Long> missingSinceMs = new HashMap<>();
  private long firstReportMs = -1;
  private long leaderSinceMs;
  private final Map<String, ProcessReport> pendingRegistrations = new TreeMap<>();
  private final Set<String> proposalsInFlight = new HashSet<>();

  private record StoreReport(ProcessReport process, long receivedMs) {}

  NodeRegistry(
      final AgentContext context,
      final PeerTransport transport,
      final ControlStateMachine stateMachine,
      final RaftNode raftNode,
      final MembershipList membership,
      final int voterCount) {
    this.context = context;
    this.transport = transport;
    this.stateMachine = stateMachine;
    this.raftNode = raftNode;
    this.membership = membership;
    this.voterCount = voterCount;
    transport.onMessage(RegisterRequest.class, (connection, request) -> onReport(request.process));
    context.scheduleAtFixedRate(REGISTRATION_INTERVAL_MS, this::retireMissingReplicas);
  }

  void onReport(final ProcessReport process) {
    final boolean isStore = NodeRole.STORE.is(process.role);
    if (!raftNode.isReadyLeader()) {
      // Only the leader decides: reports of stores are always forwarded to it, those of edges until
      // they have a replica id.
      final boolean relevant =
          isStore || stateMachine.clusterState().replicaId(process.address, process.life) == 0;
      if (relevant && raftNode.leader() != null && !raftNode.leader().equals(raftNode.identity())) {
        final RegisterRequest request = new RegisterRequest();
        request.process = process;
        transport.connect(RaftNode.addressOf(raftNode.leader())).send(request);
      } else if (relevant) {
        // Nobody leads yet, or this node is about to: kept until then, so that the process need not
        // ask again.
        pendingRegistrations.put(process.address, process);
      }
      return;
    }
    if (isStore) {
      storeReports.put(process.address, new StoreReport(process, context.nowMs()));
      chooseFirstStores();
      process.emptiedNodes.forEach(this::onNodeEmptied);
    } else if (stateMachine.clusterState().replicaId(process.address, process.life) == 0) {
      final ControlCommand command = new ControlCommand(ControlCommand.ASSIGN_REPLICA);
      command.address = process.address;
      command.node = process.node;
      command.life = process.life;
      proposeOnce("replica " + process.address + " " + process.life, command);
    }
  }

  void onLeaderChange() {
    leaderSinceMs = context.nowMs();
    final List<ProcessReport> registrations = new ArrayList<>(pendingRegistrations.values());
    pendingRegistrations.clear();
    registrations.forEach(this::onReport);
  }

  private void proposeOnce(final String key, final ControlCommand command) {
    if (proposalsInFlight.add(key)
        && !raftNode.propose(
            ControlStateMachine.encode(command), done -> proposalsInFlight.remove(key))) {
      proposalsInFlight.remove(key);
    }
  }

  /**
   * Chooses as many stores as the tolerated losses need, in different zones if there are enough.
   */
  private void chooseFirstStores() {
    if (!stateMachine.clusterState().stores.isEmpty()) {
      return;
    }
    final List<String> identities = new ArrayList<>();
    final Set<String> zones = new HashSet<>();
    for (final StoreReport report : storeReports.values()) {
      if (identities.size() < voterCount && zones.add(report.process.zone)) {
        identities.add(report.process.identity);
      }
    }
    if (identities.size() >= voterCount || fillFromSameZones(identities)) {
      final ControlCommand command = new ControlCommand(ControlCommand.SET_FIRST_STORES);
      command.identities = identities;
      identities.forEach(
          identity ->
              command.zones.add(storeReports.get(RaftNode.addressOf(identity)).process.zone));
      proposeOnce("stores", command);
    }
  }

  /**
   * Adds stores of the same zones when there are too few zones, but only after late ones have had
   * time to report.
   */
  private boolean fillFromSameZones(final List<String> identities) {
    final long waitedMs = context.nowMs() - firstReportTimeMs();
    if (waitedMs
        < (storeReports.size() < voterCount
            ? FIRST_STORES_WAIT_MS
            : 6 * REGISTRATION_INTERVAL_MS)) {
      return false;
    }
    for (final StoreReport report : storeReports.values()) {
      if (identities.size() < voterCount && !identities.contains(report.process.identity)) {
        identities.add(report.process.identity);
      }
    }
    return true;
  }

  private long firstReportTimeMs() {
    if (firstReportMs < 0) {
      firstReportMs = context.nowMs();
    }
    return firstReportMs;
  }

  private void retireMissingReplicas() {
    if (!raftNode.isReadyLeader()) {
      missingSinceMs.clear();
      storeReports.clear();
      firstReportMs = -1;
      return;
    }
    final long nowMs = context.nowMs();
    for (final ClusterState.Replica replica : List.copyOf(stateMachine.clusterState().replicas)) {
      final Member member = membership.memberAt(replica.address);
      if (member != null && member.isUp()) {
        missingSinceMs.remove(replica.address);
      } else if (nowMs - missingSinceMs.computeIfAbsent(replica.address, key -> nowMs)
          > REPLICA_RETIREMENT_MS) {
        final ControlCommand command = new ControlCommand(ControlCommand.RETIRE_REPLICA);
        command.replicaId = replica.id;
        proposeOnce("gone " + replica.id, command);
      }
    }
  }

  // --- emptying store machines ---

  private StoreReport recentReportOf(final String node) {
    for (final StoreReport report : storeReports.values()) {
      if (report.process.node.equals(node)
          && context.nowMs() - report.receivedMs < 10 * REGISTRATION_INTERVAL_MS) {
        return report;
      }
    }
    return null;
  }

  List<Map<String, Object>> storeRows() {
    final List<Map<String, Object>> rows = new ArrayList<>();
    storeReports
        .values()
        .forEach(
            report ->
                rows.add(
                    Map.of(
                        "Nodename",
                        report.process.node,
                        "Applied",
                        report.process.appliedIndex,
                        "SeenMs",
                        context.nowMs() - report.receivedMs,
                        "Accounts",
                        report.process.balances.stream().map(AccountBalance::toRow).toList())));
    return rows;
  }

  /** One tenant's account as each store holds it. */
  List<Map<String, Object>> balanceRows(final String tenant) {
    final List<Map<String, Object>> rows = new ArrayList<>();
    storeReports
        .values()
        .forEach(
            report ->
                report.process.balances.stream()
                    .filter(balance -> balance.tenant.equals(tenant))
                    .forEach(
                        balance -> {
                          final Map<String, Object> row = balance.toRow();
                          row.put("Nodename", report.process.node);
                          row.put("SeenMs", context.nowMs() - report.receivedMs);
                          rows.add(row);
                        }));
    return rows;
  }

  boolean isKnown(final String node) {
    return recentReportOf(node) != null || stateMachine.clusterState().retirementOf(node) != null;
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
        && storeReports.values().stream()
            .noneMatch(
                report ->
                    report.process.node.equals(node)
                        && context.nowMs() - report.receivedMs < REPLICA_RETIREMENT_MS);
  }

  /** Whether enough stores remain when this one is retired. */
  boolean canSpare(final String node) {
    final Set<String> retiring = stateMachine.clusterState().retiringAddresses();
    final long staying =
        storeReports.values().stream()
            .filter(
                report ->
                    !report.process.node.equals(node)
                        && !retiring.contains(report.process.address)
                        && context.nowMs() - report.receivedMs < 10 * REGISTRATION_INTERVAL_MS)
            .count();
    return staying >= voterCount;
  }

  ControlCommand retirementCommand(final String node) {
    final ControlCommand command = new ControlCommand(ControlCommand.BEGIN_RETIREMENT);
    command.node = node;
    command.address = recentReportOf(node).process.address;
    return command;
  }

  private void onNodeEmptied(final String node) {
    final ClusterState.Retirement retiring = stateMachine.clusterState().retirementOf(node);
    if (retiring != null && !retiring.finished) {
      final ControlCommand command = new ControlCommand(ControlCommand.FINISH_RETIREMENT);
      command.node = node;
      proposeOnce("retired " + node, command);
    }
  }
}
