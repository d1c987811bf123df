package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_SUBSCRIBES_IN_FLIGHT;
import static yewjunction.limits.ClientLimits.SUBSCRIBE_TIMEOUT_MS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.common.AgentContext;
import yewjunction.control.Configuration;
import yewjunction.fanout.StreamClient;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;

/**
 * The subscriptions of this edge's clients: from SUB to the store's response, while they catch up
 * with older messages, and to their end. All calls on the agent's thread.
 */
final class SubscriptionManager {
  private final ClientRegistry clientRegistry;
  private final AgentContext context;
  private final AddWinsSet subscriptions;
  private final OrderingConstraints constraints = new OrderingConstraints();
  private final ReplayScheduler replayScheduler;
  private final Map<String, List<Subscription>> byTopic = new HashMap<>();
  private final Map<Long, Subscription> pendingById = new LinkedHashMap<>();

  /** Of the pending ones: those that were requested from the store, and those that wait to be. */
  private final Set<Long> requested = new HashSet<>();

  private final ArrayDeque<Long> queued = new ArrayDeque<>();

  /** Subscriptions for which the next chunk was requested. */
  private final Map<Long, Subscription> fetching = new LinkedHashMap<>();

  private final Set<Subscription> filtered = new HashSet<>();
  private StreamClient streamClient;
  private long newestRequestId;

  SubscriptionManager(
      final ClientRegistry clientRegistry,
      final AgentContext context,
      final AddWinsSet subscriptions) {
    this.clientRegistry = clientRegistry;
    this.context = context;
    this.subscriptions = subscriptions;
    replayScheduler = new ReplayScheduler(context, constraints, this::fetchNext);
  }

  void setStreamClient(final StreamClient chosenStreamClient) {
    streamClient = chosenStreamClient;
  }

  /** Which routes the topics belong to from now on. */
  void setConfiguration(final Configuration configuration) {
    constraints.setConfiguration(configuration);
    for (final ClientSession session : clientRegistry.sessions()) {
      session
          .subscriptions
          .values()
          .forEach(
              subscription -> {
                subscription.route = configuration.routeOf(subscription.topic);
                session.guard.onRouteChanged(subscription.topic, subscription.route);
              });
    }
  }

  List<Subscription> subscribersOf(final String topic) {
    return byTopic.getOrDefault(topic, List.of());
  }

  void subscribe(final Subscription subscription) {
    if (subscription.hasFilter()) {
      filtered.add(subscription);
    }
    subscription.session.subscriptions.put(subscription.topic, subscription);
    subscription.session.subscribedMs = context.nowMs();
    subscription.session.guard.onSubscribed(subscription.topic, subscription.route);
    // The client comes from another edge: its instance there is removed before the new one is
    // added.
    if (subscriptions.isActiveElsewhere(subscription.topic, subscription.session.client)) {
      subscriptions.remove(subscription.topic, subscription.session.client);
    }
    subscription.instance = subscriptions.add(subscription.topic, subscription.session.client);
    final long request = ++newestRequestId;
    pendingById.put(request, subscription);
    queued.add(request);
    requestQueued();
  }

  /**
   * Requests queued subscriptions, so many at a time: after a mass reconnect all clients of an edge
   * come with old cursors at once, and a store that got all of it would answer nobody in time.
   */
  private void requestQueued() {
    while (requested.size() < MAX_SUBSCRIBES_IN_FLIGHT && !queued.isEmpty()) {
      final long request = queued.poll();
      final Subscription subscription = pendingById.get(request);
      if (subscription != null) {
        requested.add(request);
        sendSubscribeRequest(request, subscription);
      }
    }
  }

  /** SUB again on the same connection, with a filter or without. */
  void resubscribe(final Subscription subscription, final Filter filter) {
    if (filter != null) {
      filtered.add(subscription);
    }
    subscription.resubscribe(filter, context.nowMs());
  }

  /** Requests everything again from a new store. */
  void requestAllAgain() {
    requested.clear();
    queued.clear();
    queued.addAll(pendingById.keySet());
    requestQueued();
    fetching.forEach(this::sendReplayRequest);
  }

  private void sendSubscribeRequest(final long request, final Subscription subscription) {
    streamClient
        .syncClient()
        .announceSubscription(
            request,
            subscription.topic,
            subscription.session.client,
            subscription.instance,
            subscription.position);
  }

