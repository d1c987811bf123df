package yewjunction.common;

import static yewjunction.limits.TransportLimits.REQUEST_ID_SEED_BITS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that one life of a process has sent and that are open, each by its id, with whom it was
 * sent to. A response counts once, and only from there. Ids go on from a start that the life draws,
 * so that a response to an earlier life meets no request: the id alone says whose request it was,
 * and messages need no further field.
 *
 * @param <P> the responder: a connection, which ends with either process, or the address where
 *     datagrams leave nothing better
 * @param <T> the context that the requester gets back with the response
 */
public final class PendingRequests<P, T> {
  private final Map<Long, Pending<P, T>> pending = new HashMap<>();
  private long newestId;

  private record Pending<P, T>(P responder, T context) {}

  /**
   * Starts without requests.
   *
   * @param life the number that the process drew at its start
   */
  public PendingRequests(final long life) {
    // Mixed as SplitMix64 does, so that lives near one another begin far apart.
    long mixed = life * 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    newestId = (mixed ^ mixed >>> 31) >>> Long.SIZE - REQUEST_ID_SEED_BITS;
  }

  /** Adds a request; returns the id that the response has to repeat. */
  public long add(final P peer, final T about) {
    pending.put(++newestId, new Pending<>(peer, about));
    return newestId;
  }

  /**
   * Completes a request and returns its context; null, without any effect, when no pending request
   * with that id was sent to that responder.
   */
  public T complete(final long number, final P from) {
    final Pending<P, T> question = pending.get(number);
    if (question == null || !question.responder.equals(from)) {
      return null;
    }
    pending.remove(number);
    return question.context;
  }

  /** Whether no response is awaited. */
  public boolean isEmpty() {
    return pending.isEmpty();
  }

  /** No response to the request counts any more. */
  public void cancel(final long number) {
    pending.remove(number);
  }

  /** No response to an earlier request counts any more. */
  public void cancelAll() {
    pending.clear();
  }

  /** Cancels all requests whose context matches, and returns the contexts. */
  public List<T> cancel(final Predicate<T> over) {
    final List<T> dropped = new ArrayList<>();
    pending
        .values()
        .removeIf(question -> over.test(question.context) && dropped.add(question.context));
    return dropped;
  }
}
