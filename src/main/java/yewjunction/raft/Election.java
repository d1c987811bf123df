package yewjunction.raft;

import static yewjunction.common.Limits.ELECT_BROKEN_LEAST_MS;
import static yewjunction.common.Limits.ELECT_BROKEN_MOST_MS;
import static yewjunction.common.Limits.ELECT_FIRST_LEAST_MS;
import static yewjunction.common.Limits.ELECT_FIRST_MOST_MS;
import static yewjunction.common.Limits.ELECT_LEAST_MS;
import static yewjunction.common.Limits.ELECT_MOST_MS;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import yewjunction.common.LogEvent;
import yewjunction.raft.RaftMessages.VoteRequest;
import yewjunction.raft.RaftMessages.VoteResponse;

/** When and how a member stands for the lead. */
final class Election {
  private final RaftNode ledger;
  private final Set<String> grants = new HashSet<>();
  private long electAtMs;

  /** Votes proper are being asked for, not only whether they would be given. */
  private boolean firm;

  Election(final RaftNode ledger) {
    this.ledger = ledger;
  }

  void restartClock() {
    restartClock(ELECT_LEAST_MS, ELECT_MOST_MS);
  }

  private void restartClock(final long leastMs, final long mostMs) {
    electAtMs =
        ledger.pulse.nowMs() + leastMs + ledger.pulse.luck().nextInt((int) (mostMs - leastMs));
  }

  /** After a loss of power all members start together and nobody leads: the first wait is short. */
  void start() {
    restartClock(ELECT_FIRST_LEAST_MS, ELECT_FIRST_MOST_MS);
    watch();
  }

  /**
   * The leader's link broke, as it does when its process dies: no full patience is owed, unless it
   * dials again.
   */
  void leaderLinkBroke() {
    restartClock(ELECT_BROKEN_LEAST_MS, ELECT_BROKEN_MOST_MS);
    ledger.pulse.after(electAtMs - ledger.pulse.nowMs(), this::standWhenDue);
  }

  private void standWhenDue() {
    if (!ledger.leadsTerm() && !ledger.stopped() && ledger.pulse.nowMs() >= electAtMs) {
      stand(false);
    }
  }

  private void watch() {
    if (ledger.stopped()) {
      return;
    }
    try {
      standWhenDue();
    } finally {
      // A turn that fails must not be the last look.
      ledger.pulse.after(
          Math.max(10, ledger.leadsTerm() ? ELECT_LEAST_MS : electAtMs - ledger.pulse.nowMs()),
          this::watch);
    }
  }

  /**
   * Asks for votes: first only whether they would be given, so that a member cut off raises no
   * terms.
   */
  void stand(final boolean handedOver) {
    restartClock();
    if (!ledger.membership.seated()) {
      ledger.membership.patienceEnded();
      return;
    }
    if (handedOver) {
      standFirmly(true);
      return;
    }
    ledger.follow(null);
    grants.add(ledger.identity());
    askAll(true, false);
    count(true);
  }

  private void standFirmly(final boolean handedOver) {
    ledger.stands();
    firm = true;
    grants.clear();
    final long newTerm = ledger.archive.term + 1;
    ledger.archive.saveVote(
        newTerm,
        ledger.identity(),
        () -> {
          // Asked only once the own vote is on disk.
          if (ledger.archive.term == newTerm && firm) {
            grants.add(ledger.identity());
            askAll(false, handedOver);
            count(false);
          }
        });
  }

  private void askAll(final boolean pre, final boolean handedOver) {
    for (final String voter : ledger.voters()) {
      if (!voter.equals(ledger.identity())) {
        final VoteRequest ask = new VoteRequest();
        ask.pre = pre;
        ask.handedOver = handedOver;
        ask.lastIndex = ledger.log.lastIndex();
        ask.lastTerm = ledger.log.lastTerm();
        ledger.introductions.send(
            ledger.post.dial(RaftNode.address(voter)),
            RaftMessages.withTerm(
                ledger.addressed(ask, voter), ledger.archive.term + (pre ? 1 : 0)));
      }
    }
  }

  void granted(final VoteResponse answer) {
    final long term = ledger.archive.term;
    if (answer.term > term && !answer.granted) {
      ledger.seen(answer.term);
    } else if (answer.granted
        && answer.pre != firm
        && answer.term == term + (answer.pre ? 1 : 0)
        && !grants.isEmpty()) {
      grants.add(answer.from);
      count(answer.pre);
    }
  }

  private void count(final boolean pre) {
    final List<String> voters = ledger.voters();
    if (voters.stream().filter(grants::contains).count() * 2 <= voters.size()) {
      return;
    }
    if (pre) {
      standFirmly(false);
    } else {
      over();
      LogEvent.LEADER_WON.info("group " + ledger.group + " term " + ledger.archive.term);
      ledger.lead();
    }
  }

  /** This member stands no more: it leads, or follows somebody. */
  void over() {
    firm = false;
    grants.clear();
  }
}
