package yewjunction.raft;

import static yewjunction.limits.RaftLimits.APPEND_RETRY_MS;
import static yewjunction.limits.RaftLimits.CAUGHT_UP_ENTRIES;
import static yewjunction.limits.RaftLimits.HEARTBEAT_INTERVAL_MS;
import static yewjunction.limits.RaftLimits.LEADER_TRANSFER_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.LEAVE_NOTICE_VALID_MS;
import static yewjunction.limits.RaftLimits.MAX_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MAX_RELAYED_LAG_ENTRIES;
import static yewjunction.limits.RaftLimits.VOTER_SILENCE_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import yewjunction.common.LogEvent;
import yewjunction.raft.RaftMessages.TimeoutNowRequest;

/**
 * Who votes, and who leads next: the leader changes the voters by one at a time, and transfers its
 * leadership before it stops.
 *
 * <p>Invariants: a change is proposed only by a leader that has committed an entry of its own term,
 * only while no other change is under way, and only if a majority of the new voters is in contact
 * and caught up.
 *
 * <p>Owned by {@link LeaderState}; all calls on the agent's thread.
 */
public final class VoterReconfiguration {
  private final RaftNode raftNode;
  private final LeaderState leaderState;
  private boolean transferring;
  private boolean transferSent;
  private VoterPlacement placement = VoterPlacement.UNBOUNDED;

  VoterReconfiguration(final RaftNode raftNode, final LeaderState leaderState) {
    this.raftNode = raftNode;
    this.leaderState = leaderState;
  }

  /** The intended number of voters and their zones; evaluated at each heartbeat of a leader. */
  public void setPlacement(final VoterPlacement chosenPlacement) {
    placement = chosenPlacement;
  }

  void reset() {
    transferring = false;
    transferSent = false;
  }

  boolean isTransferring() {
    return transferring;
  }

  /** Whether a member is within a few entries of this leader's end. */
  public boolean isCaughtUp(final String identity) {
    final PeerProgress progress = leaderState.progressByMember().get(identity);
    return progress != null
        && progress.matchIndex + CAUGHT_UP_ENTRIES >= raftNode.log().lastIndex();
  }

  /** Whether a change of the voters is in the log and not committed yet. */
  public boolean changeInProgress() {
    return raftNode.log().lastVoterChangeIndex() > raftNode.commitIndex();
  }

  /** Proposes new voters; nothing happens where a change is not allowed right now. */
  public void proposeVoters(final List<String> newVoters) {
    // One change at a time, and only by a leader that has committed an entry of its own term.
    if (raftNode.isReadyLeader() && !changeInProgress() && !newVoters.equals(raftNode.voters())) {
      newVoters.forEach(leaderState::progressOf);
      leaderState.append(LogEntry.VOTERS, RaftStorage.encodeVoters(newVoters));
    }
  }

  /**
   * Brings the voters to the number and places wanted, by changes of one voter each. A learner at a
   * voter's address means that the voter's disk is gone for good: that voter is removed first. A
   * voter that is silent, that leaves, or whose disk lags is replaced: the new voter is added first
   * and the old one removed then, so that it counts until its successor is there.
   */
  void adjustVoters() {
    if (!raftNode.isReadyLeader() || transferring || changeInProgress()) {
      return;
    }
    final List<String> voters = raftNode.voters();
    final long nowMs = raftNode.context().nowMs();
    forgetSilentLearners(voters, nowMs);
    leaderState
        .progressByMember()
        .forEach((identity, progress) -> progress.updateTarget(raftNode.commitIndex(), nowMs));
    final String surplus = surplusVoter(voters, nowMs);
    if (raftNode.identity().equals(surplus)) {
      // A leader that is to be removed transfers its leadership first.
      transferLeadership(() -> {});
      return;
    }
    final List<String> newVoters =
        surplus == null ? withNewVoter(voters, nowMs) : without(voters, surplus);
    // A change that a majority of the new voters cannot take would hold up all others, and may
    // never be undone.
    if (newVoters.stream().filter(voter -> isResponsive(voter, nowMs)).count() * 2
        > newVoters.size()) {
      proposeVoters(newVoters);
    }
  }

