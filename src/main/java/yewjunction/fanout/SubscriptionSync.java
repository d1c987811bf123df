package yewjunction.fanout;

import static yewjunction.limits.SubscriptionLimits.MAX_SYNC_CELLS;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.DigestRequest;
import yewjunction.fanout.FanoutMessages.DigestResponse;
import yewjunction.fanout.FanoutMessages.ReplicaStates;
import yewjunction.subscription.AddWinsSet;

/**
 * Exchange of replica states of the subscription set between two processes. Digests go first, and
 * then the whole states of the replicas that differ.
 *
 * <p>All calls on the agent's thread.
 */
final class SubscriptionSync {
  private final AgentContext context;
  private final AddWinsSet subscriptions;
  private final Supplier<Collection<Long>> ownReplicas;

  /**
   * Registers the handlers.
   *
   * @param own the replicas that this process hears of first
   * @param changed called when states may have been merged
   */
  SubscriptionSync(
      final AgentContext context,
      final PeerTransport transport,
      final AddWinsSet subscriptions,
      final Supplier<Collection<Long>> own,
      final Runnable changed) {
    this.ownReplicas = own;
    this.context = context;
    this.subscriptions = subscriptions;
    transport.onMessage(DigestRequest.class, this::onDigestRequest);
    transport.onMessage(
        DigestResponse.class,
        (connection, response) -> {
          subscriptions.merge(response.states);
          if (!response.wantedReplicas.isEmpty()) {
            sendStates(connection, response.wantedReplicas, 0);
          }
          changed.run();
        });
  }

  void sendStates(
      final PeerConnection connection, final Collection<Long> replicas, final long mark) {
    final ReplicaStates states = new ReplicaStates();
    states.states = subscriptions.encodeStates(replicas);
    states.digest = mark;
    connection.send(states);
  }

  /**
   * Asks for the states that differ.
   *
   * @param mutual whether the states that differ are sent in return
   */
  void requestDifferences(
      final PeerConnection connection, final int mostCells, final boolean mutual) {
    connection.send(digestRequest(mostCells, mutual));
  }

  /** Asks a store for the states of its own edges that differ. */
  void requestOwnEdges(final PeerConnection connection) {
    final DigestRequest request = digestRequest(MAX_SYNC_CELLS, false);
    request.ownEdgesOnly = true;
    connection.send(request);
  }

  private DigestRequest digestRequest(final int mostCells, final boolean mutual) {
    final DigestRequest request = new DigestRequest();
    request.digests = subscriptions.encodeDigests();
    request.maxCells = mostCells;
    request.mutual = mutual;
    return request;
  }

  private void onDigestRequest(final PeerConnection connection, final DigestRequest request) {
    final DigestResponse response = new DigestResponse();
    final int mostCells = Math.min(request.maxCells, MAX_SYNC_CELLS);
    response.states =
        subscriptions.encodeStates(
            request.ownEdgesOnly == null
                ? subscriptions.differingReplicas(request.digests, mostCells, context.random())
                : subscriptions.differingReplicasOf(
                    ownReplicas.get(), request.digests, mostCells, context.random()));
    response.wantedReplicas =
        request.mutual ? subscriptions.missingReplicas(request.digests) : List.of();
    connection.send(response);
  }
}
