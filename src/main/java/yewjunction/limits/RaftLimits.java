package yewjunction.limits;

/**
 * Elections, replication and voters of a Raft group. Each constant names its unit and the reason
 * for its value.
 */
public final class RaftLimits {
  /** Milliseconds: heartbeat of a leader. */
  public static final long HEARTBEAT_INTERVAL_MS = 100;

  /** Milliseconds: shortest and longest wait before a follower starts an election. */
  public static final long MIN_ELECTION_TIMEOUT_MS = 400;

  /** Milliseconds: shortest and longest wait before a follower starts an election. */
  public static final long MAX_ELECTION_TIMEOUT_MS = 700;

  /**
   * Milliseconds: the same for a process that has just started: it owes no patience to a leader it
   * never heard, and asks first.
   */
  public static final long MIN_STARTUP_ELECTION_TIMEOUT_MS = 120;

  /**
   * Milliseconds: the same for a process that has just started: it owes no patience to a leader it
   * never heard, and asks first.
   */
  public static final long MAX_STARTUP_ELECTION_TIMEOUT_MS = 320;

  /**
   * Milliseconds: a follower whose connection from the leader broke waits this long for another:
   * above a heartbeat and a reconnection.
   */
  public static final long MIN_DISCONNECT_ELECTION_TIMEOUT_MS = 130;

  /**
   * Milliseconds: a follower whose connection from the leader broke waits this long for another:
   * above a heartbeat and a reconnection.
   */
  public static final long MAX_DISCONNECT_ELECTION_TIMEOUT_MS = 260;

  /**
   * Share of heartbeats that every peer answers late, above which a leader transfers its
   * leadership: its own connections must be the cause.
   */
  public static final double LATE_HEARTBEAT_SHARE = 0.2;

  /** Weight of the newest heartbeat in that share: it looks back about two seconds. */
  public static final double LATE_HEARTBEAT_WEIGHT = 0.05;

  /**
   * Milliseconds: a leader leads at least this long before it transfers its leadership for that: no
   * ping-pong where all connections are slow.
   */
  public static final long MIN_LEADERSHIP_MS = 3_000;

  /** Entries and bytes: one append message at most. */
  public static final int MAX_APPEND_ENTRIES = 256;

  /** Entries and bytes: one append message at most. */
  public static final int MAX_APPEND_BYTES = 512 << 10;

  /** Milliseconds: unanswered appends are sent again after this. */
  public static final long APPEND_RETRY_MS = 400;

  /**
   * Milliseconds: a commit waits so long for entries to ride on: a twentieth of the shortest aim.
   */
  public static final long COMMIT_NOTICE_DELAY_MS = 5;

  /**
   * Milliseconds: how often a leader tells a member that another one serves, and how often that one
   * asks again without an answer.
   */
  public static final long RELAYED_HEARTBEAT_INTERVAL_MS = 200;

  /**
   * Milliseconds: how often a leader tells a member that another one serves, and how often that one
   * asks again without an answer.
   */
  public static final long RELAY_RETRY_MS = 500;

  /** Entries: a member further behind is brought up by the leader itself. */
  public static final int MAX_RELAYED_LAG_ENTRIES = 500;

  /** Milliseconds: a leader that stops transfers its leadership within this. */
  public static final long LEADER_TRANSFER_TIMEOUT_MS = 700;

  /** Entries: a new member this close to the end may become a voter. */
  public static final int CAUGHT_UP_ENTRIES = 50;

  /**
   * Milliseconds: a voter silent for so long loses its vote to a spare: above an election, below
   * what a replaced machine is given.
   */
  public static final long VOTER_SILENCE_TIMEOUT_MS = 1_500;

  /** Milliseconds: the same for one that answers but whose disk takes nothing. */
  public static final long VOTER_LAG_TIMEOUT_MS = 2_500;

  /**
   * Milliseconds: a member that has heard no leader for so long asks all members: it may have lost
   * its vote meanwhile.
   */
  public static final long LEADER_SEARCH_AFTER_MS = 2_000;

  /** Milliseconds: pace of a store's call to control node. */
  public static final long REGISTRATION_INTERVAL_MS = 500;

  /**
   * Milliseconds: a process that ends waits at most so long for its vote to pass: a change of
   * voters takes a tenth, the grace is 6 s.
   */
  public static final long LEAVE_TIMEOUT_MS = 1_000;

  /** Milliseconds: pace of looking whether it has passed, and of saying that the process ends. */
  public static final long LEAVE_CHECK_INTERVAL_MS = 20;

  /**
   * Milliseconds: how long that word counts at the leader: it is said again all the time, and a
   * process may have come back since.
   */
  public static final long LEAVE_NOTICE_VALID_MS = 300;

  private RaftLimits() {}
}
