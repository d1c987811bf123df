package yewjunction.limits;

/** The operator's HTTP calls. Each constant names its unit and the reason for its value. */
public final class OperatorLimits {
  /** Milliseconds: an operator's call waits at most this long inside a control node. */
  public static final long CALL_TIMEOUT_MS = 900;

  /**
   * Bytes: for so many a call may take a millisecond more than CALL_MS: a route has about 150, and
   * is read in 0.1 ms.
   */
  public static final int CALL_BYTES_PER_EXTRA_MS = 100;

  /**
   * Threads for operator calls, each held while bytes are read or written: eight orders, and as
   * many looks.
   */
  public static final int MAX_CALL_THREADS = 16;

  /**
   * Threads: for looks whether a node is ready: one may wait for a caller that was cut off half
   * way.
   */
  public static final int MAX_READINESS_THREADS = 2;

  /** Milliseconds: an idle call thread goes after that. */
  public static final long CALL_THREAD_IDLE_MS = 2_000;

  /**
   * Seconds: a caller that sends or reads for longer has gone: the largest body over 0.6 Mbit/s
   * takes less.
   */
  public static final int MAX_CALL_TRANSFER_S = 15;

  /**
   * Bytes: a body that is too big is read so far before it is denied: closed on, its sender might
   * not read the answer.
   */
  public static final int MAX_DISCARDED_BODY_BYTES = 16 << 20;

  /** Bytes: a configuration at most; and versions whose digest is remembered for exact repeats. */
  public static final int MAX_CONFIGURATION_BYTES = 1 << 20;

  /** Bytes: a configuration at most; and versions whose digest is remembered for exact repeats. */
  public static final int REMEMBERED_VERSIONS = 512;

  /** Milliseconds: pace of looking at the settings file. */
  public static final long SETTINGS_CHECK_INTERVAL_MS = 1_000;

  private OperatorLimits() {}
}
