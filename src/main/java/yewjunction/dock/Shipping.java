package yewjunction.dock;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.vault.Letters;
import yewjunction.vault.Letters.Admit;
import yewjunction.vault.Letters.Verdict;
import yewjunction.vault.Message;

import static yewjunction.base.Limits.ANSWER_SHARE;

/** Messages on their way from this edge's clients to the leading vault. */
final class Shipping {
    private final Pulse pulse;
    private final Post post;
    private final Map<Long, Parcel> parcels = new LinkedHashMap<>();
    private Link leaderLink;
    private String leader = "";
    private long errands;
    private boolean again;

    private static final class Parcel {
        Berth berth;
        Message message;
        long startMs;
        long timeoutMs;
        /** Left this edge at least once: then only the leader may promise that it was not accepted. */
        boolean sent;
    }

    Shipping(final Pulse pulse, final Post post) {
        this.pulse = pulse;
        this.post = post;
        post.on(Verdict.class, (link, verdict) -> verdict(verdict));
        post.onClose(link -> {
            if (link == leaderLink) {
                leaderLink = null;
                again = true;
            }
        });
    }

    void ship(final Berth berth, final String topic, final long number, final String tenant, final long timeoutMs,
            final byte[] body) {
        final Parcel parcel = new Parcel();
        parcel.berth = berth;
        parcel.message = new Message();
        parcel.message.topic = topic;
        parcel.message.client = berth.client;
        parcel.message.number = number;
        parcel.message.body = body;
        parcel.message.tenant(tenant);
        parcel.startMs = pulse.nowMs();
        parcel.timeoutMs = timeoutMs;
        berth.underWay++;
        final long errand = ++errands;
        parcels.put(errand, parcel);
        send(errand, parcel);
    }

    private void send(final long errand, final Parcel parcel) {
        if (leader.isEmpty()) {
            return;
        }
        if (leaderLink == null || !leaderLink.open()) {
            leaderLink = post.dial(leader);
        }
        final Admit admit = new Admit();
        admit.errand = errand;
        admit.message = parcel.message;
        parcel.sent |= leaderLink.send(admit);
    }

    void leaderIs(final String address) {
        leader = address;
        leaderLink = null;
        sendAgain();
    }

    /** All in the order they came: the same numbers again, which the leader knows how to take. */
    private void sendAgain() {
        again = false;
        parcels.forEach(this::send);
    }

    private void verdict(final Verdict verdict) {
        final Parcel parcel = parcels.get(verdict.errand);
        if (parcel == null) {
            return;
        }
        if (verdict.what == Letters.ELSEWHERE) {
            // Not leading, or not yet: asked again at the next look.
            again = true;
            return;
        }
        parcels.remove(verdict.errand);
        parcel.berth.underWay--;
        if (verdict.what == Letters.ACCEPTED) {
            parcel.berth.ack(parcel.message.topic, parcel.message.number);
        } else {
            refuse(parcel, "RETRY");
        }
    }

    private static void refuse(final Parcel parcel, final String reason) {
        parcel.berth.refuse("PUB", parcel.message.topic, String.valueOf(parcel.message.number), reason);
    }

    void look(final long nowMs) {
        for (final Iterator<Parcel> each = parcels.values().iterator(); each.hasNext();) {
            final Parcel parcel = each.next();
            if (nowMs - parcel.startMs > parcel.timeoutMs * ANSWER_SHARE) {
                each.remove();
                parcel.berth.underWay--;
                // What never left is promised away; of the rest nothing is known here.
                refuse(parcel, parcel.sent ? "UNKNOWN" : "RETRY");
            }
        }
        if (again) {
            sendAgain();
        }
    }

    /** A link is gone: its messages are not sent again from here, since the client will do so elsewhere. */
    void gone(final Berth berth) {
        parcels.values().removeIf(parcel -> parcel.berth == berth);
    }
}
