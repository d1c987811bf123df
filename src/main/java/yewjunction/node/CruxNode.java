package yewjunction.node;

import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.charter.Crux;
import yewjunction.charter.Desk;
import yewjunction.ledger.Clerk;
import yewjunction.ledger.Disk;
import yewjunction.ledger.Ledger;
import yewjunction.roster.Roster;
import yewjunction.settings.Settings;

/** The control plane's duty on one machine. */
public final class CruxNode implements Node {
    private final Crux crux;
    private final Roster roster;
    private final Settings settings;
    private final long life;

    public CruxNode(final Pulse pulse, final Post post, final Disk disk, final Clerk clerk, final Roster roster,
            final Settings settings, final long life) {
        this.roster = roster;
        this.settings = settings;
        this.life = life;
        crux = new Crux(pulse, post, disk, clerk, roster, settings.address(Settings.CRUX_OFFSET),
            settings);
    }

    @Override
    public void start() {
        crux.start(settings.founding(), settings.coreAddresses(), Ledger.drawnName(life));
        roster.ready(true);
    }

    public Desk desk() {
        return crux.desk();
    }

    @Override
    public void stop(final Runnable ended) {
        crux.ledger().membership().leave(() -> {
            crux.ledger().stop();
            ended.run();
        });
    }
}
