package yewjunction.gateway;

import static yewjunction.limits.OrderingLimits.MAX_VIOLATION_CHANNELS;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.common.LogEvent;
import yewjunction.control.OrderViolations;

/** Breaks of the declared order that this edge met since its start, by channel. */
public final class OrderViolationCounters {
  /** Counts all channels beyond MAX_VIOLATION_CHANNELS. */
  private static final String OTHER_CHANNELS = "*";

  private final Map<String, OrderViolations> byTopic = new TreeMap<>();

  private OrderViolations counterOf(final String topic) {
    final String key =
        byTopic.containsKey(topic) || byTopic.size() < MAX_VIOLATION_CHANNELS
            ? topic
            : OTHER_CHANNELS;
    return byTopic.computeIfAbsent(
        key,
        name -> {
          final OrderViolations fresh = new OrderViolations();
          fresh.topic = name;
          return fresh;
        });
  }

  void onViolation(final String topic, final String client, final String breach) {
    counterOf(topic).violations++;
    LogEvent.ORDER_VIOLATION.warn(topic + " to " + client + ": " + breach);
  }

  /** What a client lacks is no longer kept, so its subscription cannot be resumed. */
  void onGap(final String topic, final String client, final long position) {
    counterOf(topic).gaps++;
    LogEvent.CURSOR_EXPIRED.info(
        topic + " to " + client + ": nothing kept reaches back to " + position);
  }

  /** One row a channel that had any. */
  public List<OrderViolations> all() {
    return new ArrayList<>(byTopic.values());
  }
}
