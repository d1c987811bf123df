package yewjunction.raft;

import static yewjunction.limits.RaftLimits.MAX_DISCONNECT_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MAX_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MAX_STARTUP_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MIN_DISCONNECT_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MIN_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MIN_STARTUP_ELECTION_TIMEOUT_MS;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import yewjunction.common.LogEvent;
import yewjunction.raft.RaftMessages.VoteRequest;
import yewjunction.raft.RaftMessages.VoteResponse;

/**
 * When and how a member starts an election. A pre-vote asks first whether votes would be given, so
 * that a member that is cut off raises no terms; only a majority of such answers starts an election
 * proper.
 *
 * <p>The time-out is drawn anew from {@code MIN_ELECTION_TIMEOUT_MS} to {@code
 * MAX_ELECTION_TIMEOUT_MS} each time the leader is heard of. It is shorter right after a start and
 * after the leader's connection broke.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
final class Election {
  private final RaftNode raftNode;
  private final Set<String> grantedBy = new HashSet<>();
  private long electionDueMs;

  /** Whether this is an election proper and not a pre-vote. */
  private boolean requestingVotes;

  Election(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  void resetTimeout() {
    resetTimeout(MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS);
  }

  private void resetTimeout(final long leastMs, final long mostMs) {
    electionDueMs =
        raftNode.context().nowMs()
            + leastMs
            + raftNode.context().random().nextInt((int) (mostMs - leastMs));
  }

  /**
   * Starts with a short time-out: after a loss of power all members start together and nobody
   * leads.
   */
  void start() {
    resetTimeout(MIN_STARTUP_ELECTION_TIMEOUT_MS, MAX_STARTUP_ELECTION_TIMEOUT_MS);
    checkTimeout();
  }

  /**
   * The leader's connection broke, as it does when its process dies: a shorter time-out, unless the
   * leader connects again.
   */
  void onLeaderDisconnected() {
    resetTimeout(MIN_DISCONNECT_ELECTION_TIMEOUT_MS, MAX_DISCONNECT_ELECTION_TIMEOUT_MS);
    raftNode.context().schedule(electionDueMs - raftNode.context().nowMs(), this::campaignIfDue);
  }

  private void campaignIfDue() {
    if (!raftNode.isLeader()
        && !raftNode.isStopped()
        && raftNode.context().nowMs() >= electionDueMs) {
      campaign(false);
    }
  }

  private void checkTimeout() {
    if (raftNode.isStopped()) {
      return;
    }
    try {
      campaignIfDue();
    } finally {
      // Scheduled in any case, so that elections go on if this turn throws.
      raftNode
          .context()
          .schedule(
              Math.max(
                  10,
                  raftNode.isLeader()
                      ? MIN_ELECTION_TIMEOUT_MS
                      : electionDueMs - raftNode.context().nowMs()),
              this::checkTimeout);
    }
  }

  /** Starts an election, with a pre-vote first unless a leader named this member its successor. */
  void campaign(final boolean handedOver) {
    resetTimeout();
    if (!raftNode.groupMembership().isVoter()) {
      raftNode.groupMembership().onElectionTimeoutAsLearner();
      return;
    }
    if (handedOver) {
      requestVotes(true);
      return;
    }
    raftNode.becomeFollower(null);
    grantedBy.add(raftNode.identity());
    sendVoteRequests(true, false);
    countVotes(true);
  }

  private void requestVotes(final boolean handedOver) {
    raftNode.becomeCandidate();
    requestingVotes = true;
    grantedBy.clear();
    final long newTerm = raftNode.currentTerm() + 1;
    raftNode
        .storage()
        .saveVote(
            newTerm,
            raftNode.identity(),
            () -> {
              // Votes are requested only once the own vote is on disk.
              if (raftNode.currentTerm() == newTerm && requestingVotes) {
                grantedBy.add(raftNode.identity());
                sendVoteRequests(false, handedOver);
                countVotes(false);
              }
            });
  }

  private void sendVoteRequests(final boolean pre, final boolean handedOver) {
    for (final String voter : raftNode.voters()) {
      if (!voter.equals(raftNode.identity())) {
        final VoteRequest request = new VoteRequest();
        request.preVote = pre;
        request.leadershipTransfer = handedOver;
        request.lastIndex = raftNode.log().lastIndex();
        request.lastTerm = raftNode.log().lastTerm();
        raftNode
            .handshakes()
            .send(
                raftNode.transport().connect(RaftNode.addressOf(voter)),
                RaftMessages.withTerm(
                    raftNode.withHeader(request, voter), raftNode.currentTerm() + (pre ? 1 : 0)));
      }
    }
  }

  void onVoteResponse(final VoteResponse response) {
    final long term = raftNode.currentTerm();
    if (response.term > term && !response.granted) {
      raftNode.observeTerm(response.term);
    } else if (response.granted
        && response.preVote != requestingVotes
        && response.term == term + (response.preVote ? 1 : 0)
        && !grantedBy.isEmpty()) {
      grantedBy.add(response.from);
      countVotes(response.preVote);
    }
  }

  private void countVotes(final boolean pre) {
    final List<String> voters = raftNode.voters();
    if (voters.stream().filter(grantedBy::contains).count() * 2 <= voters.size()) {
      return;
    }
    if (pre) {
      requestVotes(false);
    } else {
      end();
      LogEvent.LEADERSHIP_GAINED.info(
          "group " + raftNode.group() + " term " + raftNode.currentTerm());
      raftNode.becomeLeader();
    }
  }

  /** This member is no candidate any more. */
  void end() {
    requestingVotes = false;
    grantedBy.clear();
  }
}
