package yewjunction.node;

import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.control.ControlService;
import yewjunction.control.OperatorApi;
import yewjunction.membership.MembershipList;
import yewjunction.raft.Disk;
import yewjunction.raft.RaftNode;
import yewjunction.raft.TaskExecutor;
import yewjunction.settings.Settings;

/** The control plane's duty on one machine. */
public final class ControlNode implements Node {
  private final ControlService crux;
  private final MembershipList roster;
  private final Settings settings;
  private final long life;

  public ControlNode(
      final AgentContext pulse,
      final PeerTransport post,
      final Disk disk,
      final TaskExecutor clerk,
      final MembershipList roster,
      final Settings settings,
      final long life) {
    this.roster = roster;
    this.settings = settings;
    this.life = life;
    crux =
        new ControlService(
            pulse,
            post,
            disk,
            clerk,
            roster,
            settings.address(Settings.CONTROL_PORT_OFFSET),
            settings);
  }

  @Override
  public void start() {
    crux.start(settings.founding(), settings.coreAddresses(), RaftNode.drawnName(life));
    roster.ready(true);
  }

  public OperatorApi desk() {
    return crux.desk();
  }

  @Override
  public void stop(final Runnable ended) {
    crux.ledger()
        .membership()
        .leave(
            () -> {
              crux.ledger().stop();
              ended.run();
            });
  }
}
