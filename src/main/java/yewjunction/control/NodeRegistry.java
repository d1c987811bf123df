package yewjunction.control;

import static yewjunction.limits.LeaseLimits.FIRST_STORES_WAIT_MS;
import static yewjunction.limits.LeaseLimits.REPLICA_RETIREMENT_MS;
import static yewjunction.limits.LeaseLimits.STORES_REPORT_MS;
import static yewjunction.limits.RaftLimits.REGISTRATION_INTERVAL_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.control.LeaseMessages.ProcessReport;
import yewjunction.control.LeaseMessages.RegisterRequest;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.raft.RaftNode;

/** The leader's decisions about processes: replica names, the first vault voters, retirements. */
final class NodeRegistry {
  private final AgentContext context;
  private final PeerTransport transport;
  private final ControlStateMachine stateMachine;
  private final RaftNode raftNode;
  private final MembershipList membership;
  private final int voterCount;
  private final Map<String, StoreReport> vaults = new TreeMap<>();
  private final Map<String, Long> goneMs = new HashMap<>();
  private long startedMs = -1;
  private long leaderMs;
  private final Map<String, ProcessReport> early = new TreeMap<>();
  private final Set<String> proposed = new HashSet<>();

  private record StoreReport(ProcessReport process, long atMs) {}

  NodeRegistry(
      final AgentContext context,
      final PeerTransport transport,
      final ControlStateMachine stateMachine,
      final RaftNode raftNode,
      final MembershipList membership,
      final int voterCount) {
    this.context = context;
    this.transport = transport;
    this.stateMachine = stateMachine;
    this.raftNode = raftNode;
    this.membership = membership;
    this.voterCount = voterCount;
    transport.on(RegisterRequest.class, (connection, request) -> heard(request.process));
    context.every(REGISTRATION_INTERVAL_MS, this::look);
  }

  void heard(final ProcessReport process) {
    final boolean vault = NodeRole.STORE.is(process.duty);
    if (!raftNode.isReadyLeader()) {
      // Only the leader decides; vaults are told of each time, tides until they have their name.
      final boolean news =
          vault || stateMachine.facts().replica(process.address, process.life) == 0;
      if (news && raftNode.leader() != null && !raftNode.leader().equals(raftNode.identity())) {
        final RegisterRequest request = new RegisterRequest();
        request.process = process;
        transport.dial(RaftNode.addressOf(raftNode.leader())).send(request);
      } else if (news) {
        // Nobody leads yet, or this member is about to: kept until then, so that nobody has to ask
        // again.
        early.put(process.address, process);
      }
      return;
    }
    if (vault) {
      vaults.put(process.address, new StoreReport(process, context.nowMs()));
      chooseVaults();
      process.emptied.forEach(this::retired);
    } else if (stateMachine.facts().replica(process.address, process.life) == 0) {
      final ControlCommand command = new ControlCommand(ControlCommand.REPLICA);
      command.address = process.address;
      command.node = process.node;
      command.life = process.life;
      propose("replica " + process.address + " " + process.life, command);
    }
  }

  void leaderChanged() {
    leaderMs = context.nowMs();
    final List<ProcessReport> kept = new ArrayList<>(early.values());
    early.clear();
    kept.forEach(this::heard);
  }

  private void propose(final String what, final ControlCommand command) {
    if (proposed.add(what)
        && !raftNode.propose(ControlStateMachine.bytes(command), done -> proposed.remove(what))) {
      proposed.remove(what);
    }
  }

  /**
   * As many voters as the losses to be borne need, in different zones while there are enough of
   * them.
   */
  private void chooseVaults() {
    if (!stateMachine.facts().stores.isEmpty()) {
      return;
    }
    final List<String> identities = new ArrayList<>();
    final Set<String> zones = new HashSet<>();
    for (final StoreReport report : vaults.values()) {
      if (identities.size() < voterCount && zones.add(report.process.zone)) {
        identities.add(report.process.identity);
      }
    }
    if (identities.size() >= voterCount || enoughInFewZones(identities)) {
      final ControlCommand command = new ControlCommand(ControlCommand.VAULTS);
      command.identities = identities;
      identities.forEach(
          identity -> command.zones.add(vaults.get(RaftNode.addressOf(identity)).process.zone));
      propose("vaults", command);
    }
  }

