package yewjunction.common;

/**
 * Constants of the control side that came after Limits, each with its unit and the reason for its
 * value.
 */
public final class ControlLimits {
  private ControlLimits() {}

  // --- membership ---
  /**
   * ms; a process that ends waits at most so long for its seat to pass: a change of voters takes a
   * tenth, the grace is 6 s.
   */
  public static final long LEAVE_MS = 1_000;

  /** ms; pace of looking whether it has passed, and of saying that the process ends. */
  public static final long LEAVE_LOOK_MS = 20;

  /**
   * ms; how long that word counts at the leader: it is said again all the time, and a process may
   * have come back since.
   */
  public static final long LEAVE_SAID_MS = 300;

  // --- homes ---
  /**
   * ms; a home that has lacked for so long what its leader had committed serves no more edges:
   * about five times an aim.
   */
  public static final long HOME_BEHIND_MS = 500;

  // --- desk ---
  /**
   * ms; a vault in touch has called a new leader by then: four of its paces (LEASE_PACE_MS), as
   * long as a lease lasts.
   */
  public static final long VAULTS_HEARD_MS = 2_500;

  /**
   * s; a caller that sends or reads for longer has gone: the largest body over 0.6 Mbit/s takes
   * less.
   */
  public static final int CALL_TRANSFER_S = 15;

  /**
   * bytes; for so many a call may take a millisecond more than CALL_MS: a route has about 150, and
   * is read in 0.1 ms.
   */
  public static final int CALL_BYTES_PER_MS = 100;

  /**
   * threads; for looks whether a node is ready: one may wait for a caller that was cut off half
   * way.
   */
  public static final int READY_THREADS = 2;

  /** ms; an idle call thread goes after that. */
  public static final long CALL_THREAD_IDLE_MS = 2_000;

  /**
   * bytes; a body that is too big is read so far before it is denied: closed on, its sender might
   * not read the answer.
   */
  public static final int CALL_READ_MOST = 16 << 20;

  // --- snapshots on their way ---
  /**
   * bytes; the first and smallest piece: 16 ms of a link of 2 Mbit/s, so that beats get through
   * between two.
   */
  public static final int IMAGE_LEAST_BYTES = 4 << 10;

  /**
   * ms; what a piece may spend on the link beyond the round trip before the next is no larger: a
   * third of a beat.
   */
  public static final long IMAGE_PACE_MS = 30;

  /**
   * ms; an unanswered piece is asked after, by a letter without a body: the piece itself may still
   * be on a slow link.
   */
  public static final long IMAGE_ASK_MS = 800;

  /**
   * ms; a receiver silent for so long is given up: as long as a leader remembers a member that has
   * no vote.
   */
  public static final long IMAGE_GONE_MS = 14_000;

  /**
   * ms; a leader whose peers answer late stays so long for a snapshot under way: 12 MB over a fifth
   * of 2 Mbit/s.
   */
  public static final long IMAGE_LEAD_MS = 240_000;

  /** snapshots; built at most for all receivers together: each is a whole state in memory. */
  public static final int IMAGES_MOST = 2;

  /**
   * entries and bytes; kept in the log for members that catch up: 100 s of the largest load, a
   * third of a crux's file.
   */
  public static final int CATCH_UP_ENTRIES = 50_000, CATCH_UP_BYTES = 8 << 20;

  /**
   * bytes; what a peer that was far behind may still lack to get the rest at once: a quarter of a
   * second at 2 Mbit/s.
   */
  public static final int CAUGHT_UP_BYTES = 64 << 10;

  /** bytes; a snapshot that is announced larger is not taken: no record of a ledger is. */
  public static final int IMAGE_MOST_BYTES = 64 << 20;

  // --- questions ---
  /**
   * bits; a life's first question number is one of so many: one in 17 billion that a given late
   * answer of another life meets a given open question, and five bytes on the wire, as many as a
   * number just above 28 bits takes.
   */
  public static final int QUESTION_BITS = 34;
}
