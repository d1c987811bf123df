package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.DISCONNECTED_CLIENT_RETENTION_MS;

import java.util.HashMap;
import java.util.Map;
import yewjunction.subscription.AddWinsSet;

/**
 * Clients of this edge that have no link now; one that stays away long enough is taken out of the
 * set.
 */
final class DisconnectedClients {
  private final AddWinsSet subscriptions;
  private final Map<String, Long> awayMs = new HashMap<>();

  DisconnectedClients(final AddWinsSet subscriptions) {
    this.subscriptions = subscriptions;
  }

  void here(final String client) {
    awayMs.remove(client);
    subscriptions.absent(client, false);
  }

  /** A cut is no unsubscribe: the set keeps the client, marked as away. */
  void away(final String client, final long nowMs) {
    subscriptions.absent(client, true);
    awayMs.put(client, nowMs);
  }

  void look(final long nowMs) {
    awayMs
        .entrySet()
        .removeIf(
            one -> {
              final boolean over = nowMs - one.getValue() > DISCONNECTED_CLIENT_RETENTION_MS;
              if (over) {
                subscriptions
                    .topicsHere(one.getKey())
                    .forEach(topic -> subscriptions.remove(topic, one.getKey()));
                subscriptions.absent(one.getKey(), false);
              }
              return over;
            });
  }
}
