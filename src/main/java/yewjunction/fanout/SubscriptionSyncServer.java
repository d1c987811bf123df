package yewjunction.fanout;

import static yewjunction.limits.SubscriptionLimits.COUNT_INTEREST_MS;
import static yewjunction.limits.SubscriptionLimits.CROSS_ZONE_SYNC_EVERY;
import static yewjunction.limits.SubscriptionLimits.FULL_SYNC_EVERY;
import static yewjunction.limits.SubscriptionLimits.MAX_EDGE_SYNC_CELLS;
import static yewjunction.limits.SubscriptionLimits.MAX_SYNC_CELLS;
import static yewjunction.limits.SubscriptionLimits.SYNC_INTERVAL_MS;

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
  private final AgentContext context;
  private final PeerTransport transport;
  private final AddWinsSet subscriptions;
  private final MembershipList membership;
  private final StreamServer streamServer;
  private final SubscriptionSync sync;
  private final LongPredicate live;

  /** What each edge holds of its own part, by the digest it named. */
  private final Map<PeerConnection, Long> marks = new HashMap<>();

  private long rounds;
  private long countingMs = Long.MIN_VALUE / 2;

  public SubscriptionSyncServer(
      final AgentContext context,
      final PeerTransport transport,
      final AddWinsSet subscriptions,
      final MembershipList membership,
      final StreamServer streamServer,
      final LongPredicate live) {
    this.context = context;
    this.transport = transport;
    this.subscriptions = subscriptions;
    this.membership = membership;
    this.streamServer = streamServer;
    this.live = live;
    sync =
        new SubscriptionSync(
            context, transport, subscriptions, () -> streamServer.edges().values(), () -> {});
    transport.on(
        ReplicaStates.class,
        (connection, states) -> {
          subscriptions.receive(states.state);
          if (states.mark != 0) {
            marks.put(connection, states.mark);
          }
        });
    transport.on(CountRequest.class, this::tally);
    transport.onClose(marks::remove);
    // Started together, they would all pause for it in the same second.
    rounds = context.luck().nextInt(FULL_SYNC_EVERY);
    context.every(SYNC_INTERVAL_MS, this::round);
  }

  private void tally(final PeerConnection connection, final CountRequest request) {
    final boolean first = context.nowMs() - countingMs > COUNT_INTEREST_MS;
    countingMs = context.nowMs();
    if (first) {
      // Nobody asked for long, so little is known here of other zones: the next questions find it.
      askOthers();
    }
    final CountResponse response = new CountResponse();
    response.request = request.request;
    response.count = subscriptions.count(request.topic, live);
    connection.send(response);
  }

  private void round() {
    rounds++;
    // Other homes look for those that have edges: the rest need not know the set.
    membership.ready(!streamServer.edges().isEmpty());
    streamServer
        .edges()
        .forEach(
            (connection, replica) -> {
              final long mark = subscriptions.mark(replica);
              if (marks.getOrDefault(connection, 0L) != mark) {
                marks.put(connection, mark);
                sync.push(connection, List.of(replica), 0);
              }
            });
    if (!streamServer.edges().isEmpty()) {
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
    final List<Member> homes = membership.up(NodeRole.STORE);
    java.util.Collections.shuffle(homes, context.luck());
    for (final Member member : homes) {
      if (member.ready) {
        partners.putIfAbsent(member.zone, member);
      }
    }
    final boolean heals = rounds % FULL_SYNC_EVERY == 0;
    partners.forEach(
        (zone, member) -> {
          final boolean inside = zone.equals(membership.self().zone);
          // Both sides give and take; across zones only a little of what no home tells of itself.
          if (inside || heals) {
            sync.compare(
                transport.dial(member.address),
                inside ? MAX_SYNC_CELLS : MAX_EDGE_SYNC_CELLS,
                true);
          }
        });
    if (context.nowMs() - countingMs < COUNT_INTEREST_MS || rounds % CROSS_ZONE_SYNC_EVERY == 0) {
      askOthers();
    }
  }

  /** Each home of another zone tells of its own edges. */
  private void askOthers() {
    membership.up(NodeRole.STORE).stream()
        .filter(member -> member.ready && !member.zone.equals(membership.self().zone))
        .forEach(member -> sync.compareOwn(transport.dial(member.address)));
  }
}
