package yewjunction.charter;

import java.util.List;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.ledger.Clerk;
import yewjunction.ledger.Disk;
import yewjunction.ledger.Ledger;
import yewjunction.roster.Roster;

import static yewjunction.base.Limits.ENROL_MS;

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

    public Crux(final Pulse pulse, final Post post, final Disk disk, final Clerk clerk, final Roster roster,
            final String ownAddress, final int voterCount) {
        this.pulse = pulse;
        this.roster = roster;
        this.ownAddress = ownAddress;
        final Core core = new Core(this);
        ledger = new Ledger(GROUP, pulse, post, disk, clerk, "charter", core);
        ledger.listen();
        final Registrar registrar = new Registrar(pulse, post, core, ledger, roster, voterCount);
        lessor = new Lessor(pulse, post, core, ledger, registrar);
        desk = new Desk(core, ledger, registrar, new Outlook(core, ledger, roster, registrar));
    }

    /** With an empty disk: a founder takes its place among the seeds, any other joins under a new name. */
    public void start(final boolean founding, final List<String> seedAddresses, final String drawnName) {
        if (ledger.identity() == null) {
            final boolean founder = founding && seedAddresses.contains(ownAddress);
            ledger.name(ownAddress + "#" + (founder ? "founder" : drawnName));
            if (founder) {
                ledger.found(seedAddresses.stream().sorted().map(address -> address + "#founder").toList());
            }
        }
        ledger.start();
        pulse.every(ENROL_MS, () -> joinWhileOutside(seedAddresses));
    }

    private void joinWhileOutside(final List<String> seedAddresses) {
        if (!ledger.voters().contains(ledger.identity())) {
            final List<String> known = new java.util.ArrayList<>(seedAddresses);
            roster.up("crux").forEach(sibling -> known.add(sibling.address));
            known.stream().distinct().filter(address -> !address.equals(ownAddress))
                .forEach(address -> ledger.join(address, true));
        }
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
            lessor.tell();
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
