package yewjunction.fanout;

import static yewjunction.common.Limits.COUNTING_MS;
import static yewjunction.common.Limits.GAUGE_CELLS;
import static yewjunction.common.Limits.GAUGE_EDGE_CELLS;
import static yewjunction.common.Limits.GOSSIP_ACROSS_EVERY;
import static yewjunction.common.Limits.GOSSIP_HEAL_EVERY;
import static yewjunction.common.Limits.GOSSIP_MS;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.CountRequest;
import yewjunction.fanout.FanoutMessages.CountResponse;
import yewjunction.fanout.FanoutMessages.ReplicaStates;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.subscription.AddWinsSet;

/**
 * A home's side of the exchange of the set: gathers the parts of its edges, compares with the homes
 * of other edges, and tells an edge what others changed in its own part.
 */
public final class SubscriptionSyncServer {
  private final AgentContext pulse;
  private final PeerTransport post;
  private final AddWinsSet weave;
  private final MembershipList roster;
  private final StreamServer home;
  private final SubscriptionSync shuttle;
  private final LongPredicate live;

  /** What each edge holds of its own part, by the digest it named. */
  private final Map<PeerConnection, Long> marks = new HashMap<>();

  private long rounds;
  private long countingMs = Long.MIN_VALUE / 2;

  public SubscriptionSyncServer(
      final AgentContext pulse,
      final PeerTransport post,
      final AddWinsSet weave,
      final MembershipList roster,
      final StreamServer home,
      final LongPredicate live) {
    this.pulse = pulse;
    this.post = post;
    this.weave = weave;
    this.roster = roster;
    this.home = home;
    this.live = live;
    shuttle = new SubscriptionSync(pulse, post, weave, () -> home.edges().values(), () -> {});
    post.on(
        ReplicaStates.class,
        (link, cloth) -> {
          weave.receive(cloth.state);
          if (cloth.mark != 0) {
            marks.put(link, cloth.mark);
          }
        });
    post.on(CountRequest.class, this::tally);
    post.onClose(marks::remove);
    // Started together, they would all pause for it in the same second.
    rounds = pulse.luck().nextInt(GOSSIP_HEAL_EVERY);
    pulse.every(GOSSIP_MS, this::round);
  }

  private void tally(final PeerConnection link, final CountRequest tally) {
    final boolean first = pulse.nowMs() - countingMs > COUNTING_MS;
    countingMs = pulse.nowMs();
    if (first) {
      // Nobody asked for long, so little is known here of other zones: the next questions find it.
      askOthers();
    }
    final CountResponse tallied = new CountResponse();
    tallied.request = tally.request;
    tallied.count = weave.count(tally.topic, live);
    link.send(tallied);
  }

  private void round() {
    rounds++;
    // Other homes look for those that have edges: the rest need not know the set.
    roster.ready(!home.edges().isEmpty());
    home.edges()
        .forEach(
            (link, replica) -> {
              final long mark = weave.mark(replica);
              if (marks.getOrDefault(link, 0L) != mark) {
                marks.put(link, mark);
                shuttle.push(link, List.of(replica), 0);
              }
            });
    if (!home.edges().isEmpty()) {
      compare();
    }
  }

  /**
   * Inside the zone with one other home a round. Across zones, where bytes are dear, seldom; while
   * somebody asks for counts each home tells of its own edges, and no more: with clients coming and
   * going every part changes every second.
   */
  private void compare() {
    final Map<String, Member> partners = new HashMap<>();
    final List<Member> homes = roster.up(NodeRole.STORE);
    java.util.Collections.shuffle(homes, pulse.luck());
    for (final Member peer : homes) {
      if (peer.ready) {
        partners.putIfAbsent(peer.zone, peer);
      }
    }
    final boolean heals = rounds % GOSSIP_HEAL_EVERY == 0;
    partners.forEach(
        (zone, peer) -> {
          final boolean inside = zone.equals(roster.self().zone);
          // Both sides give and take; across zones only a little of what no home tells of itself.
          if (inside || heals) {
            shuttle.compare(post.dial(peer.address), inside ? GAUGE_CELLS : GAUGE_EDGE_CELLS, true);
          }
        });
    if (pulse.nowMs() - countingMs < COUNTING_MS || rounds % GOSSIP_ACROSS_EVERY == 0) {
      askOthers();
    }
  }

  /** Each home of another zone tells of its own edges. */
  private void askOthers() {
    roster.up(NodeRole.STORE).stream()
        .filter(peer -> peer.ready && !peer.zone.equals(roster.self().zone))
        .forEach(peer -> shuttle.compareOwn(post.dial(peer.address)));
  }
}
