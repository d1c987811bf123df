package yewjunction.dock;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.dock.Intake.Parcel;

/**
 * Messages that stay at the edge until their sender's lower numbers on the channels theirs follows are settled: only so do
 * they get a later place in the log.
 */
final class Pipeline {
    private final Map<Parcel, Set<Parcel>> held = new LinkedHashMap<>();

    /** True when it waits for some of those under way. */
    boolean holds(final Parcel parcel, final Collection<Parcel> underWay) {
        final Set<Parcel> earlier = new HashSet<>();
        for (final Parcel other : underWay) {
            if (other.berth == parcel.berth && other.message.number < parcel.message.number && parcel.space.follows(other.space)) {
                earlier.add(other);
            }
        }
        if (!earlier.isEmpty()) {
            held.put(parcel, earlier);
        }
        return !earlier.isEmpty();
    }

    boolean holding(final Parcel parcel) {
        return held.containsKey(parcel);
    }

    void drop(final Parcel parcel) {
        held.remove(parcel);
    }

    /** One that waited no longer does: those that have nothing left to wait for. */
    List<Parcel> accepted(final Parcel parcel) {
        final List<Parcel> free = new ArrayList<>();
        held.forEach((later, earlier) -> {
            if (earlier.remove(parcel) && earlier.isEmpty()) {
                free.add(later);
            }
        });
        free.forEach(held::remove);
        return free;
    }

    /** What they were to follow was not accepted: they must not go either. */
    List<Parcel> bereft(final Parcel parcel) {
        final List<Parcel> bereft = new ArrayList<>();
        held.forEach((later, earlier) -> {
            if (earlier.contains(parcel)) {
                bereft.add(later);
            }
        });
        bereft.forEach(held::remove);
        return bereft;
    }
}
