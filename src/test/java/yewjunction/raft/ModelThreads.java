package yewjunction.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The same work on several threads; a failure of the check itself ends it and is never taken for a
 * pass.
 */
final class ModelThreads {
  private ModelThreads() {}

  static void run(final int count, final Runnable work) {
    final AtomicReference<Throwable> failure = new AtomicReference<>();
    final List<Thread> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      final Thread thread = new Thread(work, "model-" + i);
      thread.setUncaughtExceptionHandler((where, thrown) -> failure.set(thrown));
      thread.start();
      all.add(thread);
    }
    for (final Thread thread : all) {
      try {
        thread.join();
      } catch (final InterruptedException thrown) {
        throw new IllegalStateException(thrown);
      }
    }
    if (failure.get() != null) {
      throw new IllegalStateException("the check itself failed", failure.get());
    }
  }
}
