package yewjunction.raft;

import static yewjunction.limits.RaftLimits.LEAVE_CHECK_INTERVAL_MS;
import static yewjunction.limits.RaftLimits.LEAVE_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.REGISTRATION_INTERVAL_MS;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * A member's own side of its membership. One that has no vote, or hears no leader, makes itself
 * known to whoever leads, by whatever way the leadership went: a new leader knows the voters from
 * its log, and all others only by their own word.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
public final class GroupMembership {
  private final RaftNode raftNode;
  private Supplier<List<String>> peers = List::of;
  private BooleanSupplier wantsVote = () -> false;
  private boolean leaving;

  /** The commit index that this member has to reach, and since when it has not. */
  private long leaderCommitIndex;

  private long behindSinceMs;

  GroupMembership(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  /** Begins to make this member known. Whether it gets a vote is for the leader to decide. */
  public void start(
      final Supplier<List<String>> chosenPeers, final BooleanSupplier chosenWantsVote) {
    peers = chosenPeers;
    wantsVote = chosenWantsVote;
    raftNode.context().scheduleAtFixedRate(REGISTRATION_INTERVAL_MS, this::requestToJoin);
  }

  /** Whether this member votes, as far as its own log says. */
  public boolean isVoter() {
    return raftNode.voters().contains(raftNode.identity());
  }

  private void requestToJoin() {
    if (raftNode.isStopped()
        || raftNode.identity() == null
        || isVoter() && !leaving && !raftNode.hasNoLeader()) {
      return;
    }
    // With a leader in reach only it is asked; else all, and whoever knows the leader forwards the
    // request.
    final String leader = raftNode.leader();
    final List<String> receivers =
        leader == null ? peers.get() : List.of(RaftNode.addressOf(leader));
    receivers.forEach(
        peer ->
            raftNode
                .followerState()
                .sendJoinRequest(peer, !leaving && wantsVote.getAsBoolean(), leaving));
  }

  /** Whether this member's process is about to end. */
  boolean isLeaving() {
    return leaving;
  }

  /**
   * Gives up the vote to a learner, if there is one, and then the leadership; calls back when that
   * is done, or after LEAVE_TIMEOUT_MS. A machine that is replaced for good stops like one that is
   * restarted, and the next loss may come before its silence would be noticed: so its vote passes
   * before it ends.
   */
  public void leaveGroup(final Runnable ended) {
    leaving = true;
    awaitReplacement(raftNode.context().nowMs(), ended);
  }

  private void awaitReplacement(final long startMs, final Runnable ended) {
    final boolean leaving = isVoter() || raftNode.reconfiguration().changeInProgress();
    // Where no learner is known, only the leadership remains to be transferred.
    final boolean replacementKnown = peers.get().size() >= raftNode.reconfiguration().voterCount();
    if (!leaving || !replacementKnown || raftNode.context().nowMs() - startMs > LEAVE_TIMEOUT_MS) {
      raftNode.reconfiguration().transferLeadership(ended);
      return;
    }
    if (!raftNode.isLeader()) {
      requestToJoin();
    }
    raftNode.context().schedule(LEAVE_CHECK_INTERVAL_MS, () -> awaitReplacement(startMs, ended));
  }

  /**
   * The election time-out of a learner ended: it forgets its leader, or it would go on asking a
   * former one.
   */
  void onElectionTimeoutAsLearner() {
    raftNode.becomeFollower(null);
    requestToJoin();
  }

  /** There is a new leader: it may not know that this member exists, or that it wants a vote. */
  void onLeaderChanged() {
    if (!isVoter()) {
      requestToJoin();
    }
  }

  void onLeaderCommitIndex(final long leaderCommit) {
    if (raftNode.appliedIndex() >= leaderCommitIndex) {
      leaderCommitIndex = leaderCommit;
      behindSinceMs = raftNode.context().nowMs();
    }
  }

  /**
   * Milliseconds for which this member has lacked what its leader had committed; 0 while it keeps
   * up.
   */
  public long lagMs() {
    return raftNode.isLeader() || raftNode.appliedIndex() >= leaderCommitIndex
        ? 0
        : raftNode.context().nowMs() - behindSinceMs;
  }
}
