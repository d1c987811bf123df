package yewjunction.charter;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.ledger.Clerk;
import yewjunction.ledger.Disk;
import yewjunction.ledger.Ledger;
import yewjunction.ledger.Seating;
import yewjunction.roster.Roster;
import yewjunction.settings.Settings;

/** One member of the core: its ledger, leases, registrations and the operator's desk. */
public final class Crux implements Core.Watcher {
    /** Group number of the core's ledger. */
    public static final int GROUP = 0;
    private final Pulse pulse;
    private final Ledger ledger;
    private final Roster roster;
    private final Lessor lessor;
    private final Desk desk;
    private final String ownAddress;
    /** Without a disk of its own it only serves: what it promised would end with its process. */
    private final boolean votes;

    public Crux(final Pulse pulse, final Post post, final Disk disk, final Clerk clerk, final Roster roster,
            final String ownAddress, final Settings settings) {
        this.pulse = pulse;
        this.roster = roster;
        this.ownAddress = ownAddress;
        votes = !settings.dataFolder().isEmpty();
        final Core core = new Core(this);
        ledger = new Ledger(GROUP, pulse, post, disk, clerk, "charter", core);
        ledger.listen();
        ledger.electorate().seat(new Seating(settings.votersNeeded(), Set::of, roster::zoneAt));
        final Registrar registrar = new Registrar(pulse, post, core, ledger, roster, settings.votersNeeded());
        final Wards wards = new Wards(pulse);
        lessor = new Lessor(pulse, post, core, ledger, registrar, wards, roster.self().life);
        desk = new Desk(pulse, core, ledger, registrar, new Outlook(core, ledger, roster, registrar, wards));
    }

    /** With an empty disk: a founder takes its place among the seeds, any other joins under a new name. */
    public void start(final boolean founding, final List<String> seedAddresses, final String drawnName) {
        if (ledger.identity() == null) {
            final boolean founder = votes && founding && seedAddresses.contains(ownAddress);
            ledger.name(ownAddress + "#" + (founder ? "founder" : drawnName));
            if (founder) {
                ledger.found(seedAddresses.stream().sorted().map(address -> address + "#founder").toList());
            }
        }
        ledger.start();
        ledger.membership().keep(() -> others(seedAddresses), () -> votes);
    }

    private List<String> others(final List<String> seedAddresses) {
        return Stream.concat(seedAddresses.stream(), roster.up("crux").stream().map(peer -> peer.address)).distinct()
            .filter(address -> !address.equals(ownAddress)).toList();
    }

    public Desk desk() {
        return desk;
    }

    public Ledger ledger() {
        return ledger;
    }

    @Override
    public void configChanged() {
        if (lessor != null) {
            lessor.tell();
        }
    }

    @Override
    public void factsChanged() {
        if (lessor != null) {
            lessor.tellFacts();
        }
    }

    @Override
    public void settledTo(final long commit) {
        if (lessor != null) {
            lessor.settled();
        }
    }

    @Override
    public void leaderIs(final String identity, final boolean self) {
        if (lessor != null && identity != null) {
            pulse.post(lessor::leaderChanged);
        }
    }
}
