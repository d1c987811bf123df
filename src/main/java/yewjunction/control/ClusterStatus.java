package yewjunction.control;

import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.raft.RaftNode;

/**
 * How the system looks from one control node, as JSON for operators and the doctor: built from the
 * node's own tables, so any node answers. The names of its fields never change.
 */
final class ClusterStatus {
  private final ControlStateMachine stateMachine;
  private final RaftNode raftNode;
  private final MembershipList membership;
  private final NodeRegistry registry;
  private final LeasedProcesses processes;

  ClusterStatus(
      final ControlStateMachine stateMachine,
      final RaftNode raftNode,
      final MembershipList membership,
      final NodeRegistry registry,
      final LeasedProcesses processes) {
    this.stateMachine = stateMachine;
    this.raftNode = raftNode;
    this.membership = membership;
    this.registry = registry;
    this.processes = processes;
  }

  /** Violations of a declared order that edges with leases from this node have met. */
  String orderViolationsJson() {
    return ConfigValueFactory.fromMap(Map.of("Channels", processes.orderViolationRows()))
        .render(ConfigRenderOptions.concise());
  }

  String statusJson() {
    final Map<String, Object> page = new LinkedHashMap<>();
    page.put("Nodename", membership.self().node);
    page.put("Addr", membership.self().address);
    page.put("Leads", raftNode.isReadyLeader());
    page.put("Leader", raftNode.leader() == null ? "" : RaftNode.addressOf(raftNode.leader()));
    page.put("Voters", raftNode.voters().stream().map(RaftNode::addressOf).toList());
    page.put("Votes", raftNode.voters().contains(raftNode.identity()));
    page.put("Applied", raftNode.appliedIndex());
    page.put("Ver", stateMachine.version());
    final List<Map<String, Object>> peers = new ArrayList<>();
    for (final Member member : membership.all()) {
      peers.add(
          Map.of(
              "Nodename",
              member.node,
              "Duty",
              member.role,
              "Az",
              member.zone,
              "Addr",
              member.address,
              "Up",
              member.isUp(),
              "Suspect",
              member.isSuspect(),
              "Ready",
              member.ready));
    }
    page.put("Siblings", peers);
    // Only the leader has reports of all stores; on the others the list is empty.
    page.put("Vaults", registry.storeReports().storeRows());
    page.put("DiskOwedMs", raftNode.commitTracker().oldestPendingWriteMs());
    // The processes with leases from this node: mostly those of its zone.
    page.put("Wards", processes.processRows());
    page.put("Channels", processes.orderViolationRows());
    return ConfigValueFactory.fromMap(page).render(ConfigRenderOptions.concise());
  }
}
