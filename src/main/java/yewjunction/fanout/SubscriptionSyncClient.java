package yewjunction.fanout;

import static yewjunction.limits.SubscriptionLimits.COUNT_TIMEOUT_MS;
import static yewjunction.limits.SubscriptionLimits.EDGE_SYNC_EVERY;
import static yewjunction.limits.SubscriptionLimits.MAX_EDGE_SYNC_CELLS;
import static yewjunction.limits.SubscriptionLimits.SYNC_INTERVAL_MS;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.CountRequest;
import yewjunction.fanout.FanoutMessages.CountResponse;
import yewjunction.fanout.FanoutMessages.ReplayRequest;
import yewjunction.fanout.FanoutMessages.ReplicaStates;
import yewjunction.fanout.FanoutMessages.SubscribeRequest;
import yewjunction.subscription.AddWinsSet;

/**
 * An edge's side of the exchange of the subscription set: what it changed goes to its store at
 * once, and what others changed comes from there at a rate that its connection can carry. Counts
 * and older messages are asked of the store.
 *
 * <p>Owned by {@link StreamClient}; all calls on the agent's thread.
 */
public final class SubscriptionSyncClient {
  private final AgentContext context;
  private final AddWinsSet subscriptions;
  private final SubscriptionSync sync;
  private final Supplier<PeerConnection> attachedServer;
  private final Map<Long, PendingCount> pendingCounts = new HashMap<>();
  private long newestRequestId;
  private long rounds;

  private record PendingCount(long requestedMs, IntConsumer response) {}

  SubscriptionSyncClient(
      final AgentContext context,
      final PeerTransport transport,
      final AddWinsSet subscriptions,
      final SubscriptionSync sync,
      final Supplier<PeerConnection> home,
      final Runnable changed) {
    this.context = context;
    this.subscriptions = subscriptions;
    this.sync = sync;
    this.attachedServer = home;
    rounds = context.random().nextInt(EDGE_SYNC_EVERY);
    transport.onMessage(
        ReplicaStates.class,
        (connection, states) -> {
          subscriptions.merge(states.states);
          changed.run();
        });
    transport.onMessage(
        CountResponse.class,
        (connection, response) -> {
          final PendingCount question = pendingCounts.remove(response.requestId);
          if (question != null) {
            question.response.accept(response.count);
          }
        });
    context.scheduleAtFixedRate(SYNC_INTERVAL_MS, this::sync);
  }

  private void sync() {
    final PeerConnection server = attachedServer.get();
    if (subscriptions.self() == 0 || server == null) {
      return;
    }
    final Set<Long> touched = subscriptions.takeLocallyChanged();
    if (!touched.isEmpty()) {
      sync.sendStates(server, touched, subscriptions.digest(subscriptions.self()));
    }
    if (++rounds % EDGE_SYNC_EVERY == 0) {
      sync.requestDifferences(server, MAX_EDGE_SYNC_CELLS, true);
    }
  }

  /**
   * Asks the store how many clients subscribe to a topic; returns false when there is no store to
   * ask.
   */
  public boolean requestCount(final String topic, final IntConsumer response) {
    final PeerConnection server = attachedServer.get();
    if (server == null) {
      return false;
    }
    final CountRequest request = new CountRequest();
    request.requestId = ++newestRequestId;
    request.topic = topic;
    pendingCounts.put(request.requestId, new PendingCount(context.nowMs(), response));
    return server.send(request);
  }

  /** Ends requests that were not answered in time with -1. */
  public void expireCounts() {
    final long nowMs = context.nowMs();
    for (final Iterator<PendingCount> each = pendingCounts.values().iterator(); each.hasNext(); ) {
      final PendingCount question = each.next();
      if (nowMs - question.requestedMs > COUNT_TIMEOUT_MS) {
        each.remove();
        question.response.accept(-1);
      }
    }
  }

  /**
   * Announces a new subscription, so that messages are streamed for it before the set has been
   * exchanged.
   */
  public void announceSubscription(
      final long requestId,
      final String topic,
      final String client,
      final long instance,
      final long position) {
    final PeerConnection server = attachedServer.get();
    if (server != null) {
      final SubscribeRequest request = new SubscribeRequest();
      request.requestId = requestId;
      request.topic = topic;
      request.client = client;
      request.instance = instance;
      request.position = position;
      server.send(request);
    }
  }

  /** Asks for the next chunk of older messages. */
  public void requestReplay(
      final long requestId, final String topic, final long after, final long upTo) {
    final PeerConnection server = attachedServer.get();
    if (server != null) {
      final ReplayRequest request = new ReplayRequest();
      request.requestId = requestId;
      request.topic = topic;
      request.afterIndex = after;
      request.throughIndex = upTo;
      server.send(request);
    }
  }
}
