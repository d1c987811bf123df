package yewjunction.node;

import static yewjunction.common.Limits.HOMELESS_MS;
import static yewjunction.common.Limits.READY_LOOK_MS;

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
  private final AgentContext pulse;
  private final MembershipList roster;
  private final Settings settings;
  private final String address;
  private final long life;
  private final AddWinsSet weave = new AddWinsSet();
  private final LeaseClient tenure;
  private final ClientRegistry dock;
  private final StreamClient envoy;
  private volatile boolean ready;
  private boolean draining;

  public EdgeNode(
      final AgentContext pulse,
      final PeerTransport post,
      final MembershipList roster,
      final Settings settings,
      final long life) {
    this.pulse = pulse;
    this.roster = roster;
    this.settings = settings;
    this.life = life;
    address = settings.address(Settings.DATA_PORT_OFFSET);
    tenure =
        new LeaseClient(pulse, post, () -> Node.cruxes(roster, settings), this)
            .named(address, settings.node(), settings.zone(), NodeRole.EDGE, life);
    dock = new ClientRegistry(pulse, post, tenure, weave, settings.pingS());
    envoy =
        new StreamClient(pulse, post, weave, settings.node(), this::vaults, dock, dock::setChanged);
    dock.envoy(envoy);
    tenure.reporting(
        () -> {
          tenure.waiting(dock.shipping().depth(), dock.shipping().dark());
          tenure.disorders(dock.disorders().all());
        });
    dock.live(replica -> Node.live(replica, weave, tenure, roster));
  }

  @Override
  public void start() {
    tenure.start();
    pulse.every(READY_LOOK_MS, this::look);
  }

  /**
   * Vaults, the own zone's first: those the roster knows, and before it knows any, those the core
   * has named.
   */
  private List<String> vaults() {
    final Set<String> addresses = new LinkedHashSet<>();
    final List<Member> known = roster.up(NodeRole.STORE);
    final Set<String> retiring = tenure.facts().retiringAddresses();
    known.stream()
        .filter(peer -> peer.zone.equals(settings.zone()) && !retiring.contains(peer.address))
        .forEach(peer -> addresses.add(peer.address));
    final List<String> named =
        new ArrayList<>(tenure.facts().vaultAddresses(settings.zone(), true));
    known.forEach(peer -> named.add(peer.address));
    named.addAll(tenure.facts().vaultAddresses(settings.zone(), false));
    for (final String address : named) {
      final Member peer = roster.at(address);
      if (!retiring.contains(address) && (peer == null || peer.up())) {
        addresses.add(address);
      }
    }
    return new ArrayList<>(addresses);
  }

  private void look() {
    final boolean able =
        !draining
            && weave.self() != 0
            && tenure.held()
            && envoy.homelessMs() < HOMELESS_MS
            && !envoy.leader().isEmpty();
    if (able != ready) {
      ready = able;
      (able ? LogEvent.READY : LogEvent.NOT_READY).info(settings.node());
      roster.ready(able);
    }
  }

  public ClientConnection.Handler greet(final ClientConnection line) {
    return dock.greet(line);
  }

  /** Whether the platform may send clients here; asked from another thread. */
  public boolean ready() {
    return ready;
  }

  @Override
  public void stop(final Runnable ended) {
    draining = true;
    look();
    new ConnectionDrainer(pulse, dock, roster, ended).start();
  }

  @Override
  public void configChanged(final Configuration charter) {
    dock.configChanged(charter);
  }

  @Override
  public void factsChanged(final ClusterState facts) {
    final long name = facts.replica(address, life);
    final long before = weave.self();
    weave.self(name);
    weave.replicas(facts.newestReplica(), facts.liveReplicas());
    if (before != 0 && name != before) {
      // Given up while this process was away, or for an earlier life's late letter: under that name
      // nobody is told of
      // its clients any more. They come again, and what it says of them stands under the new one.
      LogEvent.REPLICA_LOST.warn(before + " now " + name);
      dock.gapped();
      envoy.renamed();
    } else if (name != before) {
      envoy.attach();
    }
  }
}
