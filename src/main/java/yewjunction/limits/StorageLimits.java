package yewjunction.limits;

/**
 * Log files, their rewriting, and snapshots on their way to a member. Each constant names its unit
 * and the reason for its value.
 */
public final class StorageLimits {
  /** Bytes: a log file longer than this is rewritten. */
  public static final long MIN_COMPACTION_BYTES = 12L << 20;

  /** Entries and bytes: kept behind a snapshot for peers that were away a short while. */
  public static final int RETAINED_TAIL_ENTRIES = 2_000;

  /** Entries and bytes: kept behind a snapshot for peers that were away a short while. */
  public static final int RETAINED_TAIL_BYTES = 2 << 20;

  /**
   * Entries and bytes: kept in the log for members that catch up: 100 s of the largest load, a
   * third of a control node's file.
   */
  public static final int MAX_CATCH_UP_TAIL_ENTRIES = 50_000;

  /**
   * Entries and bytes: kept in the log for members that catch up: 100 s of the largest load, a
   * third of a control node's file.
   */
  public static final int MAX_CATCH_UP_TAIL_BYTES = 8 << 20;

  /**
   * Bytes: what a member that was far behind may still lack to get the rest at once: a quarter of a
   * second at 2 Mbit/s.
   */
  public static final int CAUGHT_UP_BYTES = 64 << 10;

  /** Milliseconds: pace of trying a write again for which the disk had no room. */
  public static final long DISK_RETRY_INTERVAL_MS = 100;

  /**
   * Milliseconds: a leader whose own disk has held a write for so long transfers its leadership:
   * the others' disks do without it.
   */
  public static final long SLOW_DISK_TRANSFER_MS = 600;

  /** Bytes: one piece of a snapshot: below what holds up a heartbeat on a slow connection. */
  public static final int MAX_SNAPSHOT_CHUNK_BYTES = 128 << 10;

  /**
   * Bytes: the first and smallest piece: 16 ms of a connection of 2 Mbit/s, so that heartbeats get
   * through between two.
   */
  public static final int MIN_CHUNK_BYTES = 4 << 10;

  /**
   * Milliseconds: what a piece may spend on the connection beyond the round trip before the next is
   * no larger: a third of a heartbeat.
   */
  public static final long CHUNK_TRANSMISSION_TARGET_MS = 30;

  /**
   * Milliseconds: an unanswered chunk is inquired about by a message without a body: the chunk
   * itself may still be on a slow connection.
   */
  public static final long SNAPSHOT_PROBE_INTERVAL_MS = 800;

  /**
   * Milliseconds: a receiver silent for so long is given up: as long as a leader remembers a member
   * that has no vote.
   */
  public static final long SNAPSHOT_RECEIVER_TIMEOUT_MS = 14_000;

  /**
   * Milliseconds: a leader whose peers answer late stays so long for a snapshot under way: 12 MB
   * over a fifth of 2 Mbit/s.
   */
  public static final long MAX_SNAPSHOT_LEADERSHIP_MS = 240_000;

  /** Snapshots: built at most for all receivers together: each is a whole state in memory. */
  public static final int MAX_CONCURRENT_SNAPSHOTS = 2;

  /** Bytes: a snapshot that is announced larger is not taken: no record of a log is. */
  public static final int MAX_SNAPSHOT_BYTES = 64 << 20;

  private StorageLimits() {}
}
