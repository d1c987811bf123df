package yewjunction.limits;

/**
 * The exchange of the replicated subscription set. Each constant names its unit and the reason for
 * its value.
 */
public final class SubscriptionLimits {
  /** Milliseconds: pace of exchange between an edge and its store, and inside a zone. */
  public static final long SYNC_INTERVAL_MS = 1_000;

  /**
   * One round in so many also asks stores of other zones of their own edges; each one while some
   * client asks for counts.
   */
  public static final int CROSS_ZONE_SYNC_EVERY = 12;

  /**
   * One round in so many also compares a little of everything with them: parts whose store is gone.
   */
  public static final int FULL_SYNC_EVERY = 60;

  /** Milliseconds: a zone counts as asking for this long after a question. */
  public static final long COUNT_INTEREST_MS = 10_000;

  /** Cells: one answer to a digest at most: about 12 bytes each on the wire. */
  public static final int MAX_SYNC_CELLS = 40_000;

  /**
   * Rounds; an edge compares with its store this seldom, since it hears of what concerns it at
   * once.
   */
  public static final int EDGE_SYNC_EVERY = 5;

  /**
   * Cells: what such a comparison may bring: an edge's connection is narrow where edges are many.
   */
  public static final int MAX_EDGE_SYNC_CELLS = 600;

  /** Milliseconds: a store that has not counted by then is not waited for. */
  public static final long COUNT_TIMEOUT_MS = 250;

  private SubscriptionLimits() {}
}
