package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.LEADER_UNREACHABLE_AFTER_MS;
import static yewjunction.limits.ClientLimits.MAX_PUBLISH_BACKOFF_MS;
import static yewjunction.limits.ClientLimits.MIN_PUBLISH_BACKOFF_MS;

import java.util.Random;

/**
 * Whether this edge may send to the leading store: not before a backoff is over, and no new
 * messages once no leader has answered for long.
 *
 * <p>Owned by {@link PublishForwarder}; all calls on the agent's thread.
 */
final class LeaderAvailability {
  private final Random random;

  /** Nothing is sent before this moment: a store that does not lead is not asked again at once. */
  private long backoffUntilMs;

  private long backoffMs = MIN_PUBLISH_BACKOFF_MS;

  /** Since when messages wait without any response of a leader; 0 when none do. */
  private long unansweredSinceMs;

  private boolean unreachable;

  LeaderAvailability(final Random random) {
    this.random = random;
  }

  boolean isBackingOff(final long nowMs) {
    return nowMs < backoffUntilMs;
  }

  /** Whether no leader has answered for so long that new messages are refused at once. */
  boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Backs off for a growing and partly random time, so that edges do not all come back together.
   *
   * @return milliseconds until sending may be tried again
   */
  long backOff(final long nowMs) {
    final long delayMs = backoffMs + random.nextInt((int) backoffMs);
    backoffUntilMs = nowMs + delayMs;
    backoffMs = Math.min(MAX_PUBLISH_BACKOFF_MS, 2 * backoffMs);
    return delayMs;
  }

  /** A message waits for a leader's response from now on. */
  void onWaiting(final long nowMs) {
    if (unansweredSinceMs == 0) {
      unansweredSinceMs = nowMs;
    }
  }

  /**
   * Another store leads: it may be asked at once.
   *
   * @return whether the leader was unreachable until now
   */
  boolean onLeaderChange() {
    backoffUntilMs = 0;
    return onResponse();
  }

  /**
   * The leader has decided about a message.
   *
   * @return whether the leader was unreachable until now
   */
  boolean onResponse() {
    backoffMs = MIN_PUBLISH_BACKOFF_MS;
    return onReachable();
  }

  /**
   * A store knows a leader, which need not have answered here: an end to being unreachable, and
   * else nothing new.
   *
   * @return whether the leader was unreachable until now
   */
  boolean onLeaderReported() {
    return unreachable && onReachable();
  }

  private boolean onReachable() {
    final boolean changed = unreachable;
    unansweredSinceMs = 0;
    unreachable = false;
    return changed;
  }

  /**
   * Looks at how long messages have waited.
   *
   * @return whether the leader has just become unreachable
   */
  boolean checkUnreachable(final long nowMs) {
    if (unreachable
        || unansweredSinceMs == 0
        || nowMs - unansweredSinceMs <= LEADER_UNREACHABLE_AFTER_MS) {
      return false;
    }
    unreachable = true;
    return true;
  }
}
