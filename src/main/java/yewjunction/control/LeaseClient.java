package yewjunction.control;

import static yewjunction.limits.LeaseLimits.FIRST_LEASE_RENEWAL_INTERVAL_MS;
import static yewjunction.limits.LeaseLimits.LEASE_DURATION_MS;
import static yewjunction.limits.LeaseLimits.LEASE_RENEWAL_INTERVAL_MS;
import static yewjunction.limits.LeaseLimits.LEASE_RESPONSE_TIMEOUT_MS;
import static yewjunction.limits.LeaseLimits.RENEWALS_BEFORE_NEAREST;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.common.PendingRequests;
import yewjunction.control.LeaseMessages.LeaseRequest;
import yewjunction.control.LeaseMessages.LeaseResponse;
import yewjunction.control.LeaseMessages.ProcessReport;
import yewjunction.membership.NodeRole;

/**
 * An edge's or store's hold on the configuration: a lease that is renewed from a control node and
 * expires when no majority stands behind it, so that a node that is cut off stops using what may
 * have been taken away.
 *
 * <p>Invariants: the version never falls in one life of a process; a response counts only for a
 * request of this life, from the node that was asked. All calls on the agent's thread.
 */
public final class LeaseClient {
  private final AgentContext context;
  private final PeerTransport transport;
  private final ProcessReport process = new ProcessReport();
  private final Supplier<List<String>> controlNodes;
  private final Listener listener;
  private Runnable reportUpdater = () -> {};
  private Configuration configuration;
  private ClusterState clusterState = new ClusterState();
  private long leaseEndMs = Long.MIN_VALUE;
  private boolean leaseHeld;
  private int attempt;
  private int successfulRenewals;
  private PendingRequests<PeerConnection, PendingRenewal> pendingRequests;

  /** Whether the newest renewal has not been answered. */
  private boolean awaitingResponse;

  /** When a lease was requested, and from which control node in turn. */
  private record PendingRenewal(long requestedMs, int attempt) {}

  /** Is notified of changes, on the agent's thread. */
  public interface Listener {
    /** Another version is in force. */
    void onConfigurationChanged(Configuration configuration);

    /**
     * Earlier versions kept messages for longer; told to stores only, and before the version that
     * ended it.
     */
    default void onFormerRetentions(final List<FormerRetention> retentions) {}

    /** Replica ids, stores or retirements changed. */
    void onClusterStateChanged(ClusterState clusterState);
  }

  /**
   * Creates a client without a lease.
   *
   * @param controlNodes their addresses, the nearest first
   */
  public LeaseClient(
      final AgentContext context,
      final PeerTransport transport,
      final Supplier<List<String>> controlNodes,
      final Listener listener) {
    this.context = context;
    this.transport = transport;
    this.controlNodes = controlNodes;
    this.listener = listener;
    transport.onMessage(LeaseResponse.class, this::onLeaseResponse);
  }

  /**
   * Identifies this process; sent with each renewal.
   *
   * @param life drawn at this start of the process
   */
  public LeaseClient identifiedAs(
      final String address,
      final String node,
      final String zone,
      final NodeRole role,
      final long life) {
    process.address = address;
    process.node = node;
    process.zone = zone;
    process.role = role.wireName();
    process.life = life;
    pendingRequests = new PendingRequests<>(life);
    return this;
  }

  /** A number drawn at this start of the process. */
  public long life() {
    return process.life;
  }

  /** The store's identity in its Raft group. */
  public void setIdentity(final String identity) {
    process.identity = identity;
  }

  /** Up to which index this store has applied its log. */
  public void setAppliedIndex(final long applied) {
    process.appliedIndex = applied;
  }

  /** Sets what brings the report up to date; it runs before each renewal. */
  public void beforeEachReport(final Runnable chosenReport) {
    reportUpdater = chosenReport;
  }

  /** How many messages of an edge wait for a leader's response, and whether none responds. */
  public void setWaitingPublishes(final long waiting, final boolean dark) {
    process.waitingPublishes = waiting;
    process.leaderUnreachable = dark;
  }

  /** Milliseconds since the oldest unfinished write of a store was begun. */
  public void setDiskDelay(final long owedMs) {
    process.diskDelayMs = owedMs;
  }

  /** The accounts of tenants that borrow ahead, as this store holds them. */
  public void setBalances(final List<AccountBalance> balances) {
    process.balances = balances;
  }

  /** Violations of a declared order that this edge met. */
  public void setOrderViolations(final List<OrderViolations> disorders) {
    process.orderViolations = disorders;
  }

