package yewjunction.raft;

/** Does blocking work elsewhere, in the order given, and comes back on the owner's thread. */
public interface TaskExecutor {
  void execute(Runnable blocking, Runnable afterwards);
}
