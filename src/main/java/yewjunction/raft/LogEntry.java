package yewjunction.raft;

/** One entry of the log. */
public final class LogEntry {
  static final int NO_OP = 0;
  static final int DATA = 1;
  static final int VOTERS = 2;

  public long index;
  public long term;
  public int kind;
  public byte[] data = new byte[0];

  public LogEntry() {}

  LogEntry(final long index, final long term, final int kind, final byte[] data) {
    this.index = index;
    this.term = term;
    this.kind = kind;
    this.data = data;
  }
}
