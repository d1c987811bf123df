package yewjunction.gateway;

import static yewjunction.common.Limits.GUARD_SENDERS;
import static yewjunction.common.Limits.NUMBER_MS;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import yewjunction.control.Configuration.Route;
import yewjunction.store.StoredMessage;

/**
 * The last look before a message is written to a link. It knows what was written there and what the
 * channels declare, and nothing of how messages get there, so it finds what the mechanisms miss.
 */
final class OrderingGuard {
  private final Map<String, WrittenMessages> watches = new HashMap<>();

  /** Messages written to this link: tells what was written before a subscription began. */
  private long writes;

  /** What was written of one subscription. */
  private static final class WrittenMessages {
    Route space;
    long openedAt;
    long lastIndex = -1;
    long lastWrite;

    /**
     * The senders' last numbers and when they came: bounded, so it may forget, and never accuses
     * wrongly.
     */
    final Map<String, long[]> senders =
        new LinkedHashMap<>(8, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(final Map.Entry<String, long[]> eldest) {
            return size() > GUARD_SENDERS;
          }
        };
  }

  void opened(final String topic, final Route space) {
    final WrittenMessages watch = new WrittenMessages();
    watch.space = space;
    watch.openedAt = writes;
    watches.put(topic, watch);
  }

  void ended(final String topic) {
    watches.remove(topic);
  }

  /** Another configuration: what the channel declares from now on. */
  void declared(final String topic, final Route space) {
    final WrittenMessages watch = watches.get(topic);
    if (watch != null) {
      watch.space = space;
    }
  }

  /** What writing it would break, or null: then it counts as written. */
  String breach(final StoredMessage message, final long nowMs) {
    final WrittenMessages watch = watches.get(message.topic);
    if (watch == null) {
      return "not subscribed";
    }
    if (message.index <= watch.lastIndex) {
      return message.index + " after " + watch.lastIndex;
    }
    final long[] last = watch.senders.get(message.client);
    if (last != null && nowMs - last[1] < NUMBER_MS && message.number <= last[0]) {
      return message.index
          + ": number "
          + message.number
          + " of "
          + message.client
          + " after "
          + last[0];
    }
    for (final Map.Entry<String, WrittenMessages> other : watches.entrySet()) {
      final WrittenMessages later = other.getValue();
      // Whoever follows this channel may have written only what is earlier, since this one was
      // subscribed.
      if (later.lastIndex > message.index
          && later.lastWrite > watch.openedAt
          && later.space != null
          && watch.space != null
          && later.space.follows(watch.space)) {
        return message.index
            + " after "
            + later.lastIndex
            + " of "
            + other.getKey()
            + ", which follows it";
      }
    }
    writes++;
    watch.lastIndex = message.index;
    watch.lastWrite = writes;
    watch.senders.put(message.client, new long[] {message.number, nowMs});
    return null;
  }
}
