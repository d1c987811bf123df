package yewjunction.gateway;

import static yewjunction.common.Limits.DRAIN_MS;
import static yewjunction.common.Limits.MOVE_SPAN_MS;
import static yewjunction.common.Limits.MOVE_STEP_MS;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;

/** Moves an edge's clients to the other edges, paced and spread evenly, before it stops. */
public final class ConnectionDrainer {
  private final AgentContext pulse;
  private final ClientRegistry dock;
  private final MembershipList roster;
  private final Runnable done;
  private final long startMs;
  private int turn;
  private boolean over;

  public ConnectionDrainer(
      final AgentContext pulse,
      final ClientRegistry dock,
      final MembershipList roster,
      final Runnable done) {
    this.pulse = pulse;
    this.dock = dock;
    this.roster = roster;
    this.done = done;
    startMs = pulse.nowMs();
    turn = pulse.luck().nextInt(1_000);
  }

  public void start() {
    LogEvent.DRAIN_STARTED.info(dock.berths().size() + " links");
    dock.drain(this);
    step();
  }

  private void step() {
    if (over) {
      return;
    }
    // Armed first: a step that fails must not be the last one.
    pulse.after(MOVE_STEP_MS, this::step);
    final long sinceMs = pulse.nowMs() - startMs;
    final List<ClientSession> staying = new ArrayList<>();
    for (final ClientSession berth : dock.berths()) {
      if (!berth.moved) {
        staying.add(berth);
      }
    }
    // So many a step that all are gone when the span is over; those with nothing under way first.
    staying.sort((one, other) -> Integer.compare(one.underWay, other.underWay));
    final long stepsLeft = Math.max(1, (MOVE_SPAN_MS - sinceMs) / MOVE_STEP_MS);
    final long chosen = (staying.size() + stepsLeft - 1) / stepsLeft;
    staying.stream().limit(chosen).forEach(this::move);
    // New links keep coming until the platform has seen that this node is not ready: it listens to
    // the end.
    if (sinceMs >= DRAIN_MS || dock.berths().isEmpty() && sinceMs >= DRAIN_MS - MOVE_SPAN_MS / 2) {
      LogEvent.DRAIN_DONE.info(dock.berths().size() + " links left");
      over = true;
      done.run();
    }
  }

  void move(final ClientSession berth) {
    final Member target = target();
    if (target != null) {
      berth.moved = true;
      berth.plain("MOVE " + target.front);
    }
  }

  private Member target() {
    final List<Member> near = new ArrayList<>();
    final List<Member> far = new ArrayList<>();
    for (final Member peer : roster.up(NodeRole.EDGE)) {
      if (peer.ready && !peer.front.isEmpty()) {
        (peer.zone.equals(roster.self().zone) ? near : far).add(peer);
      }
    }
    final List<Member> chosen = near.isEmpty() ? far : near;
    return chosen.isEmpty() ? null : chosen.get(Math.floorMod(turn++, chosen.size()));
  }
}
