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

/**
 * Pings one member each interval, asks others to ping it when it does not answer in time, and
 * answers pings. A member that neither answers itself nor through others until the interval ends is
 * suspected.
 *
 * <p>Owned by {@link MembershipList}; all calls on the agent's thread.
 */
final class FailureDetector {
  private final AgentContext context;
  private final MembershipList membership;
  private final ArrayDeque<String> ownZoneQueue = new ArrayDeque<>();
  private final ArrayDeque<String> otherZonesQueue = new ArrayDeque<>();

  /** Keyed by address: a datagram has no connection that would end with its sender. */
  private final PendingRequests<String, Runnable> pendingRequests;

  /**
   * Counts pings for others too: else all processes that started together would ping other zones at
   * the same moment.
   */
  private long pingsSent;

  FailureDetector(final AgentContext context, final MembershipList membership) {
    this.context = context;
    this.membership = membership;
    pendingRequests = new PendingRequests<>(membership.self().life);
  }

  void start() {
    // Spread over one interval, so that processes that started together do not ping together.
    context.schedule(context.random().nextInt((int) PING_INTERVAL_MS), this::pingNext);
  }

  void onMessage(final String from, final MembershipMessage message) {
    if (message instanceof Ping ping) {
      final Ack ack = new Ack();
      ack.requestId = ping.requestId;
      membership.send(from, ack);
    } else if (message instanceof Ack ack) {
      final Runnable answered = pendingRequests.complete(ack.requestId, message.sender.address);
      if (answered != null) {
        answered.run();
      }
    } else if (message instanceof PingRequest pingRequest) {
      final long number =
          ping(
              pingRequest.target,
              () -> {
                final Ack ack = new Ack();
                ack.requestId = pingRequest.requestId;
                membership.send(from, ack);
              });
      context.schedule(PING_INTERVAL_MS, () -> pendingRequests.cancel(number));
    }
  }

  private long ping(final String target, final Runnable answered) {
    pingsSent++;
    final Ping ping = new Ping();
    ping.requestId = pendingRequests.add(target, answered);
    membership.send(target, ping);
    return ping.requestId;
  }

  private void pingNext() {
    if (membership.hasLeft()) {
      return;
    }
    context.schedule(PING_INTERVAL_MS, this::pingNext);
    membership.expireMembers();
    final String target = nextTarget();
    if (target == null) {
      return;
    }
    final boolean[] answered = new boolean[1];
    final List<Long> numbers = new ArrayList<>();
    numbers.add(ping(target, () -> answered[0] = true));
    context.schedule(
        PING_TIMEOUT_MS,
        () -> {
          if (!answered[0]) {
            requestIndirectPings(target, () -> answered[0] = true, numbers);
          }
        });
    context.schedule(
        PING_INTERVAL_MS - 50,
        () -> {
          numbers.forEach(pendingRequests::cancel);
          if (!answered[0]) {
            membership.suspect(target);
          }
        });
  }

  private String nextTarget() {
    final boolean toOtherZones = pingsSent % CROSS_ZONE_PING_EVERY == CROSS_ZONE_PING_EVERY - 1;
    final String target = nextFrom(toOtherZones ? otherZonesQueue : ownZoneQueue, toOtherZones);
    // A process that is alone in its zone pings other zones every time.
    return target != null
        ? target
        : nextFrom(toOtherZones ? ownZoneQueue : otherZonesQueue, !toOtherZones);
  }

  private String nextFrom(final ArrayDeque<String> turn, final boolean toOtherZones) {
    if (turn.isEmpty()) {
      final List<String> addresses = new ArrayList<>();
      for (final Member member : membership.all()) {
        if (member.isUp() && member.zone.equals(membership.self().zone) != toOtherZones) {
          addresses.add(member.address);
        }
      }
      Collections.sort(addresses);
      Collections.shuffle(addresses, context.random());
      turn.addAll(addresses);
    }
    return turn.poll();
  }

  private void requestIndirectPings(
      final String target, final Runnable answered, final List<Long> numbers) {
    final List<String> helpers = new ArrayList<>();
    for (final Member member : membership.all()) {
      if (member.state == Member.UP
          && member.zone.equals(membership.self().zone)
          && !member.address.equals(target)) {
        helpers.add(member.address);
      }
    }
    Collections.shuffle(helpers, context.random());
    for (int i = 0; i < Math.min(PING_REQUEST_HELPERS, helpers.size()); i++) {
      final PingRequest pingRequest = new PingRequest();
      // Each indirect ping is a request of its own: its response counts only from the helper that
      // was asked.
      pingRequest.requestId = pendingRequests.add(helpers.get(i), answered);
      numbers.add(pingRequest.requestId);
      pingRequest.target = target;
      membership.send(helpers.get(i), pingRequest);
    }
  }
}
