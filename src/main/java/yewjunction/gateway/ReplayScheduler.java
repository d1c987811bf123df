package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.SESSION_CHECK_INTERVAL_MS;
import static yewjunction.limits.OrderingLimits.MAX_ORDER_WAIT_MS;
import static yewjunction.limits.OrderingLimits.ORDER_CHECK_INTERVAL_MS;
import static yewjunction.limits.ReplayLimits.REPLAY_MAX_LIVE_MESSAGES;
import static yewjunction.limits.ReplayLimits.REPLAY_MAX_UNREAD_BYTES;
import static yewjunction.limits.ReplayLimits.REPLAY_QUANTUM_BYTES;
import static yewjunction.limits.ReplayLimits.REPLAY_TURN_INTERVAL_MS;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.common.AgentContext;
import yewjunction.store.StoredMessage;

/**
 * Subscriptions that catch up with older messages. Tenants take turns, each with the same number of
 * bytes, so that one with much to catch up holds up nobody else; what is new goes to everyone
 * else's clients at once, beside all this.
 */
final class ReplayScheduler {
  private final AgentContext context;
  private final Consumer<Subscription> asker;
  private final Map<String, TenantReplays> turns = new LinkedHashMap<>();
  private final OrderingConstraints constraints;
  private boolean stepping;
  private int written;
  private boolean held;

  /** One tenant's subscriptions that catch up, and what of its last turn it may still use. */
  private static final class TenantReplays {
    final ArrayDeque<Subscription> subs = new ArrayDeque<>();
    int bytes;
  }

  /** Asker: fetches the next piece of a subscription's older messages. */
  ReplayScheduler(
      final AgentContext context,
      final OrderingConstraints constraints,
      final Consumer<Subscription> asker) {
    this.context = context;
    this.constraints = constraints;
    this.asker = asker;
  }

  /** What one subscription may write at once: a short replay needs no turns. */
  static boolean isShort(final Iterable<StoredMessage> messages) {
    int bytes = 0;
    for (final StoredMessage message : messages) {
      bytes += size(message);
    }
    return bytes <= REPLAY_QUANTUM_BYTES;
  }

  private static int size(final StoredMessage message) {
    return message.body.length + message.topic.length() + message.client.length() + 24;
  }

  /** The subscription has something to write, or a next piece to ask for. */
  void add(final Subscription subscription) {
    subscription.catching = true;
    final TenantReplays replays =
        turns.computeIfAbsent(subscription.tenant, key -> new TenantReplays());
    if (!replays.subs.contains(subscription)) {
      replays.subs.add(subscription);
    }
    if (!stepping) {
      stepping = true;
      context.post(this::step);
    }
  }

  /** A new message for a subscription that still catches up waits behind the older ones. */
  void hold(final Subscription subscription, final StoredMessage message) {
    subscription.live.add(message);
    if (subscription.live.size() > REPLAY_MAX_LIVE_MESSAGES) {
      // It takes up its cursors again, which asks for pieces in place of holding them here.
      subscription.session.connection.close();
    }
  }

  private void step() {
    final long nowMs = context.nowMs();
    written = 0;
    held = false;
    for (final Iterator<TenantReplays> each = turns.values().iterator(); each.hasNext(); ) {
      final TenantReplays replays = each.next();
      replays.bytes += REPLAY_QUANTUM_BYTES;
      for (int left = replays.subs.size(); left > 0 && replays.bytes > 0; left--) {
        final Subscription subscription = replays.subs.poll();
        if (write(subscription, replays, nowMs)) {
          replays.subs.add(subscription);
        }
      }
      replays.bytes = Math.min(replays.bytes, 0);
      if (replays.subs.isEmpty()) {
        each.remove();
      }
    }
    stepping = !turns.isEmpty();
    if (stepping) {
      // Between two turns the agent serves what came meanwhile; when all wait for slow readers it
      // looks seldom.
      context.after(
          written > 0
              ? REPLAY_TURN_INTERVAL_MS
              : held ? ORDER_CHECK_INTERVAL_MS : SESSION_CHECK_INTERVAL_MS,
          this::step);
    }
  }

  /**
   * The channel follows others: whether earlier messages of those are still to be written, or may
   * be named yet.
   */
  private boolean waits(
      final Subscription subscription, final StoredMessage message, final long nowMs) {
    final boolean waits =
        constraints.bursting(subscription, nowMs)
            || message != null && !constraints.free(subscription, message.index);
    if (!waits) {
      subscription.heldMs = 0;
      return false;
    }
    held = true;
    subscription.heldMs = subscription.heldMs == 0 ? nowMs : subscription.heldMs;
    if (nowMs - subscription.heldMs > MAX_ORDER_WAIT_MS) {
      // It would wait without end: taken up anew by the cursors.
      subscription.session.connection.close();
    }
    return true;
  }

  /** True while the subscription still has something to write. */
  private boolean write(
      final Subscription subscription, final TenantReplays replays, final long nowMs) {
    if (!subscription.session.connection.open()
        || subscription.session.subs.get(subscription.topic) != subscription) {
      return false;
    }
    while (replays.bytes > 0 && subscription.session.connection.open()) {
      // A client that reads slowly is not written to ahead: its own replay waits for it, and only
      // its own.
      if (subscription.session.connection.waiting() > REPLAY_MAX_UNREAD_BYTES) {
        return true;
      }
      if (subscription.replay.isEmpty() && subscription.replayTo > 0) {
        if (!subscription.asked) {
          subscription.asked = true;
          asker.accept(subscription);
        }
        return false;
      }
      final ArrayDeque<StoredMessage> queue =
          subscription.replay.isEmpty() ? subscription.live : subscription.replay;
      final StoredMessage message = queue.peek();
      if (constraints.follows(subscription) && waits(subscription, message, nowMs)) {
        return true;
      }
      if (message == null) {
        subscription.catching = false;
        return false;
      }
      queue.poll();
      replays.bytes -= size(message);
      written++;
      subscription.deliver(message, nowMs);
    }
    return true;
  }
}