  /** Fewer zones than voters, or fewer vaults: begun only once late ones have had time to call. */
  private boolean enoughInFewZones(final List<String> identities) {
    final long waitedMs = context.nowMs() - firstMs();
    if (waitedMs
        < (vaults.size() < voterCount ? FIRST_STORES_WAIT_MS : 6 * REGISTRATION_INTERVAL_MS)) {
      return false;
    }
    for (final StoreReport report : vaults.values()) {
      if (identities.size() < voterCount && !identities.contains(report.process.identity)) {
        identities.add(report.process.identity);
      }
    }
    return true;
  }

  private long firstMs() {
    if (startedMs < 0) {
      startedMs = context.nowMs();
    }
    return startedMs;
  }

  private void look() {
    if (!raftNode.isReadyLeader()) {
      goneMs.clear();
      vaults.clear();
      startedMs = -1;
      return;
    }
    final long nowMs = context.nowMs();
    for (final ClusterState.Replica replica : List.copyOf(stateMachine.facts().replicas)) {
      final Member member = membership.at(replica.address);
      if (member != null && member.up()) {
        goneMs.remove(replica.address);
      } else if (nowMs - goneMs.computeIfAbsent(replica.address, key -> nowMs)
          > REPLICA_RETIREMENT_MS) {
        final ControlCommand command = new ControlCommand(ControlCommand.REPLICA_GONE);
        command.name = replica.name;
        propose("gone " + replica.name, command);
      }
    }
  }

  // --- emptying store machines ---

  private StoreReport vault(final String node) {
    for (final StoreReport report : vaults.values()) {
      if (report.process.node.equals(node)
          && context.nowMs() - report.atMs < 10 * REGISTRATION_INTERVAL_MS) {
        return report;
      }
    }
    return null;
  }

  List<Map<String, Object>> vaultRows() {
    final List<Map<String, Object>> rows = new ArrayList<>();
    vaults
        .values()
        .forEach(
            report ->
                rows.add(
                    Map.of(
                        "Nodename",
                        report.process.node,
                        "Applied",
                        report.process.applied,
                        "SeenMs",
                        context.nowMs() - report.atMs,
                        "Accounts",
                        report.process.balances.stream().map(AccountBalance::row).toList())));
    return rows;
  }

  /** What each vault holds of one tenant's account. */
  List<Map<String, Object>> balanceRows(final String tenant) {
    final List<Map<String, Object>> rows = new ArrayList<>();
    vaults
        .values()
        .forEach(
            report ->
                report.process.balances.stream()
                    .filter(balance -> balance.tenant.equals(tenant))
                    .forEach(
                        balance -> {
                          final Map<String, Object> row = balance.row();
                          row.put("Nodename", report.process.node);
                          row.put("SeenMs", context.nowMs() - report.atMs);
                          rows.add(row);
                        }));
    return rows;
  }

  boolean knows(final String node) {
    return vault(node) != null || stateMachine.facts().retiring(node) != null;
  }

  /**
   * Led long enough that every vault in touch has called: what is not known by now is not there.
   */
  boolean settled() {
    return context.nowMs() - leaderMs >= STORES_REPORT_MS;
  }

  /**
   * Not of the system as far as this leader can know; one that called once and is silent now is of
   * it.
   */
  boolean unknown(final String node) {
    return settled()
        && vaults.values().stream()
            .noneMatch(
                report ->
                    report.process.node.equals(node)
                        && context.nowMs() - report.atMs < REPLICA_RETIREMENT_MS);
  }

  /** Whether enough vaults stay when this one goes. */
  boolean spares(final String node) {
    final Set<String> retiring = stateMachine.facts().retiringAddresses();
    final long staying =
        vaults.values().stream()
            .filter(
                report ->
                    !report.process.node.equals(node)
                        && !retiring.contains(report.process.address)
                        && context.nowMs() - report.atMs < 10 * REGISTRATION_INTERVAL_MS)
            .count();
    return staying >= voterCount;
  }

  ControlCommand retirement(final String node) {
    final ControlCommand command = new ControlCommand(ControlCommand.RETIRE);
    command.node = node;
    command.address = vault(node).process.address;
    return command;
  }

  private void retired(final String node) {
    final ClusterState.Retirement retiring = stateMachine.facts().retiring(node);
    if (retiring != null && !retiring.finished) {
      final ControlCommand command = new ControlCommand(ControlCommand.RETIRED);
      command.node = node;
      propose("retired " + node, command);
    }
  }
}
