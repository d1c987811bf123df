package yewjunction.control;

import static yewjunction.limits.LeaseLimits.LEASE_CONFIRMATION_INTERVAL_MS;
import static yewjunction.limits.LeaseLimits.LEASE_DURATION_MS;
import static yewjunction.limits.LeaseLimits.LEASE_RESPONSE_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.common.PendingRequests;
import yewjunction.control.LeaseMessages.ConfirmLeadershipRequest;
import yewjunction.control.LeaseMessages.ConfirmLeadershipResponse;
import yewjunction.control.LeaseMessages.LeaseRequest;
import yewjunction.control.LeaseMessages.LeaseResponse;
import yewjunction.raft.RaftNode;

/**
 * Grants leases to the edges and stores that ask this control node. A lease counts from when it was
 * asked for, and is granted only after a majority has confirmed the leader since then.
 *
 * <p>Invariant: nothing is granted before this node has applied all that was committed when the
 * leader was confirmed.
 *
 * <p>Owned by {@link ControlService}; all calls on the agent's thread.
 */
final class LeaseServer {
  private final AgentContext context;
  private final PeerTransport transport;
  private final RaftNode raftNode;
  private final ConfigurationPublisher publisher;
  private final NodeRegistry registry;
  private final LeasedProcesses processes;
  private List<PendingRenewal> pendingRenewals = new ArrayList<>();

  /** The request to the leader that is under way; there is one at most. */
  private final PendingRequests<PeerConnection, List<PendingRenewal>> pendingRequests;

  private final List<ConfirmedBatch> confirmedBatches = new ArrayList<>();
  private long lastConfirmationMs;
  private boolean confirmationScheduled;

  private record PendingRenewal(PeerConnection connection, LeaseRequest request, long receivedMs) {}

  /** Renewals that may be granted once this node has applied all up to an index. */
  private record ConfirmedBatch(long commitIndex, List<PendingRenewal> renewals) {}

  LeaseServer(
      final AgentContext context,
      final PeerTransport transport,
      final RaftNode raftNode,
      final ConfigurationPublisher publisher,
      final NodeRegistry registry,
      final LeasedProcesses processes,
      final long life) {
    this.context = context;
    this.transport = transport;
    this.raftNode = raftNode;
    this.publisher = publisher;
    this.registry = registry;
    this.processes = processes;
    pendingRequests = new PendingRequests<>(life);
    transport.onMessage(LeaseRequest.class, this::onLeaseRequest);
    transport.onMessage(ConfirmLeadershipRequest.class, this::onConfirmRequest);
    transport.onMessage(ConfirmLeadershipResponse.class, this::onConfirmResponse);
    transport.onClose(publisher::onClose);
  }

  private void onLeaseRequest(final PeerConnection connection, final LeaseRequest request) {
    final long nowMs = context.nowMs();
    publisher.onRequest(connection, request);
    registry.onReport(request.process);
    processes.onReport(request.process);
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
    final LeaseResponse response = publisher.updateFor(renewal.connection);
    if (response == null) {
      return;
    }
    response.granted = true;
    response.requestId = renewal.request.requestId;
    renewal.connection.send(response);
  }
}