  private void fetchNext(final Subscription subscription) {
    final long request = ++newestRequestId;
    fetching.put(request, subscription);
    sendReplayRequest(request, subscription);
  }

  private void sendReplayRequest(final long request, final Subscription subscription) {
    streamClient
        .syncClient()
        .requestReplay(
            request,
            subscription.topic,
            subscription.replay.isEmpty()
                ? subscription.judgedIndex
                : subscription.replay.getLast().index,
            subscription.replayThrough);
  }

  /** The store's response: where the subscription starts, and the first chunk of older messages. */
  void onReplay(
      final long request,
      final boolean expired,
      final long position,
      final List<StoredMessage> olderMessages,
      final boolean more) {
    requested.remove(request);
    requestQueued();
    final Subscription waiting = fetching.remove(request);
    final Subscription subscription = waiting != null ? waiting : pendingById.remove(request);
    if (subscription == null
        || subscription.session.subscriptions.get(subscription.topic) != subscription) {
      return;
    }
    if (expired) {
      clientRegistry
          .violations()
          .onGap(subscription.topic, subscription.session.client, subscription.position);
      refuse(subscription, RefuseReason.EXPIRED);
    } else if (waiting != null) {
      subscription.fetching = false;
      subscription.replay.addAll(olderMessages);
      subscription.replayThrough = more ? subscription.replayThrough : 0;
      replayScheduler.add(subscription);
    } else {
      byTopic.computeIfAbsent(subscription.topic, key -> new ArrayList<>()).add(subscription);
      clientRegistry.deliverUnderLease(() -> open(subscription, position, olderMessages, more));
    }
  }

  private void open(
      final Subscription subscription,
      final long position,
      final List<StoredMessage> olderMessages,
      final boolean more) {
    if (subscription.session.subscriptions.get(subscription.topic) != subscription) {
      return;
    }
    final long nowMs = context.nowMs();
    subscription.open(subscription.position >= 0 ? subscription.position : position, nowMs);
    if (!more
        && ReplayScheduler.isShort(olderMessages)
        && !constraints.isConstrained(subscription)) {
      olderMessages.forEach(message -> subscription.deliver(message, nowMs));
      subscription.judgedIndex = Math.max(subscription.judgedIndex, position);
    } else {
      subscription.replay.addAll(olderMessages);
      subscription.replayThrough = more ? position : 0;
      replayScheduler.add(subscription);
    }
  }

  void deliver(final StoredMessage message, final long nowMs) {
    // Copied: a slow client's connection may be closed while it is written to.
    for (final Subscription subscription : new ArrayList<>(subscribersOf(message.topic))) {
      if (subscription.catchingUp) {
        replayScheduler.holdLive(subscription, message);
      } else if (constraints.isConstrained(subscription)
          && !constraints.mayDeliver(subscription, message.index)) {
        replayScheduler.holdLive(subscription, message);
        replayScheduler.add(subscription);
      } else {
        subscription.deliver(message, nowMs);
      }
    }
  }

  private void refuse(final Subscription subscription, final RefuseReason reason) {
    remove(subscription);
    subscriptions.remove(subscription.topic, subscription.session.client);
    subscription.session.sendRefuse(ClientCommand.SUB, subscription.topic, "", reason);
  }

  /** Ends a subscription: nothing more is delivered. */
  void remove(final Subscription subscription) {
    if (subscription.session.subscriptions.remove(subscription.topic, subscription)) {
      subscription.session.guard.onUnsubscribed(subscription.topic);
    }
    pendingById.values().remove(subscription);
    fetching.values().remove(subscription);
    filtered.remove(subscription);
    final List<Subscription> subs = byTopic.get(subscription.topic);
    if (subs != null && subs.remove(subscription) && subs.isEmpty()) {
      byTopic.remove(subscription.topic);
    }
  }

  void unsubscribe(final ClientSession session, final String topic) {
    final Subscription subscription = session.subscriptions.get(topic);
    if (subscription != null) {
      remove(subscription);
    }
    subscriptions.remove(topic, session.client);
  }

  void check(final long nowMs) {
    for (final Subscription subscription : new ArrayList<>(pendingById.values())) {
      if (nowMs - subscription.subscribedMs > SUBSCRIBE_TIMEOUT_MS) {
        refuse(subscription, RefuseReason.RETRY);
      }
    }
    filtered.forEach(
        subscription ->
            subscription.renewCursor(nowMs, clientRegistry.cursorRenewalMs(subscription.topic)));
  }
}
