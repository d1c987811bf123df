package yewjunction.limits;

/**
 * The stream of messages from a store to its edges. Each constant names its unit and the reason for
 * its value.
 */
public final class FanoutLimits {
  /** Milliseconds: heartbeat of a store to its edges, and pace of an edge's word to its store. */
  public static final long STREAM_HEARTBEAT_INTERVAL_MS = 300;

  /**
   * Milliseconds: an edge leaves a store that is silent for this long: two heartbeats and some
   * lateness.
   */
  public static final long STREAM_TIMEOUT_MS = 750;

  /**
   * Milliseconds: an edge that fled to another zone's store goes back once its own has been up for
   * this long.
   */
  public static final long RETURN_TO_OWN_ZONE_MS = 2_000;

  /** Milliseconds: an edge without a store for this long calls itself not ready. */
  public static final long DETACHED_NOT_READY_MS = 3_000;

  /**
   * Milliseconds: a store that has lacked for so long what its leader had committed serves no more
   * edges: about five times an aim.
   */
  public static final long MAX_SERVING_LAG_MS = 500;

  /** Messages: one piece of a stream at most. */
  public static final int MAX_BATCH_MESSAGES = 200;

  private FanoutLimits() {}
}
