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
 * The one agent of a process: blocks in its selector, then runs what is due. Owner of all tables.
 */
public final class EventLoopAgent implements Agent, AgentContext {
  private final Selector selector;
  private final CommandQueue<Runnable> commands = new CommandQueue<>();
  private final PriorityQueue<Timer> alarms = new PriorityQueue<>();
  private final ArrayDeque<Runnable> flushes = new ArrayDeque<>();
  private final Random random;
  private long alarmCount;
  private volatile Thread ownerThread;

  private record Timer(long atMs, long order, Runnable task) implements Comparable<Timer> {
    @Override
    public int compareTo(final Timer other) {
      final int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Takes a ready key. */
  interface ReadyHandler {
    void ready(SelectionKey key) throws IOException;
  }

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

  /** Runs once at the end of this turn: links gather what a turn wrote into one write. */
  void flushLater(final Runnable flush) {
    flushes.add(flush);
  }

  @Override
  public long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void after(final long delayMs, final Runnable task) {
    alarms.add(new Timer(nowMs() + delayMs, alarmCount++, task));
  }

  @Override
  public void post(final Runnable command) {
    commands.put(command);
    // The owner itself is awake: it looks at the queue again before it waits.
    if (Thread.currentThread() != ownerThread && commands.mustWake()) {
      selector.wakeup();
    }
  }

  @Override
  public Random luck() {
    return random;
  }

  @Override
  public int doWork() throws IOException {
    ownerThread = Thread.currentThread();
    final Timer nextAlarm = alarms.peek();
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
        guard(
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
        guard(command::run);
      }
    }
    final long nowMs = nowMs();
    while (!alarms.isEmpty() && alarms.peek().atMs <= nowMs) {
      work++;
      guard(alarms.poll().task::run);
    }
    while (!flushes.isEmpty()) {
      guard(flushes.poll()::run);
    }
    return work;
  }

  private interface Step {
    void run() throws IOException;
  }

  private static void guard(final Step turn) {
    try {
      turn.run();
    } catch (final IOException | RuntimeException | StackOverflowError failure) {
      // One broken turn must not end the process: state is changed only after checks. What nests
      // too deep fails in
      // the same way, and whoever sent it must not be able to end node after node. Other errors end
      // the process.
      LogEvent.TURN_DEFECT.warn(String.valueOf(failure.getMessage()), failure);
    }
  }

  @Override
  public String roleName() {
    return "loom";
  }
}
