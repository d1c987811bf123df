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
 * How the system looks from one crux, for operators and the doctor. Answered by any crux, from its
 * own tables.
 */
final class ClusterStatus {
  private final ControlStateMachine core;
  private final RaftNode ledger;
  private final MembershipList roster;
  private final NodeRegistry registrar;
  private final LeasedProcesses wards;

  ClusterStatus(
      final ControlStateMachine core,
      final RaftNode ledger,
      final MembershipList roster,
      final NodeRegistry registrar,
      final LeasedProcesses wards) {
    this.core = core;
    this.ledger = ledger;
    this.roster = roster;
    this.registrar = registrar;
    this.wards = wards;
  }

  /** Breaks of the declared order that the edges which ask this crux for leases have met. */
  String order() {
    return ConfigValueFactory.fromMap(Map.of("Channels", wards.disorders()))
        .render(ConfigRenderOptions.concise());
  }

  String json() {
    final Map<String, Object> page = new LinkedHashMap<>();
    page.put("Nodename", roster.self().node);
    page.put("Addr", roster.self().address);
    page.put("Leads", ledger.leads());
    page.put("Leader", ledger.leader() == null ? "" : RaftNode.address(ledger.leader()));
    page.put("Voters", ledger.voters().stream().map(RaftNode::address).toList());
    page.put("Votes", ledger.voters().contains(ledger.identity()));
    page.put("Applied", ledger.applied());
    page.put("Ver", core.version());
    final List<Map<String, Object>> peers = new ArrayList<>();
    for (final Member peer : roster.all()) {
      peers.add(
          Map.of(
              "Nodename",
              peer.node,
              "Duty",
              peer.duty,
              "Az",
              peer.zone,
              "Addr",
              peer.address,
              "Up",
              peer.up(),
              "Suspect",
              peer.suspect(),
              "Ready",
              peer.ready));
    }
    page.put("Siblings", peers);
    // Only the leader hears from all vaults; on the others the list is empty.
    page.put("Vaults", registrar.vaultRows());
    page.put("DiskOwedMs", ledger.course().owedMs());
    // Those that ask this crux for their leases: mostly its zone's.
    page.put("Wards", wards.rows());
    page.put("Channels", wards.disorders());
    return ConfigValueFactory.fromMap(page).render(ConfigRenderOptions.concise());
  }
}
