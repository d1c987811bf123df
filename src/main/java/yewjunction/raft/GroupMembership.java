package yewjunction.raft;

import static yewjunction.limits.RaftLimits.LEAVE_CHECK_INTERVAL_MS;
import static yewjunction.limits.RaftLimits.LEAVE_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.REGISTRATION_INTERVAL_MS;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * A member's own side of its membership: whoever has no vote, or hears no leader, makes itself
 * known to whoever leads, by whatever way the lead passed. A new leader knows the voters from its
 * log, and all others only by their own word.
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
  private long goal;

  private long goalMs;

  GroupMembership(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  /**
   * From now on. Peers: addresses of members that may lead, or know who does; whether there is a
   * seat is the leader's matter.
   */
  public void keep(
      final Supplier<List<String>> chosenPeers, final BooleanSupplier chosenWantsVote) {
    peers = chosenPeers;
    wantsVote = chosenWantsVote;
    raftNode.context.every(REGISTRATION_INTERVAL_MS, this::seek);
  }

  /** Whether this member votes, as far as its own log says. */
  public boolean seated() {
    return raftNode.voters().contains(raftNode.identity());
  }

  private void seek() {
    if (raftNode.stopped()
        || raftNode.identity() == null
        || seated() && !leaving && !raftNode.leaderless()) {
      return;
    }
    // Whoever knows another leader passes it on; with a leader in reach nobody else is troubled.
    final String leader = raftNode.leader();
    final List<String> asked = leader == null ? peers.get() : List.of(RaftNode.address(leader));
    asked.forEach(
        peer -> raftNode.followerState.join(peer, !leaving && wantsVote.getAsBoolean(), leaving));
  }

  /** This member's process ends soon. */
  boolean leaving() {
    return leaving;
  }

  /**
   * Gives its seat to whoever is there for it, then its lead. A machine that is replaced for good
   * stops like one that is started again: the seat passes before it ends, since the next loss may
   * come before its silence would tell.
   */
  public void leave(final Runnable ended) {
    leaving = true;
    waitLeft(raftNode.context.nowMs(), ended);
  }

  private void waitLeft(final long startMs, final Runnable ended) {
    final boolean owed = seated() || raftNode.electorate().changing();
    // Nobody without a seat is known: what remains to be handed on is the lead.
    final boolean taker = peers.get().size() >= raftNode.electorate().seats();
    if (!owed || !taker || raftNode.context.nowMs() - startMs > LEAVE_TIMEOUT_MS) {
      raftNode.electorate().handOver(ended);
      return;
    }
    if (!raftNode.leadsTerm()) {
      seek();
    }
    raftNode.context.after(LEAVE_CHECK_INTERVAL_MS, () -> waitLeft(startMs, ended));
  }

  /**
   * An election is due and this member has no vote: it lets go of its leader, or it would go on
   * asking a former one.
   */
  void patienceEnded() {
    raftNode.follow(null);
    seek();
  }

  /**
   * Another leader than before was heard: it may know this member as one of its log, but not what
   * it wants.
   */
  void leaderFound() {
    if (!seated()) {
      seek();
    }
  }

  void told(final long leaderCommit) {
    if (raftNode.applied() >= goal) {
      goal = leaderCommit;
      goalMs = raftNode.context.nowMs();
    }
  }

  /** ms for which this member has lacked what its leader had committed; 0 while it keeps up. */
  public long behindMs() {
    return raftNode.leadsTerm() || raftNode.applied() >= goal
        ? 0
        : raftNode.context.nowMs() - goalMs;
  }
}
