package yewjunction.raft;

import static yewjunction.common.ControlLimits.LEAVE_SAID_MS;
import static yewjunction.common.Limits.APPEND_AGAIN_MS;
import static yewjunction.common.Limits.BEAT_MS;
import static yewjunction.common.Limits.CAUGHT_UP_ENTRIES;
import static yewjunction.common.Limits.ELECT_MOST_MS;
import static yewjunction.common.Limits.HAND_OVER_MS;
import static yewjunction.common.Limits.RELAY_ENTRIES;
import static yewjunction.common.Limits.VOTER_SILENT_MS;

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
  private final RaftNode ledger;
  private final LeaderState leading;
  private boolean handing;
  private boolean handed;
  private VoterPlacement seating = VoterPlacement.OPEN;

  VoterReconfiguration(final RaftNode ledger, final LeaderState leading) {
    this.ledger = ledger;
    this.leading = leading;
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
    final PeerProgress standing = leading.standings.get(identity);
    return standing != null && standing.match + CAUGHT_UP_ENTRIES >= ledger.log.lastIndex();
  }

  /** Whether a change of the voters is under way: what it decides may still not come to be. */
  public boolean changing() {
    return ledger.log.lastVotersIndex() > ledger.commit();
  }

  public void change(final List<String> newVoters) {
    // One change at a time, and only by a leader that has committed in its own term.
    if (ledger.leads() && !changing() && !newVoters.equals(ledger.voters())) {
      newVoters.forEach(leading::standing);
      leading.append(LogEntry.VOTERS, RaftStorage.votersData(newVoters));
    }
  }

  /**
   * Fills the seats, by changes of one voter each. A newcomer at a voter's address means that the
   * voter's disk is gone, and that voter for good: it goes first. A voter that is silent, that
   * ends, or whose disk no longer takes what others have taken, loses its seat to a newcomer that
   * does better, and goes last: whoever was only away counts until then.
   */
  void settle() {
    if (!ledger.leads() || handing || changing()) {
      return;
    }
    final List<String> voters = ledger.voters();
    final long nowMs = ledger.pulse.nowMs();
    leading
        .standings
        .entrySet()
        .removeIf(
            one ->
                !voters.contains(one.getKey())
                    && nowMs - one.getValue().heardMs > 20 * ELECT_MOST_MS);
    leading.standings.forEach((identity, standing) -> standing.keepUp(ledger.commit(), nowMs));
    final List<String> newVoters = new ArrayList<>(voters);
    final String surplus = surplus(voters, nowMs);
    if (ledger.identity().equals(surplus)) {
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
    return voter.equals(ledger.identity())
        || nearEnd(voter) && nowMs - leading.standing(voter).heardMs <= APPEND_AGAIN_MS;
  }

  /** A voter that does not do what it sits there for. */
  private boolean weak(final String voter, final long nowMs) {
    final PeerProgress standing = leading.standing(voter);
    return leaves(voter)
        || !voter.equals(ledger.identity())
            && (nowMs - standing.heardMs > VOTER_SILENT_MS || standing.lags(nowMs));
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
                    .filter(voter -> !voter.equals(ledger.identity()))
                    .reduce((one, other) -> other))
        .orElse(null);
  }

  /** Its machine is to be emptied, or its process said a moment ago that it ends. */
  private boolean leaves(final String identity) {
    final PeerProgress standing = leading.standings.get(identity);
    return seating.leaving().get().contains(RaftNode.address(identity))
        || identity.equals(ledger.identity()) && ledger.membership.leaving()
        || standing != null
            && standing.leavesMs > 0
            && ledger.pulse.nowMs() - standing.leavesMs < LEAVE_SAID_MS;
  }

  int seats() {
    return seating.seats();
  }

  /**
   * Of those that want a vote, the one whose machine voted before, else one in the zone with the
   * fewest voters.
   */
  private String newcomer(final List<String> voters, final long nowMs) {
    return leading.standings.entrySet().stream()
        // Only one that answers right now: an identity whose disk is gone again stays out.
        .filter(
            one ->
                one.getValue().wantsVote
                    && !voters.contains(one.getKey())
                    && nearEnd(one.getKey())
                    && !one.getValue().lags(nowMs)
                    && nowMs - one.getValue().heardMs <= APPEND_AGAIN_MS
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
    final List<String> voters = ledger.voters();
    // While a seat is to be filled, candidates are brought to the very end.
    final boolean seated =
        voters.stream().filter(voter -> !leaves(voter)).count() >= seating.seats()
            && voters.stream()
                .allMatch(
                    voter ->
                        voter.equals(ledger.identity())
                            || nowMs - leading.standing(voter).heardMs < APPEND_AGAIN_MS
                                && !leading.standing(voter).lags(nowMs));
    leading.standings.forEach(
        (identity, standing) ->
            standing.relay =
                seated
                        && !voters.contains(identity)
                        && standing.match + RELAY_ENTRIES >= ledger.commit()
                        && ledger.log.termAt(standing.match) >= 0
                        && !standing.lags(nowMs)
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
      leading.standings.forEach(
          (one, standing) -> {
            if (seating.zoneOf().apply(RaftNode.address(one)).equals(zone)
                && nowMs - standing.heardMs < 2 * APPEND_AGAIN_MS) {
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
    if (!ledger.leadsTerm() || ledger.voters().size() == 1) {
      done.run();
      return;
    }
    handing = true;
    handed = false;
    LogEvent.LEADER_HANDED.info("group " + ledger.group);
    leading.standings.forEach(this::handOn);
    waitHanded(ledger.pulse.nowMs(), done);
  }

  private void waitHanded(final long startMs, final Runnable done) {
    if (!ledger.leadsTerm() || ledger.pulse.nowMs() - startMs > HAND_OVER_MS) {
      reset();
      done.run();
    } else {
      ledger.pulse.after(20, () -> waitHanded(startMs, done));
    }
  }

  /** The first peer that holds everything is told to stand. */
  void handOn(final String identity, final PeerProgress standing) {
    if (handing
        && !handed
        && !identity.equals(ledger.identity())
        && standing.match == ledger.log.lastIndex()
        && ledger.voters().contains(identity)
        && ledger.pulse.nowMs() - standing.heardMs < 3 * BEAT_MS) {
      handed = true;
      ledger.sendTo(identity, new TimeoutNowRequest());
    }
  }
}