  /** Nodes that hold no vote any more, as the leader of the stores knows it. */
  public void setEmptiedNodes(final List<String> nodes) {
    process.emptiedNodes = new ArrayList<>(nodes);
  }

  /** Asks for a lease now, and renews it from then on. */
  public void start() {
    renew();
  }

  private void renew() {
    final List<String> addresses = controlNodes.get();
    final long pauseMs =
        addresses.isEmpty() || awaitingResponse
            ? LEASE_RESPONSE_TIMEOUT_MS / 2
            : LEASE_RENEWAL_INTERVAL_MS;
    if (awaitingResponse) {
      // The control node did not respond and may be unreachable: the next one is asked.
      attempt++;
      successfulRenewals = 0;
    } else if (++successfulRenewals >= RENEWALS_BEFORE_NEAREST) {
      attempt = 0;
    }
    if (!addresses.isEmpty()) {
      reportUpdater.run();
      process.leaseHeld = isHeld();
      final Runtime runtime = Runtime.getRuntime();
      process.memoryPercent =
          (int) (100 * (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory());
      final LeaseRequest request = new LeaseRequest();
      request.version = version();
      request.clusterStateVersion = clusterState.version;
      request.process = process;
      final PeerConnection connection =
          transport.connect(addresses.get(attempt % addresses.size()));
      final long nowMs = context.nowMs();
      // Renewals whose lease would have ended by now.
      pendingRequests.cancel(asked -> nowMs - asked.requestedMs >= LEASE_DURATION_MS);
      request.requestId = pendingRequests.add(connection, new PendingRenewal(nowMs, attempt));
      awaitingResponse = true;
      connection.send(request);
    }
    context.schedule(
        configuration == null ? FIRST_LEASE_RENEWAL_INTERVAL_MS : pauseMs, this::renew);
    if (leaseHeld && !isHeld()) {
      leaseHeld = false;
      LogEvent.LEASE_EXPIRED.warn("version " + version());
    }
  }

  private void onLeaseResponse(final PeerConnection connection, final LeaseResponse response) {
    final long factsBefore = clusterState.version;
    if (response.clusterState != null && response.clusterState.version > clusterState.version) {
      clusterState = response.clusterState;
    }
    // A change that builds on another state than the one here is left out: the whole comes with a
    // later lease.
    response.changes.stream()
        .filter(change -> change.previousNumber == clusterState.version)
        .forEach(clusterState::apply);
    if (clusterState.version > factsBefore) {
      listener.onClusterStateChanged(clusterState);
    }
    if (!response.formerRetentions.isEmpty()) {
      listener.onFormerRetentions(response.formerRetentions);
    }
    // Invariant: the version never falls in one life of the process.
    final Configuration before = configuration;
    if (response.json != null && response.version > version()) {
      configuration = Configuration.read(response.json);
    }
    response.patches.stream()
        .filter(patch -> patch.baseVersion == version())
        .forEach(this::applyPatch);
    if (configuration != before) {
      LogEvent.CONFIGURATION_APPLIED.info("version " + configuration.version());
      listener.onConfigurationChanged(configuration);
    }
    // The lease counts only once its version is in force here.
    final PendingRenewal asked =
        response.granted && response.version <= version()
            ? pendingRequests.complete(response.requestId, connection)
            : null;
    if (asked != null) {
      awaitingResponse = false;
      // The node that responds is asked again, even if another one was asked meanwhile.
      attempt = asked.attempt;
      leaseEndMs = Math.max(leaseEndMs, asked.requestedMs + LEASE_DURATION_MS);
      if (!leaseHeld && isHeld()) {
        leaseHeld = true;
        LogEvent.LEASE_GRANTED.info("version " + version());
      }
    }
  }

  private void applyPatch(final RecentChanges.VersionPatch patch) {
    final Configuration changed =
        Configuration.of(configuration.updated(Configuration.parse(patch.json)));
    // What a patch makes must be exactly what the control group holds; else the version stays, and
    // the whole is sent.
    if (changed.digest() == patch.digest) {
      configuration = changed;
    } else {
      LogEvent.PATCH_MISMATCH.warn("version " + patch.version + " on " + patch.baseVersion);
    }
  }

  /** Version of the configuration in force, 0 before the first. */
  public long version() {
    return configuration == null ? 0 : configuration.version();
  }

  /** The configuration in force here, null before the first. */
  public Configuration configuration() {
    return configuration;
  }

  /** What is known of replicas, stores and retirements. */
  public ClusterState clusterState() {
    return clusterState;
  }

  /** Whether requests may be admitted and messages delivered right now. */
  public boolean isHeld() {
    return configuration != null && context.nowMs() < leaseEndMs;
  }
}
