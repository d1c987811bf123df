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

  /**
   * What the leader had committed when this was last looked at, and since when this member has not
   * applied as much.
   */
  private long leaderCommitIndex;

  private long behindSinceMs;

  GroupMembership(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  /**
   * From now on. Peers: addresses of members that may lead, or know who does; whether there is a
   * vote is the leader's matter.
   */
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
    // Whoever knows another leader passes it on; with a leader in reach nobody else is troubled.
    final String leader = raftNode.leader();
    final List<String> receivers =
        leader == null ? peers.get() : List.of(RaftNode.addressOf(leader));
    receivers.forEach(
        peer ->
            raftNode
                .followerState()
                .sendJoinRequest(peer, !leaving && wantsVote.getAsBoolean(), leaving));
  }

  /** This member's process ends soon. */
  boolean isLeaving() {
    return leaving;
  }

  /**
   * Gives its vote to whoever is there for it, then its lead. A machine that is replaced for good
   * stops like one that is started again: the vote passes before it ends, since the next loss may
   * come before its silence would tell.
   */
  public void leaveGroup(final Runnable ended) {
    leaving = true;
    awaitReplacement(raftNode.context().nowMs(), ended);
  }

  private void awaitReplacement(final long startMs, final Runnable ended) {
    final boolean leaving = isVoter() || raftNode.reconfiguration().changeInProgress();
    // Nobody without a vote is known: what remains to be handed on is the lead.
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
   * An election is due and this member has no vote: it lets go of its leader, or it would go on
   * asking a former one.
   */
  void onElectionTimeoutAsLearner() {
    raftNode.becomeFollower(null);
    requestToJoin();
  }

  /**
   * Another leader than before was heard: it may know this member as one of its log, but not what
   * it wants.
   */
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

  /** ms for which this member has lacked what its leader had committed; 0 while it keeps up. */
  public long lagMs() {
    return raftNode.isLeader() || raftNode.appliedIndex() >= leaderCommitIndex
        ? 0
        : raftNode.context().nowMs() - behindSinceMs;
  }
}
