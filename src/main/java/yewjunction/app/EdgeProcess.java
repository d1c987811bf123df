package yewjunction.app;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import yewjunction.charter.Charter;
import yewjunction.charter.Facts;
import yewjunction.charter.Tenure;
import yewjunction.dock.Dock;
import yewjunction.dock.Drain;
import yewjunction.herald.Envoy;
import yewjunction.herald.Letters.Cloth;
import yewjunction.loom.Addresses;
import yewjunction.loom.Line;
import yewjunction.roster.Sibling;
import yewjunction.settings.Settings;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.GOSSIP_ACROSS_EVERY;
import static yewjunction.base.Limits.GOSSIP_MS;
import static yewjunction.base.Limits.HOMELESS_MS;

/** An edge machine's data plane: holds clients' links and one replica of the subscription set. */
final class EdgeProcess extends Process implements Tenure.Watcher {
    private final Weave weave = new Weave();
    private final Tenure tenure;
    private final Dock dock;
    private final Envoy envoy;
    private volatile boolean ready;
    private boolean draining;
    private long spreadChanges = -1;
    private long rounds;

    EdgeProcess(final Path file, final Settings settings) {
        super(file, settings, "tide", Settings.TIDE_OFFSET);
        tenure = new Tenure(loom, wires, this::cruxes, this)
            .named(address, settings.node(), settings.zone(), "tide", life);
        dock = new Dock(loom, wires, tenure, weave, settings.pingS());
        envoy = new Envoy(loom, wires, weave, settings.node(), () -> addresses("vault"), dock);
        dock.envoy(envoy);
        dock.live(this::live);
        wires.on(Cloth.class, (link, cloth) -> {
            weave.receive(cloth.state);
            dock.setChanged();
        });
    }

    @Override
    void start() {
        tenure.start();
        Line.listen(loom, Addresses.parse(settings.front()), dock::greet);
        Web.readiness(settings.ready(), () -> ready);
        loom.every(100, this::look);
        loom.every(GOSSIP_MS, this::gossip);
    }

    private boolean live(final long replica) {
        final String address = tenure.facts().addressOf(replica);
        final Sibling sibling = address == null ? null : roster.at(address);
        return replica == weave.self() || sibling != null && sibling.up();
    }

    private void look() {
        final boolean able = !draining && weave.self() != 0 && tenure.held() && envoy.homelessMs() < HOMELESS_MS
            && !envoy.leader().isEmpty();
        if (able != ready) {
            ready = able;
            (able ? yewjunction.base.Event.READY : yewjunction.base.Event.NOT_READY).info(settings.node());
            roster.ready(able);
        }
    }

    /** Whole states only: to the home, to one sibling of the zone, and now and then across by the zone's bridge. */
    private void gossip() {
        rounds++;
        if (weave.self() == 0 || weave.changes() == spreadChanges && rounds % GOSSIP_ACROSS_EVERY != 0) {
            return;
        }
        spreadChanges = weave.changes();
        envoy.spread();
        final List<Sibling> near = new ArrayList<>();
        final List<Sibling> far = new ArrayList<>();
        for (final Sibling sibling : roster.up("tide")) {
            (sibling.zone.equals(settings.zone()) ? near : far).add(sibling);
        }
        final Cloth cloth = new Cloth();
        cloth.state = weave.state();
        if (!near.isEmpty()) {
            wires.dial(near.get(loom.luck().nextInt(near.size())).address).send(cloth);
        }
        // Cross-zone bytes are dear: one edge a zone speaks for it.
        final boolean bridge = near.stream().allMatch(sibling -> sibling.address.compareTo(address) > 0);
        if (bridge && rounds % GOSSIP_ACROSS_EVERY == 0) {
            final Set<String> zones = new HashSet<>();
            java.util.Collections.shuffle(far, loom.luck());
            far.stream().filter(sibling -> zones.add(sibling.zone)).forEach(sibling -> wires.dial(sibling.address).send(cloth));
        }
    }

    @Override
    void stop() {
        draining = true;
        look();
        new Drain(loom, dock, roster, this::end).start();
    }

    @Override
    public void configChanged(final Charter charter) {
        dock.configChanged(charter);
    }

    @Override
    public void factsChanged(final Facts facts) {
        final long name = facts.replica(address, life);
        if (name != 0 && weave.self() == 0) {
            weave.self(name);
            envoy.attach();
        }
        weave.replicas(facts.newestReplica(), facts.liveReplicas());
    }
}
