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

/** Moves an edge's clients to the other edges, paced and spread evenly, before the edge stops. */
public final class ConnectionDrainer {
  private final AgentContext context;
  private final ClientRegistry clientRegistry;
  private final MembershipList membership;
  private final Runnable onFinished;
  private final long startMs;
  private int nextTarget;
  private boolean finished;

  /** Creates a drainer that calls back once no client is left or the time is over. */
  public ConnectionDrainer(
      final AgentContext context,
      final ClientRegistry clientRegistry,
      final MembershipList membership,
      final Runnable done) {
    this.context = context;
    this.clientRegistry = clientRegistry;
    this.membership = membership;
    this.onFinished = done;
    startMs = context.nowMs();
    nextTarget = context.random().nextInt(1_000);
  }

  /** Begins to move clients, some at each step. */
  public void start() {
    LogEvent.DRAIN_STARTED.info(clientRegistry.sessions().size() + " connections");
    clientRegistry.setDrainer(this);
    step();
  }

  private void step() {
    if (finished) {
      return;
    }
    // Scheduled first, so that draining continues if this step throws.
    context.schedule(DRAIN_MOVE_INTERVAL_MS, this::step);
    final long sinceMs = context.nowMs() - startMs;
    final List<ClientSession> staying = new ArrayList<>();
    for (final ClientSession session : clientRegistry.sessions()) {
      if (!session.moved) {
        staying.add(session);
      }
    }
    // As many a step as needed to finish in time; those with nothing in flight first.
    staying.sort((one, other) -> Integer.compare(one.publishesInFlight, other.publishesInFlight));
    final long stepsLeft = Math.max(1, (DRAIN_MOVE_DURATION_MS - sinceMs) / DRAIN_MOVE_INTERVAL_MS);
    final long chosen = (staying.size() + stepsLeft - 1) / stepsLeft;
    staying.stream().limit(chosen).forEach(this::move);
    // New connections keep coming until the platform has noticed that this node is not ready.
    if (sinceMs >= DRAIN_TIMEOUT_MS
        || clientRegistry.sessions().isEmpty()
            && sinceMs >= DRAIN_TIMEOUT_MS - DRAIN_MOVE_DURATION_MS / 2) {
      LogEvent.DRAIN_FINISHED.info(clientRegistry.sessions().size() + " connections left");
      finished = true;
      onFinished.run();
    }
  }

  void move(final ClientSession session) {
    final Member target = target();
    if (target != null) {
      session.moved = true;
      session.sendLine("MOVE " + target.clientAddress);
    }
  }

  private Member target() {
    final List<Member> near = new ArrayList<>();
    final List<Member> far = new ArrayList<>();
    for (final Member member : membership.membersUp(NodeRole.EDGE)) {
      if (member.ready && !member.clientAddress.isEmpty()) {
        (member.zone.equals(membership.self().zone) ? near : far).add(member);
      }
    }
    final List<Member> chosen = near.isEmpty() ? far : near;
    return chosen.isEmpty() ? null : chosen.get(Math.floorMod(nextTarget++, chosen.size()));
  }
}
