package yewjunction.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.gateway.PublishQueue.PendingPublish;

/**
 * Messages that stay at the edge until lower numbers of their sender on the channels theirs follows
 * are settled: only so do they get a later place in the log (docs/order.md).
 */
final class PublishDependencies {
  private final Map<PendingPublish, Set<PendingPublish>> predecessors = new LinkedHashMap<>();

  /** Holds a message back if it follows some of those under way; returns whether it does. */
  boolean holdIfDependent(final PendingPublish publish, final Collection<PendingPublish> underWay) {
    final Set<PendingPublish> earlier = new HashSet<>();
    for (final PendingPublish other : underWay) {
      if (other.session == publish.session
          && other.message.sequenceNumber < publish.message.sequenceNumber
          && publish.route.follows(other.route)) {
        earlier.add(other);
      }
    }
    if (!earlier.isEmpty()) {
      predecessors.put(publish, earlier);
    }
    return !earlier.isEmpty();
  }

  boolean isHeld(final PendingPublish publish) {
    return predecessors.containsKey(publish);
  }

  void drop(final PendingPublish publish) {
    predecessors.remove(publish);
  }

  /** A message was accepted: returns those that wait for nothing any more. */
  List<PendingPublish> onAccepted(final PendingPublish publish) {
    final List<PendingPublish> free = new ArrayList<>();
    predecessors.forEach(
        (later, earlier) -> {
          if (earlier.remove(publish) && earlier.isEmpty()) {
            free.add(later);
          }
        });
    free.forEach(predecessors::remove);
    return free;
  }

  /** A message was refused: returns those that follow it, which are held no longer. */
  List<PendingPublish> dependentsOf(final PendingPublish publish) {
    final List<PendingPublish> bereft = new ArrayList<>();
    predecessors.forEach(
        (later, earlier) -> {
          if (earlier.contains(publish)) {
            bereft.add(later);
          }
        });
    bereft.forEach(predecessors::remove);
    return bereft;
  }
}
