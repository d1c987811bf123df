package yewjunction.herald;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.base.Event;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.herald.Letters.Attach;
import yewjunction.herald.Letters.Flow;
import yewjunction.herald.Letters.Further;
import yewjunction.herald.Letters.Notice;
import yewjunction.herald.Letters.Taken;
import yewjunction.herald.Letters.Welcome;
import yewjunction.herald.Letters.Word;
import yewjunction.ledger.Ledger;
import yewjunction.vault.Cellar;
import yewjunction.vault.Message;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.FLOW_ITEMS;
import static yewjunction.base.ControlLimits.HOME_BEHIND_MS;
import static yewjunction.base.Limits.HOME_BEAT_MS;
import static yewjunction.base.Limits.HOME_SILENCE_MS;
import static yewjunction.base.Limits.REPLAY_PIECE_BYTES;

/** A vault as the home of edges: sends each what its part of the set asks for. */
public final class Home {
    private final Pulse pulse;
    private final Ledger ledger;
    private final Cellar cellar;
    private final Weave weave;
    private final Map<Link, Port> ports = new LinkedHashMap<>();
    private long ledMs;
    private boolean closing;

    /** One attached edge. */
    private static final class Port {
        String node;
        long replica;
        /** The edge was told of everything up to here. */
        long sent;
        /** Up to here nothing else is wanted. */
        long looked;
        /** Instances told ahead of the set, by topic; used only until w covers them. */
        final Map<String, Long> early = new HashMap<>();
    }

    public Home(final Pulse pulse, final Post post, final Ledger ledger, final Cellar cellar, final Weave weave) {
        this.pulse = pulse;
        this.ledger = ledger;
        this.cellar = cellar;
        this.weave = weave;
        post.on(Attach.class, this::attach);
        post.on(Notice.class, this::notice);
        post.on(Further.class, this::further);
        post.on(Word.class, (link, word) -> { });
        post.onClose(link -> {
            final Port port = ports.remove(link);
            if (port != null) {
                Event.EDGE_LOST.info(port.node);
            }
        });
        pulse.every(HOME_BEAT_MS, this::beat);
    }

    /** The attached edges' replicas. */
    Map<Link, Long> edges() {
        final Map<Link, Long> edges = new LinkedHashMap<>();
        ports.forEach((link, port) -> edges.put(link, port.replica));
        return edges;
    }

    private String leader() {
        return ledger.leader() == null ? "" : Ledger.address(ledger.leader());
    }

    private boolean serves() {
        return ledger.leader() != null && ledger.membership().behindMs() <= HOME_BEHIND_MS;
    }

    private void attach(final Link link, final Attach attach) {
        final Welcome welcome = new Welcome();
        // One that hears no leader, or lags behind what the edge has seen, is a poor home.
        welcome.accepted = !closing && serves() && ledger.applied() >= attach.last;
        welcome.leader = leader();
        if (welcome.accepted) {
            final Port port = new Port();
            port.node = attach.node;
            port.replica = attach.replica;
            port.sent = attach.last < cellar.floor() ? ledger.applied() : attach.last;
            port.looked = port.sent;
            welcome.start = port.sent;
            ports.put(link, port);
            Event.EDGE_ATTACHED.info(port.node + " from " + port.sent);
            link.send(welcome);
            flow(link, port, false);
        } else {
            link.send(welcome);
        }
    }

    private void notice(final Link link, final Notice notice) {
        final Port port = ports.get(link);
        if (port == null) {
            return;
        }
        // The stream first: what is behind the position and on its way already stays in order.
        flow(link, port, false);
        // The client has come to this edge: what it held at others is cancelled, which the edge itself may not know of.
        weave.takenOver(notice.topic, notice.client, port.replica);
        port.early.merge(notice.topic, notice.instance, Math::max);
        final Taken taken = new Taken();
        taken.request = notice.request;
        taken.position = Math.max(notice.position, ledger.applied());
        if (notice.position >= 0) {
            fill(taken, notice.topic, notice.position, taken.position);
        }
        link.send(taken);
    }

    /** A piece of bounded size; the asker comes back for the next one when it has room for it. */
    private void fill(final Taken taken, final String topic, final long after, final long upTo) {
        final List<Message> behind = cellar.behind(topic, after);
        taken.expired = behind == null;
        int bytes = 0;
        for (final Message message : behind == null ? List.<Message>of() : behind) {
            if (message.index <= upTo) {
                taken.more = bytes > REPLAY_PIECE_BYTES;
                if (taken.more) {
                    break;
                }
                bytes += message.body.length;
                taken.messages.add(message);
            }
        }
    }

    private void further(final Link link, final Further further) {
        if (!ports.containsKey(link)) {
            return;
        }
        // Named by another home that was ahead of this one: answered once as much is applied here.
        if (ledger.applied() < further.upTo) {
            pulse.after(HOME_BEAT_MS / 10, () -> further(link, further));
            return;
        }
        final Taken taken = new Taken();
        taken.request = further.request;
        taken.position = further.upTo;
        fill(taken, further.topic, further.after, further.upTo);
        link.send(taken);
    }

    private boolean wants(final Port port, final String topic) {
        if (weave.reaches(topic, port.replica)) {
            return true;
        }
        final Long early = port.early.get(topic);
        if (early == null) {
            return false;
        }
        if (early <= weave.observed(port.replica)) {
            // The set has caught up and says no: the subscription was given up since.
            port.early.remove(topic);
            return false;
        }
        return true;
    }

    public void settled() {
        ports.forEach((link, port) -> flow(link, port, false));
    }

    private void flow(final Link link, final Port port, final boolean always) {
        final long upTo = ledger.applied();
        List<Message> wanted = new ArrayList<>();
        for (final Message message : cellar.between(port.looked, upTo)) {
            if (wants(port, message.topic)) {
                wanted.add(message);
                if (wanted.size() >= FLOW_ITEMS) {
                    send(link, port, message.index, wanted);
                    wanted = new ArrayList<>();
                }
            }
        }
        port.looked = Math.max(port.looked, upTo);
        if (!wanted.isEmpty() || always) {
            send(link, port, port.looked, wanted);
        }
    }

    private void send(final Link link, final Port port, final long upTo, final List<Message> messages) {
        final Flow flow = new Flow();
        flow.from = port.sent;
        flow.upTo = upTo;
        flow.leader = leader();
        flow.messages = messages;
        port.sent = upTo;
        link.send(flow);
    }

    private void beat() {
        final long nowMs = pulse.nowMs();
        if (serves()) {
            ledMs = nowMs;
        }
        // Cut off from the others, or behind them, for long: the edges do better elsewhere.
        if (nowMs - ledMs > 2 * HOME_SILENCE_MS) {
            close();
            closing = false;
        }
        ports.forEach((link, port) -> flow(link, port, true));
    }

    /** Edges hear of a new leader at once: their messages wait for it. */
    public void leaderChanged() {
        ports.forEach((link, port) -> flow(link, port, true));
    }

    /** Sends the edges elsewhere. */
    public void close() {
        closing = true;
        List.copyOf(ports.keySet()).forEach(Link::close);
    }
}
