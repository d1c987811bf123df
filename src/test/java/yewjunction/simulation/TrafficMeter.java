package yewjunction.simulation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what processes say to one another: messages and their bytes, without the headers of the
 * network below.
 */
public final class TrafficMeter {
  /** By process, then by kind of message: count and bytes sent, count and bytes taken. */
  private final Map<String, Map<String, long[]>> rows = new HashMap<>();

  /** By kind of message: count and bytes between zones. */
  public final Map<String, long[]> across = new TreeMap<>();

  void sent(final String from, final String to, final Object message, final int bytes) {
    add(from, message, 0, bytes);
    // Addresses are 10.ZONE.x.y.
    if (!from.substring(0, from.indexOf('.', 3)).equals(to.substring(0, to.indexOf('.', 3)))) {
      final long[] row =
          across.computeIfAbsent(
              message.getClass().getName().replaceAll(".*\\.(\\w+)\\.\\w+\\$", "$1."),
              key -> new long[2]);
      row[0]++;
      row[1] += bytes;
    }
  }

  void received(final String by, final Object message, final int bytes) {
    add(by, message, 2, bytes);
  }

  private void add(final String address, final Object message, final int at, final int bytes) {
    final Class<?> kind = message.getClass();
    final String layer =
        kind.getPackageName().substring(kind.getPackageName().lastIndexOf('.') + 1);
    final long[] row =
        rows.computeIfAbsent(address, key -> new TreeMap<>())
            .computeIfAbsent(layer + "." + kind.getSimpleName(), key -> new long[4]);
    row[at]++;
    row[at + 1] += bytes;
  }

  public void reset() {
    rows.clear();
    across.clear();
  }

  /**
   * Count and bytes sent, count and bytes taken by one process, of the messages whose kind begins
   * so.
   */
  public long[] totalsOf(final String address, final String kinds) {
    final long[] sum = new long[4];
    rows.getOrDefault(address, Map.of())
        .forEach(
            (kind, row) -> {
              if (kind.startsWith(kinds)) {
                for (int i = 0; i < 4; i++) {
                  sum[i] += row[i];
                }
              }
            });
    return sum;
  }
}
