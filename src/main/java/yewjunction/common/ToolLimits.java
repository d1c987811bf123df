package yewjunction.common;

/** Every constant of the tools beside the daemons, with its unit and the reason for its value. */
public final class ToolLimits {
  private ToolLimits() {}

  // --- doctor ---
  /** ms; one call of the doctor: a machine that takes longer is as good as silent. */
  public static final int DOCTOR_CALL_MS = 1_500;

  /** ms; between two looks: longer than an election, and than news of a peer takes. */
  public static final long DOCTOR_AGAIN_MS = 2_500;

  /**
   * ms; clocks further apart than this confuse whoever reads two logs; the Date header has whole
   * seconds.
   */
  public static final long DOCTOR_APART_MS = 3_000;

  /** ms; a vault that has not called for several of its paces. */
  public static final long DOCTOR_SILENT_MS = 5_000;

  /** entries; a healthy vault is a second's messages behind at the most. */
  public static final long DOCTOR_BEHIND = 2_000;

  /** share of a disk above which a ledger file leaves too little room for its own rewriting. */
  public static final double DOCTOR_FULL_SHARE = 0.4;

  /** ms; a process that has not asked a crux for its lease for so long is no ward of it. */
  public static final long WARD_MS = 20_000;

  /** messages; an edge's intake that is filling up. */
  public static final long DOCTOR_WAITING = 500;

  /** ms; a disk that owes a write for so long is slow, stalled or full. */
  public static final long DOCTOR_OWED_MS = 1_000;

  /** per cent of a process's memory in use: seen twice, it is not just due for collection. */
  public static final int DOCTOR_MEMORY_PCT = 92;

  // --- maintenance windows ---
  /** bytes; a calendar file at most: far above years of planned work. */
  public static final long WINDOW_FILE_BYTES = 4 << 20;

  /** starts of a recurrence looked at near a moment. */
  public static final int WINDOW_TURNS = 1_000;
}
