package yewjunction.limits;

/**
 * Sessions of clients: sizes, time-outs, and messages on their way to the leader. Each constant
 * names its unit and the reason for its value.
 */
public final class ClientLimits {
  /** Bytes: body of a message at most (protocol). */
  public static final int MAX_BODY_BYTES = 16 << 10;

  /** Bytes: body of a message at least (protocol). */
  public static final int MIN_BODY_BYTES = 20;

  /** Bytes: a head line of words and fields at most: far above any name in use. */
  public static final int MAX_COMMAND_LINE_BYTES = 2 << 10;

  /** Bytes: what may wait for a client that reads slowly; it can take up its cursors again. */
  public static final int MAX_CLIENT_QUEUE_BYTES = 4 << 20;

  /**
   * Bytes: what waits for all clients of an edge together: when readers stall in numbers, the
   * slowest are cut.
   */
  public static final int MAX_TOTAL_CLIENT_QUEUE_BYTES = 24 << 20;

  /**
   * Bytes: a body above this that is announced is skipped by closing the connection: reading it
   * would cost more.
   */
  public static final int MAX_SKIPPED_BODY_BYTES = 1 << 20;

  /**
   * Times PingS of silence after which a client may be dropped (protocol says 3; a little more
   * spares late ones).
   */
  public static final double CLIENT_TIMEOUT_PING_INTERVALS = 3.5;

  /** Milliseconds: pace of looking for silent clients and answers that are overdue. */
  public static final long SESSION_CHECK_INTERVAL_MS = 100;

  /**
   * Share of a route's TimeoutMs after which the edge gives its final answer to a message still
   * under way.
   */
  public static final double PUBLISH_DEADLINE_SHARE = 0.5;

  /**
   * Milliseconds: without an answer of any leader for so long an edge takes no new messages: above
   * an election.
   */
  public static final long LEADER_UNREACHABLE_AFTER_MS = 1_500;

  /** Messages: an edge's publish queue at most. */
  public static final int MAX_QUEUED_PUBLISHES = 4_000;

  /** Bytes: bodies in an edge's publish queue at most. */
  public static final int MAX_QUEUED_PUBLISH_BYTES = 8 << 20;

  /**
   * Milliseconds: an edge tells the leader for how long it held a message from here on; less is
   * within the quotas' tolerance.
   */
  public static final int MIN_REPORTED_HOLD_MS = 50;

  /**
   * Messages: sent to the leader at a time by one edge: several round trips' worth at full load.
   */
  public static final int MAX_PUBLISHES_IN_FLIGHT = 128;

  /**
   * Milliseconds: first pause before a leader that was lost, or that does not lead, is sent
   * messages again; it doubles each time.
   */
  public static final long MIN_PUBLISH_BACKOFF_MS = 25;

  /** Milliseconds: the longest such pause. */
  public static final long MAX_PUBLISH_BACKOFF_MS = 400;

  /** Milliseconds: a SUB gets its final answer by then, before any client resets its connection. */
  public static final long SUBSCRIBE_TIMEOUT_MS = 1_000;

  /** Count: subscriptions that an edge requests from its store at a time. */
  public static final long MAX_SUBSCRIBES_IN_FLIGHT = 128;

  /**
   * Milliseconds: a HELLO waits this long for an edge that is still starting or whose lease is
   * being renewed.
   */
  public static final long HELLO_TIMEOUT_MS = 1_000;

  /**
   * Milliseconds: an edge whose lease has lapsed for so long lets its clients go: others may still
   * serve them.
   */
  public static final long CLOSE_CLIENTS_AFTER_LEASE_EXPIRY_MS = 3_000;

  /**
   * Milliseconds: subscriptions of a client that stays away this long are removed, well after the
   * longest keeping time.
   */
  public static final long DISCONNECTED_CLIENT_RETENTION_MS = 120_000;

  /**
   * Milliseconds: pace of asking whether this edge is ready, well below the platform's own pace of
   * a second.
   */
  public static final long READINESS_CHECK_INTERVAL_MS = 100;

  /**
   * Milliseconds: connections are moved over this span, in steps, so that the other edges take them
   * one by one.
   */
  public static final long DRAIN_MOVE_DURATION_MS = 1_200;

  /** Milliseconds: from one such step to the next. */
  public static final long DRAIN_MOVE_INTERVAL_MS = 50;

  /** Milliseconds: a draining edge ends by then, inside the platform's grace. */
  public static final long DRAIN_TIMEOUT_MS = 3_000;

  /** Count: patterns of a filter at most. */
  public static final int MAX_FILTER_PATTERNS = 64;

  /** Bytes: a filter at most: with its topic and cursor it stays inside a head line. */
  public static final int MAX_FILTER_BYTES = 1 << 10;

  /**
   * Milliseconds: pace of renewing a filtered subscription's cursor while unwanted messages pass;
   * at most a quarter of LingerS.
   */
  public static final long CURSOR_RENEWAL_INTERVAL_MS = 5_000;

  private ClientLimits() {}
}
