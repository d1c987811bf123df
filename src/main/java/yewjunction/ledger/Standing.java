package yewjunction.ledger;

import static yewjunction.base.Limits.VOTER_LAGS_MS;

/** How far a peer is. */
final class Standing {
    long next;
    long match;
    long round;
    long heardMs;
    double late;
    boolean wantsVote;
    /** When it last said that its process ends, 0 when it did not. */
    long leavesMs;
    /** Who hands entries on to it inside its zone, null while the leader does; and when it was told so last. */
    String relay;
    long relayToldMs;
    /** What was committed when this was last looked at, and since when the peer has not taken it. */
    private long goal;
    private long goalMs;

    void said(final Letters.Join join, final long nowMs) {
        wantsVote = join.wantsVote;
        leavesMs = join.leaves == null ? 0 : nowMs;
    }

    void keepUp(final long commit, final long nowMs) {
        if (match >= goal || goalMs == 0) {
            goal = commit;
            goalMs = nowMs;
        }
    }

    /** Answers, perhaps, but its disk does not take what a majority's disks took long ago. */
    boolean lags(final long nowMs) {
        return match < goal && nowMs - goalMs > VOTER_LAGS_MS;
    }
}
