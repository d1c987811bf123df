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
 * Home for the tides and vaults of a zone: leases on the leader's confirmed word, and news at once.
 */
final class LeaseServer {
  private final AgentContext context;
  private final PeerTransport transport;
  private final ControlStateMachine stateMachine;
  private final RaftNode raftNode;
  private final NodeRegistry registry;
  private final LeasedProcesses processes;
  private final Map<PeerConnection, SubscriberState> subscribers = new LinkedHashMap<>();
  private List<PendingRenewal> waiting = new ArrayList<>();

  /** To the leader: one at a time. */
  private final PendingRequests<PeerConnection, List<PendingRenewal>> pendingRequests;

  private final List<ConfirmedBatch> proven = new ArrayList<>();
  private final Set<PeerConnection> unnamed = new HashSet<>();
  private long askedMs;
  private boolean telling;
  private boolean tellingFacts;
  private boolean batching;

  private record PendingRenewal(PeerConnection connection, LeaseRequest request, long atMs) {}

  /**
   * What a process has been told on its link. Links lose nothing, so nothing is told twice on one.
   */
  private static final class SubscriberState {
    LeaseRequest request;
    long version;
    long factsNumber;
    long toldMs;
  }

  /** Confirmed up to a commit that this home may not have applied yet. */
  private record ConfirmedBatch(long commit, List<PendingRenewal> asked) {}

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
    transport.on(LeaseRequest.class, this::renew);
    transport.on(ConfirmLeadershipRequest.class, this::confirm);
    transport.on(ConfirmLeadershipResponse.class, this::confirmed);
    transport.onClose(
        connection -> {
          subscribers.remove(connection);
          unnamed.remove(connection);
        });
  }

  private void renew(final PeerConnection connection, final LeaseRequest request) {
    final long nowMs = context.nowMs();
    final SubscriberState subscriber =
        subscribers.computeIfAbsent(connection, key -> new SubscriberState());
    subscriber.request = request;
    // Less than it was told some time ago: it could not take that, and gets the whole.
    final boolean old = nowMs - subscriber.toldMs > 2 * LEASE_DURATION_MS;
    subscriber.version =
        request.version >= subscriber.version ? request.version : old ? 0 : subscriber.version;
    subscriber.factsNumber =
        request.factsNumber >= subscriber.factsNumber
            ? request.factsNumber
            : old ? -1 : subscriber.factsNumber;
    registry.heard(request.process);
    processes.heard(request.process);
    if (NodeRole.EDGE.is(request.process.duty) && !named(request)) {
      unnamed.add(connection);
    }
    // The newest question of an asker stands for its earlier ones.
    waiting.removeIf(renewal -> renewal.connection == connection);
    waiting.add(new PendingRenewal(connection, request, nowMs));
    ask();
  }

  /**
   * One question to the leader at a time; what comes meanwhile rides on the next, never on an
   * earlier one.
   */
  private void ask() {
    final long nowMs = context.nowMs();
    final boolean lost = nowMs - askedMs > LEASE_RESPONSE_TIMEOUT_MS / 2;
    if (waiting.isEmpty() || !pendingRequests.none() && !lost) {
      return;
    }
    // One question serves all askers of a short while: each goes through a majority, across zones.
    if (nowMs - askedMs < LEASE_CONFIRMATION_INTERVAL_MS) {
      if (!batching) {
        batching = true;
        context.after(
            LEASE_CONFIRMATION_INTERVAL_MS - (nowMs - askedMs),
            () -> {
              batching = false;
              ask();
            });
      }
      return;
    }
    if (raftNode.isReadyLeader()) {
      final List<PendingRenewal> asked = waiting;
      waiting = new ArrayList<>();
      askedMs = nowMs;
      raftNode.confirmLeadership(
          held -> {
            if (held) {
              asked.forEach(this::grant);
            }
          });
    } else if (raftNode.leader() != null && !raftNode.leader().equals(raftNode.identity())) {
      final PeerConnection connection = transport.dial(RaftNode.addressOf(raftNode.leader()));
      final ConfirmLeadershipRequest request = new ConfirmLeadershipRequest();
      pendingRequests.dropAll();
      request.number = pendingRequests.ask(connection, waiting);
      waiting = new ArrayList<>();
      askedMs = nowMs;
      connection.send(request);
    } else {
      // Nobody leads: they wait for the next leader, since a lease counts from when it was asked
      // for anyway.
      waiting.removeIf(
          renewal -> !renewal.connection.open() || nowMs - renewal.atMs > LEASE_DURATION_MS);
    }
  }

  /** Somebody leads now: whoever waited is served at once. */
  void leaderChanged() {
    registry.leaderChanged();
    pendingRequests.dropAll();
    askedMs = 0;
    ask();
  }

  private void confirm(final PeerConnection connection, final ConfirmLeadershipRequest request) {
    raftNode.confirmLeadership(
        held -> {
          final ConfirmLeadershipResponse response = new ConfirmLeadershipResponse();
          response.number = request.number;
          response.held = held;
          response.commit = raftNode.commitIndex();
          connection.send(response);
        });
  }

  private void confirmed(
      final PeerConnection connection, final ConfirmLeadershipResponse response) {
    final List<PendingRenewal> asked = pendingRequests.answered(response.number, connection);
    if (asked == null) {
      return;
    }
    if (response.held) {
      proven.add(new ConfirmedBatch(response.commit, asked));
      settled();
    }
    ask();
  }

  /** Grants what was proven once this home has applied as much. */
  void settled() {
    for (final ConfirmedBatch one : List.copyOf(proven)) {
      if (raftNode.appliedIndex() >= one.commit) {
        proven.remove(one);
        one.asked.forEach(this::grant);
      }
    }
  }

  private void grant(final PendingRenewal renewal) {
    final SubscriberState subscriber = subscribers.get(renewal.connection);
    if (subscriber == null) {
      return;
    }
    final LeaseResponse response = news(subscriber);
    response.held = true;
    response.request = renewal.request.request;
    renewal.connection.send(response);
  }

  private LeaseResponse news(final SubscriberState subscriber) {
    final LeaseResponse response = new LeaseResponse();
    response.version = stateMachine.version();
    if (subscriber.version < stateMachine.version()) {
      final List<RecentChanges.VersionPatch> patches =
          stateMachine.news().patchesFrom(subscriber.version, stateMachine.json().length());
      response.json = patches == null ? stateMachine.json() : null;
      response.patches = patches == null ? response.patches : patches;
      subscriber.version = stateMachine.version();
      subscriber.toldMs = context.nowMs();
    }
    if (subscriber.factsNumber < stateMachine.facts().number) {
      final List<ClusterState.Change> changes =
          stateMachine.news().changesFrom(subscriber.factsNumber);
      response.clusterState = changes == null ? stateMachine.facts() : null;
      response.changes = changes == null ? response.changes : changes;
      subscriber.factsNumber = stateMachine.facts().number;
      subscriber.toldMs = context.nowMs();
    }
    return response;
  }

  /** Tells all subscribers of a configuration; what one turn changes goes out in one letter. */
  void tell() {
    if (!telling) {
      telling = true;
      context.post(this::tellAll);
    }
  }

  private void tellAll() {
    telling = false;
    subscribers.forEach(this::tell);
  }

  private void tell(final PeerConnection connection, final SubscriberState subscriber) {
    final LeaseResponse response = news(subscriber);
    if (response.json != null
        || response.clusterState != null
        || !response.patches.isEmpty()
        || !response.changes.isEmpty()) {
      connection.send(response);
    }
  }

  /**
   * Other facts change in bursts, one for each process that starts: only who waits for its name
   * hears at once.
   */
  void tellFacts() {
    for (final PeerConnection connection : List.copyOf(unnamed)) {
      final SubscriberState subscriber = subscribers.get(connection);
      if (subscriber == null || named(subscriber.request)) {
        unnamed.remove(connection);
        if (subscriber != null) {
          tell(connection, subscriber);
        }
      }
    }
    if (!tellingFacts) {
      tellingFacts = true;
      context.after(
          CLUSTER_STATE_BATCH_MS,
          () -> {
            tellingFacts = false;
            tellAll();
          });
    }
  }

  private boolean named(final LeaseRequest request) {
    return stateMachine.facts().replica(request.process.address, request.process.life) != 0;
  }
}
