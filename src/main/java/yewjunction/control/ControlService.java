package yewjunction.control;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.raft.Disk;
import yewjunction.raft.RaftNode;
import yewjunction.raft.TaskExecutor;
import yewjunction.raft.VoterPlacement;
import yewjunction.settings.Settings;

/**
 * One member of the control group on a node: its log, the leases it grants, the registrations it
 * takes, and the operator's calls. All calls on the agent's thread.
 */
public final class ControlService implements ControlStateMachine.Listener {
  /** The number of the control group. */
  public static final int GROUP = 0;

  private final AgentContext context;
  private final ControlStateMachine stateMachine;
  private final RaftNode raftNode;
  private final FormerRetentions formerRetentions;
  private final MembershipList membership;
  private final ConfigurationPublisher publisher;
  private final LeaseServer leaseServer;
  private final OperatorApi operatorApi;
  private final String ownAddress;

  /** A node without a disk never votes: what it promised would end with its process. */
  private final boolean canVote;

  /** Opens the group's log and puts the service together; nothing is sent before {@link #start}. */
  public ControlService(
      final AgentContext context,
      final PeerTransport transport,
      final Disk disk,
      final TaskExecutor executor,
      final MembershipList membership,
      final String ownAddress,
      final Settings settings) {
    this.context = context;
    this.membership = membership;
    this.ownAddress = ownAddress;
    canVote = !settings.dataFolder().isEmpty();
    stateMachine = new ControlStateMachine(this);
    formerRetentions = new FormerRetentions(context);
    raftNode = new RaftNode(GROUP, context, transport, disk, executor, "charter", stateMachine);
    raftNode.registerHandlers();
    raftNode
        .reconfiguration()
        .setPlacement(new VoterPlacement(settings.votersNeeded(), Set::of, membership::zoneOf));
    final NodeRegistry registry =
        new NodeRegistry(
            context, transport, stateMachine, raftNode, membership, settings.votersNeeded());
    final LeasedProcesses processes = new LeasedProcesses(context);
    publisher = new ConfigurationPublisher(context, stateMachine);
    leaseServer =
        new LeaseServer(
            context, transport, raftNode, publisher, registry, processes, membership.self().life);
    operatorApi =
        new OperatorApi(
            context,
            stateMachine,
            raftNode,
            registry,
            formerRetentions,
            new ClusterStatus(stateMachine, raftNode, membership, registry, processes));
  }

  /**
   * Begins to take part. A node with an empty disk becomes a first voter if the system is being
   * founded and it is a seed; else it joins under a new identity.
   */
  public void start(
      final boolean founding, final List<String> seedAddresses, final String drawnName) {
    if (raftNode.identity() == null) {
      final boolean founder = canVote && founding && seedAddresses.contains(ownAddress);
      raftNode.assignIdentity(ownAddress + "#" + (founder ? "founder" : drawnName));
      if (founder) {
        raftNode.bootstrap(
            seedAddresses.stream().sorted().map(address -> address + "#founder").toList());
      }
    }
    raftNode.start();
    raftNode.groupMembership().start(() -> otherControlNodes(seedAddresses), () -> canVote);
  }

  private List<String> otherControlNodes(final List<String> seedAddresses) {
    return Stream.concat(
            seedAddresses.stream(),
            membership.membersUp(NodeRole.CONTROL).stream().map(member -> member.address))
        .distinct()
        .filter(address -> !address.equals(ownAddress))
        .toList();
  }

  /** The operator's calls. */
  public OperatorApi operatorApi() {
    return operatorApi;
  }

  /** This node's member of the control group. */
  public RaftNode raftNode() {
    return raftNode;
  }

  @Override
  public void onConfigurationChanged() {
    formerRetentions.onChanged(stateMachine.formerRetentions());
    if (publisher != null) {
      publisher.scheduleUpdate();
    }
  }

  @Override
  public void onClusterStateChanged() {
    if (publisher != null) {
      publisher.onClusterStateChanged();
    }
  }

  @Override
  public void onCommitted(final long commit) {
    if (leaseServer != null) {
      leaseServer.grantApplied();
    }
  }

  @Override
  public void onLeaderChange(final String identity, final boolean self) {
    if (leaseServer != null && identity != null) {
      context.execute(leaseServer::onLeaderChange);
    }
  }
}
