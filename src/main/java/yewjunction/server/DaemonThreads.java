package yewjunction.server;

/**
 * Threads of a server process beside the agent's: named, with a small stack, and ended with the
 * JVM.
 */
final class DaemonThreads {
  /** Bytes: a thread of these runs a few short frames, and each is paid for in memory. */
  private static final long STACK_BYTES = 128 << 10;

  private DaemonThreads() {}

  static Thread newThread(final Runnable task, final String name) {
    final Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }
}
