package yewjunction.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How often an edge met a violation of a channel's declared order, for operators. Encoded by
 * position.
 */
public final class OrderViolations {
  public String topic = "";

  /** Messages that would have come out of their declared place and were not written. */
  public long violations;

  /** Subscriptions that could not be taken up because messages they lacked are no longer kept. */
  public long gaps;

  Map<String, Object> toRow(final String node) {
    final Map<String, Object> row = new LinkedHashMap<>();
    row.put("Topic", topic);
    row.put("Nodename", node);
    row.put("Breaks", violations);
    row.put("Gaps", gaps);
    return row;
  }
}
