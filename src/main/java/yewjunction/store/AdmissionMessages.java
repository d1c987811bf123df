package yewjunction.store;

import yewjunction.common.MessageCodec;

/**
 * The messages between edges and the leading store about new messages. Fields are encoded by
 * position: one may be added at the end, and none may be moved, removed or given another type.
 */
public final class AdmissionMessages {
  private AdmissionMessages() {}

  public static final int ACCEPTED = 1;

  /** Denied: this number was not accepted and never will be. */
  public static final int DENIED = 2;

  /** This store does not lead; nothing was done. */
  public static final int NOT_LEADER = 3;

  /** Registers all messages under their numbers. */
  public static void register(final MessageCodec codec) {
    codec.register(70, AdmitRequest.class).register(71, AdmitResponse.class);
  }

  /**
   * A new message, on its way from an edge to the leading store. Response: {@link AdmitResponse}.
   */
  public static final class AdmitRequest {
    public long requestId;
    public StoredMessage message;

    /**
     * Set when the message must not be accepted any more: the response says whether it was, or
     * promises that it never will be.
     */
    public Boolean revoked;

    /**
     * Milliseconds for which the edge held the message before this request; null for hardly any.
     */
    public Integer heldMs;
  }

  /** What became of a message; none comes when the leadership ended meanwhile. */
  public static final class AdmitResponse {
    public long requestId;
    public int outcome;
  }
}
