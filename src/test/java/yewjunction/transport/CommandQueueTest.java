package yewjunction.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.simulation.InterleavingChecks.everySwitch;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.LincheckAssertionError;
import org.jetbrains.kotlinx.lincheck.annotations.OpGroupConfig;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Validate;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * What threads share: every command arrives once, and none waits for a wake-up that nobody sends.
 */
public class CommandQueueTest {
  private static final int ITERATIONS = 8;

  /** Several threads put, one takes: equal to some order of whole steps. */
  @OpGroupConfig(name = "owner", nonParallel = true)
  public static class Shared {
    private final CommandQueue<Integer> inbox = new CommandQueue<>();

    @Operation
    public void put(final int command) {
      inbox.put(command);
    }

    @Operation(group = "owner")
    public List<Integer> takeAll() {
      return inbox.takeAll();
    }
  }

  /**
   * The owner's turn as the loom has it, with a flag for the selector's pending wake-up, switched
   * at any point. Whether a command is served at once is not asked, but that none is left behind
   * once all who put are done.
   */
  @OpGroupConfig(name = "owner", nonParallel = true)
  public static class Sleeper {
    private final CommandQueue<Integer> inbox = new CommandQueue<>();
    private final AtomicBoolean wakeUp = new AtomicBoolean();
    private volatile boolean asleep;

    @Operation
    public void post(final int command) {
      put(command);
      wake();
    }

    final void put(final int command) {
      inbox.put(command);
    }

    final void wake() {
      if (inbox.shouldWakeOwner()) {
        wakeUp.set(true);
      }
    }

    @Operation(group = "owner")
    public void turn() {
      if (asleep || inbox.isEmpty()) {
        asleep = true;
        if (!wakeUp.get()) {
          return;
        }
      }
      asleep = false;
      wakeUp.set(false);
      inbox.takeAll();
    }

    @Validate
    public void nothingWaitsForAnOwnerThatSleeps() {
      if (asleep && !wakeUp.get() && !inbox.isEmpty()) {
        throw new IllegalStateException("a command is left behind");
      }
    }
  }

  /**
   * Planted: the flag is put up by who puts, before the put; the owner may take, lower the flag and
   * sleep in between.
   */
  public static class Hasty extends Sleeper {
    @Override
    @Operation
    public void post(final int command) {
      wake();
      put(command);
    }
  }

  @Test
  void noSwitchLeavesACommandBehind() {
    LinChecker.check(Sleeper.class, everySwitch(ITERATIONS));
  }

  @Test
  void aWakeUpBeforeThePutShows() {
    assertThrows(
        LincheckAssertionError.class, () -> LinChecker.check(Hasty.class, everySwitch(ITERATIONS)));
  }

  @Test
  void putsAndTakesAreLinearizable() {
    LinChecker.check(
        Shared.class,
        new StressOptions()
            .iterations(10)
            .invocationsPerIteration(300)
            .threads(3)
            .actorsPerThread(3));
  }

  @Test
  void oneWakeUpServesAllThatWaitAndTheNextIsAskedForAgain() {
    final CommandQueue<Integer> inbox = new CommandQueue<>();
    inbox.put(1);
    assertTrue(inbox.shouldWakeOwner());
    inbox.put(2);
    assertFalse(inbox.shouldWakeOwner());
    assertEquals(List.of(1, 2), inbox.takeAll());
    inbox.put(3);
    assertTrue(inbox.shouldWakeOwner());
  }

  @Test
  void noCommandIsLeftBehindAsleep() throws Exception {
    // The owner blocks with no alarm near: a lost wake-up would show as a second's wait for each
    // command.
    final EventLoopAgent agent = new EventLoopAgent(1);
    final int total = 2_000;
    final CountDownLatch run = new CountDownLatch(2 * total);
    final Thread owner =
        new Thread(
            () -> {
              try {
                while (run.getCount() > 0) {
                  agent.doWork();
                }
              } catch (final java.io.IOException failure) {
                throw new java.io.UncheckedIOException(failure);
              }
            });
    owner.start();
    final Thread[] putters = new Thread[2];
    for (int i = 0; i < putters.length; i++) {
      putters[i] =
          new Thread(
              () -> {
                for (int command = 0; command < total; command++) {
                  agent.execute(run::countDown);
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
