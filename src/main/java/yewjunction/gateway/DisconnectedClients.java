package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.DISCONNECTED_CLIENT_RETENTION_MS;

import java.util.HashMap;
import java.util.Map;
import yewjunction.subscription.AddWinsSet;

/**
 * Clients of this edge that have no connection now; one that stays away for long is taken out of
 * the set.
 */
final class DisconnectedClients {
  private final AddWinsSet subscriptions;
  private final Map<String, Long> disconnectedSinceMs = new HashMap<>();

  DisconnectedClients(final AddWinsSet subscriptions) {
    this.subscriptions = subscriptions;
  }

  void onConnected(final String client) {
    disconnectedSinceMs.remove(client);
    subscriptions.setDisconnected(client, false);
  }

  /** A lost connection is no UNSUB: the set keeps the client, marked as disconnected. */
  void onDisconnected(final String client, final long nowMs) {
    subscriptions.setDisconnected(client, true);
    disconnectedSinceMs.put(client, nowMs);
  }

  void removeExpired(final long nowMs) {
    disconnectedSinceMs
        .entrySet()
        .removeIf(
            one -> {
              final boolean over = nowMs - one.getValue() > DISCONNECTED_CLIENT_RETENTION_MS;
              if (over) {
                subscriptions
                    .topicsOf(one.getKey())
                    .forEach(topic -> subscriptions.remove(topic, one.getKey()));
                subscriptions.setDisconnected(one.getKey(), false);
              }
              return over;
            });
  }
}
