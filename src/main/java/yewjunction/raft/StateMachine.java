package yewjunction.raft;

/** What the log's committed entries drive. */
public interface StateMachine {
  void apply(long index, byte[] data);

  byte[] snapshot();

  void restore(long index, byte[] state);

  /**
   * The leader changed; null while none is known. Self only once all earlier entries are applied.
   */
  default void onLeaderChange(final String identity, final boolean self) {}

  /** All entries up to this index are applied. */
  default void onCommitted(final long commit) {}
}
