package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.DRAIN_MOVE_DURATION_MS;
import static yewjunction.limits.ClientLimits.DRAIN_MOVE_INTERVAL_MS;
import static yewjunction.limits.ClientLimits.DRAIN_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;

/** Moves an edge's clients to the other edges, paced and spread evenly, before it stops. */
public final class ConnectionDrainer {
  private final AgentContext context;
  private final ClientRegistry clientRegistry;
  private final MembershipList membership;
  private final Runnable done;
  private final long startMs;
  private int turn;
  private boolean over;

  public ConnectionDrainer(
      final AgentContext context,
      final ClientRegistry clientRegistry,
      final MembershipList membership,
      final Runnable done) {
    this.context = context;
    this.clientRegistry = clientRegistry;
    this.membership = membership;
    this.done = done;
    startMs = context.nowMs();
    turn = context.luck().nextInt(1_000);
  }

  public void start() {
    LogEvent.DRAIN_STARTED.info(clientRegistry.berths().size() + " links");
    clientRegistry.drain(this);
    step();
  }

  private void step() {
    if (over) {
      return;
    }
    // Armed first: a step that fails must not be the last one.
    context.after(DRAIN_MOVE_INTERVAL_MS, this::step);
    final long sinceMs = context.nowMs() - startMs;
    final List<ClientSession> staying = new ArrayList<>();
    for (final ClientSession session : clientRegistry.berths()) {
      if (!session.moved) {
        staying.add(session);
      }
    }
    // So many a step that all are gone when the span is over; those with nothing under way first.
    staying.sort((one, other) -> Integer.compare(one.underWay, other.underWay));
    final long stepsLeft = Math.max(1, (DRAIN_MOVE_DURATION_MS - sinceMs) / DRAIN_MOVE_INTERVAL_MS);
    final long chosen = (staying.size() + stepsLeft - 1) / stepsLeft;
    staying.stream().limit(chosen).forEach(this::move);
    // New links keep coming until the platform has seen that this node is not ready: it listens to
    // the end.
    if (sinceMs >= DRAIN_TIMEOUT_MS
        || clientRegistry.berths().isEmpty()
            && sinceMs >= DRAIN_TIMEOUT_MS - DRAIN_MOVE_DURATION_MS / 2) {
      LogEvent.DRAIN_DONE.info(clientRegistry.berths().size() + " links left");
      over = true;
      done.run();
    }
  }

  void move(final ClientSession session) {
    final Member target = target();
    if (target != null) {
      session.moved = true;
      session.plain("MOVE " + target.front);
    }
  }

  private Member target() {
    final List<Member> near = new ArrayList<>();
    final List<Member> far = new ArrayList<>();
    for (final Member member : membership.up(NodeRole.EDGE)) {
      if (member.ready && !member.front.isEmpty()) {
        (member.zone.equals(membership.self().zone) ? near : far).add(member);
      }
    }
    final List<Member> chosen = near.isEmpty() ? far : near;
    return chosen.isEmpty() ? null : chosen.get(Math.floorMod(turn++, chosen.size()));
  }
}
