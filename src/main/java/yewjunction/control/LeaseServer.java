package yewjunction.control;

import static yewjunction.limits.LeaseLimits.CLUSTER_STATE_BATCH_MS;
import static yewjunction.limits.LeaseLimits.LEASE_CONFIRMATION_INTERVAL_MS;
import static yewjunction.limits.LeaseLimits.LEASE_DURATION_MS;
import static yewjunction.limits.LeaseLimits.LEASE_RESPONSE_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.common.PendingRequests;
import yewjunction.control.LeaseMessages.ConfirmLeadershipRequest;
import yewjunction.control.LeaseMessages.ConfirmLeadershipResponse;
import yewjunction.control.LeaseMessages.LeaseRequest;
import yewjunction.control.LeaseMessages.LeaseResponse;
import yewjunction.membership.NodeRole;
import yewjunction.raft.RaftNode;

/**
 * Grants leases to the edges and stores that ask this control node, and tells them of changes at
 * once. A lease counts from when it was asked for, and is granted only after a majority has
 * confirmed the leader since then.
 *
 * <p>Invariant: nothing is granted before this node has applied all that was committed when the
 * leader was confirmed.
 *
 * <p>Owned by {@link ControlService}; all calls on the agent's thread.
 */
final class LeaseServer {
  private final AgentContext context;
  private final PeerTransport transport;
  private final ControlStateMachine stateMachine;
  private final RaftNode raftNode;
  private final NodeRegistry registry;
  private final LeasedProcesses processes;
  private final Map<PeerConnection, SubscriberState> subscribers = new LinkedHashMap<>();
  private List<PendingRenewal> pendingRenewals = new ArrayList<>();

  /** The request to the leader that is under way; there is one at most. */
  private final PendingRequests<PeerConnection, List<PendingRenewal>> pendingRequests;

  private final List<ConfirmedBatch> confirmedBatches = new ArrayList<>();
  private final Set<PeerConnection> awaitingReplicaId = new HashSet<>();
  private long lastConfirmationMs;
  private boolean updateScheduled;
  private boolean clusterStateUpdateScheduled;
  private boolean confirmationScheduled;

  private record PendingRenewal(PeerConnection connection, LeaseRequest request, long receivedMs) {}

  /**
   * What a process has been sent on its connection. A connection loses nothing, so nothing is sent
   * twice on one.
   */
  private static final class SubscriberState {
    LeaseRequest request;
    long version;
    long clusterStateVersion;
    long updatedMs;
  }

  /** Renewals that may be granted once this node has applied all up to an index. */
  private record ConfirmedBatch(long commitIndex, List<PendingRenewal> renewals) {}

  LeaseServer(
      final AgentContext context,
      final PeerTransport transport,
      final ControlStateMachine stateMachine,
      final RaftNode raftNode,
      final NodeRegistry registry,
      final LeasedProcesses processes,
      final long life) {
    this.context = context;
    this.transport = transport;
    this.stateMachine = stateMachine;
    this.raftNode = raftNode;
    this.registry = registry;
    this.processes = processes;
    pendingRequests = new PendingRequests<>(life);
    transport.onMessage(LeaseRequest.class, this::onLeaseRequest);
    transport.onMessage(ConfirmLeadershipRequest.class, this::onConfirmRequest);
    transport.onMessage(ConfirmLeadershipResponse.class, this::onConfirmResponse);
    transport.onClose(
        connection -> {
          subscribers.remove(connection);
          awaitingReplicaId.remove(connection);
        });
  }

