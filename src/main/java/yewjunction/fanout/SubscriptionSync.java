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
 * Carries the set between replicas. What belongs to one replica travels as a whole state, and only
 * where the two sides differ: digests go first.
 */
final class SubscriptionSync {
  private final AgentContext context;
  private final AddWinsSet subscriptions;
  private final Supplier<Collection<Long>> own;

  /**
   * Own: the replicas that this process hears of first. Changed: something may have been merged.
   */
  SubscriptionSync(
      final AgentContext context,
      final PeerTransport transport,
      final AddWinsSet subscriptions,
      final Supplier<Collection<Long>> own,
      final Runnable changed) {
    this.own = own;
    this.context = context;
    this.subscriptions = subscriptions;
    transport.on(DigestRequest.class, this::gauge);
    transport.on(
        DigestResponse.class,
        (connection, response) -> {
          subscriptions.receive(response.state);
          if (!response.wanted.isEmpty()) {
            push(connection, response.wanted, 0);
          }
          changed.run();
        });
  }

  void push(final PeerConnection connection, final Collection<Long> replicas, final long mark) {
    final ReplicaStates states = new ReplicaStates();
    states.state = subscriptions.state(replicas);
    states.mark = mark;
    connection.send(states);
  }

  /** Asks for what differs there; with mutual set, what differs here is given too. */
  void compare(final PeerConnection connection, final int mostCells, final boolean mutual) {
    connection.send(gauge(mostCells, mutual));
  }

  /** Asks for the parts of that home's own edges, where they differ. */
  void compareOwn(final PeerConnection connection) {
    final DigestRequest request = gauge(MAX_SYNC_CELLS, false);
    request.own = true;
    connection.send(request);
  }

  private DigestRequest gauge(final int mostCells, final boolean mutual) {
    final DigestRequest request = new DigestRequest();
    request.marks = subscriptions.marks();
    request.mostCells = mostCells;
    request.mutual = mutual;
    return request;
  }

  private void gauge(final PeerConnection connection, final DigestRequest request) {
    final DigestResponse response = new DigestResponse();
    final int mostCells = Math.min(request.mostCells, MAX_SYNC_CELLS);
    response.state =
        subscriptions.state(
            request.own == null
                ? subscriptions.news(request.marks, mostCells, context.luck())
                : subscriptions.newsOf(own.get(), request.marks, mostCells, context.luck()));
    response.wanted = request.mutual ? subscriptions.wanted(request.marks) : List.of();
    connection.send(response);
  }
}
