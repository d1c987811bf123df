package yewjunction.membership;

import static yewjunction.limits.MembershipLimits.CROSS_ZONE_PING_EVERY;
import static yewjunction.limits.MembershipLimits.PING_INTERVAL_MS;
import static yewjunction.limits.MembershipLimits.PING_REQUEST_HELPERS;
import static yewjunction.limits.MembershipLimits.PING_TIMEOUT_MS;

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
  private final AgentContext context;
  private final MembershipList membership;
  private final ArrayDeque<String> nearTurn = new ArrayDeque<>();
  private final ArrayDeque<String> farTurn = new ArrayDeque<>();

  /** By address: a datagram has no link that would end with its sender. */
  private final PendingRequests<String, Runnable> pendingRequests;

  /**
   * Sent, for others too: what is asked for them changes the turn, or all that started together
   * would look across together.
   */
  private long probes;

  FailureDetector(final AgentContext context, final MembershipList membership) {
    this.context = context;
    this.membership = membership;
    pendingRequests = new PendingRequests<>(membership.self().life);
  }

  void start() {
    // Spread over a period, so that processes started together do not probe together.
    context.after(context.luck().nextInt((int) PING_INTERVAL_MS), this::probeNext);
  }

  void take(final String from, final MembershipMessage message) {
    if (message instanceof Ping ping) {
      final Ack ack = new Ack();
      ack.number = ping.number;
      membership.send(from, ack);
    } else if (message instanceof Ack ack) {
      final Runnable answered = pendingRequests.answered(ack.number, message.self.address);
      if (answered != null) {
        answered.run();
      }
    } else if (message instanceof PingRequest pingRequest) {
      final long number =
          probe(
              pingRequest.target,
              () -> {
                final Ack ack = new Ack();
                ack.number = pingRequest.number;
                membership.send(from, ack);
              });
      context.after(PING_INTERVAL_MS, () -> pendingRequests.drop(number));
    }
  }

  private long probe(final String target, final Runnable answered) {
    probes++;
    final Ping ping = new Ping();
    ping.number = pendingRequests.ask(target, answered);
    membership.send(target, ping);
    return ping.number;
  }

  private void probeNext() {
    if (membership.left()) {
      return;
    }
    context.after(PING_INTERVAL_MS, this::probeNext);
    membership.sweep();
    final String target = nextTarget();
    if (target == null) {
      return;
    }
    final boolean[] answered = new boolean[1];
    final List<Long> numbers = new ArrayList<>();
    numbers.add(probe(target, () -> answered[0] = true));
    context.after(
        PING_TIMEOUT_MS,
        () -> {
          if (!answered[0]) {
            askOthers(target, () -> answered[0] = true, numbers);
          }
        });
    context.after(
        PING_INTERVAL_MS - 50,
        () -> {
          numbers.forEach(pendingRequests::drop);
          if (!answered[0]) {
            membership.suspect(target);
          }
        });
  }

  private String nextTarget() {
    final boolean across = probes % CROSS_ZONE_PING_EVERY == CROSS_ZONE_PING_EVERY - 1;
    String target = nextOf(across ? farTurn : nearTurn, across);
    // A zone with nobody else in it looks across every time.
    return target != null ? target : nextOf(across ? nearTurn : farTurn, !across);
  }

  private String nextOf(final ArrayDeque<String> turn, final boolean across) {
    if (turn.isEmpty()) {
      final List<String> addresses = new ArrayList<>();
      for (final Member member : membership.all()) {
        if (member.up() && member.zone.equals(membership.self().zone) != across) {
          addresses.add(member.address);
        }
      }
      Collections.sort(addresses);
      Collections.shuffle(addresses, context.luck());
      turn.addAll(addresses);
    }
    return turn.poll();
  }

  private void askOthers(final String target, final Runnable answered, final List<Long> numbers) {
    final List<String> helpers = new ArrayList<>();
    for (final Member member : membership.all()) {
      if (member.standing == Member.UP
          && member.zone.equals(membership.self().zone)
          && !member.address.equals(target)) {
        helpers.add(member.address);
      }
    }
    Collections.shuffle(helpers, context.luck());
    for (int i = 0; i < Math.min(PING_REQUEST_HELPERS, helpers.size()); i++) {
      final PingRequest pingRequest = new PingRequest();
      // Each opinion is a question of its own: it counts from whom it was asked.
      pingRequest.number = pendingRequests.ask(helpers.get(i), answered);
      numbers.add(pingRequest.number);
      pingRequest.target = target;
      membership.send(helpers.get(i), pingRequest);
    }
  }
}