  private void onLeaseRequest(final PeerConnection connection, final LeaseRequest request) {
    final long nowMs = context.nowMs();
    final SubscriberState subscriber =
        subscribers.computeIfAbsent(connection, key -> new SubscriberState());
    subscriber.request = request;
    // It knows less than it was sent some time ago: it could not apply that, and gets the whole.
    final boolean outdated = nowMs - subscriber.updatedMs > 2 * LEASE_DURATION_MS;
    subscriber.version =
        request.version >= subscriber.version ? request.version : outdated ? 0 : subscriber.version;
    subscriber.clusterStateVersion =
        request.clusterStateVersion >= subscriber.clusterStateVersion
            ? request.clusterStateVersion
            : outdated ? -1 : subscriber.clusterStateVersion;
    registry.onReport(request.process);
    processes.onReport(request.process);
    if (NodeRole.EDGE.is(request.process.role) && !hasReplicaId(request)) {
      awaitingReplicaId.add(connection);
    }
    // The newest renewal of a process replaces its earlier ones.
    pendingRenewals.removeIf(renewal -> renewal.connection == connection);
    pendingRenewals.add(new PendingRenewal(connection, request, nowMs));
    confirmLeadership();
  }

  /**
   * Has the leadership confirmed for all pending renewals. One request is under way at a time; what
   * comes meanwhile is part of the next, never of an earlier one.
   */
  private void confirmLeadership() {
    final long nowMs = context.nowMs();
    final boolean lost = nowMs - lastConfirmationMs > LEASE_RESPONSE_TIMEOUT_MS / 2;
    if (pendingRenewals.isEmpty() || !pendingRequests.isEmpty() && !lost) {
      return;
    }
    final long sinceMs = nowMs - lastConfirmationMs;
    if (sinceMs < LEASE_CONFIRMATION_INTERVAL_MS) {
      // One request serves all renewals of a short while: each goes through a majority, across
      // zones.
      scheduleConfirmation(LEASE_CONFIRMATION_INTERVAL_MS - sinceMs);
      return;
    }
    final String leader = raftNode.leader();
    if (raftNode.isReadyLeader()) {
      confirmOwnLeadership(nowMs);
    } else if (leader != null && !leader.equals(raftNode.identity())) {
      requestConfirmation(leader, nowMs);
    } else {
      // There is no leader: renewals wait for the next one. A lease counts from when it was asked
      // for, so waiting grants nothing more.
      pendingRenewals.removeIf(
          renewal ->
              !renewal.connection.isOpen() || nowMs - renewal.receivedMs > LEASE_DURATION_MS);
    }
  }

  private void scheduleConfirmation(final long delayMs) {
    if (!confirmationScheduled) {
      confirmationScheduled = true;
      context.schedule(
          delayMs,
          () -> {
            confirmationScheduled = false;
            confirmLeadership();
          });
    }
  }

  private void confirmOwnLeadership(final long nowMs) {
    final List<PendingRenewal> renewals = takePendingRenewals(nowMs);
    raftNode.confirmLeadership(
        confirmed -> {
          if (confirmed) {
            renewals.forEach(this::grant);
          }
        });
  }

  private void requestConfirmation(final String leader, final long nowMs) {
    final PeerConnection connection = transport.connect(RaftNode.addressOf(leader));
    final ConfirmLeadershipRequest request = new ConfirmLeadershipRequest();
    pendingRequests.cancelAll();
    request.requestId = pendingRequests.add(connection, takePendingRenewals(nowMs));
    connection.send(request);
  }

  private List<PendingRenewal> takePendingRenewals(final long nowMs) {
    final List<PendingRenewal> renewals = pendingRenewals;
    pendingRenewals = new ArrayList<>();
    lastConfirmationMs = nowMs;
    return renewals;
  }

  /** Somebody leads now: renewals that waited are confirmed at once. */
  void onLeaderChange() {
    registry.onLeaderChange();
    pendingRequests.cancelAll();
    lastConfirmationMs = 0;
    confirmLeadership();
  }

  private void onConfirmRequest(
      final PeerConnection connection, final ConfirmLeadershipRequest request) {
    raftNode.confirmLeadership(
        held -> {
          final ConfirmLeadershipResponse response = new ConfirmLeadershipResponse();
          response.requestId = request.requestId;
          response.confirmed = held;
          response.commitIndex = raftNode.commitIndex();
          connection.send(response);
        });
  }

  private void onConfirmResponse(
      final PeerConnection connection, final ConfirmLeadershipResponse response) {
    final List<PendingRenewal> asked = pendingRequests.complete(response.requestId, connection);
    if (asked == null) {
      return;
    }
    if (response.confirmed) {
      confirmedBatches.add(new ConfirmedBatch(response.commitIndex, asked));
      grantApplied();
    }
    confirmLeadership();
  }

