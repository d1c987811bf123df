package yewjunction.gateway;

import java.util.ArrayDeque;
import yewjunction.control.Configuration.Route;
import yewjunction.store.StoredMessage;

/** One topic on one client's link. */
final class Subscription {
  final ClientSession session;
  final String topic;

  /** Whose turn its catching up takes. */
  final String tenant;

  /** What the client gave, -1 for none. */
  final long position;

  final long sinceMs;

  /** What its channel declares, by the configuration in force. */
  Route route;

  long instance;

  /** Messages up to here were judged: delivered, or not wanted. */
  long after;

  boolean open;

  /** Null for everything, as a client that knows no filters wants it. */
  private Filter filter;

  /** Changes asked for while the subscription was still joining: each is owed an answer. */
  private int changesOwed;

  /** The newest cursor that the client holds, and since when. */
  private long told;

  private long toldMs;

  /**
   * Older messages on their way: those that came, those that come meanwhile and wait, and whether
   * more are to be asked.
   */
  final ArrayDeque<StoredMessage> replay = new ArrayDeque<>();

  final ArrayDeque<StoredMessage> live = new ArrayDeque<>();
  boolean catching;

  /** Where the older messages end that are still to be asked for; 0 when none are. */
  long replayTo;

  boolean asked;

  /** Since when its next message waits for an earlier one of another channel; 0 while none does. */
  long heldMs;

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
    this.sinceMs = sinceMs;
  }

  /** No message before this index is still to be written here. */
  long pendingFrom() {
    if (!open) {
      return position + 1;
    }
    if (!replay.isEmpty()) {
      return replay.peek().index;
    }
    return replayTo > 0 ? after + 1 : live.isEmpty() ? Long.MAX_VALUE : live.peek().index;
  }

  boolean filtered() {
    return filter != null;
  }

  /** The answer to SUB: from here on what is behind its position is delivered. */
  void open(final long startPosition, final long nowMs) {
    open = true;
    after = startPosition;
    answer(nowMs);
    for (; changesOwed > 0; changesOwed--) {
      answer(nowMs);
    }
  }

  private void answer(final long nowMs) {
    told = after;
    toldMs = nowMs;
    session.ok("SUB", topic, String.valueOf(after), filter == null ? "" : filter.text);
  }

  /**
   * Asked once more on the same link: a filter replaces the one in force, from the named position
   * on.
   */
  void again(final Filter newFilter, final long nowMs) {
    if (newFilter != null) {
      filter = newFilter;
    }
    if (open) {
      answer(nowMs);
    } else if (newFilter != null) {
      changesOwed++;
    }
  }

  /** Each message is judged once, in its order, by the filter in force at that moment. */
  void deliver(final StoredMessage message, final long nowMs) {
    // Invariant of the stream: each index once and in order, whichever way it came.
    if (open && message.index > after) {
      after = message.index;
      if (filter == null || filter.wants(message.body)) {
        told = after;
        toldMs = nowMs;
        session.message(message);
      }
    }
  }

  /**
   * A filter that lets nothing through would leave the client a cursor that expires though it lacks
   * nothing.
   */
  void renew(final long nowMs, final long paceMs) {
    if (open && filter != null && after > told && nowMs - toldMs > paceMs) {
      answer(nowMs);
    }
  }
}
