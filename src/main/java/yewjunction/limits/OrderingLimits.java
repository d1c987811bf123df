package yewjunction.limits;

/**
 * The declared order between channels, and the guard that checks it. Each constant names its unit
 * and the reason for its value.
 */
public final class OrderingLimits {
  /** Milliseconds: a SUB that comes so soon after a HELLO may be one of a burst. */
  public static final long SUBSCRIBE_AFTER_HELLO_MS = 2_000;

  /**
   * Milliseconds: a burst of SUBs after a HELLO is over when none has come for so long, a client's
   * round trip.
   */
  public static final long SUBSCRIBE_BURST_GAP_MS = 50;

  /** Milliseconds: a burst of SUBs at most. */
  public static final long MAX_SUBSCRIBE_BURST_MS = 300;

  /** Milliseconds: pace of looking whether what was waited for has been written. */
  public static final long ORDER_CHECK_INTERVAL_MS = 10;

  /**
   * Milliseconds: a connection that waits for an earlier channel for so long is closed: its cursors
   * are taken up anew.
   */
  public static final long MAX_ORDER_WAIT_MS = 8_000;

  /**
   * Milliseconds: what comes so soon after a refusal was sent before its sender heard of it: a
   * round trip of a slow client.
   */
  public static final long REFUSAL_ROUND_TRIP_MS = 250;

  /** Count: senders whose last numbers are known for each subscription of a connection. */
  public static final int MAX_GUARDED_SENDERS = 32;

  /** Count: channels whose breaks are counted apart. */
  public static final int MAX_VIOLATION_CHANNELS = 100;

  private OrderingLimits() {}
}
