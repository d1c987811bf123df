package yewjunction.gateway;

import java.util.ArrayDeque;
import yewjunction.control.Configuration.Route;
import yewjunction.store.StoredMessage;

/**
 * One topic on one session, from SUB to UNSUB or the end of the connection. Invariant: each index
 * is judged once, in order, by the filter in force at that moment.
 */
final class Subscription {
  final ClientSession session;
  final String topic;

  /** The tenant in whose turn it catches up. */
  final String tenant;

  /** The position that the client gave, -1 for none. */
  final long position;

  final long subscribedMs;

  /** The topic's route by the configuration in force. */
  Route route;

  long instance;

  /** Index up to which messages were delivered or filtered out. */
  long judgedIndex;

  boolean open;

  /** Null for all messages. */
  private Filter filter;

  /** Changes of the filter before the store responded: each is owed an answer. */
  private int pendingFilterChanges;

  /** The newest cursor that the client was sent, and when. */
  private long cursor;

  private long cursorSentMs;

  /**
   * Older messages to be written; new ones that wait behind them; and whether it is catching up.
   */
  final ArrayDeque<StoredMessage> replay = new ArrayDeque<>();

  final ArrayDeque<StoredMessage> live = new ArrayDeque<>();
  boolean catchingUp;

  /** Up to which index older messages are still to be requested; 0 when none are. */
  long replayThrough;

  boolean fetching;

  /**
   * Since when its next message waits for an earlier one of another channel; 0 when it does not.
   */
  long heldSinceMs;

  Subscription(
      final ClientSession session,
      final String topic,
      final Route route,
      final String tenant,
      final long position,
      final Filter filter,
      final long sinceMs) {
    this.route = route;
    this.session = session;
    this.topic = topic;
    this.tenant = tenant;
    this.position = position;
    this.filter = filter;
    this.subscribedMs = sinceMs;
  }

  /** Messages before this index have all been written here. */
  long pendingFrom() {
    if (!open) {
      return position + 1;
    }
    if (!replay.isEmpty()) {
      return replay.peek().index;
    }
    return replayThrough > 0
        ? judgedIndex + 1
        : live.isEmpty() ? Long.MAX_VALUE : live.peek().index;
  }

  boolean hasFilter() {
    return filter != null;
  }

  /** Answers SUB: from now on messages after its position are delivered. */
  void open(final long startPosition, final long nowMs) {
    open = true;
    judgedIndex = startPosition;
    sendOk(nowMs);
    for (; pendingFilterChanges > 0; pendingFilterChanges--) {
      sendOk(nowMs);
    }
  }

  private void sendOk(final long nowMs) {
    cursor = judgedIndex;
    cursorSentMs = nowMs;
    session.sendOk(
        ClientCommand.SUB, topic, String.valueOf(judgedIndex), filter == null ? "" : filter.text);
  }

  /**
   * SUB again on the same connection: the filter replaces the one in force, from the answered
   * position on.
   */
  void resubscribe(final Filter newFilter, final long nowMs) {
    if (newFilter != null) {
      filter = newFilter;
    }
    if (open) {
      sendOk(nowMs);
    } else if (newFilter != null) {
      pendingFilterChanges++;
    }
  }

  /** Delivers a message, or filters it out by the filter in force now. */
  void deliver(final StoredMessage message, final long nowMs) {
    // Invariant: each index once and in order, whichever way it came.
    if (open && message.index > judgedIndex) {
      judgedIndex = message.index;
      if (filter == null || filter.matches(message.body)) {
        cursor = judgedIndex;
        cursorSentMs = nowMs;
        session.sendMessage(message);
      }
    }
  }

  /**
   * Sends the cursor again if much was filtered out since: else it would expire though the client
   * lacks nothing.
   */
  void renewCursor(final long nowMs, final long paceMs) {
    if (open && filter != null && judgedIndex > cursor && nowMs - cursorSentMs > paceMs) {
      sendOk(nowMs);
    }
  }
}
