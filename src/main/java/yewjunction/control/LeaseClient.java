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
 * A tide's or vault's hold on the configuration: renewed from a home crux, lapsed when no majority
 * stands behind it.
 */
public final class LeaseClient {
  private final AgentContext context;
  private final PeerTransport transport;
  private final ProcessReport process = new ProcessReport();
  private final Supplier<List<String>> homes;
  private final Listener watcher;
  private Runnable report = () -> {};
  private Configuration configuration;
  private ClusterState clusterState = new ClusterState();
  private long leaseEndMs = Long.MIN_VALUE;
  private boolean held;
  private int attempt;
  private int good;
  private PendingRequests<PeerConnection, PendingRenewal> pendingRequests;

  /** Nobody has answered since the newest question. */
  private boolean silent;

  /** When a lease was asked for, and at which turn through the homes. */
  private record PendingRenewal(long atMs, int attempt) {}

  /** Told of what changed. */
  public interface Listener {
    void configChanged(Configuration configuration);

    void factsChanged(ClusterState clusterState);
  }

  /** Homes: addresses of cruxes, the nearest first. */
  public LeaseClient(
      final AgentContext context,
      final PeerTransport transport,
      final Supplier<List<String>> homes,
      final Listener watcher) {
    this.context = context;
    this.transport = transport;
    this.homes = homes;
    this.watcher = watcher;
    transport.on(LeaseResponse.class, this::leased);
  }

  public LeaseClient named(
      final String address,
      final String node,
      final String zone,
      final NodeRole role,
      final long life) {
    process.address = address;
    process.node = node;
    process.zone = zone;
    process.duty = role.wireName();
    process.life = life;
    pendingRequests = new PendingRequests<>(life);
    return this;
  }

  /** Drawn at this process's start. */
  public long life() {
    return process.life;
  }

  /** A vault's ledger identity. */
  public void identity(final String identity) {
    process.identity = identity;
  }

  /** How far this vault's ledger is applied. */
  public void applied(final long applied) {
    process.applied = applied;
  }

  /** Looks just before each renewal at how this process does, for whoever asks a crux about it. */
  public void reporting(final Runnable chosenReport) {
    report = chosenReport;
  }

  /** An edge's messages that wait for a leader, and whether none answers. */
  public void waiting(final long waiting, final boolean dark) {
    process.waiting = waiting;
    process.dark = dark;
  }

  /** For how long a vault's disk has owed its oldest write. */
  public void diskOwed(final long owedMs) {
    process.diskOwedMs = owedMs;
  }

  /** What tenants that borrow ahead hold and owe at this vault. */
  public void balances(final List<AccountBalance> balances) {
    process.balances = balances;
  }

  /** Breaks of the declared order that this edge met. */
  public void disorders(final List<OrderViolations> disorders) {
    process.disorders = disorders;
  }

  /** Nodes that the vault group's leader has emptied. */
  public void emptied(final List<String> nodes) {
    process.emptied = new ArrayList<>(nodes);
  }

  public void start() {
    renew();
  }

  private void renew() {
    final List<String> known = homes.get();
    final long pauseMs =
        known.isEmpty() || silent ? LEASE_RESPONSE_TIMEOUT_MS / 2 : LEASE_RENEWAL_INTERVAL_MS;
    if (silent) {
      // The home did not answer: it may be dark, so the next nearest is asked.
      attempt++;
      good = 0;
    } else if (++good >= RENEWALS_BEFORE_NEAREST) {
      attempt = 0;
    }
    if (!known.isEmpty()) {
      report.run();
      process.held = held();
      final Runtime runtime = Runtime.getRuntime();
      process.memoryPct =
          (int) (100 * (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory());
      final LeaseRequest request = new LeaseRequest();
      request.version = version();
      request.factsNumber = clusterState.number;
      request.process = process;
      final PeerConnection connection = transport.dial(known.get(attempt % known.size()));
      final long nowMs = context.nowMs();
      // Whose lease would have ended by now.
      pendingRequests.drop(asked -> nowMs - asked.atMs >= LEASE_DURATION_MS);
      request.request = pendingRequests.ask(connection, new PendingRenewal(nowMs, attempt));
      silent = true;
      connection.send(request);
    }
    context.after(configuration == null ? FIRST_LEASE_RENEWAL_INTERVAL_MS : pauseMs, this::renew);
    if (held && !held()) {
      held = false;
      LogEvent.LEASE_LAPSED.warn("version " + version());
    }
  }

  private void leased(final PeerConnection connection, final LeaseResponse response) {
    final long factsBefore = clusterState.number;
    if (response.clusterState != null && response.clusterState.number > clusterState.number) {
      clusterState = response.clusterState;
    }
    // A change on top of anything else than what is known here is left out: the whole comes with a
    // later lease.
    response.changes.stream()
        .filter(change -> change.before == clusterState.number)
        .forEach(clusterState::apply);
    if (clusterState.number > factsBefore) {
      watcher.factsChanged(clusterState);
    }
    // A version never goes backwards in one life of a process.
    final Configuration before = configuration;
    if (response.json != null && response.version > version()) {
      configuration = Configuration.read(response.json);
    }
    response.patches.stream().filter(patch -> patch.base == version()).forEach(this::patched);
    if (configuration != before) {
      LogEvent.CONFIG_APPLIED.info("version " + configuration.version());
      watcher.configChanged(configuration);
    }
    // The lease counts only with the version it stands for.
    final PendingRenewal asked =
        response.held && response.version <= version()
            ? pendingRequests.answered(response.request, connection)
            : null;
    if (asked != null) {
      silent = false;
      // Whoever answers is asked again, though another was asked meanwhile: that one is yet to be
      // heard.
      attempt = asked.attempt;
      leaseEndMs = Math.max(leaseEndMs, asked.atMs + LEASE_DURATION_MS);
      if (!held && held()) {
        held = true;
        LogEvent.LEASE_HELD.info("version " + version());
      }
    }
  }

  private void patched(final RecentChanges.VersionPatch patch) {
    final Configuration changed =
        Configuration.of(configuration.updated(Configuration.parse(patch.json)));
    // Nothing is used that is not exactly what the core holds; without it the version stays, and
    // the whole is sent.
    if (changed.digest() == patch.digest) {
      configuration = changed;
    } else {
      LogEvent.PATCH_BAD.warn("version " + patch.version + " on " + patch.base);
    }
  }

  public long version() {
    return configuration == null ? 0 : configuration.version();
  }

  /** The configuration in force here, null before the first. */
  public Configuration charter() {
    return configuration;
  }

  public ClusterState facts() {
    return clusterState;
  }

  /** Whether requests may be admitted and messages delivered right now. */
  public boolean held() {
    return configuration != null && context.nowMs() < leaseEndMs;
  }
}
