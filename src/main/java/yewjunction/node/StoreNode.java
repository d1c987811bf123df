package yewjunction.node;

import static yewjunction.common.Limits.ENROL_MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.control.ClusterState;
import yewjunction.control.Configuration;
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

/** A store machine's data plane: one member of the vaults' ledger, and home to its zone's edges. */
public final class StoreNode implements Node, MessageStore.Listener, LeaseClient.Listener {
  /** Group number of the vaults' ledger; a field everywhere, so that there can be more. */
  private static final int GROUP = 1;

  private final MessageStore cellar;
  private final RaftNode ledger;
  private final AdmissionController gate;
  private final StreamServer home;
  private final LeaseClient tenure;
  private final AddWinsSet weave = new AddWinsSet();

  private final AgentContext pulse;
  private final MembershipList roster;
  private final Settings settings;
  private final String address;
  private final long life;

  public StoreNode(
      final AgentContext pulse,
      final PeerTransport post,
      final Disk disk,
      final TaskExecutor clerk,
      final MembershipList roster,
      final Settings settings,
      final long life) {
    this.pulse = pulse;
    this.roster = roster;
    this.settings = settings;
    this.life = life;
    address = settings.address(Settings.DATA_PORT_OFFSET);
    cellar = new MessageStore(pulse, this, settings);
    ledger = new RaftNode(GROUP, pulse, post, disk, clerk, "messages", cellar);
    ledger.listen();
    gate = new AdmissionController(pulse, post, ledger, cellar);
    home = new StreamServer(pulse, post, ledger, cellar, weave);
    tenure =
        new LeaseClient(pulse, post, () -> Node.cruxes(roster, settings), this)
            .named(address, settings.node(), settings.zone(), NodeRole.STORE, life);
    tenure.reporting(() -> tenure.diskOwed(ledger.course().owedMs()));
    new SubscriptionSyncServer(
        pulse, post, weave, roster, home, replica -> Node.live(replica, weave, tenure, roster));
  }

  @Override
  public void start() {
    if (ledger.identity() == null) {
      ledger.name(address + "#" + RaftNode.drawnName(life));
    }
    ledger.start();
    ledger
        .electorate()
        .seat(
            new VoterPlacement(
                settings.votersNeeded(), () -> tenure.facts().retiringAddresses(), roster::zoneAt));
    ledger
        .membership()
        .keep(this::vaults, () -> !tenure.facts().retiringAddresses().contains(address));
    tenure.identity(ledger.identity());
    tenure.start();
    pulse.every(ENROL_MS, this::settleDuties);
  }

  public boolean leads() {
    return ledger.leads();
  }

  /** What this vault keeps. */
  public MessageStore cellar() {
    return cellar;
  }

  /** Until the first voters are chosen there is nothing to join. */
  private List<String> vaults() {
    return tenure.facts().vaults().isEmpty() ? List.of() : Node.addresses(roster, NodeRole.STORE);
  }

  /** Says how far it is, and empties what the core wants emptied. */
  private void settleDuties() {
    tenure.applied(ledger.applied());
    tenure.balances(cellar.balances());
    final List<String> voters = ledger.voters();
    if (ledger.leads()) {
      gate.lending().look(tenure.charter());
      emptyRetiring(voters);
    }
  }

  private void emptyRetiring(final List<String> voters) {
    final Set<String> retiring = tenure.facts().retiringAddresses();
    final List<String> emptied = new ArrayList<>();
    for (final String one : retiring) {
      final String node = tenure.facts().retiringNode(one);
      // Only once the change is committed: then a majority of those that stay holds all that was
      // ever acknowledged.
      if (node != null
          && !ledger.electorate().changing()
          && voters.stream().noneMatch(voter -> RaftNode.address(voter).equals(one))) {
        emptied.add(node);
      }
    }
    tenure.emptied(emptied);
  }

  @Override
  public void stop(final Runnable ended) {
    // Edges leave first; the seat goes to a spare, and the lead to a peer that holds everything.
    home.close();
    ledger
        .membership()
        .leave(
            () -> {
              ledger.stop();
              ended.run();
            });
  }

  @Override
  public void configChanged(final Configuration charter) {
    cellar.charter(charter);
    gate.lending().look(charter);
  }

  @Override
  public void factsChanged(final ClusterState facts) {
    weave.replicas(facts.newestReplica(), facts.liveReplicas());
    if (facts.retiringAddresses().contains(address)) {
      // It may be taken away the moment it is empty: its edges find another home while it still
      // answers.
      home.close();
    }
    if (facts.vaults().contains(ledger.identity())) {
      ledger.found(facts.vaults());
    }
  }

  @Override
  public boolean admittedHere(final StoredMessage message) {
    return gate != null && gate.admitted(message);
  }

  @Override
  public void settledTo(final long commit) {
    if (home != null) {
      home.settled();
    }
  }

  @Override
  public void leaderIs(final String identity, final boolean self) {
    if (home != null) {
      if (!self) {
        gate.leaderChanged();
      }
      home.leaderChanged();
    }
  }
}
