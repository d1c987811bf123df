package yewjunction.raft;

/**
 * Runs blocking work off the agent's thread, in the order given, and then a continuation on the
 * agent's thread. If the work fails, the continuation never runs: the implementation ends the
 * process, or tries again where the disk is full.
 */
public interface TaskExecutor {
  /** Runs the work elsewhere and the continuation on the agent's thread. */
  void execute(Runnable blocking, Runnable continuation);
}
