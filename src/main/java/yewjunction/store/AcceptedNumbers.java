package yewjunction.store;

import static yewjunction.limits.QuotaLimits.NUMBER_RETENTION_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Which sequence numbers of a client were accepted on a topic, and the highest of them. Invariant:
 * they rise. Part of the store's snapshot.
 */
final class AcceptedNumbers {
  private final Map<String, SenderHistory> histories = new HashMap<>();

  /** The numbers of one client on one topic; encoded by position. */
  static final class SenderHistory {
    String key = "";
    long highest;
    List<Long> recent = new ArrayList<>();
    transient List<Long> recentReceivedMs = new ArrayList<>();
    transient long lastReceivedMs;
  }

  static String key(final String client, final String topic) {
    return client + " " + topic;
  }

  void accept(final String client, final String topic, final long number, final long nowMs) {
    final SenderHistory history =
        histories.computeIfAbsent(key(client, topic), key -> new SenderHistory());
    // Invariant: numbers of a client rise on a topic; nothing else is admitted.
    if (number <= history.highest) {
      throw new IllegalStateException(
          "number " + number + " after " + history.highest + " of " + client + " on " + topic);
    }
    history.key = key(client, topic);
    history.highest = number;
    history.lastReceivedMs = nowMs;
    history.recent.add(number);
    history.recentReceivedMs.add(nowMs);
  }

  boolean accepted(final String client, final String topic, final long number) {
    final SenderHistory history = histories.get(key(client, topic));
    return history != null && history.recent.contains(number);
  }

  long highest(final String client, final String topic) {
    final SenderHistory history = histories.get(key(client, topic));
    return history == null ? 0 : history.highest;
  }

  void removeExpired(final long nowMs) {
    for (final Iterator<SenderHistory> each = histories.values().iterator(); each.hasNext(); ) {
      final SenderHistory history = each.next();
      while (!history.recent.isEmpty()
          && nowMs - history.recentReceivedMs.get(0) > NUMBER_RETENTION_MS) {
        history.recent.remove(0);
        history.recentReceivedMs.remove(0);
      }
      // The highest number is kept for longer than the list: a much later low one must still be
      // denied.
      if (history.recent.isEmpty() && nowMs - history.lastReceivedMs > 10 * NUMBER_RETENTION_MS) {
        each.remove();
      }
    }
  }

  List<SenderHistory> all() {
    return new ArrayList<>(histories.values());
  }

  void restore(final List<SenderHistory> saved, final long nowMs) {
    histories.clear();
    for (final SenderHistory history : saved) {
      history.lastReceivedMs = nowMs;
      history.recentReceivedMs = new ArrayList<>();
      history.recent.forEach(number -> history.recentReceivedMs.add(nowMs));
      histories.put(history.key, history);
    }
  }
}
