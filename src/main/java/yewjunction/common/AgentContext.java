package yewjunction.common;

import java.util.Random;

/**
 * What the owner of state is given of the world: a clock, timers, a queue of commands and random
 * numbers. In a server it is the event loop, in tests a simulated machine. Tasks run on the agent's
 * thread, one at a time; only {@link #execute} may be called from other threads.
 */
public interface AgentContext {
  /** Steady milliseconds; never the time of day, so a stepped clock moves no lease. */
  long nowMs();

  /** Runs the task once on the owner's thread. */
  void schedule(long delayMs, Runnable task);

  /** Hands a command to the owner's thread from any thread. */
  void execute(Runnable command);

  /** Random numbers of this process; in simulations from the seed of the run. */
  Random random();

  /** Runs the task again and again; the first time after one period. */
  default void scheduleAtFixedRate(final long periodMs, final Runnable task) {
    schedule(
        periodMs,
        () -> {
          // Re-arm before running, so that a failure in one turn does not end the rest.
          scheduleAtFixedRate(periodMs, task);
          task.run();
        });
  }
}
