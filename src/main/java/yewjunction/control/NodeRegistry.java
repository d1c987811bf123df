package yewjunction.control;

import static yewjunction.limits.LeaseLimits.FIRST_STORES_WAIT_MS;
import static yewjunction.limits.LeaseLimits.REPLICA_RETIREMENT_MS;
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
 * The leader's decisions about processes: which replica ids edges get and lose, which stores are
 * the first voters, and when a retirement is finished. Other nodes forward reports to the leader.
 * What a leader knows of stores: {@link StoreReports}.
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
  private final StoreReports storeReports;
  private final Map<String, Long> missingSinceMs = new HashMap<>();
  private long firstReportMs = -1;
  private final Map<String, ProcessReport> pendingRegistrations = new TreeMap<>();
  private final Set<String> proposalsInFlight = new HashSet<>();

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
    storeReports = new StoreReports(context, stateMachine::clusterState);
    transport.onMessage(RegisterRequest.class, (connection, request) -> onReport(request.process));
    context.scheduleAtFixedRate(REGISTRATION_INTERVAL_MS, this::retireMissingReplicas);
  }

  /** What is known of the stores. */
  StoreReports storeReports() {
    return storeReports;
  }

  /** Takes a report that came to this node, or that another one has forwarded. */
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
      storeReports.put(process);
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
    storeReports.onLeaderChange();
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
    for (final ProcessReport store : storeReports.processes()) {
      if (identities.size() < voterCount && zones.add(store.zone)) {
        identities.add(store.identity);
      }
    }
    if (identities.size() >= voterCount || fillFromSameZones(identities)) {
      final ControlCommand command = new ControlCommand(ControlCommand.SET_FIRST_STORES);
      command.identities = identities;
      identities.forEach(
          identity -> command.zones.add(storeReports.zoneOf(RaftNode.addressOf(identity))));
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
    for (final ProcessReport store : storeReports.processes()) {
      if (identities.size() < voterCount && !identities.contains(store.identity)) {
        identities.add(store.identity);
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

  /** Whether enough stores remain when this one is retired. */
  boolean canSpare(final String node) {
    return storeReports.canSpare(node, voterCount);
  }

  /** The command that begins to retire a node which has reported recently. */
  ControlCommand retirementCommand(final String node) {
    final ControlCommand command = new ControlCommand(ControlCommand.BEGIN_RETIREMENT);
    command.node = node;
    command.address = storeReports.addressOf(node);
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
