package yewjunction.gateway;

import static yewjunction.common.Limits.AWAY_MS;

import java.util.HashMap;
import java.util.Map;
import yewjunction.subscription.AddWinsSet;

/**
 * Clients of this edge that have no link now; one that stays away long enough is taken out of the
 * set.
 */
final class DisconnectedClients {
  private final AddWinsSet weave;
  private final Map<String, Long> awayMs = new HashMap<>();

  DisconnectedClients(final AddWinsSet weave) {
    this.weave = weave;
  }

  void here(final String client) {
    awayMs.remove(client);
    weave.absent(client, false);
  }

  /** A cut is no unsubscribe: the set keeps the client, marked as away. */
  void away(final String client, final long nowMs) {
    weave.absent(client, true);
    awayMs.put(client, nowMs);
  }

  void look(final long nowMs) {
    awayMs
        .entrySet()
        .removeIf(
            one -> {
              final boolean over = nowMs - one.getValue() > AWAY_MS;
              if (over) {
                weave.topicsHere(one.getKey()).forEach(topic -> weave.remove(topic, one.getKey()));
                weave.absent(one.getKey(), false);
              }
              return over;
            });
  }
}
