package yewjunction.store;

import yewjunction.common.MessageCodec;

/** What edges and the leading store say to one another about new messages. */
public final class AdmissionMessages {
  private AdmissionMessages() {}

  public static final int ACCEPTED = 1;

  /** A promise: this number is not accepted and never will be. */
  public static final int DENIED = 2;

  /** Not the leader: nothing was done here. */
  public static final int NOT_LEADER = 3;

  public static void register(final MessageCodec codec) {
    codec.register(70, AdmitRequest.class).register(71, AdmitResponse.class);
  }

  public static final class AdmitRequest {
    public long requestId;
    public StoredMessage message;

    /**
     * Not to be accepted any more: asks for the leader's promise that it never will be, or for its
     * word that it was.
     */
    public Boolean revoked;
  }

  public static final class AdmitResponse {
    public long requestId;
    public int outcome;
  }
}
