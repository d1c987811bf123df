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
 * Who votes, and who leads next: a leader changes voters one at a time and hands over before it
 * stops.
 */
public final class VoterReconfiguration {
  private final RaftNode raftNode;
  private final LeaderState leaderState;
  private boolean handing;
  private boolean handed;
  private VoterPlacement seating = VoterPlacement.OPEN;

  VoterReconfiguration(final RaftNode raftNode, final LeaderState leaderState) {
    this.raftNode = raftNode;
    this.leaderState = leaderState;
  }

  public void seat(final VoterPlacement chosenSeating) {
    seating = chosenSeating;
  }

  void reset() {
    handing = false;
    handed = false;
  }

  boolean handing() {
    return handing;
  }

  /** Whether a member is within a few entries of this leader's end. */
  public boolean nearEnd(final String identity) {
    final PeerProgress progress = leaderState.progressByMember.get(identity);
    return progress != null && progress.match + CAUGHT_UP_ENTRIES >= raftNode.log.lastIndex();
  }

  /** Whether a change of the voters is under way: what it decides may still not come to be. */
  public boolean changing() {
    return raftNode.log.lastVotersIndex() > raftNode.commit();
  }

  public void change(final List<String> newVoters) {
    // One change at a time, and only by a leader that has committed in its own term.
    if (raftNode.leads() && !changing() && !newVoters.equals(raftNode.voters())) {
      newVoters.forEach(leaderState::standing);
      leaderState.append(LogEntry.VOTERS, RaftStorage.votersData(newVoters));
    }
  }

  /**
   * Fills the seats, by changes of one voter each. A newcomer at a voter's address means that the
   * voter's disk is gone, and that voter for good: it goes first. A voter that is silent, that
   * ends, or whose disk no longer takes what others have taken, loses its seat to a newcomer that
   * does better, and goes last: whoever was only away counts until then.
   */
  void settle() {
    if (!raftNode.leads() || handing || changing()) {
      return;
    }
    final List<String> voters = raftNode.voters();
    final long nowMs = raftNode.context.nowMs();
    leaderState
        .progressByMember
        .entrySet()
        .removeIf(
            one ->
                !voters.contains(one.getKey())
                    && nowMs - one.getValue().heardMs > 20 * MAX_ELECTION_TIMEOUT_MS);
    leaderState.progressByMember.forEach(
        (identity, progress) -> progress.keepUp(raftNode.commit(), nowMs));
    final List<String> newVoters = new ArrayList<>(voters);
    final String surplus = surplus(voters, nowMs);
    if (raftNode.identity().equals(surplus)) {
      // A leader that is to go hands over before.
      handOver(() -> {});
      return;
    }
    final String newcomer = surplus == null ? newcomer(voters, nowMs) : null;
    if (surplus != null) {
      newVoters.remove(surplus);
    } else if (newcomer != null
        && !newVoters.removeIf(voter -> RaftNode.address(voter).equals(RaftNode.address(newcomer)))
        && (voters.size() < seating.seats()
            || voters.stream().anyMatch(voter -> weak(voter, nowMs)))) {
      newVoters.add(newcomer);
    }
    // A change that a majority of the new voters cannot take would hold up all others, and may
    // never be undone.
    if (newVoters.stream().filter(voter -> answers(voter, nowMs)).count() * 2 > newVoters.size()) {
      change(newVoters);
    }
  }

  private boolean answers(final String voter, final long nowMs) {
    return voter.equals(raftNode.identity())
        || nearEnd(voter) && nowMs - leaderState.standing(voter).heardMs <= APPEND_RETRY_MS;
  }

  /** A voter that does not do what it sits there for. */
  private boolean weak(final String voter, final long nowMs) {
    final PeerProgress progress = leaderState.standing(voter);
    return leaves(voter)
        || !voter.equals(raftNode.identity())
            && (nowMs - progress.heardMs > VOTER_SILENCE_TIMEOUT_MS || progress.lags(nowMs));
  }

  /** The voter that goes since its successor has come; null when none has to. */
  private String surplus(final List<String> voters, final long nowMs) {
    if (voters.size() <= seating.seats()) {
      return null;
    }
    // The last to come is the first to go where all are well again: whoever was away is back.
    return voters.stream()
        .filter(this::leaves)
        .findFirst()
        .or(() -> voters.stream().filter(voter -> weak(voter, nowMs)).findFirst())
        .or(
            () ->
                voters.stream()
                    .filter(voter -> !voter.equals(raftNode.identity()))
                    .reduce((one, other) -> other))
        .orElse(null);
  }

