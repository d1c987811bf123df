package yewjunction.store;

import static yewjunction.common.Limits.NUMBER_MS;
import static yewjunction.store.AdmissionMessages.ACCEPTED;
import static yewjunction.store.AdmissionMessages.DENIED;
import static yewjunction.store.AdmissionMessages.ELSEWHERE;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.raft.RaftNode;
import yewjunction.store.AdmissionMessages.AdmitRequest;
import yewjunction.store.AdmissionMessages.AdmitResponse;

/**
 * Admission of new messages, by the vaults' leader alone: doubles, order, quota, then the ledger.
 */
public final class AdmissionController {
  private final AgentContext pulse;
  private final RaftNode ledger;
  private final MessageStore cellar;
  private final Map<String, List<Requester>> inFlight = new HashMap<>();
  private final Map<String, Long> highestInFlight = new HashMap<>();
  private final LinkedHashMap<String, Long> deniedMs = new LinkedHashMap<>();

  private final QuotaBorrowing lending;

  private record Requester(PeerConnection link, long request) {}

  public AdmissionController(
      final AgentContext pulse,
      final PeerTransport post,
      final RaftNode ledger,
      final MessageStore cellar) {
    this.pulse = pulse;
    this.ledger = ledger;
    this.cellar = cellar;
    lending = new QuotaBorrowing(pulse, ledger, cellar);
    post.on(AdmitRequest.class, this::admit);
  }

  private static String key(final StoredMessage message) {
    return AcceptedNumbers.key(message.client, message.topic) + " " + message.number;
  }

  /** The leader's side of borrowing ahead. */
  public QuotaBorrowing lending() {
    return lending;
  }

  private void admit(final PeerConnection link, final AdmitRequest admit) {
    // What an edge says of accounts counts for nothing: only the leader stamps.
    admit.message.stampMs = null;
    admit.message.change = null;
    final Requester asker = new Requester(link, admit.request);
    final StoredMessage message = admit.message;
    if (admit.revoked != null
        && ledger.leads()
        && !inFlight.containsKey(key(message))
        && !cellar.numbers.accepted(message.client, message.topic, message.number)) {
      deny(key(message), asker);
    } else {
      decide(asker, message, false);
    }
  }

  /** In turn: it waited until all that paid had passed, and may borrow now. */
  private void decide(final Requester asker, final StoredMessage message, final boolean inTurn) {
    if (!ledger.leads()) {
      answer(asker, ELSEWHERE);
      return;
    }
    final String key = key(message);
    final String track = AcceptedNumbers.key(message.client, message.topic);
    final List<Requester> askers = inFlight.get(key);
    if (cellar.numbers.accepted(message.client, message.topic, message.number)) {
      answer(asker, ACCEPTED);
    } else if (askers != null) {
      askers.add(asker);
    } else if (deniedMs.containsKey(key)) {
      answer(asker, DENIED);
    } else if (message.number
        <= Math.max(
            cellar.numbers.highest(message.client, message.topic),
            highestInFlight.getOrDefault(track, 0L))) {
      // Never accepted and below an accepted one: it would break the sender's order.
      deny(key, asker);
    } else if (lending.keeps(message.tenant)) {
      account(key, track, message, asker, inTurn);
    } else if (!cellar.quotas.take(message.tenant, pulse.nowMs())) {
      deny(key, asker);
    } else {
      append(key, track, message, asker);
    }
  }

  private void account(
      final String key,
      final String track,
      final StoredMessage message,
      final Requester asker,
      final boolean inTurn) {
    final long stampMs = lending.stampMs();
    switch (lending.verdict(message.tenant, stampMs, inTurn)) {
      case PAYS, BORROWS -> {
        message.stampMs = stampMs;
        append(key, track, message, asker);
      }
      case WAITS -> lending.await(message.tenant, () -> decide(asker, message, true));
      default -> deny(key, asker);
    }
  }

  private void append(
      final String key, final String track, final StoredMessage message, final Requester asker) {
    final List<Requester> askers = new ArrayList<>(1);
    askers.add(asker);
    inFlight.put(key, askers);
    highestInFlight.put(track, message.number);
    final boolean taken =
        ledger.propose(
            MessageStore.bytes(message),
            done -> {
              final List<Requester> owed = inFlight.remove(key);
              highestInFlight.remove(track, message.number);
              lending.settled();
              // Without a clear end nothing is said: the edge asks the next leader with the same
              // number.
              if (done && owed != null) {
                owed.forEach(one -> answer(one, ACCEPTED));
              }
            });
    if (taken) {
      lending.proposed(
          message.stampMs == null ? "" : message.tenant,
          message.stampMs == null ? 0 : message.stampMs);
    } else {
      inFlight.remove(key);
      highestInFlight.remove(track);
      answer(asker, ELSEWHERE);
    }
  }

  /** The promise is remembered for longer than a copy of the number can be under way. */
  private void deny(final String key, final Requester asker) {
    final long nowMs = pulse.nowMs();
    deniedMs.put(key, nowMs);
    for (final Iterator<Long> each = deniedMs.values().iterator(); each.hasNext(); ) {
      if (nowMs - each.next() <= NUMBER_MS) {
        break;
      }
      each.remove();
    }
    answer(asker, DENIED);
  }

  private static void answer(final Requester asker, final int what) {
    final AdmitResponse verdict = new AdmitResponse();
    verdict.request = asker.request;
    verdict.what = what;
    asker.link.send(verdict);
  }

  /** Whether this leader admitted the message itself. */
  public boolean admitted(final StoredMessage message) {
    return inFlight.containsKey(key(message));
  }

  /** The leadership changed: what was in flight is the log's matter now. */
  public void leaderChanged() {
    inFlight.clear();
    highestInFlight.clear();
    lending.leaderChanged();
  }
}
