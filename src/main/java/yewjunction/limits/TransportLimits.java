package yewjunction.limits;

/**
 * Connections between nodes, and the buffers of all connections. Each constant names its unit and
 * the reason for its value.
 */
public final class TransportLimits {
  /**
   * Milliseconds: a member that is up takes a connection within a round trip, so a second means it
   * is unreachable.
   */
  public static final long CONNECT_TIMEOUT_MS = 1_000;

  /**
   * Milliseconds: a connection that sent nothing for this long says so, which keeps an unreachable
   * peer apart from a quiet one.
   */
  public static final long CONNECTION_HEARTBEAT_INTERVAL_MS = 800;

  /** Milliseconds: about three heartbeats: two may be late on a lossy connection. */
  public static final long CONNECTION_TIMEOUT_MS = 2_600;

  /** Bytes: one message at most, above any snapshot chunk and any state of the set. */
  public static final int MAX_MESSAGE_BYTES = 16 << 20;

  /** Bytes: what may wait for a member that reads slowly before it is cut. */
  public static final int MAX_PEER_QUEUE_BYTES = 24 << 20;

  /** Bytes: first size of a buffer of a member connection: most messages fit. */
  public static final int INITIAL_PEER_BUFFER_BYTES = 4 << 10;

  /** Bytes: first size of a client's buffer: most messages fit. */
  public static final int INITIAL_CLIENT_BUFFER_BYTES = 512;

  /** Connections; connections waiting to be taken: after a mass reset all come at once. */
  public static final int ACCEPT_BACKLOG = 2_048;

  /**
   * Bits: a life's first question number is one of so many: one in 17 billion that a given late
   * answer of another life meets a given open question, and five bytes on the wire, as many as a
   * number just above 28 bits takes.
   */
  public static final int REQUEST_ID_SEED_BITS = 34;

  private TransportLimits() {}
}
