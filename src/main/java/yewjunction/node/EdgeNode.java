package yewjunction.node;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import yewjunction.base.Event;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.charter.Charter;
import yewjunction.charter.Facts;
import yewjunction.charter.Tenure;
import yewjunction.dock.Dock;
import yewjunction.dock.Drain;
import yewjunction.herald.Envoy;
import yewjunction.loom.Line;
import yewjunction.roster.Roster;
import yewjunction.roster.Peer;
import yewjunction.settings.Settings;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.HOMELESS_MS;
import static yewjunction.base.Limits.READY_LOOK_MS;

/** An edge machine's data plane: holds clients' links and one replica of the subscription set. */
public final class EdgeNode implements Node, Tenure.Watcher {
    private final Pulse pulse;
    private final Roster roster;
    private final Settings settings;
    private final String address;
    private final long life;
    private final Weave weave = new Weave();
    private final Tenure tenure;
    private final Dock dock;
    private final Envoy envoy;
    private volatile boolean ready;
    private boolean draining;

    public EdgeNode(final Pulse pulse, final Post post, final Roster roster, final Settings settings, final long life) {
        this.pulse = pulse;
        this.roster = roster;
        this.settings = settings;
        this.life = life;
        address = settings.address(Settings.TIDE_OFFSET);
        tenure = new Tenure(pulse, post, () -> Node.cruxes(roster, settings), this)
            .named(address, settings.node(), settings.zone(), "tide", life);
        dock = new Dock(pulse, post, tenure, weave, settings.pingS());
        envoy = new Envoy(pulse, post, weave, settings.node(), this::vaults, dock, dock::setChanged);
        dock.envoy(envoy);
        tenure.reporting(() -> {
            tenure.waiting(dock.shipping().depth(), dock.shipping().dark());
            tenure.disorders(dock.disorders().all());
        });
        dock.live(replica -> Node.live(replica, weave, tenure, roster));
    }

    @Override
    public void start() {
        tenure.start();
        pulse.every(READY_LOOK_MS, this::look);
    }

    /** Vaults, the own zone's first: those the roster knows, and before it knows any, those the core has named. */
    private List<String> vaults() {
        final Set<String> addresses = new LinkedHashSet<>();
        final List<Peer> known = roster.up("vault");
        final Set<String> retiring = tenure.facts().retiringAddresses();
        known.stream().filter(peer -> peer.zone.equals(settings.zone()) && !retiring.contains(peer.address))
            .forEach(peer -> addresses.add(peer.address));
        final List<String> named = new ArrayList<>(tenure.facts().vaultAddresses(settings.zone(), true));
        known.forEach(peer -> named.add(peer.address));
        named.addAll(tenure.facts().vaultAddresses(settings.zone(), false));
        for (final String address : named) {
            final Peer peer = roster.at(address);
            if (!retiring.contains(address) && (peer == null || peer.up())) {
                addresses.add(address);
            }
        }
        return new ArrayList<>(addresses);
    }

    private void look() {
        final boolean able = !draining && weave.self() != 0 && tenure.held() && envoy.homelessMs() < HOMELESS_MS
            && !envoy.leader().isEmpty();
        if (able != ready) {
            ready = able;
            (able ? Event.READY : Event.NOT_READY).info(settings.node());
            roster.ready(able);
        }
    }

    public Line.Owner greet(final Line line) {
        return dock.greet(line);
    }

    /** Whether the platform may send clients here; asked from another thread. */
    public boolean ready() {
        return ready;
    }

    @Override
    public void stop(final Runnable ended) {
        draining = true;
        look();
        new Drain(pulse, dock, roster, ended).start();
    }

    @Override
    public void configChanged(final Charter charter) {
        dock.configChanged(charter);
    }

    @Override
    public void factsChanged(final Facts facts) {
        final long name = facts.replica(address, life);
        final long before = weave.self();
        weave.self(name);
        weave.replicas(facts.newestReplica(), facts.liveReplicas());
        if (before != 0 && name != before) {
            // Given up while this process was away, or for an earlier life's late letter: under that name nobody is told of
            // its clients any more. They come again, and what it says of them stands under the new one.
            Event.REPLICA_LOST.warn(before + " now " + name);
            dock.gapped();
            envoy.renamed();
        } else if (name != before) {
            envoy.attach();
        }
    }
}
