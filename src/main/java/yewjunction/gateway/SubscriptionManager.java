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
 * Subscriptions of this edge's clients, from SUB to the home's word, while they catch up, and to
 * their end.
 */
final class SubscriptionManager {
  private final ClientRegistry clientRegistry;
  private final AgentContext context;
  private final AddWinsSet subscriptions;
  private final OrderingConstraints constraints = new OrderingConstraints();
  private final ReplayScheduler replayScheduler;
  private final Map<String, List<Subscription>> byTopic = new HashMap<>();
  private final Map<Long, Subscription> joining = new LinkedHashMap<>();

  /** Of those that join: which the home was asked about, and which wait for their turn to be. */
  private final Set<Long> asked = new HashSet<>();

  private final ArrayDeque<Long> unasked = new ArrayDeque<>();

  /** Subscriptions for which the home was asked for a next piece. */
  private final Map<Long, Subscription> fetching = new LinkedHashMap<>();

  private final Set<Subscription> filtered = new HashSet<>();
  private StreamClient streamClient;
  private long requests;

  SubscriptionManager(
      final ClientRegistry clientRegistry,
      final AgentContext context,
      final AddWinsSet subscriptions) {
    this.clientRegistry = clientRegistry;
    this.context = context;
    this.subscriptions = subscriptions;
    replayScheduler = new ReplayScheduler(context, constraints, this::fetch);
  }

  void envoy(final StreamClient chosenStreamClient) {
    streamClient = chosenStreamClient;
  }

  /** What the channels declare from now on. */
  void charter(final Configuration configuration) {
    constraints.charter(configuration);
    for (final ClientSession session : clientRegistry.berths()) {
      session
          .subs
          .values()
          .forEach(
              subscription -> {
                subscription.route = configuration.space(subscription.topic);
                session.guard.declared(subscription.topic, subscription.route);
              });
    }
  }

  List<Subscription> subs(final String topic) {
    return byTopic.getOrDefault(topic, List.of());
  }

  void join(final Subscription subscription) {
    if (subscription.filtered()) {
      filtered.add(subscription);
    }
    subscription.session.subs.put(subscription.topic, subscription);
    subscription.session.subscribedMs = context.nowMs();
    subscription.session.guard.opened(subscription.topic, subscription.route);
    // Taken up from another edge: that edge's instance is cancelled by the set's own operations.
    if (subscriptions.elsewhere(subscription.topic, subscription.session.client)) {
      subscriptions.remove(subscription.topic, subscription.session.client);
    }
    subscription.instance = subscriptions.add(subscription.topic, subscription.session.client);
    final long request = ++requests;
    joining.put(request, subscription);
    unasked.add(request);
    askMore();
  }

  /**
   * So many questions at a time: after a mass reconnect all clients of an edge come with old
   * cursors at once, and a home that gets all of it answers nobody in time, is left as silent, and
   * is asked everything again.
   */
  private void askMore() {
    while (asked.size() < MAX_SUBSCRIBES_IN_FLIGHT && !unasked.isEmpty()) {
      final long request = unasked.poll();
      final Subscription subscription = joining.get(request);
      if (subscription != null) {
        asked.add(request);
        notice(request, subscription);
      }
    }
  }

  /** Asked once more on the same link, with a filter or without. */
  void again(final Subscription subscription, final Filter filter) {
    if (filter != null) {
      filtered.add(subscription);
    }
    subscription.again(filter, context.nowMs());
  }

  /** A new home knows nothing of what the old one was asked. */
  void askAgain() {
    asked.clear();
    unasked.clear();
    unasked.addAll(joining.keySet());
    askMore();
    fetching.forEach(this::further);
  }

  private void notice(final long request, final Subscription subscription) {
    streamClient
        .weft()
        .notice(
            request,
            subscription.topic,
            subscription.session.client,
            subscription.instance,
            subscription.position);
  }

  private void fetch(final Subscription subscription) {
    final long request = ++requests;
    fetching.put(request, subscription);
    further(request, subscription);
  }

