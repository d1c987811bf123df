package yewjunction.store;

import static yewjunction.limits.QuotaLimits.RETENTION_SLACK_MS;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yewjunction.control.Configuration;
import yewjunction.control.FormerRetention;

/**
 * For how long a topic's messages are kept: as the newest configuration says, and at least as long
 * as an earlier one said for as long as a message of its time may reach this store and be young
 * enough.
 *
 * <p>All calls on the agent's thread.
 */
final class RouteRetentions {
  /** Former retentions, and until when this store keeps by them. */
  private final Map<FormerRetention, Long> expiryMs = new HashMap<>();

  private Configuration configuration;

  /** Of all routes of all configurations known since the start. */
  private long longestMs;

  void setConfiguration(final Configuration newConfiguration) {
    configuration = newConfiguration;
    longestMs = Math.max(longestMs, newConfiguration.longestRetentionMs());
  }

  /** Without a configuration it is not known how long messages are kept. */
  boolean isKnown() {
    return configuration != null;
  }

  /** What is known already keeps its time. */
  void addFormer(final List<FormerRetention> retentions, final long nowMs) {
    for (final FormerRetention one : retentions) {
      expiryMs.putIfAbsent(one, nowMs + one.retentionMs() + RETENTION_SLACK_MS);
      longestMs = Math.max(longestMs, one.retentionMs());
    }
  }

  /** Returns whether there was something to remove. */
  boolean removeExpired(final long nowMs) {
    return expiryMs.values().removeIf(oneMs -> oneMs < nowMs);
  }

  /** Milliseconds; 0 for a topic without a route, now or lately. */
  long retentionMsOf(final String topic) {
    long longest = configuration == null ? 0 : configuration.retentionMsOf(topic);
    for (final FormerRetention one : expiryMs.keySet()) {
      if (topic.startsWith(one.prefix())) {
        longest = Math.max(longest, one.retentionMs());
      }
    }
    return longest;
  }

  /** Milliseconds: the longest of all topics, at any time since the start. */
  long longestMs() {
    return longestMs;
  }
}
