package yewjunction.node;

import static yewjunction.limits.RaftLimits.REGISTRATION_INTERVAL_MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.control.ClusterState;
import yewjunction.control.Configuration;
import yewjunction.control.FormerRetention;
import yewjunction.control.LeaseClient;
import yewjunction.fanout.StreamServer;
import yewjunction.fanout.SubscriptionSyncServer;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.raft.Disk;
import yewjunction.raft.RaftNode;
import yewjunction.raft.TaskExecutor;
import yewjunction.raft.VoterPlacement;
import yewjunction.settings.Settings;
import yewjunction.store.AdmissionController;
import yewjunction.store.MessageStore;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;

/**
 * A store machine's data plane: one member of the stores' log, and serving store to its zone's
 * edges.
 */
public final class StoreNode implements Node, MessageStore.Listener, LeaseClient.Listener {
  /** The number of the stores' group. */
  private static final int GROUP = 1;

  private final MessageStore messageStore;
  private final RaftNode raftNode;
  private final AdmissionController admission;
  private final StreamServer streamServer;
  private final LeaseClient leaseClient;
  private final AddWinsSet subscriptions = new AddWinsSet();

  private final AgentContext context;
  private final MembershipList membership;
  private final Settings settings;
  private final String address;
  private final long life;

  /** Puts the node together; nothing runs before {@link #start}. */
  public StoreNode(
      final AgentContext context,
      final PeerTransport transport,
      final Disk disk,
      final TaskExecutor executor,
      final MembershipList membership,
      final Settings settings,
      final long life) {
    this.context = context;
    this.membership = membership;
    this.settings = settings;
    this.life = life;
    address = settings.address(Settings.DATA_PORT_OFFSET);
    messageStore = new MessageStore(context, this, settings);
    raftNode = new RaftNode(GROUP, context, transport, disk, executor, "messages", messageStore);
    raftNode.registerHandlers();
    admission = new AdmissionController(context, transport, raftNode, messageStore);
    streamServer = new StreamServer(context, transport, raftNode, messageStore, subscriptions);
    leaseClient =
        new LeaseClient(
                context, transport, () -> Node.controlNodeAddresses(membership, settings), this)
            .identifiedAs(address, settings.node(), settings.zone(), NodeRole.STORE, life);
    leaseClient.beforeEachReport(
        () -> leaseClient.setDiskDelay(raftNode.commitTracker().oldestPendingWriteMs()));
    new SubscriptionSyncServer(
        context,
        transport,
        subscriptions,
        membership,
        streamServer,
        replica -> Node.isLive(replica, subscriptions, leaseClient, membership));
  }

  @Override
  public void start() {
    if (raftNode.identity() == null) {
      raftNode.assignIdentity(address + "#" + RaftNode.identitySuffix(life));
    }
    raftNode.start();
    raftNode
        .reconfiguration()
        .setPlacement(
            new VoterPlacement(
                settings.votersNeeded(),
                () -> leaseClient.clusterState().retiringAddresses(),
                membership::zoneOf));
    raftNode
        .groupMembership()
        .start(
            this::storeAddresses,
            () -> !leaseClient.clusterState().retiringAddresses().contains(address));
    leaseClient.setIdentity(raftNode.identity());
    leaseClient.start();
    context.scheduleAtFixedRate(REGISTRATION_INTERVAL_MS, this::reportAndRetire);
  }

  /** Whether this store leads the group of the stores and may admit messages. */
  public boolean isLeader() {
    return raftNode.isReadyLeader();
  }

  /** The messages that this store holds. */
  public MessageStore messageStore() {
    return messageStore;
  }

  /**
   * Addresses of the other stores; empty until the first voters are chosen, since there is nothing
   * to join.
   */
  private List<String> storeAddresses() {
    return leaseClient.clusterState().stores().isEmpty()
        ? List.of()
        : Node.addresses(membership, NodeRole.STORE);
  }

  /**
   * Reports how far this store is, and, at the leader, which retiring nodes hold no vote any more.
   */
  private void reportAndRetire() {
    leaseClient.setAppliedIndex(raftNode.appliedIndex());
    leaseClient.setBalances(messageStore.balances());
    final List<String> voters = raftNode.voters();
    if (raftNode.isReadyLeader()) {
      admission.borrowing().proposeChanges(leaseClient.configuration());
      reportEmptiedNodes(voters);
    }
  }

  private void reportEmptiedNodes(final List<String> voters) {
    final Set<String> retiring = leaseClient.clusterState().retiringAddresses();
    final List<String> emptied = new ArrayList<>();
    for (final String one : retiring) {
      final String node = leaseClient.clusterState().nodeRetiringAt(one);
      // Only once the change of voters is committed: then a majority of those that stay holds all
      // that was acknowledged.
      if (node != null
          && !raftNode.reconfiguration().changeInProgress()
          && voters.stream().noneMatch(voter -> RaftNode.addressOf(voter).equals(one))) {
        emptied.add(node);
      }
    }
    leaseClient.setEmptiedNodes(emptied);
  }

  @Override
  public void stop(final Runnable ended) {
    // Edges are sent away first; then the vote goes to a spare and the leadership to a member with
    // the whole log.
    streamServer.detachAll();
    raftNode
        .groupMembership()
        .leaveGroup(
            () -> {
              raftNode.stop();
              ended.run();
            });
  }

  @Override
  public void onFormerRetentions(final List<FormerRetention> retentions) {
    messageStore.addFormerRetentions(retentions);
  }

  @Override
  public void onConfigurationChanged(final Configuration configuration) {
    messageStore.setConfiguration(configuration);
    admission.borrowing().proposeChanges(configuration);
  }

  @Override
  public void onClusterStateChanged(final ClusterState clusterState) {
    subscriptions.setReplicas(clusterState.newestReplicaId(), clusterState.liveReplicaIds());
    if (clusterState.retiringAddresses().contains(address)) {
      // The machine may be taken away as soon as it is emptied: its edges attach elsewhere while it
      // still responds.
      streamServer.detachAll();
    }
    if (clusterState.stores().contains(raftNode.identity())) {
      raftNode.bootstrap(clusterState.stores());
    }
  }

  @Override
  public boolean isAdmittedHere(final StoredMessage message) {
    return admission != null && admission.isInFlight(message);
  }

  @Override
  public void onCommitted(final long commit) {
    if (streamServer != null) {
      streamServer.onCommitted();
    }
  }

  @Override
  public void onLeaderChange(final String identity, final boolean self) {
    if (streamServer != null) {
      if (!self) {
        admission.onLeaderChange();
      }
      streamServer.onLeaderChange();
    }
  }
}
