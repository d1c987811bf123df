package yewjunction.node;

import java.util.List;
import yewjunction.charter.Tenure;
import yewjunction.roster.Roster;
import yewjunction.roster.Peer;
import yewjunction.settings.Settings;
import yewjunction.weave.Weave;

/** One process's duty. All calls on the owner's thread. */
public interface Node {
    void start();

    /** Gives up its duties, then calls back when nothing is owed any more. */
    void stop(Runnable ended);

    /** The settings file changed. */
    default void reread(final Settings fresh) {
    }

    /** Cruxes, nearest first; before the roster knows any, those on the seeds' machines. */
    static List<String> cruxes(final Roster roster, final Settings settings) {
        final List<String> known = addresses(roster, "crux");
        return known.isEmpty() ? settings.coreAddresses() : known;
    }

    /** Peer addresses of a duty, own zone first, as the roster knows them now. */
    static List<String> addresses(final Roster roster, final String duty) {
        return roster.up(duty).stream().map(peer -> peer.address).toList();
    }

    /** Whether a replica's clients count as there: its process is up, as far as the roster knows. */
    static boolean live(final long replica, final Weave weave, final Tenure tenure, final Roster roster) {
        final String address = tenure.facts().addressOf(replica);
        final Peer peer = address == null ? null : roster.at(address);
        return replica == weave.self() || peer != null && peer.up();
    }
}
