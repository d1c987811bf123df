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

/** One member of the core: its ledger, leases, registrations and the operator's desk. */
public final class ControlService implements ControlStateMachine.Listener {
  /** Group number of the core's ledger. */
  public static final int GROUP = 0;

  private final AgentContext context;
  private final RaftNode raftNode;
  private final MembershipList membership;
  private final LeaseServer leaseServer;
  private final OperatorApi operatorApi;
  private final String ownAddress;

  /** Without a disk of its own it only serves: what it promised would end with its process. */
  private final boolean votes;

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
    votes = !settings.dataFolder().isEmpty();
    final ControlStateMachine stateMachine = new ControlStateMachine(this);
    raftNode = new RaftNode(GROUP, context, transport, disk, executor, "charter", stateMachine);
    raftNode.registerHandlers();
    raftNode
        .reconfiguration()
        .setPlacement(new VoterPlacement(settings.votersNeeded(), Set::of, membership::zoneAt));
    final NodeRegistry registry =
        new NodeRegistry(
            context, transport, stateMachine, raftNode, membership, settings.votersNeeded());
    final LeasedProcesses processes = new LeasedProcesses(context);
    leaseServer =
        new LeaseServer(
            context,
            transport,
            stateMachine,
            raftNode,
            registry,
            processes,
            membership.self().life);
    operatorApi =
        new OperatorApi(
            context,
            stateMachine,
            raftNode,
            registry,
            new ClusterStatus(stateMachine, raftNode, membership, registry, processes));
  }

  /**
   * With an empty disk: a founder takes its place among the seeds, any other joins under a new
   * name.
   */
  public void start(
      final boolean founding, final List<String> seedAddresses, final String drawnName) {
    if (raftNode.identity() == null) {
      final boolean founder = votes && founding && seedAddresses.contains(ownAddress);
      raftNode.assignIdentity(ownAddress + "#" + (founder ? "founder" : drawnName));
      if (founder) {
        raftNode.bootstrap(
            seedAddresses.stream().sorted().map(address -> address + "#founder").toList());
      }
    }
    raftNode.start();
    raftNode.groupMembership().start(() -> others(seedAddresses), () -> votes);
  }

  private List<String> others(final List<String> seedAddresses) {
    return Stream.concat(
            seedAddresses.stream(),
            membership.up(NodeRole.CONTROL).stream().map(member -> member.address))
        .distinct()
        .filter(address -> !address.equals(ownAddress))
        .toList();
  }

  public OperatorApi desk() {
    return operatorApi;
  }

  public RaftNode ledger() {
    return raftNode;
  }

  @Override
  public void configChanged() {
    if (leaseServer != null) {
      leaseServer.tell();
    }
  }

  @Override
  public void factsChanged() {
    if (leaseServer != null) {
      leaseServer.tellFacts();
    }
  }

  @Override
  public void settledTo(final long commit) {
    if (leaseServer != null) {
      leaseServer.settled();
    }
  }

  @Override
  public void leaderIs(final String identity, final boolean self) {
    if (leaseServer != null && identity != null) {
      context.post(leaseServer::leaderChanged);
    }
  }
}
