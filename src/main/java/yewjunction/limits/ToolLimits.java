package yewjunction.limits;

/**
 * The doctor and the maintenance windows. Each constant names its unit and the reason for its
 * value.
 */
public final class ToolLimits {
  /** Milliseconds: one call of the doctor: a machine that takes longer is as good as silent. */
  public static final int PROBE_TIMEOUT_MS = 1_500;

  /**
   * Milliseconds: between two looks: longer than an election, and than updates of a member takes.
   */
  public static final long SECOND_LOOK_DELAY_MS = 2_500;

  /**
   * Milliseconds: clocks further apart than this confuse whoever reads two logs; the Date header
   * has whole seconds.
   */
  public static final long MAX_CLOCK_DIFFERENCE_MS = 3_000;

  /** Milliseconds: a store that has not called for several of its paces. */
  public static final long STORE_SILENCE_MS = 5_000;

  /** Entries: a healthy store is a second's messages behind at the most. */
  public static final long MAX_STORE_LAG_ENTRIES = 2_000;

  /** Share of a disk above which a log file leaves too little room for its own rewriting. */
  public static final double FULL_DISK_SHARE = 0.4;

  /** Messages: an edge's publish queue that is filling up. */
  public static final long MAX_WAITING_PUBLISHES = 500;

  /** Milliseconds: a disk that owes a write for so long is slow, stalled or full. */
  public static final long SLOW_DISK_MS = 1_000;

  /** Per cent of a process's memory in use: seen twice, it is not just due for collection. */
  public static final int FULL_MEMORY_PERCENT = 92;

  /** Bytes: a calendar file at most: far above years of planned work. */
  public static final long MAX_CALENDAR_BYTES = 4 << 20;

  /** Starts of a recurrence looked at near a moment. */
  public static final int MAX_RECURRENCES = 1_000;

  private ToolLimits() {}
}
