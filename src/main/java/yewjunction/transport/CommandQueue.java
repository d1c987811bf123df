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
  // (InboxTest).
  private final ConcurrentLinkedQueue<T> queue = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean wakeupRequested = new AtomicBoolean();

  void put(final T command) {
    queue.add(command);
  }

  /**
   * After a put: whether this caller must wake the owner. One wake-up serves however many wait:
   * each is charged.
   */
  boolean shouldWakeOwner() {
    return wakeupRequested.compareAndSet(false, true);
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * By the owner only. The flag goes down first: a put that finds it still up is seen by the look
   * that follows.
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
