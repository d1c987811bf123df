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
  private final ControlService controlService;
  private final MembershipList membership;
  private final Settings settings;
  private final long life;

  /** Puts the node together; nothing runs before {@link #start}. */
  public ControlNode(
      final AgentContext context,
      final PeerTransport transport,
      final Disk disk,
      final TaskExecutor executor,
      final MembershipList membership,
      final Settings settings,
      final long life) {
    this.membership = membership;
    this.settings = settings;
    this.life = life;
    controlService =
        new ControlService(
            context,
            transport,
            disk,
            executor,
            membership,
            settings.address(Settings.CONTROL_PORT_OFFSET),
            settings);
  }

  @Override
  public void start() {
    controlService.start(
        settings.bootstrap(), settings.controlNodeAddresses(), RaftNode.identitySuffix(life));
    membership.setReady(true);
  }

  /** The operator's calls, to be served on the agent's thread. */
  public OperatorApi operatorApi() {
    return controlService.operatorApi();
  }

  @Override
  public void stop(final Runnable ended) {
    controlService
        .raftNode()
        .groupMembership()
        .leaveGroup(
            () -> {
              controlService.raftNode().stop();
              ended.run();
            });
  }
}
