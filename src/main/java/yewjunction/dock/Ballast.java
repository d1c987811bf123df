package yewjunction.dock;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import yewjunction.base.Event;

import static yewjunction.base.Limits.CLIENTS_QUEUE_BYTES;

/** What waits for all clients of an edge together stays inside its memory. */
final class Ballast {
    private Ballast() {
    }

    /** Readers that stall in numbers would fill the memory together: those that are furthest behind are cut. */
    static void cutSlowest(final Collection<Berth> berths) {
        final List<Berth> slow = new ArrayList<>();
        long waiting = 0;
        for (final Berth berth : berths) {
            if (berth.line.waiting() > 0) {
                slow.add(berth);
                waiting += berth.line.waiting();
            }
        }
        slow.sort((one, other) -> Integer.compare(other.line.waiting(), one.line.waiting()));
        for (int place = 0; waiting > CLIENTS_QUEUE_BYTES; place++) {
            waiting -= slow.get(place).line.waiting();
            Event.CLIENT_SLOW.info(slow.get(place).client);
            slow.get(place).line.close();
        }
    }
}
