package yewjunction.node;

import static yewjunction.limits.ClientLimits.READINESS_CHECK_INTERVAL_MS;
import static yewjunction.limits.FanoutLimits.DETACHED_NOT_READY_MS;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerTransport;
import yewjunction.control.ClusterState;
import yewjunction.control.Configuration;
import yewjunction.control.LeaseClient;
import yewjunction.fanout.StreamClient;
import yewjunction.gateway.ClientRegistry;
import yewjunction.gateway.ConnectionDrainer;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.settings.Settings;
import yewjunction.subscription.AddWinsSet;
import yewjunction.transport.ClientConnection;

/**
 * An edge machine's data plane: holds clients' connections and one replica of the subscription set.
 */
public final class EdgeNode implements Node, LeaseClient.Listener {
  private final AgentContext context;
  private final MembershipList membership;
  private final Settings settings;
  private final String address;
  private final long life;
  private final AddWinsSet subscriptions = new AddWinsSet();
  private final LeaseClient leaseClient;
  private final ClientRegistry clientRegistry;
  private final StreamClient streamClient;
  private volatile boolean ready;
  private boolean draining;

  /** Puts the node together; nothing runs before {@link #start}. */
  public EdgeNode(
      final AgentContext context,
      final PeerTransport transport,
      final MembershipList membership,
      final Settings settings,
      final long life) {
    this.context = context;
    this.membership = membership;
    this.settings = settings;
    this.life = life;
    address = settings.address(Settings.DATA_PORT_OFFSET);
    leaseClient =
        new LeaseClient(
                context, transport, () -> Node.controlNodeAddresses(membership, settings), this)
            .identifiedAs(address, settings.node(), settings.zone(), NodeRole.EDGE, life);
    clientRegistry =
        new ClientRegistry(context, transport, leaseClient, subscriptions, settings.pingS());
    streamClient =
        new StreamClient(
            context,
            transport,
            subscriptions,
            settings.node(),
            this::storeAddresses,
            clientRegistry,
            clientRegistry::onSubscriptionsMerged);
    clientRegistry.setStreamClient(streamClient);
    leaseClient.beforeEachReport(
        () -> {
          leaseClient.setWaitingPublishes(
              clientRegistry.publishForwarder().waitingCount(),
              clientRegistry.publishForwarder().isLeaderUnreachable());
          leaseClient.setOrderViolations(clientRegistry.violations().all());
        });
    clientRegistry.setLiveReplicas(
        replica -> Node.isLive(replica, subscriptions, leaseClient, membership));
  }

  @Override
  public void start() {
    leaseClient.start();
    context.scheduleAtFixedRate(READINESS_CHECK_INTERVAL_MS, this::updateReadiness);
  }

  /**
   * Addresses of stores, those of the own zone first: from the membership list, and before that
   * knows any, from the control group.
   */
  private List<String> storeAddresses() {
    final Set<String> addresses = new LinkedHashSet<>();
    final List<Member> known = membership.membersUp(NodeRole.STORE);
    final Set<String> retiring = leaseClient.clusterState().retiringAddresses();
    known.stream()
        .filter(member -> member.zone.equals(settings.zone()) && !retiring.contains(member.address))
        .forEach(member -> addresses.add(member.address));
    final List<String> named =
        new ArrayList<>(leaseClient.clusterState().storeAddresses(settings.zone(), true));
    known.forEach(member -> named.add(member.address));
    named.addAll(leaseClient.clusterState().storeAddresses(settings.zone(), false));
    for (final String address : named) {
      final Member member = membership.memberAt(address);
      if (!retiring.contains(address) && (member == null || member.isUp())) {
        addresses.add(address);
      }
    }
    return new ArrayList<>(addresses);
  }

  private void updateReadiness() {
    final boolean able =
        !draining
            && subscriptions.self() != 0
            && leaseClient.isHeld()
            && streamClient.detachedMs() < DETACHED_NOT_READY_MS
            && !streamClient.leader().isEmpty();
    if (able != ready) {
      ready = able;
      (able ? LogEvent.READY : LogEvent.NOT_READY).info(settings.node());
      membership.setReady(able);
    }
  }

  /** The handler of a client's new connection. */
  public ClientConnection.Handler newHandler(final ClientConnection connection) {
    return clientRegistry.newSession(connection);
  }

  /** Whether the platform may send clients here; asked from another thread. */
  public boolean ready() {
    return ready;
  }

  @Override
  public void stop(final Runnable ended) {
    draining = true;
    updateReadiness();
    new ConnectionDrainer(context, clientRegistry, membership, ended).start();
  }

  @Override
  public void onConfigurationChanged(final Configuration configuration) {
    clientRegistry.onConfigurationChanged(configuration);
  }

  @Override
  public void onClusterStateChanged(final ClusterState clusterState) {
    final long name = clusterState.replicaId(address, life);
    final long before = subscriptions.self();
    subscriptions.self(name);
    subscriptions.setReplicas(clusterState.newestReplicaId(), clusterState.liveReplicaIds());
    if (before != 0 && name != before) {
      // The id was retired while this process was away, or for a late message of an earlier life.
      // No other node knows its clients under that id any more: they reconnect, under the new one.
      LogEvent.REPLICA_ID_LOST.warn(before + " now " + name);
      clientRegistry.onStreamGap();
      streamClient.onReplicaIdChanged();
    } else if (name != before) {
      streamClient.attach();
    }
  }
}
