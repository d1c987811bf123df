package yewjunction.gateway;

/**
 * Why a command is refused: the last word of a REFUSE line. The names are the protocol's and never
 * change.
 */
enum RefuseReason {
  /** The command is malformed, or not allowed before HELLO. */
  BADMSG,
  /** A body, filter or number of subscriptions is over its limit. */
  TOOBIG,
  /**
   * The message was not accepted and never will be under this number: it may be sent again under a
   * new one.
   */
  RETRY,
  /** What became of the message is not known here. */
  UNKNOWN,
  /** The key opens nothing, or not this topic. */
  DENIED,
  /** No route has a prefix of the topic. */
  NOSPACE,
  /** What lies behind the cursor is no longer kept. */
  EXPIRED
}
