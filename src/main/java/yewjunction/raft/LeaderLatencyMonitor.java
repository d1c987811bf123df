package yewjunction.raft;

import static yewjunction.limits.RaftLimits.LATE_HEARTBEAT_SHARE;
import static yewjunction.limits.RaftLimits.LATE_HEARTBEAT_WEIGHT;
import static yewjunction.limits.RaftLimits.MAX_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MIN_LEADERSHIP_MS;

import java.util.List;

/**
 * Whether this leader's own connections or machine hold everybody up: when all other voters answer
 * late, the leader is the one to go. Owned by {@link LeaderState}; all calls on the agent's thread.
 */
final class LeaderLatencyMonitor {
  private final RaftNode raftNode;
  private final LeaderState leaderState;
  private long lastHeartbeatRound;
  private long leadingSinceMs;

  LeaderLatencyMonitor(final RaftNode raftNode, final LeaderState leaderState) {
    this.raftNode = raftNode;
    this.leaderState = leaderState;
  }

  void reset() {
    leadingSinceMs = raftNode.context().nowMs();
    lastHeartbeatRound = 0;
  }

  /** Notes at each heartbeat which members have not answered the one before. */
  void onHeartbeat(final long newRound) {
    for (final PeerProgress progress : leaderState.progressByMember().values()) {
      final boolean late = progress.confirmedRound < lastHeartbeatRound;
      progress.lateShare += LATE_HEARTBEAT_WEIGHT * ((late ? 1 : 0) - progress.lateShare);
    }
    lastHeartbeatRound = newRound;
  }

  /**
   * Whether all other voters are in contact and answer late, so that another one would lead better.
   */
  boolean isSlow() {
    final long nowMs = raftNode.context().nowMs();
    final List<String> voters = raftNode.voters();
    if (voters.size() < 3 || nowMs - leadingSinceMs < MIN_LEADERSHIP_MS) {
      return false;
    }
    for (final String voter : voters) {
      final PeerProgress progress = leaderState.progressOf(voter);
      if (!voter.equals(raftNode.identity())
          && (progress.lateShare < LATE_HEARTBEAT_SHARE
              || nowMs - progress.lastContactMs > MAX_ELECTION_TIMEOUT_MS)) {
        return false;
      }
    }
    return true;
  }
}
