package yewjunction.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.charter.Charter;
import yewjunction.charter.Facts;
import yewjunction.charter.Tenure;
import yewjunction.herald.Home;
import yewjunction.herald.Warp;
import yewjunction.ledger.Clerk;
import yewjunction.ledger.Disk;
import yewjunction.ledger.Ledger;
import yewjunction.ledger.Seating;
import yewjunction.roster.Roster;
import yewjunction.settings.Settings;
import yewjunction.vault.Cellar;
import yewjunction.vault.Gate;
import yewjunction.vault.Message;
import yewjunction.weave.Weave;

import static yewjunction.base.Limits.ENROL_MS;

/** A store machine's data plane: one member of the vaults' ledger, and home to its zone's edges. */
public final class VaultNode implements Node, Cellar.Watcher, Tenure.Watcher {
    /** Group number of the vaults' ledger; a field everywhere, so that there can be more. */
    private static final int GROUP = 1;
    private final Cellar cellar;
    private final Ledger ledger;
    private final Gate gate;
    private final Home home;
    private final Tenure tenure;
    private final Weave weave = new Weave();

    private final Pulse pulse;
    private final Roster roster;
    private final Settings settings;
    private final String address;
    private final long life;

    public VaultNode(final Pulse pulse, final Post post, final Disk disk, final Clerk clerk, final Roster roster,
            final Settings settings, final long life) {
        this.pulse = pulse;
        this.roster = roster;
        this.settings = settings;
        this.life = life;
        address = settings.address(Settings.TIDE_OFFSET);
        cellar = new Cellar(pulse, this, settings);
        ledger = new Ledger(GROUP, pulse, post, disk, clerk, "messages", cellar);
        ledger.listen();
        gate = new Gate(pulse, post, ledger, cellar);
        home = new Home(pulse, post, ledger, cellar, weave);
        tenure = new Tenure(pulse, post, () -> Node.cruxes(roster, settings), this)
            .named(address, settings.node(), settings.zone(), "vault", life);
        tenure.reporting(() -> tenure.diskOwed(ledger.course().owedMs()));
        new Warp(pulse, post, weave, roster, home, replica -> Node.live(replica, weave, tenure, roster));
    }

    @Override
    public void start() {
        if (ledger.identity() == null) {
            ledger.name(address + "#" + Ledger.drawnName(life));
        }
        ledger.start();
        ledger.electorate().seat(new Seating(settings.votersNeeded(), () -> tenure.facts().retiringAddresses(), roster::zoneAt));
        ledger.membership().keep(this::vaults, () -> !tenure.facts().retiringAddresses().contains(address));
        tenure.identity(ledger.identity());
        tenure.start();
        pulse.every(ENROL_MS, this::settleDuties);
    }

    public boolean leads() {
        return ledger.leads();
    }

    /** What this vault keeps. */
    public Cellar cellar() {
        return cellar;
    }

    /** Until the first voters are chosen there is nothing to join. */
    private List<String> vaults() {
        return tenure.facts().vaults().isEmpty() ? List.of() : Node.addresses(roster, "vault");
    }

    /** Says how far it is, and empties what the core wants emptied. */
    private void settleDuties() {
        tenure.applied(ledger.applied());
        tenure.balances(cellar.balances());
        final List<String> voters = ledger.voters();
        if (ledger.leads()) {
            gate.lending().look(tenure.charter());
            emptyRetiring(voters);
        }
    }

    private void emptyRetiring(final List<String> voters) {
        final Set<String> retiring = tenure.facts().retiringAddresses();
        final List<String> emptied = new ArrayList<>();
        for (final String one : retiring) {
            final String node = tenure.facts().retiringNode(one);
            // Only once the change is committed: then a majority of those that stay holds all that was ever acknowledged.
            if (node != null && !ledger.electorate().changing() && voters.stream().noneMatch(voter -> Ledger.address(voter).equals(one))) {
                emptied.add(node);
            }
        }
        tenure.emptied(emptied);
    }

    @Override
    public void stop(final Runnable ended) {
        // Edges leave first; the seat goes to a spare, and the lead to a peer that holds everything.
        home.close();
        ledger.membership().leave(() -> {
            ledger.stop();
            ended.run();
        });
    }

    @Override
    public void configChanged(final Charter charter) {
        cellar.charter(charter);
        gate.lending().look(charter);
    }

    @Override
    public void factsChanged(final Facts facts) {
        weave.replicas(facts.newestReplica(), facts.liveReplicas());
        if (facts.retiringAddresses().contains(address)) {
            // It may be taken away the moment it is empty: its edges find another home while it still answers.
            home.close();
        }
        if (facts.vaults().contains(ledger.identity())) {
            ledger.found(facts.vaults());
        }
    }

    @Override
    public boolean admittedHere(final Message message) {
        return gate != null && gate.admitted(message);
    }

    @Override
    public void settledTo(final long commit) {
        if (home != null) {
            home.settled();
        }
    }

    @Override
    public void leaderIs(final String identity, final boolean self) {
        if (home != null) {
            if (!self) {
                gate.leaderChanged();
            }
            home.leaderChanged();
        }
    }
}
