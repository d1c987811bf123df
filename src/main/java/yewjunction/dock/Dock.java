package yewjunction.dock;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.charter.Charter;
import yewjunction.charter.Tenure;
import yewjunction.herald.Envoy;
import yewjunction.loom.Line;
import yewjunction.vault.Message;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.DOCK_SWEEP_MS;
import static yewjunction.base.Limits.HOMELESS_MS;
import static yewjunction.base.Limits.LAPSED_LINKS_MS;
import static yewjunction.base.Limits.RENEW_MS;
import static yewjunction.base.Limits.SILENT_PINGS;

/** All clients of one edge. */
public final class Dock implements Envoy.Watcher {
    /** turns; more than this held back under a lapsed lease is given up. */
    private static final int STALLED_MOST = 20_000;
    private final Pulse pulse;
    private final Tenure tenure;
    private final Weave weave;
    private final Requests requests;
    private final Shipping shipping;
    private final long silentMs;
    private final Map<String, Berth> clients = new HashMap<>();
    private final Absentees absentees;
    private final Boarding boarding;
    private final Disorders disorders = new Disorders();
    private final ArrayDeque<Runnable> stalled = new ArrayDeque<>();
    private LongPredicate live = replica -> true;
    private Drain drain;
    private long heldMs;
    private Envoy envoy;

    public Dock(final Pulse pulse, final Post post, final Tenure tenure, final Weave weave, final double pingS) {
        this.pulse = pulse;
        this.tenure = tenure;
        this.weave = weave;
        requests = new Requests(this, tenure, weave);
        shipping = new Shipping(pulse, post, tenure.life());
        absentees = new Absentees(weave);
        boarding = new Boarding(this, pulse, weave);
        silentMs = (long) (pingS * 1_000 * SILENT_PINGS);
        pulse.every(DOCK_SWEEP_MS, this::look);
    }

    public void envoy(final Envoy chosenEnvoy) {
        envoy = chosenEnvoy;
        boarding.envoy(chosenEnvoy);
    }

    /** Which replicas count as there. */
    public void live(final LongPredicate chosenLive) {
        live = chosenLive;
    }

    public Line.Owner greet(final Line line) {
        return new Berth(this, line, pulse.nowMs());
    }

    long nowMs() {
        return pulse.nowMs();
    }

    Requests requests() {
        return requests;
    }

    Boarding boarding() {
        return boarding;
    }

    /** Breaks of the declared order met here. */
    public Disorders disorders() {
        return disorders;
    }

    public Shipping shipping() {
        return shipping;
    }

    List<Berth> berths() {
        return new ArrayList<>(clients.values());
    }

    /** How many subscribe, from the home, or from here when that does not answer. */
    void count(final Berth berth, final String topic) {
        final boolean asked = envoy != null && envoy.weft().tally(topic, count -> {
            if (berth.line.open()) {
                berth.count(topic, count >= 0 ? count : weave.count(topic, live));
            }
        });
        if (!asked) {
            berth.count(topic, weave.count(topic, live));
        }
    }

    void greeted(final Berth berth) {
        final Berth older = clients.put(berth.client, berth);
        // The newest link owns the client: the older one gets nothing more.
        if (older != null) {
            older.line.close();
        }
        absentees.here(berth.client);
    }

    void gone(final Berth berth) {
        for (final Sub sub : new ArrayList<>(berth.subs.values())) {
            boarding.forget(sub);
        }
        shipping.gone(berth);
        if (clients.remove(berth.client, berth)) {
            absentees.away(berth.client, pulse.nowMs());
        }
    }

    void moveIfDraining(final Berth berth) {
        if (drain != null) {
            drain.move(berth);
        }
    }

    public void drain(final Drain chosenDrain) {
        drain = chosenDrain;
    }

    @Override
    public void attached() {
        boarding.askAgain();
    }

    @Override
    public void taken(final long request, final boolean expired, final long position, final List<Message> behind,
            final boolean more) {
        boarding.taken(request, expired, position, behind, more);
    }

    // --- messages ---

    @Override
    public void message(final Message message) {
        whenHeld(() -> boarding.deliver(message, pulse.nowMs()));
    }

    /** Nothing is delivered under a lapsed lease; what came meanwhile follows in its order. */
    void whenHeld(final Runnable delivery) {
        if (stalled.isEmpty() && tenure.held()) {
            delivery.run();
        } else {
            stalled.add(delivery);
            if (stalled.size() > STALLED_MOST) {
                letGo();
            }
        }
    }

    private void letGo() {
        stalled.clear();
        berths().forEach(berth -> berth.line.close());
    }

    /** Each subscription is taken up by its own cursor, here or elsewhere, or is told that it can't be. */
    @Override
    public void gapped() {
        letGo();
    }

    /** How often a filtered subscription's cursor is renewed: well before it could expire. */
    long renewMs(final String topic) {
        final Charter.Space space = tenure.charter().space(topic);
        return space == null ? RENEW_MS : Math.min(RENEW_MS, space.keepMs() / 4);
    }

    @Override
    public void leaderIs(final String address) {
        shipping.leaderIs(address);
    }

    @Override
    public void leaderHeard() {
        shipping.leaderHeard();
    }

    public void configChanged(final Charter charter) {
        boarding.charter(charter);
        for (final Berth berth : berths()) {
            for (final String topic : new ArrayList<>(berth.subs.keySet())) {
                final String denial = Requests.charterDenial(charter, berth.secret, topic);
                if (denial != null) {
                    boarding.drop(berth, topic);
                    berth.refuse("SUB", topic, "", denial);
                }
            }
        }
    }

    /** Another edge took a client over: its instance here is cancelled, so the old link goes. */
    public void setChanged() {
        for (final Berth berth : berths()) {
            for (final Sub sub : berth.subs.values()) {
                if (weave.instance(sub.topic, berth.client, weave.self()) == 0) {
                    berth.line.close();
                    break;
                }
            }
        }
    }

    private void look() {
        final long nowMs = pulse.nowMs();
        while (!stalled.isEmpty() && tenure.held()) {
            stalled.poll().run();
        }
        if (tenure.held()) {
            heldMs = nowMs;
        } else if (nowMs - heldMs > LAPSED_LINKS_MS) {
            // A client that only listens would never notice that nothing can come here.
            letGo();
        }
        if (envoy.homelessMs() > HOMELESS_MS) {
            // The same without a home; whoever has only just come may still see one found.
            berths().stream().filter(berth -> nowMs - berth.greetedMs > HOMELESS_MS).forEach(berth -> berth.line.close());
        }
        requests.look(nowMs);
        shipping.look(nowMs);
        boarding.look(nowMs);
        envoy.weft().look();
        for (final Berth berth : berths()) {
            if (nowMs - berth.heardMs > silentMs) {
                berth.line.close();
            }
        }
        Ballast.cutSlowest(clients.values());
        absentees.look(nowMs);
    }
}
