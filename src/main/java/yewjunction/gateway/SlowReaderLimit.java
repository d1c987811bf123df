package yewjunction.gateway;

import static yewjunction.common.Limits.CLIENTS_QUEUE_BYTES;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import yewjunction.common.LogEvent;

/** What waits for all clients of an edge together stays inside its memory. */
final class SlowReaderLimit {
  private SlowReaderLimit() {}

  /**
   * Readers that stall in numbers would fill the memory together: those that are furthest behind
   * are cut.
   */
  static void cutSlowest(final Collection<ClientSession> berths) {
    final List<ClientSession> slow = new ArrayList<>();
    long waiting = 0;
    for (final ClientSession berth : berths) {
      if (berth.line.waiting() > 0) {
        slow.add(berth);
        waiting += berth.line.waiting();
      }
    }
    slow.sort((one, other) -> Integer.compare(other.line.waiting(), one.line.waiting()));
    for (int place = 0; waiting > CLIENTS_QUEUE_BYTES; place++) {
      waiting -= slow.get(place).line.waiting();
      LogEvent.CLIENT_SLOW.info(slow.get(place).client);
      slow.get(place).line.close();
    }
  }
}