  /** Its machine is to be emptied, or its process said a moment ago that it ends. */
  private boolean leaves(final String identity) {
    final PeerProgress progress = leaderState.progressByMember.get(identity);
    return seating.leaving().get().contains(RaftNode.address(identity))
        || identity.equals(raftNode.identity()) && raftNode.groupMembership.leaving()
        || progress != null
            && progress.leavesMs > 0
            && raftNode.context.nowMs() - progress.leavesMs < LEAVE_NOTICE_VALID_MS;
  }

  int seats() {
    return seating.seats();
  }

  /**
   * Of those that want a vote, the one whose machine voted before, else one in the zone with the
   * fewest voters.
   */
  private String newcomer(final List<String> voters, final long nowMs) {
    return leaderState.progressByMember.entrySet().stream()
        // Only one that answers right now: an identity whose disk is gone again stays out.
        .filter(
            one ->
                one.getValue().wantsVote
                    && !voters.contains(one.getKey())
                    && nearEnd(one.getKey())
                    && !one.getValue().lags(nowMs)
                    && nowMs - one.getValue().heardMs <= APPEND_RETRY_MS
                    && !leaves(one.getKey()))
        .map(Map.Entry::getKey)
        .min(
            Comparator.comparingLong((String identity) -> votersLike(voters, identity))
                .thenComparing(identity -> identity))
        .orElse(null);
  }

  /**
   * Who hands committed entries on to each member without a vote inside its zone; null for whom the
   * leader serves itself.
   */
  void relays(final long nowMs) {
    final List<String> voters = raftNode.voters();
    // While a seat is to be filled, candidates are brought to the very end.
    final boolean seated =
        voters.stream().filter(voter -> !leaves(voter)).count() >= seating.seats()
            && voters.stream()
                .allMatch(
                    voter ->
                        voter.equals(raftNode.identity())
                            || nowMs - leaderState.standing(voter).heardMs < APPEND_RETRY_MS
                                && !leaderState.standing(voter).lags(nowMs));
    leaderState.progressByMember.forEach(
        (identity, progress) ->
            progress.relay =
                seated
                        && !voters.contains(identity)
                        && progress.match + MAX_RELAYED_LAG_ENTRIES >= raftNode.commit()
                        && raftNode.log.termAt(progress.match) >= 0
                        && !progress.lags(nowMs)
                    ? relay(RaftNode.address(identity), voters, nowMs)
                    : null);
  }

  private String relay(final String address, final List<String> voters, final long nowMs) {
    final String zone = seating.zoneOf().apply(address);
    if (zone.isEmpty()) {
      return null;
    }
    final List<String> near = new ArrayList<>(voters);
    near.removeIf(voter -> !seating.zoneOf().apply(RaftNode.address(voter)).equals(zone));
    if (near.isEmpty()) {
      // No voter there: the first of the others that answers is served from here and serves the
      // rest.
      leaderState.progressByMember.forEach(
          (one, progress) -> {
            if (seating.zoneOf().apply(RaftNode.address(one)).equals(zone)
                && nowMs - progress.heardMs < 2 * APPEND_RETRY_MS) {
              near.add(one);
            }
          });
    }
    final String first =
        near.stream().map(RaftNode::address).min(Comparator.naturalOrder()).orElse(address);
    return first.equals(address) ? null : first;
  }

  private long votersLike(final List<String> voters, final String identity) {
    final String address = RaftNode.address(identity);
    if (voters.stream().anyMatch(voter -> RaftNode.address(voter).equals(address))) {
      return -1;
    }
    final String zone = seating.zoneOf().apply(address);
    return voters.stream()
        .filter(voter -> seating.zoneOf().apply(RaftNode.address(voter)).equals(zone))
        .count();
  }

  public void handOver(final Runnable done) {
    if (!raftNode.leadsTerm() || raftNode.voters().size() == 1) {
      done.run();
      return;
    }
    handing = true;
    handed = false;
    LogEvent.LEADER_HANDED.info("group " + raftNode.group);
    leaderState.progressByMember.forEach(this::handOn);
    waitHanded(raftNode.context.nowMs(), done);
  }

  private void waitHanded(final long startMs, final Runnable done) {
    if (!raftNode.leadsTerm() || raftNode.context.nowMs() - startMs > LEADER_TRANSFER_TIMEOUT_MS) {
      reset();
      done.run();
    } else {
      raftNode.context.after(20, () -> waitHanded(startMs, done));
    }
  }

  /** The first peer that holds everything is told to stand. */
  void handOn(final String identity, final PeerProgress progress) {
    if (handing
        && !handed
        && !identity.equals(raftNode.identity())
        && progress.match == raftNode.log.lastIndex()
        && raftNode.voters().contains(identity)
        && raftNode.context.nowMs() - progress.heardMs < 3 * HEARTBEAT_INTERVAL_MS) {
      handed = true;
      raftNode.sendTo(identity, new TimeoutNowRequest());
    }
  }
}