  /** Grants the renewals that were confirmed for entries which are applied here by now. */
  void grantApplied() {
    for (final ConfirmedBatch one : List.copyOf(confirmedBatches)) {
      if (raftNode.appliedIndex() >= one.commitIndex) {
        confirmedBatches.remove(one);
        one.renewals.forEach(this::grant);
      }
    }
  }

  private void grant(final PendingRenewal renewal) {
    final SubscriberState subscriber = subscribers.get(renewal.connection);
    if (subscriber == null) {
      return;
    }
    final LeaseResponse response = updateFor(subscriber);
    response.granted = true;
    response.requestId = renewal.request.requestId;
    renewal.connection.send(response);
  }

  private LeaseResponse updateFor(final SubscriberState subscriber) {
    final LeaseResponse response = new LeaseResponse();
    response.version = stateMachine.version();
    if (subscriber.version < stateMachine.version()) {
      final List<RecentChanges.VersionPatch> patches =
          stateMachine
              .recentChanges()
              .patchesFrom(subscriber.version, stateMachine.json().length());
      response.json = patches == null ? stateMachine.json() : null;
      response.patches = patches == null ? response.patches : patches;
      response.formerRetentions = formerRetentionsFor(subscriber);
      subscriber.version = stateMachine.version();
      subscriber.updatedMs = context.nowMs();
    }
    if (subscriber.clusterStateVersion < stateMachine.clusterState().version) {
      final List<ClusterState.Change> changes =
          stateMachine.recentChanges().changesFrom(subscriber.clusterStateVersion);
      response.clusterState = changes == null ? stateMachine.clusterState() : null;
      response.changes = changes == null ? response.changes : changes;
      subscriber.clusterStateVersion = stateMachine.clusterState().version;
      subscriber.updatedMs = context.nowMs();
    }
    return response;
  }

  /** Also those of versions in between that the process is not told of one by one. */
  private List<FormerRetention> formerRetentionsFor(final SubscriberState subscriber) {
    if (!NodeRole.STORE.is(subscriber.request.process.role)) {
      return new ArrayList<>();
    }
    return stateMachine.formerRetentions().stream()
        .filter(one -> one.endedAfter(subscriber.version))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  /**
   * Sends a new configuration to all processes at the end of this turn, so that all that changes in
   * it goes out in one message.
   */
  void scheduleUpdate() {
    if (!updateScheduled) {
      updateScheduled = true;
      context.execute(this::updateAll);
    }
  }

  private void updateAll() {
    updateScheduled = false;
    subscribers.forEach(this::scheduleUpdate);
  }

  private void scheduleUpdate(final PeerConnection connection, final SubscriberState subscriber) {
    final LeaseResponse response = updateFor(subscriber);
    if (response.json != null
        || response.clusterState != null
        || !response.patches.isEmpty()
        || !response.changes.isEmpty()) {
      connection.send(response);
    }
  }

  /**
   * Sends changes of the cluster state. They come in bursts, one for each process that starts, so
   * they are gathered for CLUSTER_STATE_BATCH_MS; only a process that waits for its replica id
   * hears at once.
   */
  void onClusterStateChanged() {
    for (final PeerConnection connection : List.copyOf(awaitingReplicaId)) {
      final SubscriberState subscriber = subscribers.get(connection);
      if (subscriber == null || hasReplicaId(subscriber.request)) {
        awaitingReplicaId.remove(connection);
        if (subscriber != null) {
          scheduleUpdate(connection, subscriber);
        }
      }
    }
    if (!clusterStateUpdateScheduled) {
      clusterStateUpdateScheduled = true;
      context.schedule(
          CLUSTER_STATE_BATCH_MS,
          () -> {
            clusterStateUpdateScheduled = false;
            updateAll();
          });
    }
  }

  private boolean hasReplicaId(final LeaseRequest request) {
    return stateMachine.clusterState().replicaId(request.process.address, request.process.life)
        != 0;
  }
}
