package yewjunction.gateway;

import static yewjunction.limits.OrderingLimits.MAX_GUARDED_SENDERS;
import static yewjunction.limits.QuotaLimits.NUMBER_RETENTION_MS;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import yewjunction.control.Configuration.Route;
import yewjunction.store.StoredMessage;

/**
 * The last check before a message is written to a connection (docs/order.md). It knows what was
 * written there and what the channels declare, and nothing of how messages get there, so it finds
 * what the mechanisms miss.
 */
final class OrderingGuard {
  private final Map<String, WrittenMessages> writtenByTopic = new HashMap<>();

  /** Number of messages written to this connection. */
  private long writes;

  /** What was written of one subscription. */
  private static final class WrittenMessages {
    Route route;
    long firstWrite;
    long lastIndex = -1;
    long lastWrite;

    /**
     * The senders' last numbers and when they came. Bounded: it may forget, and never reports a
     * violation wrongly.
     */
    final Map<String, long[]> senders =
        new LinkedHashMap<>(8, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(final Map.Entry<String, long[]> eldest) {
            return size() > MAX_GUARDED_SENDERS;
          }
        };
  }

  void onSubscribed(final String topic, final Route route) {
    final WrittenMessages written = new WrittenMessages();
    written.route = route;
    written.firstWrite = writes;
    writtenByTopic.put(topic, written);
  }

  void onUnsubscribed(final String topic) {
    writtenByTopic.remove(topic);
  }

  /** The topic belongs to another route from now on. */
  void onRouteChanged(final String topic, final Route route) {
    final WrittenMessages written = writtenByTopic.get(topic);
    if (written != null) {
      written.route = route;
    }
  }

  /**
   * The order that writing a message would violate; null when it violates none, and then it counts
   * as written.
   */
  String violation(final StoredMessage message, final long nowMs) {
    final WrittenMessages written = writtenByTopic.get(message.topic);
    if (written == null) {
      return "not subscribed";
    }
    if (message.index <= written.lastIndex) {
      return message.index + " after " + written.lastIndex;
    }
    final long[] last = written.senders.get(message.client);
    if (last != null
        && nowMs - last[1] < NUMBER_RETENTION_MS
        && message.sequenceNumber <= last[0]) {
      return message.index
          + ": number "
          + message.sequenceNumber
          + " of "
          + message.client
          + " after "
          + last[0];
    }
    for (final Map.Entry<String, WrittenMessages> other : writtenByTopic.entrySet()) {
      final WrittenMessages later = other.getValue();
      // A subscription that follows this one may have written only earlier messages since this one
      // began.
      if (later.lastIndex > message.index
          && later.lastWrite > written.firstWrite
          && later.route != null
          && written.route != null
          && later.route.follows(written.route)) {
        return message.index
            + " after "
            + later.lastIndex
            + " of "
            + other.getKey()
            + ", which follows it";
      }
    }
    writes++;
    written.lastIndex = message.index;
    written.lastWrite = writes;
    written.senders.put(message.client, new long[] {message.sequenceNumber, nowMs});
    return null;
  }
}
