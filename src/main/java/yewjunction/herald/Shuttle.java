package yewjunction.herald;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
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
    private final Supplier<Collection<Long>> own;

    /** Own: the replicas that this process hears of first. Changed: something may have been merged. */
    Shuttle(final Pulse pulse, final Post post, final Weave weave, final Supplier<Collection<Long>> own, final Runnable changed) {
        this.own = own;
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
        link.send(gauge(mostCells, mutual));
    }

    /** Asks for the parts of that home's own edges, where they differ. */
    void compareOwn(final Link link) {
        final Gauge gauge = gauge(GAUGE_CELLS, false);
        gauge.own = true;
        link.send(gauge);
    }

    private Gauge gauge(final int mostCells, final boolean mutual) {
        final Gauge gauge = new Gauge();
        gauge.marks = weave.marks();
        gauge.mostCells = mostCells;
        gauge.mutual = mutual;
        return gauge;
    }

    private void gauge(final Link link, final Gauge gauge) {
        final Match match = new Match();
        final int mostCells = Math.min(gauge.mostCells, GAUGE_CELLS);
        match.state = weave.state(gauge.own == null ? weave.news(gauge.marks, mostCells, pulse.luck())
            : weave.newsOf(own.get(), gauge.marks, mostCells, pulse.luck()));
        match.wanted = gauge.mutual ? weave.wanted(gauge.marks) : List.of();
        link.send(match);
    }
}
