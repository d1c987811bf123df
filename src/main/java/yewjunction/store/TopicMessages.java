package yewjunction.store;

import static yewjunction.limits.QuotaLimits.RETENTION_SLACK_MS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The stored messages of one topic, in the order of the log, and up to where they were dropped.
 *
 * <p>Invariant: a message is kept for the longest retention that its topic had at any time since
 * its admission. A configuration that shortens the retention, or lacks the route, binds only what
 * is admitted later; the route may be back before the message is old.
 *
 * <p>All calls on the agent's thread.
 */
final class TopicMessages {
  private final ArrayDeque<StoredMessage> messages = new ArrayDeque<>();

  /** Of the topic's route, as {@link RouteRetentions} has it; 0 when it has none. */
  private long routeRetentionMs;

  private long lastDroppedIndex;

  /** For the log: how old the last one was, and how long it was kept; 0 when not known. */
  private long lastDroppedAgeMs;

  private long lastDroppedRetentionMs;

  TopicMessages(final long routeRetentionMs) {
    this.routeRetentionMs = routeRetentionMs;
  }

  void add(final StoredMessage message) {
    message.extendRetention(routeRetentionMs);
    messages.add(message);
  }

  /** The route's retention from now on, 0 without a route: longer for what is here, never less. */
  void setRouteRetention(final long retentionMs) {
    if (retentionMs > routeRetentionMs) {
      messages.forEach(message -> message.extendRetention(retentionMs));
    }
    routeRetentionMs = retentionMs;
  }

  /** The messages after a position, or null when one of them has been dropped. */
  List<StoredMessage> after(final long position) {
    if (lastDroppedIndex > position) {
      return null;
    }
    final List<StoredMessage> found = new ArrayList<>();
    for (final StoredMessage message : messages) {
      if (message.index > position) {
        found.add(message);
      }
    }
    return found;
  }

  /**
   * Drops the oldest message if its time is over, and returns it; null when it is not.
   *
   * @param unrecordedRetentionMs for messages that do not say how long they are kept
   */
  StoredMessage dropOldestExpired(final long nowMs, final long unrecordedRetentionMs) {
    final StoredMessage oldest = messages.peek();
    if (oldest == null) {
      return null;
    }
    final long keepMs = oldest.retentionMs(unrecordedRetentionMs) + RETENTION_SLACK_MS;
    final long ageMs = nowMs - oldest.receivedMs;
    if (ageMs <= keepMs) {
      return null;
    }
    lastDroppedIndex = oldest.index;
    lastDroppedAgeMs = ageMs;
    lastDroppedRetentionMs = keepMs;
    return messages.poll();
  }

  long lastDroppedIndex() {
    return lastDroppedIndex;
  }

  /** A snapshot says up to where messages were dropped before it, and not at what age. */
  void restoreLastDroppedIndex(final long index) {
    lastDroppedIndex = index;
    lastDroppedAgeMs = 0;
    lastDroppedRetentionMs = 0;
  }

  /** For the log: up to where messages were dropped, and why. */
  String describeDropped() {
    final String reason =
        lastDroppedAgeMs == 0
            ? "before the snapshot that this store began with"
            : "%d ms old, kept for %d ms".formatted(lastDroppedAgeMs, lastDroppedRetentionMs);
    return "dropped through %d, %s".formatted(lastDroppedIndex, reason);
  }
}
