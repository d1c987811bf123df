package yewjunction.limits;

/**
 * Failure detection and dissemination between all nodes (SWIM). Each constant names its unit and
 * the reason for its value.
 */
public final class MembershipLimits {
  /** Milliseconds: one ping each period. */
  public static final long PING_INTERVAL_MS = 1_000;

  /** Milliseconds: without a direct ack by then, other members are asked to ping. */
  public static final long PING_TIMEOUT_MS = 300;

  /** Count: members asked to ping on this one's behalf. */
  public static final int PING_REQUEST_HELPERS = 2;

  /** Milliseconds: a suspected peer may refute this long. */
  public static final long SUSPICION_TIMEOUT_MS = 2_000;

  /**
   * Milliseconds: how long a removed peer is remembered, so that late updates does not revive it.
   */
  public static final long DEAD_MEMBER_RETENTION_MS = 20_000;

  /** Count: updates that ride on one ping: keeps datagrams small. */
  public static final int MAX_UPDATES_PER_PING = 6;

  /** Times: how often one piece of updates rides along. */
  public static final int UPDATE_TRANSMISSIONS = 6;

  /** One ping in so many goes to another zone: cross-zone bytes are dear. */
  public static final int CROSS_ZONE_PING_EVERY = 6;

  /**
   * Members: described in one datagram: about 100 bytes each, and a large datagram is lost whole.
   */
  public static final int MAX_MEMBERS_PER_DATAGRAM = 24;

  /**
   * Milliseconds: pace of asking the seeds until one answers; from then on three times slower each
   * time.
   */
  public static final long FIRST_SYNC_INTERVAL_MS = 300;

  /**
   * Milliseconds: the slowest pace of asking again, and how many of these questions go to one seed:
   * heals a membership list that split.
   */
  public static final long MAX_SYNC_INTERVAL_MS = 10_000;

  /**
   * Milliseconds: the slowest pace of asking again, and how many of these questions go to one seed:
   * heals a membership list that split.
   */
  public static final int SEED_SYNC_EVERY = 6;

  /**
   * Milliseconds: the slowest pace of asking again, and how many of these questions go to one seed:
   * heals a membership list that split.
   */
  public static final int SEED_SYNCS_AT_START = 5;

  private MembershipLimits() {}
}
