package yewjunction.control;

import static yewjunction.limits.QuotaLimits.RETENTION_SLACK_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import yewjunction.common.AgentContext;

/**
 * Which retentions changes of the configuration have ended, and which of them no message can be
 * young enough for any more.
 *
 * <p>The list itself is part of the replicated state: each change carries the list that holds after
 * it. Its age is measured here, by this node's own clock from when it learned of an end; so a node
 * that has just started keeps entries for too long, and none for too short.
 *
 * <p>All calls on the agent's thread, but for the static ones.
 */
final class FormerRetentions {
  private final AgentContext context;
  private final Map<FormerRetention, Long> learnedMs = new LinkedHashMap<>();

  FormerRetentions(final AgentContext context) {
    this.context = context;
  }

  /** Another list is in force. */
  void onChanged(final List<FormerRetention> inForce) {
    learnedMs.keySet().retainAll(Set.copyOf(inForce));
    inForce.forEach(one -> learnedMs.putIfAbsent(one, context.nowMs()));
  }

  /** Those for which a message may still be young enough. */
  List<FormerRetention> unexpired() {
    final long nowMs = context.nowMs();
    final List<FormerRetention> unexpired = new ArrayList<>();
    learnedMs.forEach(
        (one, sinceMs) -> {
          if (nowMs - sinceMs <= one.retentionMs() + RETENTION_SLACK_MS) {
            unexpired.add(one);
          }
        });
    return unexpired;
  }

  /** The list after a change: what was in force before it, and what it ends. */
  static List<FormerRetention> after(
      final List<FormerRetention> inForce,
      final Configuration previous,
      final Configuration changed) {
    if (previous == null) {
      return inForce;
    }
    final List<FormerRetention> ended = endedBetween(previous, changed);
    return Stream.concat(
            inForce.stream().filter(one -> ended.stream().noneMatch(one::isCoveredBy)),
            ended.stream())
        .toList();
  }

  private static List<FormerRetention> endedBetween(
      final Configuration previous, final Configuration changed) {
    final Map<String, Long> before = retentionsByPrefix(previous);
    final Map<String, Long> after = retentionsByPrefix(changed);
    final Set<String> prefixes = new HashSet<>(before.keySet());
    prefixes.addAll(after.keySet());
    final List<FormerRetention> ended = new ArrayList<>();
    // The topics between one prefix and all longer ones of either configuration share their terms.
    for (final String prefix : prefixes) {
      if (!Objects.equals(before.get(prefix), after.get(prefix))) {
        final long retentionMs = previous.retentionMsOf(prefix);
        if (retentionMs > changed.retentionMsOf(prefix)) {
          ended.add(new FormerRetention(prefix, retentionMs, changed.version()));
        }
      }
    }
    return ended;
  }

  private static Map<String, Long> retentionsByPrefix(final Configuration configuration) {
    final Map<String, Long> retentions = new HashMap<>();
    for (final Configuration.Route route : configuration.routes()) {
      if (route.host().isEmpty()) {
        retentions.put(route.prefix(), route.retentionMs());
      }
    }
    return retentions;
  }
}
