package yewjunction.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.agrona.concurrent.Agent;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;

/**
 * The one agent of a process: it waits in its selector, then runs what is ready, what was handed to
 * it, and what is due. It owns all state of the process; {@link #execute} is the only call that
 * other threads may make.
 *
 * <p>A task that throws is logged and abandoned, and the process continues: state is changed only
 * after checks. An {@link Error} other than a stack overflow ends the process.
 */
public final class EventLoopAgent implements Agent, AgentContext {
  private final Selector selector;
  private final CommandQueue<Runnable> commands = new CommandQueue<>();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final ArrayDeque<Runnable> flushes = new ArrayDeque<>();
  private final Random random;
  private long timerCount;
  private volatile Thread ownerThread;

  private record Timer(long atMs, long order, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(final Timer other) {
      final int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Handles a channel that is ready. */
  interface ReadyHandler {
    void ready(SelectionKey key) throws IOException;
  }

  /**
   * Opens the selector; the agent runs on the thread that calls {@link #doWork}.
   *
   * @param seed of the random numbers
   */
  public EventLoopAgent(final long seed) {
    random = new Random(seed);
    try {
      selector = Selector.open();
    } catch (final IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  Selector selector() {
    return selector;
  }

  /**
   * Runs a task once at the end of this turn, so that all that a turn writes goes out in one system
   * call.
   */
  void flushAtEndOfTurn(final Runnable flush) {
    flushes.add(flush);
  }

  @Override
  public long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void schedule(final long delayMs, final Runnable task) {
    timers.add(new Timer(nowMs() + delayMs, timerCount++, task));
  }

  @Override
  public void execute(final Runnable command) {
    commands.put(command);
    // The owner itself is awake and looks at the queue again before it waits.
    if (Thread.currentThread() != ownerThread && commands.shouldWakeOwner()) {
      selector.wakeup();
    }
  }

  @Override
  public Random random() {
    return random;
  }

  @Override
  public int doWork() throws IOException {
    ownerThread = Thread.currentThread();
    final Timer nextAlarm = timers.peek();
    final long waitMs = nextAlarm == null ? 1_000 : nextAlarm.atMs - nowMs();
    if (waitMs <= 0 || !commands.isEmpty()) {
      selector.selectNow();
    } else {
      selector.select(waitMs);
    }
    int work = 0;
    if (!selector.selectedKeys().isEmpty()) {
      final ArrayList<SelectionKey> readyKeys = new ArrayList<>(selector.selectedKeys());
      selector.selectedKeys().clear();
      for (final SelectionKey key : readyKeys) {
        work++;
        runGuarded(
            () -> {
              if (key.isValid()) {
                ((ReadyHandler) key.attachment()).ready(key);
              }
            });
      }
    }
    for (List<Runnable> waiting = commands.takeAll();
        !waiting.isEmpty();
        waiting = commands.takeAll()) {
      for (final Runnable command : waiting) {
        work++;
        runGuarded(command::run);
      }
    }
    final long nowMs = nowMs();
    while (!timers.isEmpty() && timers.peek().atMs <= nowMs) {
      work++;
      runGuarded(timers.poll().task::run);
    }
    while (!flushes.isEmpty()) {
      runGuarded(flushes.poll()::run);
    }
    return work;
  }

  private interface Step {
    void run() throws IOException;
  }

  private static void runGuarded(final Step turn) {
    try {
      turn.run();
    } catch (final IOException | RuntimeException | StackOverflowError failure) {
      // One task that throws must not end the process: state is changed only after checks. The same
      // goes for a stack overflow: a sender of input that nests too deep must not end node after
      // node. Other errors end the process.
      LogEvent.UNEXPECTED_ERROR.warn(String.valueOf(failure.getMessage()), failure);
    }
  }

  @Override
  public String roleName() {
    return "agent";
  }
}
