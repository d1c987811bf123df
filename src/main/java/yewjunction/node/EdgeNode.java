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

/** An edge machine's data plane: holds clients' links and one replica of the subscription set. */
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
        new LeaseClient(context, transport, () -> Node.cruxes(membership, settings), this)
            .named(address, settings.node(), settings.zone(), NodeRole.EDGE, life);
    clientRegistry =
        new ClientRegistry(context, transport, leaseClient, subscriptions, settings.pingS());
    streamClient =
        new StreamClient(
            context,
            transport,
            subscriptions,
            settings.node(),
            this::vaults,
            clientRegistry,
            clientRegistry::setChanged);
    clientRegistry.envoy(streamClient);
    leaseClient.reporting(
        () -> {
          leaseClient.waiting(clientRegistry.shipping().depth(), clientRegistry.shipping().dark());
          leaseClient.disorders(clientRegistry.disorders().all());
        });
    clientRegistry.live(replica -> Node.live(replica, subscriptions, leaseClient, membership));
  }

  @Override
  public void start() {
    leaseClient.start();
    context.every(READINESS_CHECK_INTERVAL_MS, this::look);
  }

  /**
   * Vaults, the own zone's first: those the roster knows, and before it knows any, those the core
   * has named.
   */
  private List<String> vaults() {
    final Set<String> addresses = new LinkedHashSet<>();
    final List<Member> known = membership.up(NodeRole.STORE);
    final Set<String> retiring = leaseClient.facts().retiringAddresses();
    known.stream()
        .filter(member -> member.zone.equals(settings.zone()) && !retiring.contains(member.address))
        .forEach(member -> addresses.add(member.address));
    final List<String> named =
        new ArrayList<>(leaseClient.facts().vaultAddresses(settings.zone(), true));
    known.forEach(member -> named.add(member.address));
    named.addAll(leaseClient.facts().vaultAddresses(settings.zone(), false));
    for (final String address : named) {
      final Member member = membership.at(address);
      if (!retiring.contains(address) && (member == null || member.up())) {
        addresses.add(address);
      }
    }
    return new ArrayList<>(addresses);
  }

  private void look() {
    final boolean able =
        !draining
            && subscriptions.self() != 0
            && leaseClient.held()
            && streamClient.homelessMs() < DETACHED_NOT_READY_MS
            && !streamClient.leader().isEmpty();
    if (able != ready) {
      ready = able;
      (able ? LogEvent.READY : LogEvent.NOT_READY).info(settings.node());
      membership.ready(able);
    }
  }

  public ClientConnection.Handler greet(final ClientConnection connection) {
    return clientRegistry.greet(connection);
  }

  /** Whether the platform may send clients here; asked from another thread. */
  public boolean ready() {
    return ready;
  }

  @Override
  public void stop(final Runnable ended) {
    draining = true;
    look();
    new ConnectionDrainer(context, clientRegistry, membership, ended).start();
  }

  @Override
  public void configChanged(final Configuration configuration) {
    clientRegistry.configChanged(configuration);
  }

  @Override
  public void factsChanged(final ClusterState clusterState) {
    final long name = clusterState.replica(address, life);
    final long before = subscriptions.self();
    subscriptions.self(name);
    subscriptions.replicas(clusterState.newestReplica(), clusterState.liveReplicas());
    if (before != 0 && name != before) {
      // Given up while this process was away, or for an earlier life's late letter: under that name
      // nobody is told of
      // its clients any more. They come again, and what it says of them stands under the new one.
      LogEvent.REPLICA_LOST.warn(before + " now " + name);
      clientRegistry.gapped();
      streamClient.renamed();
    } else if (name != before) {
      streamClient.attach();
    }
  }
}
