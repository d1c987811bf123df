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
  /** Where all further channels are counted together. */
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

  /** What the client lacks is no longer kept: nothing can close the gap behind its cursor. */
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
