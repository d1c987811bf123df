package yewjunction.common;

import java.util.Random;

/**
 * What the owner of state is given of the world: a clock, timers, a queue of commands and random
 * numbers. In a server it is the event loop, in tests a simulated machine. Tasks run on the agent's
 * thread, one at a time; only {@link #execute} may be called from other threads.
 */
public interface AgentContext {
  /** Milliseconds of a steady clock; never the time of day, which may be stepped. */
  long nowMs();

  /** Runs the task once, on the agent's thread. Called on the agent's thread. */
  void schedule(long delayMs, Runnable task);

  /** Runs a command on the agent's thread. May be called from any thread. */
  void execute(Runnable command);

  /** Random numbers of this process; in simulations from the seed of the run. */
  Random random();

  /** Runs the task again and again, the first time after one period. */
  default void scheduleAtFixedRate(final long periodMs, final Runnable task) {
    schedule(
        periodMs,
        () -> {
          // Scheduled again before it runs, so that an exception does not end the series.
          scheduleAtFixedRate(periodMs, task);
          task.run();
        });
  }
}
