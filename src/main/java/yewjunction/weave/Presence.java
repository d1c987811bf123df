package yewjunction.weave;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

/** Which clients of each replica are without a link; only the replica itself raises its number, and the higher wins. */
final class Presence {
    private final Map<Long, Absence> absences = new HashMap<>();

    record Absence(long number, Set<String> clients) {
    }

    Map<Long, Absence> all() {
        return absences;
    }

    boolean away(final long replica, final String client) {
        final Absence absence = absences.get(replica);
        return absence != null && absence.clients.contains(client);
    }

    /** True when that is news. */
    boolean set(final long self, final String client, final boolean away) {
        if (self == 0 || away(self, client) == away) {
            return false;
        }
        final Absence known = absences.getOrDefault(self, new Absence(0, Set.of()));
        final Set<String> clients = new HashSet<>(known.clients);
        if (away) {
            clients.add(client);
        } else {
            clients.remove(client);
        }
        absences.put(self, new Absence(known.number + 1, clients));
        return true;
    }

    boolean merge(final long self, final Map<Long, Absence> incoming, final LongPredicate retired) {
        boolean changed = false;
        for (final Map.Entry<Long, Absence> one : incoming.entrySet()) {
            final Absence known = absences.get(one.getKey());
            if (one.getKey() != self && !retired.test(one.getKey()) && (known == null || known.number < one.getValue().number)) {
                absences.put(one.getKey(), one.getValue());
                changed = true;
            }
        }
        return changed;
    }

    boolean drop(final LongPredicate retired) {
        return absences.keySet().removeIf(retired::test);
    }
}
