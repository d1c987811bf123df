package yewjunction.loom;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.OpGroupConfig;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What threads share: every command arrives once, and none waits for a wake-up that nobody sends. */
public class InboxTest {
    /** Several threads put, one takes: equal to some order of whole steps. */
    @OpGroupConfig(name = "owner", nonParallel = true)
    public static class Shared {
        private final Inbox<Integer> inbox = new Inbox<>();

        @Operation
        public void put(final int command) {
            inbox.put(command);
        }

        @Operation(group = "owner")
        public List<Integer> takeAll() {
            return inbox.takeAll();
        }
    }

    @Test
    void putsAndTakesAreLinearizable() {
        LinChecker.check(Shared.class, new StressOptions().iterations(10).invocationsPerIteration(300)
            .threads(3).actorsPerThread(3));
    }

    @Test
    void oneWakeUpServesAllThatWaitAndTheNextIsAskedForAgain() {
        final Inbox<Integer> inbox = new Inbox<>();
        inbox.put(1);
        assertTrue(inbox.mustWake());
        inbox.put(2);
        assertFalse(inbox.mustWake());
        assertEquals(List.of(1, 2), inbox.takeAll());
        inbox.put(3);
        assertTrue(inbox.mustWake());
    }

    @Test
    void noCommandIsLeftBehindAsleep() throws Exception {
        // The owner blocks with no alarm near: a lost wake-up would show as a second's wait for each command.
        final Loom loom = new Loom(1);
        final int total = 2_000;
        final CountDownLatch run = new CountDownLatch(2 * total);
        final Thread owner = new Thread(() -> {
            try {
                while (run.getCount() > 0) {
                    loom.doWork();
                }
            } catch (final java.io.IOException defect) {
                throw new java.io.UncheckedIOException(defect);
            }
        });
        owner.start();
        final Thread[] putters = new Thread[2];
        for (int i = 0; i < putters.length; i++) {
            putters[i] = new Thread(() -> {
                for (int command = 0; command < total; command++) {
                    loom.post(run::countDown);
                }
            });
            putters[i].start();
        }
        for (final Thread putter : putters) {
            putter.join();
        }
        assertTrue(run.await(20, java.util.concurrent.TimeUnit.SECONDS));
        owner.join();
    }
}
