package yewjunction.gateway;

import static yewjunction.limits.OrderingLimits.MAX_SUBSCRIBE_BURST_MS;
import static yewjunction.limits.OrderingLimits.SUBSCRIBE_AFTER_HELLO_MS;
import static yewjunction.limits.OrderingLimits.SUBSCRIBE_BURST_GAP_MS;

import yewjunction.control.Configuration;

/**
 * Which messages of a connection must wait for earlier ones of the channels that theirs follows
 * (docs/order.md).
 */
final class OrderingConstraints {
  /** Whether any route follows another; else nothing here costs anything. */
  private boolean anyDeclared;

  void setConfiguration(final Configuration configuration) {
    anyDeclared = configuration.routes().stream().anyMatch(route -> !route.after().isEmpty());
  }

  /** Whether messages of this subscription may have to wait for those of others. */
  boolean isConstrained(final Subscription subscription) {
    return anyDeclared && subscription.route != null && !subscription.route.after().isEmpty();
  }

  /**
   * Whether all earlier messages of the channels it follows have been written to this connection.
   */
  boolean mayDeliver(final Subscription subscription, final long index) {
    for (final Subscription other : subscription.session.subscriptions.values()) {
      if (other != subscription
          && other.route != null
          && subscription.route.follows(other.route)
          && other.pendingFrom() < index) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether the client is still sending its SUBs after HELLO: those that this one follows may not
   * have been read yet.
   */
  boolean inSubscribeBurst(final Subscription subscription, final long nowMs) {
    final ClientSession session = subscription.session;
    return subscription.subscribedMs - session.helloMs < SUBSCRIBE_AFTER_HELLO_MS
        && nowMs - session.subscribedMs < SUBSCRIBE_BURST_GAP_MS
        && nowMs - subscription.subscribedMs < MAX_SUBSCRIBE_BURST_MS;
  }
}
