package yewjunction.limits;

/**
 * Subscriptions that catch up with older messages. Each constant names its unit and the reason for
 * its value.
 */
public final class ReplayLimits {
  /**
   * Bytes: what each tenant may write of older messages in one turn, and what needs no turns at
   * all.
   */
  public static final int REPLAY_QUANTUM_BYTES = 16 << 10;

  /** Milliseconds: from one turn of catching up to the next: other work is served between. */
  public static final long REPLAY_TURN_INTERVAL_MS = 2;

  /** Bytes: a client with more than this unread gets no older messages for the while. */
  public static final int REPLAY_MAX_UNREAD_BYTES = 64 << 10;

  /** Messages: new ones that wait behind older ones of one subscription at most. */
  public static final int REPLAY_MAX_LIVE_MESSAGES = 2_000;

  /** Bytes: one chunk of older messages from a store: enough for a few turns. */
  public static final int REPLAY_CHUNK_BYTES = 64 << 10;

  private ReplayLimits() {}
}
