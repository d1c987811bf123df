package yewjunction.membership;

import static yewjunction.common.Limits.PROBE_ACROSS_EVERY;
import static yewjunction.common.Limits.PROBE_ANSWER_MS;
import static yewjunction.common.Limits.PROBE_HELPERS;
import static yewjunction.common.Limits.PROBE_MS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import yewjunction.common.AgentContext;
import yewjunction.common.PendingRequests;
import yewjunction.membership.MembershipMessages.Ack;
import yewjunction.membership.MembershipMessages.MembershipMessage;
import yewjunction.membership.MembershipMessages.Ping;
import yewjunction.membership.MembershipMessages.PingRequest;

/** Probes a peer a period, asks others for a second opinion, and answers for others. */
final class FailureDetector {
  private final AgentContext pulse;
  private final MembershipList roster;
  private final ArrayDeque<String> nearTurn = new ArrayDeque<>();
  private final ArrayDeque<String> farTurn = new ArrayDeque<>();

  /** By address: a datagram has no link that would end with its sender. */
  private final PendingRequests<String, Runnable> questions;

  /**
   * Sent, for others too: what is asked for them changes the turn, or all that started together
   * would look across together.
   */
  private long probes;

  FailureDetector(final AgentContext pulse, final MembershipList roster) {
    this.pulse = pulse;
    this.roster = roster;
    questions = new PendingRequests<>(roster.self().life);
  }

  void start() {
    // Spread over a period, so that processes started together do not probe together.
    pulse.after(pulse.luck().nextInt((int) PROBE_MS), this::probeNext);
  }

  void take(final String from, final MembershipMessage letter) {
    if (letter instanceof Ping probe) {
      final Ack echo = new Ack();
      echo.number = probe.number;
      roster.send(from, echo);
    } else if (letter instanceof Ack echo) {
      final Runnable answered = questions.answered(echo.number, letter.self.address);
      if (answered != null) {
        answered.run();
      }
    } else if (letter instanceof PingRequest detour) {
      final long number =
          probe(
              detour.target,
              () -> {
                final Ack echo = new Ack();
                echo.number = detour.number;
                roster.send(from, echo);
              });
      pulse.after(PROBE_MS, () -> questions.drop(number));
    }
  }

  private long probe(final String target, final Runnable answered) {
    probes++;
    final Ping probe = new Ping();
    probe.number = questions.ask(target, answered);
    roster.send(target, probe);
    return probe.number;
  }

  private void probeNext() {
    if (roster.left()) {
      return;
    }
    pulse.after(PROBE_MS, this::probeNext);
    roster.sweep();
    final String target = nextTarget();
    if (target == null) {
      return;
    }
    final boolean[] answered = new boolean[1];
    final List<Long> numbers = new ArrayList<>();
    numbers.add(probe(target, () -> answered[0] = true));
    pulse.after(
        PROBE_ANSWER_MS,
        () -> {
          if (!answered[0]) {
            askOthers(target, () -> answered[0] = true, numbers);
          }
        });
    pulse.after(
        PROBE_MS - 50,
        () -> {
          numbers.forEach(questions::drop);
          if (!answered[0]) {
            roster.suspect(target);
          }
        });
  }

  private String nextTarget() {
    final boolean across = probes % PROBE_ACROSS_EVERY == PROBE_ACROSS_EVERY - 1;
    String target = nextOf(across ? farTurn : nearTurn, across);
    // A zone with nobody else in it looks across every time.
    return target != null ? target : nextOf(across ? nearTurn : farTurn, !across);
  }

  private String nextOf(final ArrayDeque<String> turn, final boolean across) {
    if (turn.isEmpty()) {
      final List<String> addresses = new ArrayList<>();
      for (final Member peer : roster.all()) {
        if (peer.up() && peer.zone.equals(roster.self().zone) != across) {
          addresses.add(peer.address);
        }
      }
      Collections.sort(addresses);
      Collections.shuffle(addresses, pulse.luck());
      turn.addAll(addresses);
    }
    return turn.poll();
  }

  private void askOthers(final String target, final Runnable answered, final List<Long> numbers) {
    final List<String> helpers = new ArrayList<>();
    for (final Member peer : roster.all()) {
      if (peer.standing == Member.UP
          && peer.zone.equals(roster.self().zone)
          && !peer.address.equals(target)) {
        helpers.add(peer.address);
      }
    }
    Collections.shuffle(helpers, pulse.luck());
    for (int i = 0; i < Math.min(PROBE_HELPERS, helpers.size()); i++) {
      final PingRequest detour = new PingRequest();
      // Each opinion is a question of its own: it counts from whom it was asked.
      detour.number = questions.ask(helpers.get(i), answered);
      numbers.add(detour.number);
      detour.target = target;
      roster.send(helpers.get(i), detour);
    }
  }
}
