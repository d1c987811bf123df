package yewjunction.raft;

/**
 * One entry of the log. Its fields are encoded by position: neither their order nor their types may
 * change.
 */
public final class LogEntry {
  static final int NO_OP = 0;
  static final int DATA = 1;
  static final int VOTERS = 2;

  public long index;
  public long term;
  public int kind;
  public byte[] data = new byte[0];

  /** For the codec. */
  public LogEntry() {}

  LogEntry(final long index, final long term, final int kind, final byte[] data) {
    this.index = index;
    this.term = term;
    this.kind = kind;
    this.data = data;
  }
}
