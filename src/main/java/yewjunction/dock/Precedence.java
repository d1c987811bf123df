package yewjunction.dock;

import yewjunction.charter.Charter;

import static yewjunction.base.Limits.FRESH_MS;
import static yewjunction.base.Limits.ORDER_BURST_MS;
import static yewjunction.base.Limits.ORDER_BURST_MOST_MS;

/** Which messages of a link must wait for earlier ones of the channels that theirs follows. */
final class Precedence {
    /** Some channel follows another: where none does, nothing here costs anything. */
    private boolean any;

    void charter(final Charter charter) {
        any = charter.spaces().stream().anyMatch(space -> !space.after().isEmpty());
    }

    /** Whether messages of this subscription may have to wait for those of others. */
    boolean follows(final Sub sub) {
        return any && sub.space != null && !sub.space.after().isEmpty();
    }

    /** Whether all earlier messages of the channels it follows have been written to this link. */
    boolean free(final Sub sub, final long index) {
        for (final Sub other : sub.berth.subs.values()) {
            if (other != sub && other.space != null && sub.space.follows(other.space) && other.pendingFrom() < index) {
                return false;
            }
        }
        return true;
    }

    /** A client that comes back names its subscriptions one after another: those it follows may not have been read yet. */
    boolean bursting(final Sub sub, final long nowMs) {
        final Berth berth = sub.berth;
        return sub.sinceMs - berth.greetedMs < FRESH_MS && nowMs - berth.subscribedMs < ORDER_BURST_MS
            && nowMs - sub.sinceMs < ORDER_BURST_MOST_MS;
    }
}
