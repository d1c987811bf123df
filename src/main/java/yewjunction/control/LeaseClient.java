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

  /** Nobody has answered since the newest question. */
  private boolean awaitingResponse;

  /** When a lease was asked for, and at which turn through the control nodes. */
  private record PendingRenewal(long requestedMs, int attempt) {}

  /** Told of what changed. */
  public interface Listener {
    /** Another version is in force. */
    void onConfigurationChanged(Configuration configuration);

    /** Replica ids, stores or retirements changed. */
    void onClusterStateChanged(ClusterState clusterState);
  }

  /** Serving stores: addresses of control nodes, the nearest first. */
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
   * Who asks; said with each renewal.
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

  /** Drawn at this process's start. */
  public long life() {
    return process.life;
  }

  /** A store's log identity. */
  public void setIdentity(final String identity) {
    process.identity = identity;
  }

  /** How far this store's log is applied. */
  public void setAppliedIndex(final long applied) {
    process.appliedIndex = applied;
  }

  /**
   * Looks just before each renewal at how this process does, for whoever asks a control node about
   * it.
   */
  public void beforeEachReport(final Runnable chosenReport) {
    reportUpdater = chosenReport;
  }

  /** An edge's messages that wait for a leader, and whether none answers. */
  public void setWaitingPublishes(final long waiting, final boolean dark) {
    process.waitingPublishes = waiting;
    process.leaderUnreachable = dark;
  }

  /** For how long a store's disk has owed its oldest write. */
  public void setDiskDelay(final long owedMs) {
    process.diskDelayMs = owedMs;
  }

  /** What tenants that borrow ahead hold and owe at this store. */
  public void setBalances(final List<AccountBalance> balances) {
    process.balances = balances;
  }

  /** Breaks of the declared order that this edge met. */
  public void setOrderViolations(final List<OrderViolations> disorders) {
    process.orderViolations = disorders;
  }

  /** Nodes that the store group's leader has emptied. */
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
      // The control node did not answer: it may be unreachable, so the next nearest is asked.
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
      // Whose lease would have ended by now.
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
    // A change on top of anything else than what is known here is left out: the whole comes with a
    // later lease.
    response.changes.stream()
        .filter(change -> change.previousNumber == clusterState.version)
        .forEach(clusterState::apply);
    if (clusterState.version > factsBefore) {
      listener.onClusterStateChanged(clusterState);
    }
    // A version never goes backwards in one life of a process.
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
    // The lease counts only with the version it stands for.
    final PendingRenewal asked =
        response.granted && response.version <= version()
            ? pendingRequests.complete(response.requestId, connection)
            : null;
    if (asked != null) {
      awaitingResponse = false;
      // Whoever answers is asked again, though another was asked meanwhile: that one is yet to be
      // heard.
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
    // Nothing is used that is not exactly what the control group holds; without it the version
    // stays, and the whole is sent.
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
