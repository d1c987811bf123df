package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_TOTAL_CLIENT_QUEUE_BYTES;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import yewjunction.common.LogEvent;

/** Keeps what waits for all clients of an edge together inside its memory. */
final class SlowReaderLimit {
  private SlowReaderLimit() {}

  /** Closes the slowest readers while all of them together use too much memory. */
  static void closeSlowest(final Collection<ClientSession> sessions) {
    final List<ClientSession> slow = new ArrayList<>();
    long waiting = 0;
    for (final ClientSession session : sessions) {
      if (session.connection.queuedBytes() > 0) {
        slow.add(session);
        waiting += session.connection.queuedBytes();
      }
    }
    slow.sort(
        (one, other) ->
            Integer.compare(other.connection.queuedBytes(), one.connection.queuedBytes()));
    for (int place = 0; waiting > MAX_TOTAL_CLIENT_QUEUE_BYTES; place++) {
      waiting -= slow.get(place).connection.queuedBytes();
      LogEvent.CLIENT_SLOW.info(slow.get(place).client);
      slow.get(place).connection.close();
    }
  }
}
