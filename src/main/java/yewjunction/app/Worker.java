package yewjunction.app;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import yewjunction.base.Event;
import yewjunction.base.Pulse;
import yewjunction.ledger.Clerk;

/** The pool for blocking work: disk syncs, in order. It shares no table with the owner, so there is no lock to order. */
final class Worker implements Clerk {
    private final Pulse pulse;
    private final ExecutorService pool = Executors.newSingleThreadExecutor(task -> {
        final Thread thread = new Thread(null, task, "worker", 128 << 10);
        thread.setDaemon(true);
        return thread;
    });

    Worker(final Pulse pulse) {
        this.pulse = pulse;
    }

    @Override
    public void work(final Runnable blocking, final Runnable afterwards) {
        pool.execute(() -> {
            try {
                blocking.run();
            } catch (final RuntimeException defect) {
                // A disk that fails a write or a sync can no longer be trusted: better down than wrong.
                Event.DISK_FAILED.warn(String.valueOf(defect.getMessage()), defect);
                Runtime.getRuntime().halt(Main.EXIT_DISK);
            }
            pulse.post(afterwards);
        });
    }
}
