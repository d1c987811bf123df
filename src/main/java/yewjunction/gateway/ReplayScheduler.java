package yewjunction.gateway;

import static yewjunction.common.Limits.DOCK_SWEEP_MS;
import static yewjunction.common.Limits.ORDER_LOOK_MS;
import static yewjunction.common.Limits.ORDER_WAIT_MS;
import static yewjunction.common.Limits.REPLAY_LINE_BYTES;
import static yewjunction.common.Limits.REPLAY_LIVE_MOST;
import static yewjunction.common.Limits.REPLAY_TURN_BYTES;
import static yewjunction.common.Limits.REPLAY_TURN_MS;

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
  private final AgentContext pulse;
  private final Consumer<Subscription> asker;
  private final Map<String, TenantReplays> turns = new LinkedHashMap<>();
  private final OrderingConstraints precedence;
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
      final AgentContext pulse,
      final OrderingConstraints precedence,
      final Consumer<Subscription> asker) {
    this.pulse = pulse;
    this.precedence = precedence;
    this.asker = asker;
  }

  /** What one subscription may write at once: a short replay needs no turns. */
  static boolean isShort(final Iterable<StoredMessage> messages) {
    int bytes = 0;
    for (final StoredMessage message : messages) {
      bytes += size(message);
    }
    return bytes <= REPLAY_TURN_BYTES;
  }

  private static int size(final StoredMessage message) {
    return message.body.length + message.topic.length() + message.client.length() + 24;
  }

  /** The subscription has something to write, or a next piece to ask for. */
  void add(final Subscription sub) {
    sub.catching = true;
    final TenantReplays turn = turns.computeIfAbsent(sub.tenant, key -> new TenantReplays());
    if (!turn.subs.contains(sub)) {
      turn.subs.add(sub);
    }
    if (!stepping) {
      stepping = true;
      pulse.post(this::step);
    }
  }

  /** A new message for a subscription that still catches up waits behind the older ones. */
  void hold(final Subscription sub, final StoredMessage message) {
    sub.live.add(message);
    if (sub.live.size() > REPLAY_LIVE_MOST) {
      // It takes up its cursors again, which asks for pieces in place of holding them here.
      sub.berth.line.close();
    }
  }

  private void step() {
    final long nowMs = pulse.nowMs();
    written = 0;
    held = false;
    for (final Iterator<TenantReplays> each = turns.values().iterator(); each.hasNext(); ) {
      final TenantReplays turn = each.next();
      turn.bytes += REPLAY_TURN_BYTES;
      for (int left = turn.subs.size(); left > 0 && turn.bytes > 0; left--) {
        final Subscription sub = turn.subs.poll();
        if (write(sub, turn, nowMs)) {
          turn.subs.add(sub);
        }
      }
      turn.bytes = Math.min(turn.bytes, 0);
      if (turn.subs.isEmpty()) {
        each.remove();
      }
    }
    stepping = !turns.isEmpty();
    if (stepping) {
      // Between two turns the agent serves what came meanwhile; when all wait for slow readers it
      // looks seldom.
      pulse.after(written > 0 ? REPLAY_TURN_MS : held ? ORDER_LOOK_MS : DOCK_SWEEP_MS, this::step);
    }
  }

  /**
   * The channel follows others: whether earlier messages of those are still to be written, or may
   * be named yet.
   */
  private boolean waits(final Subscription sub, final StoredMessage message, final long nowMs) {
    final boolean waits =
        precedence.bursting(sub, nowMs) || message != null && !precedence.free(sub, message.index);
    if (!waits) {
      sub.heldMs = 0;
      return false;
    }
    held = true;
    sub.heldMs = sub.heldMs == 0 ? nowMs : sub.heldMs;
    if (nowMs - sub.heldMs > ORDER_WAIT_MS) {
      // It would wait without end: taken up anew by the cursors.
      sub.berth.line.close();
    }
    return true;
  }

  /** True while the subscription still has something to write. */
  private boolean write(final Subscription sub, final TenantReplays turn, final long nowMs) {
    if (!sub.berth.line.open() || sub.berth.subs.get(sub.topic) != sub) {
      return false;
    }
    while (turn.bytes > 0 && sub.berth.line.open()) {
      // A client that reads slowly is not written to ahead: its own replay waits for it, and only
      // its own.
      if (sub.berth.line.waiting() > REPLAY_LINE_BYTES) {
        return true;
      }
      if (sub.replay.isEmpty() && sub.replayTo > 0) {
        if (!sub.asked) {
          sub.asked = true;
          asker.accept(sub);
        }
        return false;
      }
      final ArrayDeque<StoredMessage> queue = sub.replay.isEmpty() ? sub.live : sub.replay;
      final StoredMessage message = queue.peek();
      if (precedence.follows(sub) && waits(sub, message, nowMs)) {
        return true;
      }
      if (message == null) {
        sub.catching = false;
        return false;
      }
      queue.poll();
      turn.bytes -= size(message);
      written++;
      sub.deliver(message, nowMs);
    }
    return true;
  }
}
