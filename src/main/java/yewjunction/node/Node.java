package yewjunction.node;

import java.util.List;
import yewjunction.roster.Roster;
import yewjunction.settings.Settings;

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

    /** Sibling addresses of a duty, own zone first, as the roster knows them now. */
    static List<String> addresses(final Roster roster, final String duty) {
        return roster.up(duty).stream().map(sibling -> sibling.address).toList();
    }
}
