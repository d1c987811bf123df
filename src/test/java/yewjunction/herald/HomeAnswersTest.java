package yewjunction.herald;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yewjunction.base.Link;
import yewjunction.herald.Letters.Attach;
import yewjunction.herald.Letters.Flow;
import yewjunction.herald.Letters.Taken;
import yewjunction.herald.Letters.Welcome;
import yewjunction.sim.Dialling;
import yewjunction.sim.Host;
import yewjunction.sim.World;
import yewjunction.vault.Message;
import yewjunction.weave.Weave;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.base.Limits.HOME_SILENCE_MS;

/** What the link to a former home still brings counts for nothing: the link is the question, and ends with it. */
class HomeAnswersTest {
    private final Dialling links = new Dialling();
    private final List<String> told = new ArrayList<>();
    private World world;
    private Link former;

    private final class Telling implements Envoy.Watcher {
        @Override
        public void message(final Message message) {
            told.add("message " + message.topic);
        }

        @Override
        public void taken(final long request, final boolean expired, final long position, final List<Message> behind, final boolean more) {
            told.add("taken " + request);
        }

        @Override
        public void leaderIs(final String address) {
            told.add("leader " + address);
        }

        @Override
        public void leaderHeard() {
            // At each piece of the stream.
        }

        @Override
        public void attached() {
            told.add("attached");
        }

        @Override
        public void gapped() {
            told.add("gapped");
        }
    }

    private void welcome(final Link on, final long start) {
        final Welcome welcome = new Welcome();
        welcome.accepted = true;
        welcome.start = start;
        links.answer(on, welcome);
    }

    /** Attached to one home, which falls silent, and asked of the next one at the same address anew. */
    @BeforeEach
    void begin() {
        world = new World(1);
        final Host host = world.host("edge:1");
        host.boot();
        final Weave weave = new Weave();
        weave.self(1);
        final Envoy envoy = new Envoy(host, links, weave, "edge", () -> List.of("vault:1"), new Telling(), () -> { });
        envoy.attach();
        former = links.dial("vault:1");
        welcome(former, 10);
        assertEquals(List.of("attached"), told);
        world.runFor(2 * HOME_SILENCE_MS);
        assertNotSame(former, links.dial("vault:1"));
        assertTrue(links.dial("vault:1").newest() instanceof Attach);
        told.clear();
    }

    private void allOfIt(final Link on) {
        welcome(on, 10);
        final Taken taken = new Taken();
        taken.request = 7;
        links.answer(on, taken);
        final Flow flow = new Flow();
        flow.from = 10;
        flow.upTo = 11;
        flow.leader = "leader:1";
        final Message message = new Message();
        message.topic = "s.x";
        flow.messages.add(message);
        links.answer(on, flow);
    }

    @Test
    void aFormerLinksAnswersAreNone() {
        allOfIt(former);
        assertEquals(List.of(), told);
    }

    /** The fault planted: the same comes on the present home's link. */
    @Test
    void onThePresentLinkTheyCount() {
        allOfIt(links.dial("vault:1"));
        assertEquals(List.of("attached", "taken 7", "message s.x", "leader leader:1"), told);
    }

    @Test
    void nothingIsTakenBeforeTheHomeHasSaidYes() {
        final Taken taken = new Taken();
        taken.request = 7;
        links.answer(links.dial("vault:1"), taken);
        links.answer(links.dial("vault:1"), new Flow());
        assertEquals(List.of(), told);
    }
}