  private void forgetSilentLearners(final List<String> voters, final long nowMs) {
    leaderState
        .progressByMember()
        .entrySet()
        .removeIf(
            one ->
                !voters.contains(one.getKey())
                    && nowMs - one.getValue().lastContactMs > 20 * MAX_ELECTION_TIMEOUT_MS);
  }

  private static List<String> without(final List<String> voters, final String surplus) {
    final List<String> rest = new ArrayList<>(voters);
    rest.remove(surplus);
    return rest;
  }

  /** The voters and the best learner that wants a vote, as far as there is a place for it. */
  private List<String> withNewVoter(final List<String> voters, final long nowMs) {
    final String newVoter = newVoter(voters, nowMs);
    if (newVoter == null) {
      return voters;
    }
    final List<String> newVoters = new ArrayList<>(voters);
    final String address = RaftNode.addressOf(newVoter);
    if (newVoters.removeIf(voter -> RaftNode.addressOf(voter).equals(address))) {
      // One change at a time: the identity whose disk is gone goes first.
      return newVoters;
    }
    if (voters.size() < placement.voterCount()
        || voters.stream().anyMatch(voter -> shouldBeReplaced(voter, nowMs))) {
      newVoters.add(newVoter);
    }
    return newVoters;
  }

  private boolean isResponsive(final String voter, final long nowMs) {
    return voter.equals(raftNode.identity())
        || isCaughtUp(voter)
            && nowMs - leaderState.progressOf(voter).lastContactMs <= APPEND_RETRY_MS;
  }

  /** Whether a voter leaves, is silent, or lags, so that a learner should take its place. */
  private boolean shouldBeReplaced(final String voter, final long nowMs) {
    final PeerProgress progress = leaderState.progressOf(voter);
    return isLeaving(voter)
        || !voter.equals(raftNode.identity())
            && (nowMs - progress.lastContactMs > VOTER_SILENCE_TIMEOUT_MS
                || progress.isLagging(nowMs));
  }

  /** The voter to remove because there are more than wanted; null when there are not. */
  private String surplusVoter(final List<String> voters, final long nowMs) {
    if (voters.size() <= placement.voterCount()) {
      return null;
    }
    // If all have recovered, the newest voter is removed: the one that was silent is back.
    return voters.stream()
        .filter(this::isLeaving)
        .findFirst()
        .or(() -> voters.stream().filter(voter -> shouldBeReplaced(voter, nowMs)).findFirst())
        .or(
            () ->
                voters.stream()
                    .filter(voter -> !voter.equals(raftNode.identity()))
                    .reduce((one, other) -> other))
        .orElse(null);
  }

  /** Whether its machine is being emptied, or its process has just said that it ends. */
  private boolean isLeaving(final String identity) {
    final PeerProgress progress = leaderState.progressByMember().get(identity);
    return placement.leavingAddresses().get().contains(RaftNode.addressOf(identity))
        || identity.equals(raftNode.identity()) && raftNode.groupMembership().isLeaving()
        || progress != null
            && progress.leavingSinceMs > 0
            && raftNode.context().nowMs() - progress.leavingSinceMs < LEAVE_NOTICE_VALID_MS;
  }

  int voterCount() {
    return placement.voterCount();
  }

  /**
   * The learner to give a vote: one whose machine voted before, else one in the zone with the
   * fewest voters; null when none is fit.
   */
  private String newVoter(final List<String> voters, final long nowMs) {
    return leaderState.progressByMember().entrySet().stream()
        // Only one that is in contact right now: an identity whose disk is gone again must not
        // become a voter.
        .filter(
            one ->
                one.getValue().wantsVote
                    && !voters.contains(one.getKey())
                    && isCaughtUp(one.getKey())
                    && !one.getValue().isLagging(nowMs)
                    && nowMs - one.getValue().lastContactMs <= APPEND_RETRY_MS
                    && !isLeaving(one.getKey()))
        .map(Map.Entry::getKey)
        .min(
            Comparator.comparingLong((String identity) -> votersInZoneOf(voters, identity))
                .thenComparing(identity -> identity))
        .orElse(null);
  }

