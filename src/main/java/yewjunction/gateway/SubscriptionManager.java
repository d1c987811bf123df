package yewjunction.gateway;

import static yewjunction.common.Limits.JOIN_ANSWER_MS;
import static yewjunction.common.Limits.JOIN_WINDOW;

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
  private final ClientRegistry dock;
  private final AgentContext pulse;
  private final AddWinsSet weave;
  private final OrderingConstraints precedence = new OrderingConstraints();
  private final ReplayScheduler replays;
  private final Map<String, List<Subscription>> byTopic = new HashMap<>();
  private final Map<Long, Subscription> joining = new LinkedHashMap<>();

  /** Of those that join: which the home was asked about, and which wait for their turn to be. */
  private final Set<Long> asked = new HashSet<>();

  private final ArrayDeque<Long> unasked = new ArrayDeque<>();

  /** Subscriptions for which the home was asked for a next piece. */
  private final Map<Long, Subscription> fetching = new LinkedHashMap<>();

  private final Set<Subscription> filtered = new HashSet<>();
  private StreamClient envoy;
  private long requests;

  SubscriptionManager(final ClientRegistry dock, final AgentContext pulse, final AddWinsSet weave) {
    this.dock = dock;
    this.pulse = pulse;
    this.weave = weave;
    replays = new ReplayScheduler(pulse, precedence, this::fetch);
  }

  void envoy(final StreamClient chosenEnvoy) {
    envoy = chosenEnvoy;
  }

  /** What the channels declare from now on. */
  void charter(final Configuration charter) {
    precedence.charter(charter);
    for (final ClientSession berth : dock.berths()) {
      berth
          .subs
          .values()
          .forEach(
              sub -> {
                sub.space = charter.space(sub.topic);
                berth.guard.declared(sub.topic, sub.space);
              });
    }
  }

  List<Subscription> subs(final String topic) {
    return byTopic.getOrDefault(topic, List.of());
  }

  void join(final Subscription sub) {
    if (sub.filtered()) {
      filtered.add(sub);
    }
    sub.berth.subs.put(sub.topic, sub);
    sub.berth.subscribedMs = pulse.nowMs();
    sub.berth.guard.opened(sub.topic, sub.space);
    // Taken up from another edge: that edge's instance is cancelled by the set's own operations.
    if (weave.elsewhere(sub.topic, sub.berth.client)) {
      weave.remove(sub.topic, sub.berth.client);
    }
    sub.instance = weave.add(sub.topic, sub.berth.client);
    final long request = ++requests;
    joining.put(request, sub);
    unasked.add(request);
    askMore();
  }

  /**
   * So many questions at a time: after a mass reconnect all clients of an edge come with old
   * cursors at once, and a home that gets all of it answers nobody in time, is left as silent, and
   * is asked everything again.
   */
  private void askMore() {
    while (asked.size() < JOIN_WINDOW && !unasked.isEmpty()) {
      final long request = unasked.poll();
      final Subscription sub = joining.get(request);
      if (sub != null) {
        asked.add(request);
        notice(request, sub);
      }
    }
  }

  /** Asked once more on the same link, with a filter or without. */
  void again(final Subscription sub, final Filter filter) {
    if (filter != null) {
      filtered.add(sub);
    }
    sub.again(filter, pulse.nowMs());
  }

  /** A new home knows nothing of what the old one was asked. */
  void askAgain() {
    asked.clear();
    unasked.clear();
    unasked.addAll(joining.keySet());
    askMore();
    fetching.forEach(this::further);
  }

  private void notice(final long request, final Subscription sub) {
    envoy.weft().notice(request, sub.topic, sub.berth.client, sub.instance, sub.position);
  }

  private void fetch(final Subscription sub) {
    final long request = ++requests;
    fetching.put(request, sub);
    further(request, sub);
  }

  private void further(final long request, final Subscription sub) {
    envoy
        .weft()
        .further(
            request,
            sub.topic,
            sub.replay.isEmpty() ? sub.after : sub.replay.getLast().index,
            sub.replayTo);
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
    final Subscription sub = waiting != null ? waiting : joining.remove(request);
    if (sub == null || sub.berth.subs.get(sub.topic) != sub) {
      return;
    }
    if (expired) {
      dock.disorders().gap(sub.topic, sub.berth.client, sub.position);
      giveUp(sub, "EXPIRED");
    } else if (waiting != null) {
      sub.asked = false;
      sub.replay.addAll(behind);
      sub.replayTo = more ? sub.replayTo : 0;
      replays.add(sub);
    } else {
      byTopic.computeIfAbsent(sub.topic, key -> new ArrayList<>()).add(sub);
      dock.whenHeld(() -> begin(sub, position, behind, more));
    }
  }

  private void begin(
      final Subscription sub,
      final long position,
      final List<StoredMessage> behind,
      final boolean more) {
    if (sub.berth.subs.get(sub.topic) != sub) {
      return;
    }
    final long nowMs = pulse.nowMs();
    sub.open(sub.position >= 0 ? sub.position : position, nowMs);
    if (!more && ReplayScheduler.isShort(behind) && !precedence.follows(sub)) {
      behind.forEach(message -> sub.deliver(message, nowMs));
      sub.after = Math.max(sub.after, position);
    } else {
      sub.replay.addAll(behind);
      sub.replayTo = more ? position : 0;
      replays.add(sub);
    }
  }

  void deliver(final StoredMessage message, final long nowMs) {
    // Copied: a slow client's link may be cut while it is written to.
    for (final Subscription sub : new ArrayList<>(subs(message.topic))) {
      if (sub.catching) {
        replays.hold(sub, message);
      } else if (precedence.follows(sub) && !precedence.free(sub, message.index)) {
        replays.hold(sub, message);
        replays.add(sub);
      } else {
        sub.deliver(message, nowMs);
      }
    }
  }

  private void giveUp(final Subscription sub, final String reason) {
    forget(sub);
    weave.remove(sub.topic, sub.berth.client);
    sub.berth.refuse("SUB", sub.topic, "", reason);
  }

  /** The link is gone, or the client gave the topic up: nothing more is delivered. */
  void forget(final Subscription sub) {
    if (sub.berth.subs.remove(sub.topic, sub)) {
      sub.berth.guard.ended(sub.topic);
    }
    joining.values().remove(sub);
    fetching.values().remove(sub);
    filtered.remove(sub);
    final List<Subscription> subs = byTopic.get(sub.topic);
    if (subs != null && subs.remove(sub) && subs.isEmpty()) {
      byTopic.remove(sub.topic);
    }
  }

  void drop(final ClientSession berth, final String topic) {
    final Subscription sub = berth.subs.get(topic);
    if (sub != null) {
      forget(sub);
    }
    weave.remove(topic, berth.client);
  }

  void look(final long nowMs) {
    for (final Subscription sub : new ArrayList<>(joining.values())) {
      if (nowMs - sub.sinceMs > JOIN_ANSWER_MS) {
        giveUp(sub, "RETRY");
      }
    }
    filtered.forEach(sub -> sub.renew(nowMs, dock.renewMs(sub.topic)));
  }
}
