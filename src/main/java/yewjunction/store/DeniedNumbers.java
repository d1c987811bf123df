package yewjunction.store;

import static yewjunction.limits.QuotaLimits.NUMBER_RETENTION_MS;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The numbers that this store denied while it led. A denial is a promise, so a copy of the message
 * that comes later is denied as well. In memory only.
 */
final class DeniedNumbers {
  /** When each was denied last, the longest ago first. */
  private final Map<String, Long> deniedMs = new LinkedHashMap<>();

  /** Remembers a number for longer than any copy of it can be on its way. */
  void deny(final String key, final long nowMs) {
    deniedMs.remove(key);
    deniedMs.put(key, nowMs);
    removeExpired(nowMs);
  }

  boolean contains(final String key) {
    return deniedMs.containsKey(key);
  }

  private void removeExpired(final long nowMs) {
    for (final Iterator<Long> each = deniedMs.values().iterator(); each.hasNext(); ) {
      if (nowMs - each.next() <= NUMBER_RETENTION_MS) {
        return;
      }
      each.remove();
    }
  }
}
