package yewjunction.herald;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.herald.Letters.Cloth;
import yewjunction.herald.Letters.Further;
import yewjunction.herald.Letters.Notice;
import yewjunction.herald.Letters.Tallied;
import yewjunction.herald.Letters.Tally;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.GAUGE_EDGE_CELLS;
import static yewjunction.base.Limits.GAUGE_EDGE_EVERY;
import static yewjunction.base.Limits.GOSSIP_MS;
import static yewjunction.base.Limits.TALLY_MS;

/**
 * An edge's side of the exchange of the set: what it changed goes to its home at once, and what others changed comes
 * from there at a pace that its link bears. Counts and older messages are asked of the home, which holds them.
 */
public final class Weft {
    private final Pulse pulse;
    private final Weave weave;
    private final Shuttle shuttle;
    private final Supplier<Link> home;
    private final Map<Long, Question> questions = new HashMap<>();
    private long requests;
    private long rounds;

    private record Question(long atMs, IntConsumer answer) {
    }

    Weft(final Pulse pulse, final Post post, final Weave weave, final Shuttle shuttle, final Supplier<Link> home,
            final Runnable changed) {
        this.pulse = pulse;
        this.weave = weave;
        this.shuttle = shuttle;
        this.home = home;
        rounds = pulse.luck().nextInt(GAUGE_EDGE_EVERY);
        post.on(Cloth.class, (link, cloth) -> {
            weave.receive(cloth.state);
            changed.run();
        });
        post.on(Tallied.class, (link, tallied) -> {
            final Question question = questions.remove(tallied.request);
            if (question != null) {
                question.answer.accept(tallied.count);
            }
        });
        pulse.every(GOSSIP_MS, this::round);
    }

    private void round() {
        final Link chosenHome = home.get();
        if (weave.self() == 0 || chosenHome == null) {
            return;
        }
        final Set<Long> touched = weave.takeTouched();
        if (!touched.isEmpty()) {
            shuttle.push(chosenHome, touched, weave.mark(weave.self()));
        }
        if (++rounds % GAUGE_EDGE_EVERY == 0) {
            shuttle.compare(chosenHome, GAUGE_EDGE_CELLS, true);
        }
    }

    /** How many subscribe, from the home; false when it can't be asked. */
    public boolean tally(final String topic, final IntConsumer answer) {
        final Link chosenHome = home.get();
        if (chosenHome == null) {
            return false;
        }
        final Tally tally = new Tally();
        tally.request = ++requests;
        tally.topic = topic;
        questions.put(tally.request, new Question(pulse.nowMs(), answer));
        return chosenHome.send(tally);
    }

    /** Questions that the home has not answered in time are answered from here: -1 asks the asker to do so. */
    public void look() {
        final long nowMs = pulse.nowMs();
        for (final Iterator<Question> each = questions.values().iterator(); each.hasNext();) {
            final Question question = each.next();
            if (nowMs - question.atMs > TALLY_MS) {
                each.remove();
                question.answer.accept(-1);
            }
        }
    }

    /** Early word of a new instance, and the subscription it stands for. */
    public void notice(final long request, final String topic, final String client, final long instance, final long position) {
        final Link chosenHome = home.get();
        if (chosenHome != null) {
            final Notice notice = new Notice();
            notice.request = request;
            notice.topic = topic;
            notice.client = client;
            notice.instance = instance;
            notice.position = position;
            chosenHome.send(notice);
        }
    }

    /** The next piece of older messages. */
    public void further(final long request, final String topic, final long after, final long upTo) {
        final Link chosenHome = home.get();
        if (chosenHome != null) {
            final Further further = new Further();
            further.request = request;
            further.topic = topic;
            further.after = after;
            further.upTo = upTo;
            chosenHome.send(further);
        }
    }
}
