package yewjunction.raft;

import static yewjunction.common.ControlLimits.LEAVE_LOOK_MS;
import static yewjunction.common.ControlLimits.LEAVE_MS;
import static yewjunction.common.Limits.ENROL_MS;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * A member's own side of its membership: whoever has no vote, or hears no leader, makes itself
 * known to whoever leads, by whatever way the lead passed. A new leader knows the voters from its
 * log, and all others only by their own word.
 */
public final class GroupMembership {
  private final RaftNode ledger;
  private Supplier<List<String>> peers = List::of;
  private BooleanSupplier wantsVote = () -> false;
  private boolean leaving;

  /**
   * What the leader had committed when this was last looked at, and since when this member has not
   * applied as much.
   */
  private long goal;

  private long goalMs;

  GroupMembership(final RaftNode ledger) {
    this.ledger = ledger;
  }

  /**
   * From now on. Peers: addresses of members that may lead, or know who does; whether there is a
   * seat is the leader's matter.
   */
  public void keep(
      final Supplier<List<String>> chosenPeers, final BooleanSupplier chosenWantsVote) {
    peers = chosenPeers;
    wantsVote = chosenWantsVote;
    ledger.pulse.every(ENROL_MS, this::seek);
  }

  /** Whether this member votes, as far as its own log says. */
  public boolean seated() {
    return ledger.voters().contains(ledger.identity());
  }

  private void seek() {
    if (ledger.stopped()
        || ledger.identity() == null
        || seated() && !leaving && !ledger.leaderless()) {
      return;
    }
    // Whoever knows another leader passes it on; with a leader in reach nobody else is troubled.
    final String leader = ledger.leader();
    final List<String> asked = leader == null ? peers.get() : List.of(RaftNode.address(leader));
    asked.forEach(
        peer -> ledger.following.join(peer, !leaving && wantsVote.getAsBoolean(), leaving));
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
    waitLeft(ledger.pulse.nowMs(), ended);
  }

  private void waitLeft(final long startMs, final Runnable ended) {
    final boolean owed = seated() || ledger.electorate().changing();
    // Nobody without a seat is known: what remains to be handed on is the lead.
    final boolean taker = peers.get().size() >= ledger.electorate().seats();
    if (!owed || !taker || ledger.pulse.nowMs() - startMs > LEAVE_MS) {
      ledger.electorate().handOver(ended);
      return;
    }
    if (!ledger.leadsTerm()) {
      seek();
    }
    ledger.pulse.after(LEAVE_LOOK_MS, () -> waitLeft(startMs, ended));
  }

  /**
   * An election is due and this member has no vote: it lets go of its leader, or it would go on
   * asking a former one.
   */
  void patienceEnded() {
    ledger.follow(null);
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
    if (ledger.applied() >= goal) {
      goal = leaderCommit;
      goalMs = ledger.pulse.nowMs();
    }
  }

  /** ms for which this member has lacked what its leader had committed; 0 while it keeps up. */
  public long behindMs() {
    return ledger.leadsTerm() || ledger.applied() >= goal ? 0 : ledger.pulse.nowMs() - goalMs;
  }
}
