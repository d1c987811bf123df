package yewjunction.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import yewjunction.common.AgentContext;
import yewjunction.common.ErrorCode;
import yewjunction.common.ExitCode;
import yewjunction.raft.TaskExecutor;

/** The disk thread: whoever gave it work hears of it, or the process ends. */
class BlockingTaskExecutorTest {
  private final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
  private final BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();
  private final AgentContext context =
      new AgentContext() {
        @Override
        public long nowMs() {
          return 0;
        }

        @Override
        public void schedule(final long delayMs, final Runnable task) {
          throw new UnsupportedOperationException("alarms belong to the owner's thread");
        }

        @Override
        public void execute(final Runnable command) {
          posted.add(command);
        }

        @Override
        public Random random() {
          throw new UnsupportedOperationException();
        }
      };

  private static void fail() {
    throw new OutOfMemoryError("no room for a buffer");
  }

  /**
   * The invariant: work that was given is answered, or the process ends; it is never silently
   * forgotten.
   */
  private boolean answeredOrEnded(final TaskExecutor executor) throws InterruptedException {
    executor.execute(BlockingTaskExecutorTest::fail, () -> {});
    // The one thread takes things in order: once this is answered, the one before has had its turn.
    executor.execute(() -> {}, () -> codes.add(-1));
    final Runnable response = posted.poll(10, TimeUnit.SECONDS);
    assertTrue(response != null, "the next work was not answered");
    return posted.poll(200, TimeUnit.MILLISECONDS) != null || !codes.isEmpty();
  }

  @Test
  void anErrorEndsTheProcess() throws InterruptedException {
    assertTrue(answeredOrEnded(new BlockingTaskExecutor(context, codes::add)));
    assertEquals(ExitCode.DISK_FAILED, codes.poll());
  }

  /** Planted: only exceptions are looked at, and the pool goes on with another thread. */
  @Test
  void anErrorThatOnlyTheThreadHearsOfShows() throws InterruptedException {
    final ExecutorService pool =
        Executors.newSingleThreadExecutor(
            task -> {
              final Thread thread = new Thread(task);
              thread.setUncaughtExceptionHandler((dead, failure) -> {});
              return thread;
            });
    assertEquals(
        false,
        answeredOrEnded(
            (blocking, continuation) ->
                pool.execute(
                    () -> {
                      try {
                        blocking.run();
                      } catch (final RuntimeException failure) {
                        codes.add(ExitCode.DISK_FAILED);
                      }
                      context.execute(continuation);
                    })));
    pool.shutdown();
  }

  @Test
  void aFailedSyncEndsTheProcessAndNobodyIsToldThatItWorked() throws InterruptedException {
    final BlockingTaskExecutor worker = new BlockingTaskExecutor(context, codes::add);
    worker.execute(
        () -> {
          throw new yewjunction.raft.StorageException(ErrorCode.STORAGE_FAILED, "sync failed");
        },
        () -> {});
    assertEquals(ExitCode.DISK_FAILED, codes.poll(10, TimeUnit.SECONDS));
    assertNull(posted.poll());
  }

  @Test
  void afterAFullDiskTheVerySameIsWrittenAndTheOrderStays() throws InterruptedException {
    final BlockingTaskExecutor worker = new BlockingTaskExecutor(context, codes::add);
    final List<String> written = new ArrayList<>();
    final int[] tries = new int[1];
    worker.execute(
        () -> {
          if (tries[0]++ < 2) {
            throw new yewjunction.raft.StorageException(ErrorCode.STORAGE_FULL, "no room");
          }
          written.add("one");
        },
        () -> written.add("one answered"));
    worker.execute(() -> written.add("two"), () -> written.add("two answered"));
    for (int answered = 0; answered < 2; answered++) {
      final Runnable response = posted.poll(10, TimeUnit.SECONDS);
      assertTrue(response != null, "not answered");
      response.run();
    }
    assertEquals(
        List.of("one", "two"), written.stream().filter(one -> !one.contains("answered")).toList());
    assertTrue(
        written.indexOf("one answered") < written.indexOf("two answered") && codes.isEmpty());
  }
}
