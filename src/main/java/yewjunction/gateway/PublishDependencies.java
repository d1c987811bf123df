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
 * Messages that stay at the edge until their sender's lower numbers on the channels theirs follows
 * are settled: only so do they get a later place in the log.
 */
final class PublishDependencies {
  private final Map<PendingPublish, Set<PendingPublish>> held = new LinkedHashMap<>();

  /** True when it waits for some of those under way. */
  boolean holds(final PendingPublish parcel, final Collection<PendingPublish> underWay) {
    final Set<PendingPublish> earlier = new HashSet<>();
    for (final PendingPublish other : underWay) {
      if (other.berth == parcel.berth
          && other.message.number < parcel.message.number
          && parcel.space.follows(other.space)) {
        earlier.add(other);
      }
    }
    if (!earlier.isEmpty()) {
      held.put(parcel, earlier);
    }
    return !earlier.isEmpty();
  }

  boolean holding(final PendingPublish parcel) {
    return held.containsKey(parcel);
  }

  void drop(final PendingPublish parcel) {
    held.remove(parcel);
  }

  /** One that waited no longer does: those that have nothing left to wait for. */
  List<PendingPublish> accepted(final PendingPublish parcel) {
    final List<PendingPublish> free = new ArrayList<>();
    held.forEach(
        (later, earlier) -> {
          if (earlier.remove(parcel) && earlier.isEmpty()) {
            free.add(later);
          }
        });
    free.forEach(held::remove);
    return free;
  }

  /** What they were to follow was not accepted: they must not go either. */
  List<PendingPublish> bereft(final PendingPublish parcel) {
    final List<PendingPublish> bereft = new ArrayList<>();
    held.forEach(
        (later, earlier) -> {
          if (earlier.contains(parcel)) {
            bereft.add(later);
          }
        });
    bereft.forEach(held::remove);
    return bereft;
  }
}
