package yewjunction.gateway;

import static yewjunction.common.Limits.FRESH_MS;
import static yewjunction.common.Limits.ORDER_BURST_MOST_MS;
import static yewjunction.common.Limits.ORDER_BURST_MS;

import yewjunction.control.Configuration;

/** Which messages of a link must wait for earlier ones of the channels that theirs follows. */
final class OrderingConstraints {
  /** Some channel follows another: where none does, nothing here costs anything. */
  private boolean any;

  void charter(final Configuration charter) {
    any = charter.spaces().stream().anyMatch(space -> !space.after().isEmpty());
  }

  /** Whether messages of this subscription may have to wait for those of others. */
  boolean follows(final Subscription sub) {
    return any && sub.space != null && !sub.space.after().isEmpty();
  }

  /** Whether all earlier messages of the channels it follows have been written to this link. */
  boolean free(final Subscription sub, final long index) {
    for (final Subscription other : sub.berth.subs.values()) {
      if (other != sub
          && other.space != null
          && sub.space.follows(other.space)
          && other.pendingFrom() < index) {
        return false;
      }
    }
    return true;
  }

  /**
   * A client that comes back names its subscriptions one after another: those it follows may not
   * have been read yet.
   */
  boolean bursting(final Subscription sub, final long nowMs) {
    final ClientSession berth = sub.berth;
    return sub.sinceMs - berth.greetedMs < FRESH_MS
        && nowMs - berth.subscribedMs < ORDER_BURST_MS
        && nowMs - sub.sinceMs < ORDER_BURST_MOST_MS;
  }
}
