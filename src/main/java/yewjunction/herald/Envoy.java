package yewjunction.herald;

import java.util.List;
import java.util.function.Supplier;
import yewjunction.base.Event;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.herald.Letters.Attach;
import yewjunction.herald.Letters.Flow;
import yewjunction.herald.Letters.Taken;
import yewjunction.herald.Letters.Welcome;
import yewjunction.herald.Letters.Word;
import yewjunction.vault.Message;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.HOME_BEAT_MS;
import static yewjunction.base.Limits.HOME_RETURN_MS;
import static yewjunction.base.Limits.HOME_SILENCE_MS;

/** An edge's side of its home: attaches, follows the stream without gap, moves on when the home is lost. */
public final class Envoy {
    private final Pulse pulse;
    private final Post post;
    private final Weave weave;
    private final Shuttle shuttle;
    private final Weft weft;
    private final Supplier<List<String>> vaults;
    private final Watcher watcher;
    private final String node;
    private Link home;
    private boolean welcomed;
    private long last = -1;
    private long heardMs;
    private long homelessMs;
    private long returnMs;
    private int attempt;
    private int denials;
    private String leader = "";

    /** Told of what comes from the home. */
    public interface Watcher {
        void message(Message message);

        void taken(long request, boolean expired, long position, List<Message> behind, boolean more);

        void leaderIs(String address);

        /** The home hears a leader right now. */
        void leaderHeard();

        /** A home took this edge: what is still open is asked again. */
        void attached();

        /** Messages this edge should have had are gone: its clients must take up their cursors anew. */
        void gapped();
    }

    /** Vaults: addresses, the own zone's first. Changed: something of the set may have been merged. */
    public Envoy(final Pulse pulse, final Post post, final Weave weave, final String node,
            final Supplier<List<String>> vaults, final Watcher watcher, final Runnable changed) {
        this.pulse = pulse;
        this.post = post;
        this.weave = weave;
        this.node = node;
        this.vaults = vaults;
        this.watcher = watcher;
        shuttle = new Shuttle(pulse, post, weave, () -> List.of(weave.self()), changed);
        weft = new Weft(pulse, post, weave, shuttle, () -> welcomed ? home : null, changed);
        homelessMs = pulse.nowMs();
        post.on(Welcome.class, this::welcome);
        post.on(Flow.class, this::flow);
        post.on(Taken.class, this::takenUp);
        post.onClose(this::closed);
        pulse.every(HOME_BEAT_MS, this::beat);
        pulse.every(HOME_BEAT_MS / 3, () -> {
            // Without a home clients wait: looked for at a faster pace than a home is kept at.
            if (home != null && pulse.nowMs() - heardMs > HOME_SILENCE_MS) {
                // A dark machine resets nothing: silence is all there is to go by.
                leave();
                attempt++;
            }
            if (home == null) {
                denials = 0;
                attach();
            }
        });
    }

    /** ms without a home, 0 while there is one. */
    public long homelessMs() {
        return welcomed ? 0 : pulse.nowMs() - homelessMs;
    }

    public String leader() {
        return leader;
    }

    private void beat() {
        final long nowMs = pulse.nowMs();
        denials = 0;
        if (welcomed) {
            final Word word = new Word();
            word.last = last;
            home.send(word);
            goBack(nowMs);
        }
    }

    /** The own zone's vault is nearest: an edge that fled goes back once that has been up for a while. */
    private void goBack(final long nowMs) {
        final List<String> known = vaults.get();
        if (known.isEmpty() || known.get(0).equals(home.remote())) {
            returnMs = nowMs;
        } else if (nowMs - returnMs > HOME_RETURN_MS) {
            returnMs = nowMs;
            attempt = 0;
            leave();
            attach();
        }
    }

    public void attach() {
        final List<String> known = vaults.get();
        if (weave.self() == 0 || known.isEmpty() || home != null) {
            return;
        }
        home = post.dial(known.get(Math.floorMod(attempt, known.size())));
        heardMs = pulse.nowMs();
        // Its own part of the set comes first, so that the stream starts with all this edge's subscriptions.
        shuttle.push(home, List.of(weave.self()), weave.mark(weave.self()));
        final Attach attach = new Attach();
        attach.replica = weave.self();
        attach.node = node;
        attach.last = last;
        home.send(attach);
    }

    /** This edge's side of the exchange of the set. */
    public Weft weft() {
        return weft;
    }

    /** What was said under the old name counts no more: attached anew under the new one, as soon as there is one. */
    public void renamed() {
        leave();
        attach();
    }

    private void leave() {
        if (home != null) {
            final Link left = home;
            home = null;
            if (welcomed) {
                welcomed = false;
                homelessMs = pulse.nowMs();
                Event.HOME_LOST.info(left.remote());
            }
            // Closed, so that nothing of the old stream can arrive any more.
            left.close();
        }
    }

    private void closed(final Link link) {
        if (link == home) {
            // A link that broke may be the link's own trouble: the same home is asked first, and only one that
            // does not take this edge again is given up for another zone's.
            if (!welcomed) {
                attempt++;
            }
            leave();
            attach();
        }
    }

    private void welcome(final Link link, final Welcome welcome) {
        if (link != home) {
            return;
        }
        heardMs = pulse.nowMs();
        if (!welcome.accepted) {
            leave();
            attempt++;
            // Each vault is asked once a beat: the next one at once, the same again a little later.
            if (++denials < vaults.get().size()) {
                attach();
            }
            return;
        }
        welcomed = true;
        returnMs = heardMs;
        Event.HOME_ATTACHED.info(link.remote() + " from " + welcome.start);
        final boolean gap = last >= 0 && welcome.start > last;
        last = welcome.start;
        hint(welcome.leader);
        if (gap) {
            Event.STREAM_GAP.warn("up to " + last);
            watcher.gapped();
        }
        watcher.attached();
    }

    private void hint(final String address) {
        if (!address.isEmpty() && !address.equals(leader)) {
            leader = address;
            watcher.leaderIs(address);
        }
    }

    private void flow(final Link link, final Flow flow) {
        if (link != home || !welcomed) {
            return;
        }
        heardMs = pulse.nowMs();
        // Each piece names its predecessor: a gap shows, and the stream is taken up anew.
        if (flow.from != last) {
            Event.STREAM_GAP.warn("at " + last + ", piece from " + flow.from);
            leave();
            attach();
            return;
        }
        flow.messages.forEach(watcher::message);
        last = flow.upTo;
        hint(flow.leader);
        if (!flow.leader.isEmpty()) {
            watcher.leaderHeard();
        }
    }

    private void takenUp(final Link link, final Taken taken) {
        if (link == home && welcomed) {
            heardMs = pulse.nowMs();
            watcher.taken(taken.request, taken.expired, taken.position, taken.messages, taken.more);
        }
    }
}
