package yewjunction.limits;

/**
 * Configuration leases, and replicas that are retired. Each constant names its unit and the reason
 * for its value.
 */
public final class LeaseLimits {
  /** Milliseconds: pace of an edge's renewal of its lease. */
  public static final long LEASE_RENEWAL_INTERVAL_MS = 600;

  /** Milliseconds: the pace of a process that has no configuration yet: clients wait for it. */
  public static final long FIRST_LEASE_RENEWAL_INTERVAL_MS = 120;

  /**
   * Milliseconds: counted from when the renewal was asked for; below ApplyMs and RevokeMs of every
   * deployment.
   */
  public static final long LEASE_DURATION_MS = 2_500;

  /**
   * Milliseconds: a store asks the leader at most this often, for all requests that arrived
   * meanwhile.
   */
  public static final long LEASE_CONFIRMATION_INTERVAL_MS = 150;

  /** Renewals: after so many successful ones an edge asks the nearest control node again. */
  public static final int RENEWALS_BEFORE_NEAREST = 8;

  /** Milliseconds: a renewal without an answer is asked of another control node after this. */
  public static final long LEASE_RESPONSE_TIMEOUT_MS = 500;

  /**
   * Milliseconds: updates of cluster state are gathered this long: a hundred processes that start
   * together make a hundred of them.
   */
  public static final long CLUSTER_STATE_BATCH_MS = 200;

  /** Count: changes that a control node remembers for those that know what was before. */
  public static final int MAX_RECENT_CHANGES = 256;

  /** Milliseconds: a replica gone from the membership list for this long is retired. */
  public static final long REPLICA_RETIREMENT_MS = 60_000;

  /**
   * Milliseconds: when fewer stores than the losses need have called for this long, those there are
   * begin: late ones join.
   */
  public static final long FIRST_STORES_WAIT_MS = 12_000;

  /**
   * Milliseconds: a store in touch has called a new leader by then: four of its paces
   * (LEASE_PACE_MS), as long as a lease lasts.
   */
  public static final long STORES_REPORT_MS = 2_500;

  /**
   * Milliseconds: a process that has not asked a control node for its lease for so long is no
   * leased process of it.
   */
  public static final long PROCESS_REPORT_EXPIRY_MS = 20_000;

  private LeaseLimits() {}
}
