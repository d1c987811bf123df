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
 * bytes, so that one with much to catch up holds up nobody else; new messages go to all other
 * clients at once, beside this.
 */
final class ReplayScheduler {
  private final AgentContext context;
  private final Consumer<Subscription> fetcher;
  private final Map<String, TenantReplays> replaysByTenant = new LinkedHashMap<>();
  private final OrderingConstraints constraints;
  private boolean turnScheduled;
  private int written;
  private boolean heldByOrder;

  /** One tenant's subscriptions that catch up, and the bytes it may still write. */
  private static final class TenantReplays {
    final ArrayDeque<Subscription> subscriptions = new ArrayDeque<>();
    int remainingBytes;
  }

  /**
   * Creates a scheduler.
   *
   * @param fetcher requests the next chunk of a subscription's older messages
   */
  ReplayScheduler(
      final AgentContext context,
      final OrderingConstraints constraints,
      final Consumer<Subscription> fetcher) {
    this.context = context;
    this.constraints = constraints;
    this.fetcher = fetcher;
  }

  /** Whether messages may be written at once, without taking turns. */
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

  /** Adds a subscription that has something to write, or a next chunk to request. */
  void add(final Subscription subscription) {
    subscription.catchingUp = true;
    final TenantReplays replays =
        replaysByTenant.computeIfAbsent(subscription.tenant, key -> new TenantReplays());
    if (!replays.subscriptions.contains(subscription)) {
      replays.subscriptions.add(subscription);
    }
    if (!turnScheduled) {
      turnScheduled = true;
      context.execute(this::runTurn);
    }
  }

  /** Holds a new message back behind the older ones. */
  void holdLive(final Subscription subscription, final StoredMessage message) {
    subscription.live.add(message);
    if (subscription.live.size() > REPLAY_MAX_LIVE_MESSAGES) {
      // The client resumes by its cursors, which requests chunks in place of holding messages here.
      subscription.session.connection.close();
    }
  }

  private void runTurn() {
    final long nowMs = context.nowMs();
    written = 0;
    heldByOrder = false;
    for (final Iterator<TenantReplays> each = replaysByTenant.values().iterator();
        each.hasNext(); ) {
      final TenantReplays replays = each.next();
      replays.remainingBytes += REPLAY_QUANTUM_BYTES;
      for (int left = replays.subscriptions.size();
          left > 0 && replays.remainingBytes > 0;
          left--) {
        final Subscription subscription = replays.subscriptions.poll();
        if (writeSome(subscription, replays, nowMs)) {
          replays.subscriptions.add(subscription);
        }
      }
      replays.remainingBytes = Math.min(replays.remainingBytes, 0);
      if (replays.subscriptions.isEmpty()) {
        each.remove();
      }
    }
    turnScheduled = !replaysByTenant.isEmpty();
    if (turnScheduled) {
      // Between two turns the agent serves other work; when all wait for slow readers, turns are
      // rare.
      context.schedule(
          written > 0
              ? REPLAY_TURN_INTERVAL_MS
              : heldByOrder ? ORDER_CHECK_INTERVAL_MS : SESSION_CHECK_INTERVAL_MS,
          this::runTurn);
    }
  }

  /** Whether a message has to wait for earlier ones of the channels that its own follows. */
  private boolean mustWait(
      final Subscription subscription, final StoredMessage message, final long nowMs) {
    final boolean waits =
        constraints.inSubscribeBurst(subscription, nowMs)
            || message != null && !constraints.mayDeliver(subscription, message.index);
    if (!waits) {
      subscription.heldSinceMs = 0;
      return false;
    }
    heldByOrder = true;
    subscription.heldSinceMs = subscription.heldSinceMs == 0 ? nowMs : subscription.heldSinceMs;
    if (nowMs - subscription.heldSinceMs > MAX_ORDER_WAIT_MS) {
      // It might wait for ever: the client resumes by its cursors.
      subscription.session.connection.close();
    }
    return true;
  }

  /**
   * Writes within the tenant's share; returns whether the subscription still has something to
   * write.
   */
  private boolean writeSome(
      final Subscription subscription, final TenantReplays replays, final long nowMs) {
    if (!subscription.session.connection.isOpen()
        || subscription.session.subscriptions.get(subscription.topic) != subscription) {
      return false;
    }
    while (replays.remainingBytes > 0 && subscription.session.connection.isOpen()) {
      // A client that reads slowly delays its own replay only.
      if (subscription.session.connection.queuedBytes() > REPLAY_MAX_UNREAD_BYTES) {
        return true;
      }
      if (subscription.replay.isEmpty() && subscription.replayThrough > 0) {
        if (!subscription.fetching) {
          subscription.fetching = true;
          fetcher.accept(subscription);
        }
        return false;
      }
      final ArrayDeque<StoredMessage> queue =
          subscription.replay.isEmpty() ? subscription.live : subscription.replay;
      final StoredMessage message = queue.peek();
      if (constraints.isConstrained(subscription) && mustWait(subscription, message, nowMs)) {
        return true;
      }
      if (message == null) {
        subscription.catchingUp = false;
        return false;
      }
      queue.poll();
      replays.remainingBytes -= size(message);
      written++;
      subscription.deliver(message, nowMs);
    }
    return true;
  }
}
