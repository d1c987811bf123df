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

  private final AgentContext pulse;
  private final RaftNode ledger;
  private final MembershipList roster;
  private final LeaseServer lessor;
  private final OperatorApi desk;
  private final String ownAddress;

  /** Without a disk of its own it only serves: what it promised would end with its process. */
  private final boolean votes;

  public ControlService(
      final AgentContext pulse,
      final PeerTransport post,
      final Disk disk,
      final TaskExecutor clerk,
      final MembershipList roster,
      final String ownAddress,
      final Settings settings) {
    this.pulse = pulse;
    this.roster = roster;
    this.ownAddress = ownAddress;
    votes = !settings.dataFolder().isEmpty();
    final ControlStateMachine core = new ControlStateMachine(this);
    ledger = new RaftNode(GROUP, pulse, post, disk, clerk, "charter", core);
    ledger.listen();
    ledger.electorate().seat(new VoterPlacement(settings.votersNeeded(), Set::of, roster::zoneAt));
    final NodeRegistry registrar =
        new NodeRegistry(pulse, post, core, ledger, roster, settings.votersNeeded());
    final LeasedProcesses wards = new LeasedProcesses(pulse);
    lessor = new LeaseServer(pulse, post, core, ledger, registrar, wards, roster.self().life);
    desk =
        new OperatorApi(
            pulse,
            core,
            ledger,
            registrar,
            new ClusterStatus(core, ledger, roster, registrar, wards));
  }

  /**
   * With an empty disk: a founder takes its place among the seeds, any other joins under a new
   * name.
   */
  public void start(
      final boolean founding, final List<String> seedAddresses, final String drawnName) {
    if (ledger.identity() == null) {
      final boolean founder = votes && founding && seedAddresses.contains(ownAddress);
      ledger.name(ownAddress + "#" + (founder ? "founder" : drawnName));
      if (founder) {
        ledger.found(seedAddresses.stream().sorted().map(address -> address + "#founder").toList());
      }
    }
    ledger.start();
    ledger.membership().keep(() -> others(seedAddresses), () -> votes);
  }

  private List<String> others(final List<String> seedAddresses) {
    return Stream.concat(
            seedAddresses.stream(), roster.up(NodeRole.CONTROL).stream().map(peer -> peer.address))
        .distinct()
        .filter(address -> !address.equals(ownAddress))
        .toList();
  }

  public OperatorApi desk() {
    return desk;
  }

  public RaftNode ledger() {
    return ledger;
  }

  @Override
  public void configChanged() {
    if (lessor != null) {
      lessor.tell();
    }
  }

  @Override
  public void factsChanged() {
    if (lessor != null) {
      lessor.tellFacts();
    }
  }

  @Override
  public void settledTo(final long commit) {
    if (lessor != null) {
      lessor.settled();
    }
  }

  @Override
  public void leaderIs(final String identity, final boolean self) {
    if (lessor != null && identity != null) {
      pulse.post(lessor::leaderChanged);
    }
  }
}
