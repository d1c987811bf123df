package yewjunction.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import yewjunction.base.Event;
import yewjunction.ledger.Leading.Standing;
import yewjunction.ledger.Letters.HandOver;

import static yewjunction.base.Limits.APPEND_AGAIN_MS;
import static yewjunction.base.Limits.BEAT_MS;
import static yewjunction.base.Limits.CAUGHT_UP_ENTRIES;
import static yewjunction.base.Limits.ELECT_MOST_MS;
import static yewjunction.base.Limits.HAND_OVER_MS;

/** Who votes, and who leads next: a leader changes voters one at a time and hands over before it stops. */
final class Electorate {
    private final Ledger ledger;
    private final Leading leading;
    private boolean handing;
    private boolean handed;

    Electorate(final Ledger ledger, final Leading leading) {
        this.ledger = ledger;
        this.leading = leading;
    }

    void reset() {
        handing = false;
        handed = false;
    }

    boolean handing() {
        return handing;
    }

    boolean nearEnd(final String identity) {
        final Standing standing = leading.standings.get(identity);
        return standing != null && standing.match + CAUGHT_UP_ENTRIES >= ledger.log.lastIndex();
    }

    private boolean changing() {
        return ledger.log.lastVotersIndex() > ledger.commit();
    }

    void change(final List<String> newVoters) {
        // One change at a time, and only by a leader that has committed in its own term.
        if (ledger.leads() && !changing() && !newVoters.equals(ledger.voters())) {
            newVoters.forEach(leading::standing);
            leading.append(Entry.VOTERS, Archive.votersData(newVoters));
        }
    }

    /** A newcomer at a voter's address means that the voter's disk is gone: first the old goes, then the new comes. */
    void settle() {
        if (!ledger.leads() || changing()) {
            return;
        }
        final List<String> voters = ledger.voters();
        final long nowMs = ledger.pulse.nowMs();
        for (final Map.Entry<String, Standing> one : leading.standings.entrySet()) {
            // Only one that answers right now: an identity whose disk is gone again stays out.
            if (!one.getValue().wantsVote || voters.contains(one.getKey()) || !nearEnd(one.getKey())
                || nowMs - one.getValue().heardMs > APPEND_AGAIN_MS) {
                continue;
            }
            final String address = Ledger.address(one.getKey());
            final List<String> newVoters = new ArrayList<>(voters);
            if (!newVoters.removeIf(voter -> Ledger.address(voter).equals(address))) {
                newVoters.add(one.getKey());
            }
            change(newVoters);
            return;
        }
        leading.standings.entrySet().removeIf(one -> !voters.contains(one.getKey())
            && nowMs - one.getValue().heardMs > 20 * ELECT_MOST_MS);
    }

    void handOver(final Runnable done) {
        if (!ledger.leadsTerm() || ledger.voters().size() == 1) {
            done.run();
            return;
        }
        handing = true;
        handed = false;
        Event.LEADER_HANDED.info("group " + ledger.group);
        leading.standings.forEach(this::handOn);
        waitHanded(ledger.pulse.nowMs(), done);
    }

    private void waitHanded(final long startMs, final Runnable done) {
        if (!ledger.leadsTerm() || ledger.pulse.nowMs() - startMs > HAND_OVER_MS) {
            reset();
            done.run();
        } else {
            ledger.pulse.after(20, () -> waitHanded(startMs, done));
        }
    }

    /** The first sibling that holds everything is told to stand. */
    void handOn(final String identity, final Standing standing) {
        if (handing && !handed && !identity.equals(ledger.identity()) && standing.match == ledger.log.lastIndex()
            && ledger.voters().contains(identity) && ledger.pulse.nowMs() - standing.heardMs < 3 * BEAT_MS) {
            handed = true;
            ledger.sendTo(identity, new HandOver());
        }
    }
}
