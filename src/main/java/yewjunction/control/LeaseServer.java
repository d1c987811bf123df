package yewjunction.control;

import static yewjunction.common.Limits.FACTS_BATCH_MS;
import static yewjunction.common.Limits.LEASE_ANSWER_MS;
import static yewjunction.common.Limits.LEASE_BATCH_MS;
import static yewjunction.common.Limits.LEASE_MS;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.common.PendingRequests;
import yewjunction.control.LeaseMessages.ConfirmLeadershipRequest;
import yewjunction.control.LeaseMessages.ConfirmLeadershipResponse;
import yewjunction.control.LeaseMessages.LeaseRequest;
import yewjunction.control.LeaseMessages.LeaseResponse;
import yewjunction.membership.NodeRole;
import yewjunction.raft.RaftNode;

/**
 * Home for the tides and vaults of a zone: leases on the leader's confirmed word, and news at once.
 */
final class LeaseServer {
  private final AgentContext pulse;
  private final PeerTransport post;
  private final ControlStateMachine core;
  private final RaftNode ledger;
  private final NodeRegistry registrar;
  private final LeasedProcesses wards;
  private final Map<PeerConnection, SubscriberState> subscribers = new LinkedHashMap<>();
  private List<PendingRenewal> waiting = new ArrayList<>();

  /** To the leader: one at a time. */
  private final PendingRequests<PeerConnection, List<PendingRenewal>> questions;

  private final List<ConfirmedBatch> proven = new ArrayList<>();
  private final Set<PeerConnection> unnamed = new HashSet<>();
  private long askedMs;
  private boolean telling;
  private boolean tellingFacts;
  private boolean batching;

  private record PendingRenewal(PeerConnection link, LeaseRequest renew, long atMs) {}

  /**
   * What a process has been told on its link. Links lose nothing, so nothing is told twice on one.
   */
  private static final class SubscriberState {
    LeaseRequest renew;
    long version;
    long factsNumber;
    long toldMs;
  }

  /** Confirmed up to a commit that this home may not have applied yet. */
  private record ConfirmedBatch(long commit, List<PendingRenewal> asked) {}

  LeaseServer(
      final AgentContext pulse,
      final PeerTransport post,
      final ControlStateMachine core,
      final RaftNode ledger,
      final NodeRegistry registrar,
      final LeasedProcesses wards,
      final long life) {
    this.pulse = pulse;
    this.post = post;
    this.core = core;
    this.ledger = ledger;
    this.registrar = registrar;
    this.wards = wards;
    questions = new PendingRequests<>(life);
    post.on(LeaseRequest.class, this::renew);
    post.on(ConfirmLeadershipRequest.class, this::confirm);
    post.on(ConfirmLeadershipResponse.class, this::confirmed);
    post.onClose(
        link -> {
          subscribers.remove(link);
          unnamed.remove(link);
        });
  }

  private void renew(final PeerConnection link, final LeaseRequest renew) {
    final long nowMs = pulse.nowMs();
    final SubscriberState told = subscribers.computeIfAbsent(link, key -> new SubscriberState());
    told.renew = renew;
    // Less than it was told some time ago: it could not take that, and gets the whole.
    final boolean old = nowMs - told.toldMs > 2 * LEASE_MS;
    told.version = renew.version >= told.version ? renew.version : old ? 0 : told.version;
    told.factsNumber =
        renew.factsNumber >= told.factsNumber ? renew.factsNumber : old ? -1 : told.factsNumber;
    registrar.heard(renew.who);
    wards.heard(renew.who);
    if (NodeRole.EDGE.is(renew.who.duty) && !named(renew)) {
      unnamed.add(link);
    }
    // The newest question of an asker stands for its earlier ones.
    waiting.removeIf(asked -> asked.link == link);
    waiting.add(new PendingRenewal(link, renew, nowMs));
    ask();
  }

