package yewjunction.control;

import static yewjunction.limits.LeaseLimits.CLUSTER_STATE_BATCH_MS;
import static yewjunction.limits.LeaseLimits.LEASE_DURATION_MS;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.control.LeaseMessages.LeaseRequest;
import yewjunction.control.LeaseMessages.LeaseResponse;
import yewjunction.membership.NodeRole;

/**
 * Tells the edges and stores that ask this control node for leases of the configuration and the
 * cluster state: with each lease, and at once when they change. Each is sent what it lacks.
 *
 * <p>Owned by {@link ControlService}; all calls on the agent's thread.
 */
final class ConfigurationPublisher {
  private final AgentContext context;
  private final ControlStateMachine stateMachine;
  private final Map<PeerConnection, Subscriber> subscribers = new LinkedHashMap<>();
  private final Set<PeerConnection> awaitingReplicaId = new HashSet<>();
  private boolean updateScheduled;
  private boolean clusterStateUpdateScheduled;

  /**
   * What a process has been sent on its connection. A connection loses nothing, so nothing is sent
   * twice on one.
   */
  private static final class Subscriber {
    LeaseRequest request;
    long version;
    long clusterStateVersion;
    long updatedMs;
  }

  ConfigurationPublisher(final AgentContext context, final ControlStateMachine stateMachine) {
    this.context = context;
    this.stateMachine = stateMachine;
  }

  /** A process says what it knows. */
  void onRequest(final PeerConnection connection, final LeaseRequest request) {
    final long nowMs = context.nowMs();
    final Subscriber subscriber = subscribers.computeIfAbsent(connection, key -> new Subscriber());
    subscriber.request = request;
    // It knows less than it was sent some time ago: it could not apply that, and gets the whole.
    final boolean outdated = nowMs - subscriber.updatedMs > 2 * LEASE_DURATION_MS;
    subscriber.version =
        request.version >= subscriber.version ? request.version : outdated ? 0 : subscriber.version;
    subscriber.clusterStateVersion =
        request.clusterStateVersion >= subscriber.clusterStateVersion
            ? request.clusterStateVersion
            : outdated ? -1 : subscriber.clusterStateVersion;
    if (NodeRole.EDGE.is(request.process.role) && !hasReplicaId(request)) {
      awaitingReplicaId.add(connection);
    }
  }

  void onClose(final PeerConnection connection) {
    subscribers.remove(connection);
    awaitingReplicaId.remove(connection);
  }

  /**
   * What the process at that connection has not been sent yet, and counts as sent from now on; null
   * when the connection has asked for nothing.
   */
  LeaseResponse updateFor(final PeerConnection connection) {
    final Subscriber subscriber = subscribers.get(connection);
    return subscriber == null ? null : updateFor(subscriber);
  }

  private LeaseResponse updateFor(final Subscriber subscriber) {
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
  private List<FormerRetention> formerRetentionsFor(final Subscriber subscriber) {
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
    subscribers.forEach(this::sendUpdate);
  }

  private void sendUpdate(final PeerConnection connection, final Subscriber subscriber) {
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
      final Subscriber subscriber = subscribers.get(connection);
      if (subscriber == null || hasReplicaId(subscriber.request)) {
        awaitingReplicaId.remove(connection);
        if (subscriber != null) {
          sendUpdate(connection, subscriber);
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
