package yewjunction.limits;

/**
 * Stored messages, tenants' rates, and quotas that are borrowed ahead. Each constant names its unit
 * and the reason for its value.
 */
public final class QuotaLimits {
  /**
   * Milliseconds: kept beyond a route's LingerS: covers late starts of the clock on other disks.
   */
  public static final long RETENTION_SLACK_MS = 12_000;

  /** Milliseconds: how long an accepted or denied number is remembered: well above ResendS. */
  public static final long NUMBER_RETENTION_MS = 60_000;

  /** Milliseconds: pace of dropping old messages and numbers. */
  public static final long RETENTION_CHECK_INTERVAL_MS = 1_000;

  /**
   * Share of a quota's excess and slack that a bucket uses; the rest covers changes of the leader
   * and messages held for it.
   */
  public static final double BUCKET_EXCESS_SHARE = 0.35;

  /** Share of a quota's excess and slack that a bucket holds at the start of a store. */
  public static final double STARTUP_EXCESS_SHARE = 0.4;

  /** Milliseconds: what a store applies so soon after its start is its own log again. */
  public static final long STARTUP_REPLAY_MS = 1_500;

  /**
   * Messages: the largest debt and rate of a tenant that borrows: above any in use, and far from
   * overflow in thousandths.
   */
  public static final long MAX_BORROW = 1_000_000_000L;

  /**
   * Share of RatePerS withheld while in debt where RepayShare is absent: half remains available.
   */
  public static final double DEFAULT_REPAY_SHARE = 0.5;

  /**
   * Milliseconds: while somebody owes, the passing of time enters the log at this pace, so that all
   * stores see the debt fall.
   */
  public static final long DEBT_UPDATE_INTERVAL_MS = 2_000;

  /** Messages under way at the leader, above which nothing is lent: others come first. */
  public static final int MAX_IN_FLIGHT_TO_LEND = 256;

  /** Milliseconds: the same for what its disk owes a write. */
  public static final long MAX_DISK_LAG_TO_LEND_MS = 150;

  /** Messages: borrowed in one turn of the agent at most. */
  public static final int MAX_BORROWS_PER_TURN = 16;

  /** Messages: of one tenant that wait to borrow at most; more are denied at once. */
  public static final int MAX_WAITING_TO_BORROW = 256;

  private QuotaLimits() {}
}
