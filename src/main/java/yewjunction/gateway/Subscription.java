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

  /** Whose turn its catching up takes. */
  final String tenant;

  /** What the client gave, -1 for none. */
  final long position;

  final long subscribedMs;

  /** What its channel declares, by the configuration in force. */
  Route route;

  long instance;

  /** Messages up to here were judged: delivered, or not wanted. */
  long judgedIndex;

  boolean open;

  /** Null for everything, as a client that knows no filters wants it. */
  private Filter filter;

  /** Changes asked for while the subscription was still joining: each is owed an answer. */
  private int pendingFilterChanges;

  /** The newest cursor that the client holds, and since when. */
  private long cursor;

  private long cursorSentMs;

  /**
   * Older messages on their way: those that came, those that come meanwhile and wait, and whether
   * more are to be asked.
   */
  final ArrayDeque<StoredMessage> replay = new ArrayDeque<>();

  final ArrayDeque<StoredMessage> live = new ArrayDeque<>();
  boolean catchingUp;

  /** Where the older messages end that are still to be asked for; 0 when none are. */
  long replayThrough;

  boolean fetching;

  /** Since when its next message waits for an earlier one of another channel; 0 while none does. */
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

  /** No message before this index is still to be written here. */
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

  /** The answer to SUB: from here on what is behind its position is delivered. */
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
    session.sendOk("SUB", topic, String.valueOf(judgedIndex), filter == null ? "" : filter.text);
  }

  /**
   * Asked once more on the same connection: a filter replaces the one in force, from the named
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

  /** Each message is judged once, in its order, by the filter in force at that moment. */
  void deliver(final StoredMessage message, final long nowMs) {
    // Invariant of the stream: each index once and in order, whichever way it came.
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
   * A filter that lets nothing through would leave the client a cursor that expires though it lacks
   * nothing.
   */
  void renewCursor(final long nowMs, final long paceMs) {
    if (open && filter != null && judgedIndex > cursor && nowMs - cursorSentMs > paceMs) {
      sendOk(nowMs);
    }
  }
}
