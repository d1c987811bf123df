package yewjunction.raft;

import static yewjunction.limits.StorageLimits.CHUNK_TRANSMISSION_TARGET_MS;
import static yewjunction.limits.StorageLimits.MIN_CHUNK_BYTES;

/**
 * How much a member far behind is sent at a time: more while its connection takes it well within a
 * heartbeat, less where heartbeats would wait.
 */
final class AdaptiveChunkSize {
  private final int maxBytes;
  private int bytes = MIN_CHUNK_BYTES;
  private long roundTripMs = Long.MAX_VALUE;

  AdaptiveChunkSize(final int mostBytes) {
    this.maxBytes = mostBytes;
  }

  int bytes() {
    return bytes;
  }

  /** The last one was answered after so long. */
  void onAcknowledged(final long ms) {
    roundTripMs = Math.min(roundTripMs, ms);
    final long onLinkMs = ms - roundTripMs;
    if (onLinkMs <= CHUNK_TRANSMISSION_TARGET_MS) {
      bytes = Math.min(2 * bytes, maxBytes);
    } else if (onLinkMs > 2 * CHUNK_TRANSMISSION_TARGET_MS) {
      bytes = Math.max(bytes / 2, MIN_CHUNK_BYTES);
    }
  }
}
