package yewjunction.raft;

/**
 * What the committed entries of a group drive. It must be deterministic: the same entries make the
 * same state at every member. All calls on the agent's thread.
 */
public interface StateMachine {
  /** Applies a committed entry; indices rise, with gaps where an entry is the group's own. */
  void apply(long index, byte[] data);

  /** The whole state after the entries applied so far. */
  byte[] snapshot();

  /** Replaces the whole state by a snapshot that covers all entries up to the index. */
  void restore(long index, byte[] state);

  /**
   * The leader changed; null while none is known. Self is true only once all entries of earlier
   * terms are applied.
   */
  default void onLeaderChange(final String identity, final boolean self) {}

  /** All entries up to this index are applied. */
  default void onCommitted(final long commit) {}
}