  private void further(final long request, final Subscription subscription) {
    streamClient
        .weft()
        .further(
            request,
            subscription.topic,
            subscription.replay.isEmpty()
                ? subscription.after
                : subscription.replay.getLast().index,
            subscription.replayTo);
  }

  /**
   * A home's word on a subscription: where it starts, and the first piece of what lies behind its
   * cursor.
   */
  void taken(
      final long request,
      final boolean expired,
      final long position,
      final List<StoredMessage> behind,
      final boolean more) {
    asked.remove(request);
    askMore();
    final Subscription waiting = fetching.remove(request);
    final Subscription subscription = waiting != null ? waiting : joining.remove(request);
    if (subscription == null || subscription.session.subs.get(subscription.topic) != subscription) {
      return;
    }
    if (expired) {
      clientRegistry
          .disorders()
          .gap(subscription.topic, subscription.session.client, subscription.position);
      giveUp(subscription, "EXPIRED");
    } else if (waiting != null) {
      subscription.asked = false;
      subscription.replay.addAll(behind);
      subscription.replayTo = more ? subscription.replayTo : 0;
      replayScheduler.add(subscription);
    } else {
      byTopic.computeIfAbsent(subscription.topic, key -> new ArrayList<>()).add(subscription);
      clientRegistry.whenHeld(() -> begin(subscription, position, behind, more));
    }
  }

  private void begin(
      final Subscription subscription,
      final long position,
      final List<StoredMessage> behind,
      final boolean more) {
    if (subscription.session.subs.get(subscription.topic) != subscription) {
      return;
    }
    final long nowMs = context.nowMs();
    subscription.open(subscription.position >= 0 ? subscription.position : position, nowMs);
    if (!more && ReplayScheduler.isShort(behind) && !constraints.follows(subscription)) {
      behind.forEach(message -> subscription.deliver(message, nowMs));
      subscription.after = Math.max(subscription.after, position);
    } else {
      subscription.replay.addAll(behind);
      subscription.replayTo = more ? position : 0;
      replayScheduler.add(subscription);
    }
  }

  void deliver(final StoredMessage message, final long nowMs) {
    // Copied: a slow client's link may be cut while it is written to.
    for (final Subscription subscription : new ArrayList<>(subs(message.topic))) {
      if (subscription.catching) {
        replayScheduler.hold(subscription, message);
      } else if (constraints.follows(subscription)
          && !constraints.free(subscription, message.index)) {
        replayScheduler.hold(subscription, message);
        replayScheduler.add(subscription);
      } else {
        subscription.deliver(message, nowMs);
      }
    }
  }

  private void giveUp(final Subscription subscription, final String reason) {
    forget(subscription);
    subscriptions.remove(subscription.topic, subscription.session.client);
    subscription.session.refuse("SUB", subscription.topic, "", reason);
  }

  /** The link is gone, or the client gave the topic up: nothing more is delivered. */
  void forget(final Subscription subscription) {
    if (subscription.session.subs.remove(subscription.topic, subscription)) {
      subscription.session.guard.ended(subscription.topic);
    }
    joining.values().remove(subscription);
    fetching.values().remove(subscription);
    filtered.remove(subscription);
    final List<Subscription> subs = byTopic.get(subscription.topic);
    if (subs != null && subs.remove(subscription) && subs.isEmpty()) {
      byTopic.remove(subscription.topic);
    }
  }

  void drop(final ClientSession session, final String topic) {
    final Subscription subscription = session.subs.get(topic);
    if (subscription != null) {
      forget(subscription);
    }
    subscriptions.remove(topic, session.client);
  }

  void look(final long nowMs) {
    for (final Subscription subscription : new ArrayList<>(joining.values())) {
      if (nowMs - subscription.sinceMs > SUBSCRIBE_TIMEOUT_MS) {
        giveUp(subscription, "RETRY");
      }
    }
    filtered.forEach(
        subscription -> subscription.renew(nowMs, clientRegistry.renewMs(subscription.topic)));
  }
}
