package yewjunction.dock;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.base.Pulse;
import yewjunction.charter.Charter;
import yewjunction.herald.Envoy;
import yewjunction.vault.Message;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.JOIN_ANSWER_MS;
import static yewjunction.base.Limits.JOIN_WINDOW;

/** Subscriptions of this edge's clients, from SUB to the home's word, while they catch up, and to their end. */
final class Boarding {
    private final Dock dock;
    private final Pulse pulse;
    private final Weave weave;
    private final Precedence precedence = new Precedence();
    private final Replays replays;
    private final Map<String, List<Sub>> byTopic = new HashMap<>();
    private final Map<Long, Sub> joining = new LinkedHashMap<>();
    /** Of those that join: which the home was asked about, and which wait for their turn to be. */
    private final Set<Long> asked = new HashSet<>();
    private final ArrayDeque<Long> unasked = new ArrayDeque<>();
    /** Subscriptions for which the home was asked for a next piece. */
    private final Map<Long, Sub> fetching = new LinkedHashMap<>();
    private final Set<Sub> filtered = new HashSet<>();
    private Envoy envoy;
    private long requests;

    Boarding(final Dock dock, final Pulse pulse, final Weave weave) {
        this.dock = dock;
        this.pulse = pulse;
        this.weave = weave;
        replays = new Replays(pulse, precedence, this::fetch);
    }

    void envoy(final Envoy chosenEnvoy) {
        envoy = chosenEnvoy;
    }

    /** What the channels declare from now on. */
    void charter(final Charter charter) {
        precedence.charter(charter);
        for (final Berth berth : dock.berths()) {
            berth.subs.values().forEach(sub -> {
                sub.space = charter.space(sub.topic);
                berth.guard.declared(sub.topic, sub.space);
            });
        }
    }

    List<Sub> subs(final String topic) {
        return byTopic.getOrDefault(topic, List.of());
    }

    void join(final Sub sub) {
        if (sub.filtered()) {
            filtered.add(sub);
        }
        sub.berth.subs.put(sub.topic, sub);
        sub.berth.subscribedMs = pulse.nowMs();
        sub.berth.guard.opened(sub.topic, sub.space);
        // Taken up from another edge: that edge's instance is cancelled by the set's own operations.
        if (weave.elsewhere(sub.topic, sub.berth.client)) {
            weave.remove(sub.topic, sub.berth.client);
        }
        sub.instance = weave.add(sub.topic, sub.berth.client);
        final long request = ++requests;
        joining.put(request, sub);
        unasked.add(request);
        askMore();
    }

    /**
     * So many questions at a time: after a mass reconnect all clients of an edge come with old cursors at once, and a home
     * that gets all of it answers nobody in time, is left as silent, and is asked everything again.
     */
    private void askMore() {
        while (asked.size() < JOIN_WINDOW && !unasked.isEmpty()) {
            final long request = unasked.poll();
            final Sub sub = joining.get(request);
            if (sub != null) {
                asked.add(request);
                notice(request, sub);
            }
        }
    }

    /** Asked once more on the same link, with a filter or without. */
    void again(final Sub sub, final Filter filter) {
        if (filter != null) {
            filtered.add(sub);
        }
        sub.again(filter, pulse.nowMs());
    }

    /** A new home knows nothing of what the old one was asked. */
    void askAgain() {
        asked.clear();
        unasked.clear();
        unasked.addAll(joining.keySet());
        askMore();
        fetching.forEach(this::further);
    }

    private void notice(final long request, final Sub sub) {
        envoy.weft().notice(request, sub.topic, sub.berth.client, sub.instance, sub.position);
    }

    private void fetch(final Sub sub) {
        final long request = ++requests;
        fetching.put(request, sub);
        further(request, sub);
    }

    private void further(final long request, final Sub sub) {
        envoy.weft().further(request, sub.topic, sub.replay.isEmpty() ? sub.after : sub.replay.getLast().index, sub.replayTo);
    }

    /** A home's word on a subscription: where it starts, and the first piece of what lies behind its cursor. */
    void taken(final long request, final boolean expired, final long position, final List<Message> behind, final boolean more) {
        asked.remove(request);
        askMore();
        final Sub waiting = fetching.remove(request);
        final Sub sub = waiting != null ? waiting : joining.remove(request);
        if (sub == null || sub.berth.subs.get(sub.topic) != sub) {
            return;
        }
        if (expired) {
            dock.disorders().gap(sub.topic, sub.berth.client, sub.position);
            giveUp(sub, "EXPIRED");
        } else if (waiting != null) {
            sub.asked = false;
            sub.replay.addAll(behind);
            sub.replayTo = more ? sub.replayTo : 0;
            replays.add(sub);
        } else {
            byTopic.computeIfAbsent(sub.topic, key -> new ArrayList<>()).add(sub);
            dock.whenHeld(() -> begin(sub, position, behind, more));
        }
    }

    private void begin(final Sub sub, final long position, final List<Message> behind, final boolean more) {
        if (sub.berth.subs.get(sub.topic) != sub) {
            return;
        }
        final long nowMs = pulse.nowMs();
        sub.open(sub.position >= 0 ? sub.position : position, nowMs);
        if (!more && Replays.isShort(behind) && !precedence.follows(sub)) {
            behind.forEach(message -> sub.deliver(message, nowMs));
            sub.after = Math.max(sub.after, position);
        } else {
            sub.replay.addAll(behind);
            sub.replayTo = more ? position : 0;
            replays.add(sub);
        }
    }

    void deliver(final Message message, final long nowMs) {
        // Copied: a slow client's link may be cut while it is written to.
        for (final Sub sub : new ArrayList<>(subs(message.topic))) {
            if (sub.catching) {
                replays.hold(sub, message);
            } else if (precedence.follows(sub) && !precedence.free(sub, message.index)) {
                replays.hold(sub, message);
                replays.add(sub);
            } else {
                sub.deliver(message, nowMs);
            }
        }
    }

    private void giveUp(final Sub sub, final String reason) {
        forget(sub);
        weave.remove(sub.topic, sub.berth.client);
        sub.berth.refuse("SUB", sub.topic, "", reason);
    }

    /** The link is gone, or the client gave the topic up: nothing more is delivered. */
    void forget(final Sub sub) {
        if (sub.berth.subs.remove(sub.topic, sub)) {
            sub.berth.guard.ended(sub.topic);
        }
        joining.values().remove(sub);
        fetching.values().remove(sub);
        filtered.remove(sub);
        final List<Sub> subs = byTopic.get(sub.topic);
        if (subs != null && subs.remove(sub) && subs.isEmpty()) {
            byTopic.remove(sub.topic);
        }
    }

    void drop(final Berth berth, final String topic) {
        final Sub sub = berth.subs.get(topic);
        if (sub != null) {
            forget(sub);
        }
        weave.remove(topic, berth.client);
    }

    void look(final long nowMs) {
        for (final Sub sub : new ArrayList<>(joining.values())) {
            if (nowMs - sub.sinceMs > JOIN_ANSWER_MS) {
                giveUp(sub, "RETRY");
            }
        }
        filtered.forEach(sub -> sub.renew(nowMs, dock.renewMs(sub.topic)));
    }
}