  /**
   * Decides for each learner which member of its zone it fetches committed entries from, or that
   * the leader sends them itself.
   */
  void assignRelays(final long nowMs) {
    final List<String> voters = raftNode.voters();
    // While a voter is missing or unwell, the leader serves all learners itself, so that one can
    // take its place.
    final boolean seated =
        voters.stream().filter(voter -> !isLeaving(voter)).count() >= placement.voterCount()
            && voters.stream()
                .allMatch(
                    voter ->
                        voter.equals(raftNode.identity())
                            || nowMs - leaderState.progressOf(voter).lastContactMs < APPEND_RETRY_MS
                                && !leaderState.progressOf(voter).isLagging(nowMs));
    leaderState
        .progressByMember()
        .forEach(
            (identity, progress) ->
                progress.relayAddress =
                    seated
                            && !voters.contains(identity)
                            && progress.matchIndex + MAX_RELAYED_LAG_ENTRIES
                                >= raftNode.commitIndex()
                            && raftNode.log().termAt(progress.matchIndex) >= 0
                            && !progress.isLagging(nowMs)
                        ? relayFor(RaftNode.addressOf(identity), voters, nowMs)
                        : null);
  }

  private String relayFor(final String address, final List<String> voters, final long nowMs) {
    final String zone = placement.zoneOf().apply(address);
    if (zone.isEmpty()) {
      return null;
    }
    final List<String> candidates = new ArrayList<>(voters);
    candidates.removeIf(voter -> !placement.zoneOf().apply(RaftNode.addressOf(voter)).equals(zone));
    if (candidates.isEmpty()) {
      // No voter in that zone: the first learner that responds is served by the leader and serves
      // the others.
      leaderState
          .progressByMember()
          .forEach(
              (one, progress) -> {
                if (placement.zoneOf().apply(RaftNode.addressOf(one)).equals(zone)
                    && nowMs - progress.lastContactMs < 2 * APPEND_RETRY_MS) {
                  candidates.add(one);
                }
              });
    }
    final String nearest =
        candidates.stream().map(RaftNode::addressOf).min(Comparator.naturalOrder()).orElse(address);
    return nearest.equals(address) ? null : nearest;
  }

  private long votersInZoneOf(final List<String> voters, final String identity) {
    final String address = RaftNode.addressOf(identity);
    if (voters.stream().anyMatch(voter -> RaftNode.addressOf(voter).equals(address))) {
      return -1;
    }
    final String zone = placement.zoneOf().apply(address);
    return voters.stream()
        .filter(voter -> placement.zoneOf().apply(RaftNode.addressOf(voter)).equals(zone))
        .count();
  }

  /**
   * Hands the leadership to a voter that holds the whole log, and calls back when that is done, or
   * after LEADER_TRANSFER_TIMEOUT_MS.
   */
  public void transferLeadership(final Runnable done) {
    if (!raftNode.isLeader() || raftNode.voters().size() == 1) {
      done.run();
      return;
    }
    transferring = true;
    transferSent = false;
    LogEvent.LEADERSHIP_TRANSFERRED.info("group " + raftNode.group());
    leaderState.progressByMember().forEach(this::continueTransfer);
    awaitTransfer(raftNode.context().nowMs(), done);
  }

  private void awaitTransfer(final long startMs, final Runnable done) {
    if (!raftNode.isLeader() || raftNode.context().nowMs() - startMs > LEADER_TRANSFER_TIMEOUT_MS) {
      reset();
      done.run();
    } else {
      raftNode.context().schedule(20, () -> awaitTransfer(startMs, done));
    }
  }

  /** Tells the first voter that holds the whole log to start an election. */
  void continueTransfer(final String identity, final PeerProgress progress) {
    if (transferring
        && !transferSent
        && !identity.equals(raftNode.identity())
        && progress.matchIndex == raftNode.log().lastIndex()
        && raftNode.voters().contains(identity)
        && raftNode.context().nowMs() - progress.lastContactMs < 3 * HEARTBEAT_INTERVAL_MS) {
      transferSent = true;
      raftNode.sendTo(identity, new TimeoutNowRequest());
    }
  }
}
