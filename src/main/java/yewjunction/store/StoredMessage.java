package yewjunction.store;

/**
 * A stored message; its index in the log is its position. Encoded by position: a field may be added
 * at the end, and none may be moved, removed or given another type.
 */
public final class StoredMessage {
  public long index;
  public String topic = "";
  public String client = "";
  public long sequenceNumber;
  public byte[] body = new byte[0];

  /** Whose quota it counts against, empty for none. */
  String tenant = "";

  /** Sets whose quota it counts against. */
  public void tenant(final String tenantName) {
    tenant = tenantName;
  }

  /**
   * Log time, only where the tenant has an account: null costs nothing on the wire and on the disk.
   */
  Long logTimeMs;

  /** What it changes in the accounts, in an entry that is no message; else null. */
  BorrowingTerms.TermsChange termsChange;

  /** When this store got it, by its own steady clock: other clocks mean nothing here. */
  transient long receivedMs;
}
