package yewjunction.raft;

import static yewjunction.limits.StorageLimits.CHUNK_TRANSMISSION_TARGET_MS;
import static yewjunction.limits.StorageLimits.MIN_CHUNK_BYTES;

/**
 * How many bytes a member that is far behind is sent at a time: more while its connection carries
 * them well within a heartbeat interval, fewer where heartbeats would have to wait.
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

  /** A chunk was acknowledged after so many milliseconds. */
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
