package yewjunction.control;

import static yewjunction.common.ControlLimits.VAULTS_HEARD_MS;
import static yewjunction.common.Limits.ENROL_MS;
import static yewjunction.common.Limits.REPLICA_GONE_MS;
import static yewjunction.common.Limits.VAULTS_WAIT_MS;

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
  private final AgentContext pulse;
  private final PeerTransport post;
  private final ControlStateMachine core;
  private final RaftNode ledger;
  private final MembershipList roster;
  private final int voterCount;
  private final Map<String, StoreReport> vaults = new TreeMap<>();
  private final Map<String, Long> goneMs = new HashMap<>();
  private long startedMs = -1;
  private long leaderMs;
  private final Map<String, ProcessReport> early = new TreeMap<>();
  private final Set<String> proposed = new HashSet<>();

  private record StoreReport(ProcessReport who, long atMs) {}

  NodeRegistry(
      final AgentContext pulse,
      final PeerTransport post,
      final ControlStateMachine core,
      final RaftNode ledger,
      final MembershipList roster,
      final int voterCount) {
    this.pulse = pulse;
    this.post = post;
    this.core = core;
    this.ledger = ledger;
    this.roster = roster;
    this.voterCount = voterCount;
    post.on(RegisterRequest.class, (link, enlist) -> heard(enlist.who));
    pulse.every(ENROL_MS, this::look);
  }

  void heard(final ProcessReport who) {
    final boolean vault = NodeRole.STORE.is(who.duty);
    if (!ledger.leads()) {
      // Only the leader decides; vaults are told of each time, tides until they have their name.
      final boolean news = vault || core.facts().replica(who.address, who.life) == 0;
      if (news && ledger.leader() != null && !ledger.leader().equals(ledger.identity())) {
        final RegisterRequest enlist = new RegisterRequest();
        enlist.who = who;
        post.dial(RaftNode.address(ledger.leader())).send(enlist);
      } else if (news) {
        // Nobody leads yet, or this member is about to: kept until then, so that nobody has to ask
        // again.
        early.put(who.address, who);
      }
      return;
    }
    if (vault) {
      vaults.put(who.address, new StoreReport(who, pulse.nowMs()));
      chooseVaults();
      who.emptied.forEach(this::retired);
    } else if (core.facts().replica(who.address, who.life) == 0) {
      final ControlCommand deed = new ControlCommand(ControlCommand.REPLICA);
      deed.address = who.address;
      deed.node = who.node;
      deed.life = who.life;
      propose("replica " + who.address + " " + who.life, deed);
    }
  }

  void leaderChanged() {
    leaderMs = pulse.nowMs();
    final List<ProcessReport> kept = new ArrayList<>(early.values());
    early.clear();
    kept.forEach(this::heard);
  }

  private void propose(final String what, final ControlCommand deed) {
    if (proposed.add(what)
        && !ledger.propose(ControlStateMachine.bytes(deed), done -> proposed.remove(what))) {
      proposed.remove(what);
    }
  }

  /**
   * As many voters as the losses to be borne need, in different zones while there are enough of
   * them.
   */
  private void chooseVaults() {
    if (!core.facts().vaults.isEmpty()) {
      return;
    }
    final List<String> identities = new ArrayList<>();
    final Set<String> zones = new HashSet<>();
    for (final StoreReport seen : vaults.values()) {
      if (identities.size() < voterCount && zones.add(seen.who.zone)) {
        identities.add(seen.who.identity);
      }
    }
    if (identities.size() >= voterCount || enoughInFewZones(identities)) {
      final ControlCommand deed = new ControlCommand(ControlCommand.VAULTS);
      deed.identities = identities;
      identities.forEach(
          identity -> deed.zones.add(vaults.get(RaftNode.address(identity)).who.zone));
      propose("vaults", deed);
    }
  }

  /** Fewer zones than voters, or fewer vaults: begun only once late ones have had time to call. */
  private boolean enoughInFewZones(final List<String> identities) {
    final long waitedMs = pulse.nowMs() - firstMs();
    if (waitedMs < (vaults.size() < voterCount ? VAULTS_WAIT_MS : 6 * ENROL_MS)) {
      return false;
    }
    for (final StoreReport seen : vaults.values()) {
      if (identities.size() < voterCount && !identities.contains(seen.who.identity)) {
        identities.add(seen.who.identity);
      }
    }
    return true;
  }

  private long firstMs() {
    if (startedMs < 0) {
      startedMs = pulse.nowMs();
    }
    return startedMs;
  }

  private void look() {
    if (!ledger.leads()) {
      goneMs.clear();
      vaults.clear();
      startedMs = -1;
      return;
    }
    final long nowMs = pulse.nowMs();
    for (final ClusterState.Replica replica : List.copyOf(core.facts().replicas)) {
      final Member peer = roster.at(replica.address);
      if (peer != null && peer.up()) {
        goneMs.remove(replica.address);
      } else if (nowMs - goneMs.computeIfAbsent(replica.address, key -> nowMs) > REPLICA_GONE_MS) {
        final ControlCommand deed = new ControlCommand(ControlCommand.REPLICA_GONE);
        deed.name = replica.name;
        propose("gone " + replica.name, deed);
      }
    }
  }

  // --- emptying store machines ---

  private StoreReport vault(final String node) {
    for (final StoreReport seen : vaults.values()) {
      if (seen.who.node.equals(node) && pulse.nowMs() - seen.atMs < 10 * ENROL_MS) {
        return seen;
      }
    }
    return null;
  }

  List<Map<String, Object>> vaultRows() {
    final List<Map<String, Object>> rows = new ArrayList<>();
    vaults
        .values()
        .forEach(
            seen ->
                rows.add(
                    Map.of(
                        "Nodename",
                        seen.who.node,
                        "Applied",
                        seen.who.applied,
                        "SeenMs",
                        pulse.nowMs() - seen.atMs,
                        "Accounts",
                        seen.who.balances.stream().map(AccountBalance::row).toList())));
    return rows;
  }

  /** What each vault holds of one tenant's account. */
  List<Map<String, Object>> balanceRows(final String tenant) {
    final List<Map<String, Object>> rows = new ArrayList<>();
    vaults
        .values()
        .forEach(
            seen ->
                seen.who.balances.stream()
                    .filter(balance -> balance.tenant.equals(tenant))
                    .forEach(
                        balance -> {
                          final Map<String, Object> row = balance.row();
                          row.put("Nodename", seen.who.node);
                          row.put("SeenMs", pulse.nowMs() - seen.atMs);
                          rows.add(row);
                        }));
    return rows;
  }

  boolean knows(final String node) {
    return vault(node) != null || core.facts().retiring(node) != null;
  }

  /**
   * Led long enough that every vault in touch has called: what is not known by now is not there.
   */
  boolean settled() {
    return pulse.nowMs() - leaderMs >= VAULTS_HEARD_MS;
  }

  /**
   * Not of the system as far as this leader can know; one that called once and is silent now is of
   * it.
   */
  boolean unknown(final String node) {
    return settled()
        && vaults.values().stream()
            .noneMatch(
                seen -> seen.who.node.equals(node) && pulse.nowMs() - seen.atMs < REPLICA_GONE_MS);
  }

  /** Whether enough vaults stay when this one goes. */
  boolean spares(final String node) {
    final Set<String> retiring = core.facts().retiringAddresses();
    final long staying =
        vaults.values().stream()
            .filter(
                seen ->
                    !seen.who.node.equals(node)
                        && !retiring.contains(seen.who.address)
                        && pulse.nowMs() - seen.atMs < 10 * ENROL_MS)
            .count();
    return staying >= voterCount;
  }

  ControlCommand retirement(final String node) {
    final ControlCommand deed = new ControlCommand(ControlCommand.RETIRE);
    deed.node = node;
    deed.address = vault(node).who.address;
    return deed;
  }

  private void retired(final String node) {
    final ClusterState.Retirement retiring = core.facts().retiring(node);
    if (retiring != null && !retiring.finished) {
      final ControlCommand deed = new ControlCommand(ControlCommand.RETIRED);
      deed.node = node;
      propose("retired " + node, deed);
    }
  }
}
