package yewjunction.store;

/**
 * A stored message; its index in the log is its position. Encoded by position: a field may be added
 * at the end, and none may be moved, removed or given another type.
 */
public final class StoredMessage {
  private static final long MS_PER_S = 1_000;

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

  /**
   * Seconds for which it is kept at least, whatever later configurations say; null in entries of
   * releases that did not record it.
   */
  Long retentionS;

  /** When this store got it, by its own steady clock: other clocks mean nothing here. */
  transient long receivedMs;

  /** Sets for how long it is kept at least: the retention of the route that it is sent under. */
  public void retainFor(final long retentionMs) {
    // Whole seconds, rounded up: one byte on the wire and on the disk.
    retentionS = (retentionMs + MS_PER_S - 1) / MS_PER_S;
  }

  /** A configuration keeps it for longer; does nothing where its retention is not recorded. */
  void extendRetention(final long retentionMs) {
    if (retentionS != null && retentionMs > retentionS * MS_PER_S) {
      retainFor(retentionMs);
    }
  }

  /** Milliseconds for which it is kept at least. */
  long retentionMs(final long unrecordedRetentionMs) {
    return retentionS == null ? unrecordedRetentionMs : retentionS * MS_PER_S;
  }
}
