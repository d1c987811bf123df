package yewjunction.control;

import static yewjunction.common.Limits.LEASE_ANSWER_MS;
import static yewjunction.common.Limits.LEASE_FIRST_MS;
import static yewjunction.common.Limits.LEASE_MS;
import static yewjunction.common.Limits.LEASE_PACE_MS;
import static yewjunction.common.Limits.LEASE_RETURN;

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
  private final AgentContext pulse;
  private final PeerTransport post;
  private final ProcessReport who = new ProcessReport();
  private final Supplier<List<String>> homes;
  private final Listener watcher;
  private Runnable report = () -> {};
  private Configuration charter;
  private ClusterState facts = new ClusterState();
  private long leaseEndMs = Long.MIN_VALUE;
  private boolean held;
  private int attempt;
  private int good;
  private PendingRequests<PeerConnection, PendingRenewal> questions;

  /** Nobody has answered since the newest question. */
  private boolean silent;

  /** When a lease was asked for, and at which turn through the homes. */
  private record PendingRenewal(long atMs, int attempt) {}

  /** Told of what changed. */
  public interface Listener {
    void configChanged(Configuration charter);

    void factsChanged(ClusterState facts);
  }

  /** Homes: addresses of cruxes, the nearest first. */
  public LeaseClient(
      final AgentContext pulse,
      final PeerTransport post,
      final Supplier<List<String>> homes,
      final Listener watcher) {
    this.pulse = pulse;
    this.post = post;
    this.homes = homes;
    this.watcher = watcher;
    post.on(LeaseResponse.class, this::leased);
  }

  public LeaseClient named(
      final String address,
      final String node,
      final String zone,
      final NodeRole role,
      final long life) {
    who.address = address;
    who.node = node;
    who.zone = zone;
    who.duty = role.wireName();
    who.life = life;
    questions = new PendingRequests<>(life);
    return this;
  }

  /** Drawn at this process's start. */
  public long life() {
    return who.life;
  }

  /** A vault's ledger identity. */
  public void identity(final String identity) {
    who.identity = identity;
  }

  /** How far this vault's ledger is applied. */
  public void applied(final long applied) {
    who.applied = applied;
  }

  /** Looks just before each renewal at how this process does, for whoever asks a crux about it. */
  public void reporting(final Runnable chosenReport) {
    report = chosenReport;
  }

  /** An edge's messages that wait for a leader, and whether none answers. */
  public void waiting(final long waiting, final boolean dark) {
    who.waiting = waiting;
    who.dark = dark;
  }

  /** For how long a vault's disk has owed its oldest write. */
  public void diskOwed(final long owedMs) {
    who.diskOwedMs = owedMs;
  }

  /** What tenants that borrow ahead hold and owe at this vault. */
  public void balances(final List<AccountBalance> balances) {
    who.balances = balances;
  }

  /** Breaks of the declared order that this edge met. */
  public void disorders(final List<OrderViolations> disorders) {
    who.disorders = disorders;
  }

  /** Nodes that the vault group's leader has emptied. */
  public void emptied(final List<String> nodes) {
    who.emptied = new ArrayList<>(nodes);
  }

  public void start() {
    renew();
  }

  private void renew() {
    final List<String> known = homes.get();
    final long pauseMs = known.isEmpty() || silent ? LEASE_ANSWER_MS / 2 : LEASE_PACE_MS;
    if (silent) {
      // The home did not answer: it may be dark, so the next nearest is asked.
      attempt++;
      good = 0;
    } else if (++good >= LEASE_RETURN) {
      attempt = 0;
    }
    if (!known.isEmpty()) {
      report.run();
      who.held = held();
      final Runtime runtime = Runtime.getRuntime();
      who.memoryPct =
          (int) (100 * (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory());
      final LeaseRequest renew = new LeaseRequest();
      renew.version = version();
      renew.factsNumber = facts.number;
      renew.who = who;
      final PeerConnection link = post.dial(known.get(attempt % known.size()));
      final long nowMs = pulse.nowMs();
      // Whose lease would have ended by now.
      questions.drop(asked -> nowMs - asked.atMs >= LEASE_MS);
      renew.request = questions.ask(link, new PendingRenewal(nowMs, attempt));
      silent = true;
      link.send(renew);
    }
    pulse.after(charter == null ? LEASE_FIRST_MS : pauseMs, this::renew);
    if (held && !held()) {
      held = false;
      LogEvent.LEASE_LAPSED.warn("version " + version());
    }
  }

  private void leased(final PeerConnection link, final LeaseResponse lease) {
    final long factsBefore = facts.number;
    if (lease.facts != null && lease.facts.number > facts.number) {
      facts = lease.facts;
    }
    // A change on top of anything else than what is known here is left out: the whole comes with a
    // later lease.
    lease.changes.stream().filter(change -> change.before == facts.number).forEach(facts::apply);
    if (facts.number > factsBefore) {
      watcher.factsChanged(facts);
    }
    // A version never goes backwards in one life of a process.
    final Configuration before = charter;
    if (lease.json != null && lease.version > version()) {
      charter = Configuration.read(lease.json);
    }
    lease.patches.stream().filter(patch -> patch.base == version()).forEach(this::patched);
    if (charter != before) {
      LogEvent.CONFIG_APPLIED.info("version " + charter.version());
      watcher.configChanged(charter);
    }
    // The lease counts only with the version it stands for.
    final PendingRenewal asked =
        lease.held && lease.version <= version() ? questions.answered(lease.request, link) : null;
    if (asked != null) {
      silent = false;
      // Whoever answers is asked again, though another was asked meanwhile: that one is yet to be
      // heard.
      attempt = asked.attempt;
      leaseEndMs = Math.max(leaseEndMs, asked.atMs + LEASE_MS);
      if (!held && held()) {
        held = true;
        LogEvent.LEASE_HELD.info("version " + version());
      }
    }
  }

  private void patched(final RecentChanges.VersionPatch patch) {
    final Configuration changed =
        Configuration.of(charter.updated(Configuration.parse(patch.json)));
    // Nothing is used that is not exactly what the core holds; without it the version stays, and
    // the whole is sent.
    if (changed.digest() == patch.digest) {
      charter = changed;
    } else {
      LogEvent.PATCH_BAD.warn("version " + patch.version + " on " + patch.base);
    }
  }

  public long version() {
    return charter == null ? 0 : charter.version();
  }

  /** The configuration in force here, null before the first. */
  public Configuration charter() {
    return charter;
  }

  public ClusterState facts() {
    return facts;
  }

  /** Whether requests may be admitted and messages delivered right now. */
  public boolean held() {
    return charter != null && pulse.nowMs() < leaseEndMs;
  }
}
