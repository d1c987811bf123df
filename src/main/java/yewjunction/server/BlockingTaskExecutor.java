package yewjunction.server;

import static yewjunction.common.ErrorCode.STORAGE_FULL;
import static yewjunction.limits.StorageLimits.DISK_RETRY_INTERVAL_MS;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.IntConsumer;
import yewjunction.common.AgentContext;
import yewjunction.common.ExitCode;
import yewjunction.common.LogEvent;
import yewjunction.common.YewjunctionException;
import yewjunction.raft.TaskExecutor;

/**
 * One daemon thread for blocking disk work, in order. It shares no state with the agent. A full
 * disk is tried again until there is room; after any other failure the process ends with exit code
 * 5.
 */
final class BlockingTaskExecutor implements TaskExecutor {
  private final AgentContext context;
  private final IntConsumer exit;
  private final ExecutorService pool =
      Executors.newSingleThreadExecutor(task -> DaemonThreads.newThread(task, "disk"));

  /**
   * Creates the thread.
   *
   * @param exit ends the process at once with an exit code
   */
  BlockingTaskExecutor(final AgentContext context, final IntConsumer exit) {
    this.context = context;
    this.exit = exit;
  }

  @Override
  public void execute(final Runnable blocking, final Runnable continuation) {
    pool.execute(
        () -> {
          try {
            runRetryingFullDisk(blocking);
            context.execute(continuation);
          } catch (final Throwable failure) {
            // A disk that failed a sync can no longer be trusted. An {@link Error} too ends the
            // process: the pool would go on with another thread, and the agent would wait for ever.
            try {
              LogEvent.DISK_FAILED.warn(String.valueOf(failure.getMessage()), failure);
            } finally {
              exit.accept(ExitCode.DISK_FAILED);
            }
          }
        });
  }

  /** Runs work again and again while the disk is full: nothing is acknowledged meanwhile. */
  private static void runRetryingFullDisk(final Runnable blocking) throws InterruptedException {
    boolean told = false;
    while (true) {
      try {
        blocking.run();
        if (told) {
          LogEvent.DISK_RECOVERED.info("after a while without room");
        }
        return;
      } catch (final YewjunctionException failure) {
        if (failure.code() != STORAGE_FULL) {
          throw failure;
        }
        if (!told) {
          LogEvent.DISK_FULL.warn(failure.getMessage());
          told = true;
        }
        Thread.sleep(DISK_RETRY_INTERVAL_MS);
      }
    }
  }
}
