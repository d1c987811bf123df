package yewjunction.fanout;

import static yewjunction.common.Limits.GAUGE_CELLS;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.DigestRequest;
import yewjunction.fanout.FanoutMessages.DigestResponse;
import yewjunction.fanout.FanoutMessages.ReplicaStates;
import yewjunction.subscription.AddWinsSet;

/**
 * Carries the set between replicas. What belongs to one replica travels as a whole state, and only
 * where the two sides differ: digests go first.
 */
final class SubscriptionSync {
  private final AgentContext pulse;
  private final AddWinsSet weave;
  private final Supplier<Collection<Long>> own;

  /**
   * Own: the replicas that this process hears of first. Changed: something may have been merged.
   */
  SubscriptionSync(
      final AgentContext pulse,
      final PeerTransport post,
      final AddWinsSet weave,
      final Supplier<Collection<Long>> own,
      final Runnable changed) {
    this.own = own;
    this.pulse = pulse;
    this.weave = weave;
    post.on(DigestRequest.class, this::gauge);
    post.on(
        DigestResponse.class,
        (link, match) -> {
          weave.receive(match.state);
          if (!match.wanted.isEmpty()) {
            push(link, match.wanted, 0);
          }
          changed.run();
        });
  }

  void push(final PeerConnection link, final Collection<Long> replicas, final long mark) {
    final ReplicaStates cloth = new ReplicaStates();
    cloth.state = weave.state(replicas);
    cloth.mark = mark;
    link.send(cloth);
  }

  /** Asks for what differs there; with mutual set, what differs here is given too. */
  void compare(final PeerConnection link, final int mostCells, final boolean mutual) {
    link.send(gauge(mostCells, mutual));
  }

  /** Asks for the parts of that home's own edges, where they differ. */
  void compareOwn(final PeerConnection link) {
    final DigestRequest gauge = gauge(GAUGE_CELLS, false);
    gauge.own = true;
    link.send(gauge);
  }

  private DigestRequest gauge(final int mostCells, final boolean mutual) {
    final DigestRequest gauge = new DigestRequest();
    gauge.marks = weave.marks();
    gauge.mostCells = mostCells;
    gauge.mutual = mutual;
    return gauge;
  }

  private void gauge(final PeerConnection link, final DigestRequest gauge) {
    final DigestResponse match = new DigestResponse();
    final int mostCells = Math.min(gauge.mostCells, GAUGE_CELLS);
    match.state =
        weave.state(
            gauge.own == null
                ? weave.news(gauge.marks, mostCells, pulse.luck())
                : weave.newsOf(own.get(), gauge.marks, mostCells, pulse.luck()));
    match.wanted = gauge.mutual ? weave.wanted(gauge.marks) : List.of();
    link.send(match);
  }
}
