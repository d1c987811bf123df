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
 * A store's side of the exchange of the subscription set: gathers the states of its edges, compares
 * with the stores of other edges, and tells an edge what others changed in its own state.
 *
 * <p>All calls on the agent's thread.
 */
public final class SubscriptionSyncServer {
  private final AgentContext context;
  private final PeerTransport transport;
  private final AddWinsSet subscriptions;
  private final MembershipList membership;
  private final StreamServer streamServer;
  private final SubscriptionSync sync;
  private final LongPredicate liveReplicas;

  /** The digest of each edge's own state, as the edge has named it. */
  private final Map<PeerConnection, Long> digestByConnection = new HashMap<>();

  private long rounds;
  private long lastCountMs = Long.MIN_VALUE / 2;

  /** Registers the handlers and begins the rounds. */
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
    this.liveReplicas = live;
    sync =
        new SubscriptionSync(
            context,
            transport,
            subscriptions,
            () -> streamServer.replicaByConnection().values(),
            () -> {});
    transport.onMessage(
        ReplicaStates.class,
        (connection, states) -> {
          subscriptions.merge(states.states);
          if (states.digest != 0) {
            digestByConnection.put(connection, states.digest);
          }
        });
    transport.onMessage(CountRequest.class, this::onCountRequest);
    transport.onClose(digestByConnection::remove);
    // Begins at a random round, so that stores that started together do not sync everything
    // together.
    rounds = context.random().nextInt(FULL_SYNC_EVERY);
    context.scheduleAtFixedRate(SYNC_INTERVAL_MS, this::syncRound);
  }

  private void onCountRequest(final PeerConnection connection, final CountRequest request) {
    final boolean first = context.nowMs() - lastCountMs > COUNT_INTEREST_MS;
    lastCountMs = context.nowMs();
    if (first) {
      // No client has asked for long, so little is known here of other zones: it will be for the
      // next requests.
      syncOwnEdgesOfOtherZones();
    }
    final CountResponse response = new CountResponse();
    response.requestId = request.requestId;
    response.count = subscriptions.count(request.topic, liveReplicas);
    connection.send(response);
  }

  private void syncRound() {
    rounds++;
    // A store without edges need not know the set: others find by this which ones to sync with.
    membership.setReady(!streamServer.replicaByConnection().isEmpty());
    streamServer
        .replicaByConnection()
        .forEach(
            (connection, replica) -> {
              final long mark = subscriptions.digest(replica);
              if (digestByConnection.getOrDefault(connection, 0L) != mark) {
                digestByConnection.put(connection, mark);
                sync.sendStates(connection, List.of(replica), 0);
              }
            });
    if (!streamServer.replicaByConnection().isEmpty()) {
      syncWithServers();
    }
  }

  /**
   * Syncs with one other store of the zone each round, and seldom with other zones, where bytes are
   * expensive. While clients ask for counts, stores of other zones are asked for the states of
   * their own edges only: with clients that come and go, all states change every second.
   */
  private void syncWithServers() {
    final Map<String, Member> partners = new HashMap<>();
    final List<Member> homes = membership.membersUp(NodeRole.STORE);
    java.util.Collections.shuffle(homes, context.random());
    for (final Member member : homes) {
      if (member.ready) {
        partners.putIfAbsent(member.zone, member);
      }
    }
    final boolean heals = rounds % FULL_SYNC_EVERY == 0;
    partners.forEach(
        (zone, member) -> {
          final boolean inside = zone.equals(membership.self().zone);
          // Both sides send what differs; across zones only a little of it.
          if (inside || heals) {
            sync.requestDifferences(
                transport.connect(member.address),
                inside ? MAX_SYNC_CELLS : MAX_EDGE_SYNC_CELLS,
                true);
          }
        });
    if (context.nowMs() - lastCountMs < COUNT_INTEREST_MS || rounds % CROSS_ZONE_SYNC_EVERY == 0) {
      syncOwnEdgesOfOtherZones();
    }
  }

  /** Asks the stores of other zones for the states of their own edges. */
  private void syncOwnEdgesOfOtherZones() {
    membership.membersUp(NodeRole.STORE).stream()
        .filter(member -> member.ready && !member.zone.equals(membership.self().zone))
        .forEach(member -> sync.requestOwnEdges(transport.connect(member.address)));
  }
}
