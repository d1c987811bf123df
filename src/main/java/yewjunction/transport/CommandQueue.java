package yewjunction.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Commands from any thread to the one owner, without a lock: the only state that threads share with
 * it (docs/control/threads.md).
 */
final class CommandQueue<T> {
  // Not Agrona's many-to-one queue: there a put that is half done hides finished ones behind it
  // (CommandQueueTest).
  private final ConcurrentLinkedQueue<T> queue = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean wakeupRequested = new AtomicBoolean();

  void put(final T command) {
    queue.add(command);
  }

  /** Whether the caller of a put has to wake the owner. One wake-up serves all that wait. */
  boolean shouldWakeOwner() {
    return wakeupRequested.compareAndSet(false, true);
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Takes all commands; called by the owner only. The flag is cleared first, so that a put which
   * finds it still set is seen by the loop that follows.
   */
  List<T> takeAll() {
    wakeupRequested.set(false);
    final List<T> taken = new ArrayList<>();
    T command;
    while ((command = queue.poll()) != null) {
      taken.add(command);
    }
    return taken;
  }
}
