package yewjunction.herald;

import java.util.Collection;
import java.util.List;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.herald.Letters.Cloth;
import yewjunction.herald.Letters.Gauge;
import yewjunction.herald.Letters.Match;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.GAUGE_CELLS;

/**
 * Carries the set between replicas. What belongs to one replica travels as a whole state, and only where the two sides
 * differ: digests go first.
 */
final class Shuttle {
    private final Pulse pulse;
    private final Weave weave;

    /** Changed: something may have been merged. */
    Shuttle(final Pulse pulse, final Post post, final Weave weave, final Runnable changed) {
        this.pulse = pulse;
        this.weave = weave;
        post.on(Gauge.class, this::gauge);
        post.on(Match.class, (link, match) -> {
            weave.receive(match.state);
            if (!match.wanted.isEmpty()) {
                push(link, match.wanted, 0);
            }
            changed.run();
        });
    }

    void push(final Link link, final Collection<Long> replicas, final long mark) {
        final Cloth cloth = new Cloth();
        cloth.state = weave.state(replicas);
        cloth.mark = mark;
        link.send(cloth);
    }

    /** Asks for what differs there; with mutual set, what differs here is given too. */
    void compare(final Link link, final int mostCells, final boolean mutual) {
        final Gauge gauge = new Gauge();
        gauge.marks = weave.marks();
        gauge.mostCells = mostCells;
        gauge.mutual = mutual;
        link.send(gauge);
    }

    private void gauge(final Link link, final Gauge gauge) {
        final Match match = new Match();
        match.state = weave.state(weave.news(gauge.marks, Math.min(gauge.mostCells, GAUGE_CELLS), pulse.luck()));
        match.wanted = gauge.mutual ? weave.wanted(gauge.marks) : List.of();
        link.send(match);
    }
}
