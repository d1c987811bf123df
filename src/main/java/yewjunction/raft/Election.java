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

/** When and how a member stands for the lead. */
final class Election {
  private final RaftNode raftNode;
  private final Set<String> grants = new HashSet<>();
  private long electAtMs;

  /** Votes proper are being asked for, not only whether they would be given. */
  private boolean firm;

  Election(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  void restartClock() {
    restartClock(MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS);
  }

  private void restartClock(final long leastMs, final long mostMs) {
    electAtMs =
        raftNode.context.nowMs()
            + leastMs
            + raftNode.context.luck().nextInt((int) (mostMs - leastMs));
  }

  /** After a loss of power all members start together and nobody leads: the first wait is short. */
  void start() {
    restartClock(MIN_STARTUP_ELECTION_TIMEOUT_MS, MAX_STARTUP_ELECTION_TIMEOUT_MS);
    watch();
  }

  /**
   * The leader's link broke, as it does when its process dies: no full patience is owed, unless it
   * dials again.
   */
  void leaderLinkBroke() {
    restartClock(MIN_DISCONNECT_ELECTION_TIMEOUT_MS, MAX_DISCONNECT_ELECTION_TIMEOUT_MS);
    raftNode.context.after(electAtMs - raftNode.context.nowMs(), this::standWhenDue);
  }

  private void standWhenDue() {
    if (!raftNode.leadsTerm() && !raftNode.stopped() && raftNode.context.nowMs() >= electAtMs) {
      stand(false);
    }
  }

  private void watch() {
    if (raftNode.stopped()) {
      return;
    }
    try {
      standWhenDue();
    } finally {
      // A turn that fails must not be the last look.
      raftNode.context.after(
          Math.max(
              10,
              raftNode.leadsTerm()
                  ? MIN_ELECTION_TIMEOUT_MS
                  : electAtMs - raftNode.context.nowMs()),
          this::watch);
    }
  }

  /**
   * Asks for votes: first only whether they would be given, so that a member cut off raises no
   * terms.
   */
  void stand(final boolean handedOver) {
    restartClock();
    if (!raftNode.groupMembership.seated()) {
      raftNode.groupMembership.patienceEnded();
      return;
    }
    if (handedOver) {
      standFirmly(true);
      return;
    }
    raftNode.follow(null);
    grants.add(raftNode.identity());
    askAll(true, false);
    count(true);
  }

  private void standFirmly(final boolean handedOver) {
    raftNode.stands();
    firm = true;
    grants.clear();
    final long newTerm = raftNode.storage.term + 1;
    raftNode.storage.saveVote(
        newTerm,
        raftNode.identity(),
        () -> {
          // Asked only once the own vote is on disk.
          if (raftNode.storage.term == newTerm && firm) {
            grants.add(raftNode.identity());
            askAll(false, handedOver);
            count(false);
          }
        });
  }

  private void askAll(final boolean pre, final boolean handedOver) {
    for (final String voter : raftNode.voters()) {
      if (!voter.equals(raftNode.identity())) {
        final VoteRequest request = new VoteRequest();
        request.pre = pre;
        request.handedOver = handedOver;
        request.lastIndex = raftNode.log.lastIndex();
        request.lastTerm = raftNode.log.lastTerm();
        raftNode.handshakes.send(
            raftNode.transport.dial(RaftNode.address(voter)),
            RaftMessages.withTerm(
                raftNode.addressed(request, voter), raftNode.storage.term + (pre ? 1 : 0)));
      }
    }
  }

  void granted(final VoteResponse response) {
    final long term = raftNode.storage.term;
    if (response.term > term && !response.granted) {
      raftNode.seen(response.term);
    } else if (response.granted
        && response.pre != firm
        && response.term == term + (response.pre ? 1 : 0)
        && !grants.isEmpty()) {
      grants.add(response.from);
      count(response.pre);
    }
  }

  private void count(final boolean pre) {
    final List<String> voters = raftNode.voters();
    if (voters.stream().filter(grants::contains).count() * 2 <= voters.size()) {
      return;
    }
    if (pre) {
      standFirmly(false);
    } else {
      over();
      LogEvent.LEADER_WON.info("group " + raftNode.group + " term " + raftNode.storage.term);
      raftNode.lead();
    }
  }

  /** This member stands no more: it leads, or follows somebody. */
  void over() {
    firm = false;
    grants.clear();
  }
}
