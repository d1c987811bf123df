package yewjunction.charter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.charter.Letters.Lease;
import yewjunction.charter.Letters.Renew;
import yewjunction.sim.Host;
import yewjunction.sim.Lives;
import yewjunction.sim.World;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.base.Limits.LEASE_MS;

/** A lease counts only as the answer to a question of this life, from the crux that it was asked of, and from when it was. */
class LeaseAnswersTest {
    private final List<String> homes = new ArrayList<>(List.of("near:1", "far:1"));
    private final Map<String, Asked> links = new HashMap<>();
    private BiConsumer<Link, Object> taker;
    private World world;
    private long lives;
    private Tenure tenure;

    /** A link to a crux, with what was asked on it. */
    private static final class Asked implements Link {
        private final String remote;
        private final List<Renew> renews = new ArrayList<>();

        Asked(final String remote) {
            this.remote = remote;
        }

        @Override
        public boolean send(final Object letter) {
            return renews.add((Renew) letter);
        }

        @Override
        public void close() {
        }

        @Override
        public boolean open() {
            return true;
        }

        @Override
        public String remote() {
            return remote;
        }

        Renew newest() {
            return renews.get(renews.size() - 1);
        }
    }

    private final class Dialling implements Post {
        @Override
        public Link dial(final String address) {
            return link(address);
        }

        @Override
        public <T> void on(final Class<T> kind, final BiConsumer<Link, T> handler) {
            taker = (link, letter) -> handler.accept(link, kind.cast(letter));
        }

        @Override
        public void onClose(final Consumer<Link> handler) {
        }
    }

    private static final class Silent implements Tenure.Watcher {
        @Override
        public void configChanged(final Charter charter) {
        }

        @Override
        public void factsChanged(final Facts facts) {
        }
    }

    private Asked link(final String address) {
        return links.computeIfAbsent(address, Asked::new);
    }

    /** A life of an edge, which has asked once and knows the configuration already. */
    private void begin(final boolean drawn) {
        links.clear();
        world = new World(++lives);
        final Host host = world.host("edge:1");
        host.boot();
        world.runFor(100_000);
        final Pulse pulse = drawn ? host : Lives.numberedAlike(host);
        tenure = new Tenure(pulse, new Dialling(), () -> homes, new Silent());
        tenure.start();
        final Lease news = new Lease();
        news.version = 7;
        news.json = CharterTest.json("", "");
        taker.accept(link("near:1"), news);
        assertFalse(tenure.held(), "news are no lease");
    }

    private void grant(final Link from, final Renew renew) {
        final Lease lease = new Lease();
        lease.held = true;
        lease.version = 7;
        lease.request = renew.request;
        taker.accept(from, lease);
    }

    @Test
    void itEndsSoLongAfterItsOwnQuestion() {
        begin(true);
        final Renew first = link("near:1").newest();
        final long askedMs = world.nowMs();
        world.runFor(300);
        assertTrue(link("far:1").renews.size() + link("near:1").renews.size() > 1, "a newer question is open");
        grant(link("near:1"), first);
        world.runFor(askedMs + LEASE_MS - 1 - world.nowMs());
        assertTrue(tenure.held());
        world.runFor(1);
        assertFalse(tenure.held());
    }

    @Test
    void anotherCruxsAnswerIsNone() {
        begin(true);
        grant(link("far:1"), link("near:1").newest());
        assertFalse(tenure.held());
        grant(link("near:1"), link("near:1").newest());
        assertTrue(tenure.held());
    }

    @Test
    void whoseAnswerCameIsAskedNext() {
        begin(true);
        final Renew first = link("near:1").newest();
        world.runUntil(() -> !link("far:1").renews.isEmpty(), 1_000);
        final int askedFar = link("far:1").renews.size();
        final int askedNear = link("near:1").renews.size();
        grant(link("near:1"), first);
        world.runUntil(() -> link("far:1").renews.size() > askedFar || link("near:1").renews.size() > askedNear, 1_000);
        assertEquals(askedFar, link("far:1").renews.size(), "the other one has not answered yet");
        assertEquals(askedNear + 1, link("near:1").renews.size());
        world.runFor(2_000);
        assertTrue(link("far:1").renews.size() > askedFar, "asked again once this one is silent");
    }

    /** An answer to the first life's question reaches the second one, as it were on a link that outlived the first. */
    private boolean heldByAnEarlierLifesLease(final boolean drawn) {
        begin(drawn);
        final Renew earlier = link("near:1").newest();
        begin(drawn);
        assertEquals(1, link("near:1").renews.size());
        grant(link("near:1"), earlier);
        return tenure.held();
    }

    @Test
    void anEarlierLifesLeaseIsNone() {
        assertFalse(heldByAnEarlierLifesLease(true));
    }

    /** The fault planted: numbers begin alike in each life. */
    @Test
    void withNumbersThatBeginAlikeItCounts() {
        assertTrue(heldByAnEarlierLifesLease(false));
    }
}
