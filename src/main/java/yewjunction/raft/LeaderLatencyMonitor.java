package yewjunction.raft;

import static yewjunction.common.Limits.ELECT_MOST_MS;
import static yewjunction.common.Limits.LATE_REST_MS;
import static yewjunction.common.Limits.LATE_SHARE;
import static yewjunction.common.Limits.LATE_WEIGHT;

import java.util.List;

/**
 * Whether this leader's own links or machine hold everybody up: when all peers answer late, it is
 * the one to go.
 */
final class LeaderLatencyMonitor {
  private final RaftNode ledger;
  private final LeaderState leading;
  private long beatRound;
  private long sinceMs;

  LeaderLatencyMonitor(final RaftNode ledger, final LeaderState leading) {
    this.ledger = ledger;
    this.leading = leading;
  }

  void reset() {
    sinceMs = ledger.pulse.nowMs();
    beatRound = 0;
  }

  /** At each beat: who has not answered the one before. */
  void beat(final long newRound) {
    for (final PeerProgress standing : leading.standings.values()) {
      final boolean late = standing.round < beatRound;
      standing.late += LATE_WEIGHT * ((late ? 1 : 0) - standing.late);
    }
    beatRound = newRound;
  }

  /** Another would lead better: all others are there, and all of them are late. */
  boolean drags() {
    final long nowMs = ledger.pulse.nowMs();
    final List<String> voters = ledger.voters();
    if (voters.size() < 3 || nowMs - sinceMs < LATE_REST_MS) {
      return false;
    }
    for (final String voter : voters) {
      final PeerProgress standing = leading.standing(voter);
      if (!voter.equals(ledger.identity())
          && (standing.late < LATE_SHARE || nowMs - standing.heardMs > ELECT_MOST_MS)) {
        return false;
      }
    }
    return true;
  }
}