  /**
   * One question to the leader at a time; what comes meanwhile rides on the next, never on an
   * earlier one.
   */
  private void ask() {
    final long nowMs = pulse.nowMs();
    final boolean lost = nowMs - askedMs > LEASE_ANSWER_MS / 2;
    if (waiting.isEmpty() || !questions.none() && !lost) {
      return;
    }
    // One question serves all askers of a short while: each goes through a majority, across zones.
    if (nowMs - askedMs < LEASE_BATCH_MS) {
      if (!batching) {
        batching = true;
        pulse.after(
            LEASE_BATCH_MS - (nowMs - askedMs),
            () -> {
              batching = false;
              ask();
            });
      }
      return;
    }
    if (ledger.leads()) {
      final List<PendingRenewal> asked = waiting;
      waiting = new ArrayList<>();
      askedMs = nowMs;
      ledger.confirm(
          held -> {
            if (held) {
              asked.forEach(this::grant);
            }
          });
    } else if (ledger.leader() != null && !ledger.leader().equals(ledger.identity())) {
      final PeerConnection link = post.dial(RaftNode.address(ledger.leader()));
      final ConfirmLeadershipRequest confirm = new ConfirmLeadershipRequest();
      questions.dropAll();
      confirm.number = questions.ask(link, waiting);
      waiting = new ArrayList<>();
      askedMs = nowMs;
      link.send(confirm);
    } else {
      // Nobody leads: they wait for the next leader, since a lease counts from when it was asked
      // for anyway.
      waiting.removeIf(asked -> !asked.link.open() || nowMs - asked.atMs > LEASE_MS);
    }
  }

  /** Somebody leads now: whoever waited is served at once. */
  void leaderChanged() {
    registrar.leaderChanged();
    questions.dropAll();
    askedMs = 0;
    ask();
  }

  private void confirm(final PeerConnection link, final ConfirmLeadershipRequest confirm) {
    ledger.confirm(
        held -> {
          final ConfirmLeadershipResponse confirmed = new ConfirmLeadershipResponse();
          confirmed.number = confirm.number;
          confirmed.held = held;
          confirmed.commit = ledger.commit();
          link.send(confirmed);
        });
  }

  private void confirmed(final PeerConnection link, final ConfirmLeadershipResponse confirmed) {
    final List<PendingRenewal> asked = questions.answered(confirmed.number, link);
    if (asked == null) {
      return;
    }
    if (confirmed.held) {
      proven.add(new ConfirmedBatch(confirmed.commit, asked));
      settled();
    }
    ask();
  }

  /** Grants what was proven once this home has applied as much. */
  void settled() {
    for (final ConfirmedBatch one : List.copyOf(proven)) {
      if (ledger.applied() >= one.commit) {
        proven.remove(one);
        one.asked.forEach(this::grant);
      }
    }
  }

  private void grant(final PendingRenewal asked) {
    final SubscriberState told = subscribers.get(asked.link);
    if (told == null) {
      return;
    }
    final LeaseResponse lease = news(told);
    lease.held = true;
    lease.request = asked.renew.request;
    asked.link.send(lease);
  }

  private LeaseResponse news(final SubscriberState told) {
    final LeaseResponse lease = new LeaseResponse();
    lease.version = core.version();
    if (told.version < core.version()) {
      final List<RecentChanges.VersionPatch> patches =
          core.news().patchesFrom(told.version, core.json().length());
      lease.json = patches == null ? core.json() : null;
      lease.patches = patches == null ? lease.patches : patches;
      told.version = core.version();
      told.toldMs = pulse.nowMs();
    }
    if (told.factsNumber < core.facts().number) {
      final List<ClusterState.Change> changes = core.news().changesFrom(told.factsNumber);
      lease.facts = changes == null ? core.facts() : null;
      lease.changes = changes == null ? lease.changes : changes;
      told.factsNumber = core.facts().number;
      told.toldMs = pulse.nowMs();
    }
    return lease;
  }

  /** Tells all subscribers of a configuration; what one turn changes goes out in one letter. */
  void tell() {
    if (!telling) {
      telling = true;
      pulse.post(this::tellAll);
    }
  }

  private void tellAll() {
    telling = false;
    subscribers.forEach(this::tell);
  }

  private void tell(final PeerConnection link, final SubscriberState told) {
    final LeaseResponse news = news(told);
    if (news.json != null
        || news.facts != null
        || !news.patches.isEmpty()
        || !news.changes.isEmpty()) {
      link.send(news);
    }
  }

  /**
   * Other facts change in bursts, one for each process that starts: only who waits for its name
   * hears at once.
   */
  void tellFacts() {
    for (final PeerConnection link : List.copyOf(unnamed)) {
      final SubscriberState told = subscribers.get(link);
      if (told == null || named(told.renew)) {
        unnamed.remove(link);
        if (told != null) {
          tell(link, told);
        }
      }
    }
    if (!tellingFacts) {
      tellingFacts = true;
      pulse.after(
          FACTS_BATCH_MS,
          () -> {
            tellingFacts = false;
            tellAll();
          });
    }
  }

  private boolean named(final LeaseRequest renew) {
    return core.facts().replica(renew.who.address, renew.who.life) != 0;
  }
}
