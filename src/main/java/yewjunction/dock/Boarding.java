package yewjunction.dock;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.dock.Berth.Sub;
import yewjunction.herald.Envoy;
import yewjunction.vault.Message;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.JOIN_ANSWER_MS;

/** Subscriptions of this edge's clients, from SUB to the home's word and to their end. */
final class Boarding {
    private final Dock dock;
    private final Weave weave;
    private final Map<String, List<Sub>> byTopic = new HashMap<>();
    private final Map<Long, Sub> joining = new LinkedHashMap<>();
    private Envoy envoy;
    private long errands;

    Boarding(final Dock dock, final Weave weave) {
        this.dock = dock;
        this.weave = weave;
    }

    void envoy(final Envoy chosenEnvoy) {
        envoy = chosenEnvoy;
    }

    List<Sub> subs(final String topic) {
        return byTopic.getOrDefault(topic, List.of());
    }

    void join(final Sub sub) {
        sub.berth.subs.put(sub.topic, sub);
        // Taken up from another edge: that edge's instance is cancelled by the set's own operations.
        if (weave.elsewhere(sub.topic, sub.berth.client)) {
            weave.remove(sub.topic, sub.berth.client);
        }
        sub.instance = weave.add(sub.topic, sub.berth.client);
        final long errand = ++errands;
        joining.put(errand, sub);
        notice(errand, sub);
    }

    /** A new home knows nothing of what the old one was asked. */
    void noticeAgain() {
        joining.forEach(this::notice);
    }

    private void notice(final long errand, final Sub sub) {
        envoy.notice(errand, sub.topic, sub.berth.client, sub.instance, sub.position);
    }

    void taken(final long errand, final boolean expired, final long position, final List<Message> behind) {
        final Sub sub = joining.remove(errand);
        if (sub == null || sub.berth.subs.get(sub.topic) != sub) {
            return;
        }
        if (expired) {
            giveUp(sub, "EXPIRED");
            return;
        }
        sub.after = sub.position >= 0 ? sub.position : position;
        byTopic.computeIfAbsent(sub.topic, key -> new ArrayList<>()).add(sub);
        dock.whenHeld(() -> {
            if (sub.berth.subs.get(sub.topic) == sub) {
                sub.open = true;
                sub.berth.ok("SUB", sub.topic, String.valueOf(sub.after));
                behind.forEach(message -> Dock.deliver(sub, message));
                sub.after = Math.max(sub.after, position);
            }
        });
    }

    private void giveUp(final Sub sub, final String reason) {
        forget(sub);
        weave.remove(sub.topic, sub.berth.client);
        sub.berth.refuse("SUB", sub.topic, "", reason);
    }

    /** The link is gone, or the client gave the topic up: nothing more is delivered. */
    void forget(final Sub sub) {
        sub.berth.subs.remove(sub.topic, sub);
        joining.values().remove(sub);
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
    }
}
