package yewjunction.store;

import static yewjunction.limits.QuotaLimits.NUMBER_RETENTION_MS;
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
  private final AgentContext context;
  private final RaftNode raftNode;
  private final MessageStore messageStore;
  private final Map<String, List<Requester>> inFlight = new HashMap<>();
  private final Map<String, Long> highestInFlight = new HashMap<>();
  private final LinkedHashMap<String, Long> deniedMs = new LinkedHashMap<>();

  private final QuotaBorrowing borrowing;

  private record Requester(PeerConnection connection, long request) {}

  public AdmissionController(
      final AgentContext context,
      final PeerTransport transport,
      final RaftNode raftNode,
      final MessageStore messageStore) {
    this.context = context;
    this.raftNode = raftNode;
    this.messageStore = messageStore;
    borrowing = new QuotaBorrowing(context, raftNode, messageStore);
    transport.on(AdmitRequest.class, this::admit);
  }

  private static String key(final StoredMessage message) {
    return AcceptedNumbers.key(message.client, message.topic) + " " + message.number;
  }

  /** The leader's side of borrowing ahead. */
  public QuotaBorrowing lending() {
    return borrowing;
  }

  private void admit(final PeerConnection connection, final AdmitRequest request) {
    // What an edge says of accounts counts for nothing: only the leader stamps.
    request.message.stampMs = null;
    request.message.change = null;
    final Requester requester = new Requester(connection, request.request);
    final StoredMessage message = request.message;
    if (request.revoked != null
        && raftNode.isReadyLeader()
        && !inFlight.containsKey(key(message))
        && !messageStore.acceptedNumbers.accepted(message.client, message.topic, message.number)) {
      deny(key(message), requester);
    } else {
      decide(requester, message, false);
    }
  }

  /** In turn: it waited until all that paid had passed, and may borrow now. */
  private void decide(
      final Requester requester, final StoredMessage message, final boolean inTurn) {
    if (!raftNode.isReadyLeader()) {
      answer(requester, ELSEWHERE);
      return;
    }
    final String key = key(message);
    final String track = AcceptedNumbers.key(message.client, message.topic);
    final List<Requester> askers = inFlight.get(key);
    if (messageStore.acceptedNumbers.accepted(message.client, message.topic, message.number)) {
      answer(requester, ACCEPTED);
    } else if (askers != null) {
      askers.add(requester);
    } else if (deniedMs.containsKey(key)) {
      answer(requester, DENIED);
    } else if (message.number
        <= Math.max(
            messageStore.acceptedNumbers.highest(message.client, message.topic),
            highestInFlight.getOrDefault(track, 0L))) {
      // Never accepted and below an accepted one: it would break the sender's order.
      deny(key, requester);
    } else if (borrowing.keeps(message.tenant)) {
      account(key, track, message, requester, inTurn);
    } else if (!messageStore.rateLimiter.take(message.tenant, context.nowMs())) {
      deny(key, requester);
    } else {
      append(key, track, message, requester);
    }
  }

  private void account(
      final String key,
      final String track,
      final StoredMessage message,
      final Requester requester,
      final boolean inTurn) {
    final long stampMs = borrowing.stampMs();
    switch (borrowing.verdict(message.tenant, stampMs, inTurn)) {
      case PAYS, BORROWS -> {
        message.stampMs = stampMs;
        append(key, track, message, requester);
      }
      case WAITS -> borrowing.await(message.tenant, () -> decide(requester, message, true));
      default -> deny(key, requester);
    }
  }

  private void append(
      final String key,
      final String track,
      final StoredMessage message,
      final Requester requester) {
    final List<Requester> askers = new ArrayList<>(1);
    askers.add(requester);
    inFlight.put(key, askers);
    highestInFlight.put(track, message.number);
    final boolean taken =
        raftNode.propose(
            MessageStore.bytes(message),
            done -> {
              final List<Requester> owed = inFlight.remove(key);
              highestInFlight.remove(track, message.number);
              borrowing.settled();
              // Without a clear end nothing is said: the edge asks the next leader with the same
              // number.
              if (done && owed != null) {
                owed.forEach(one -> answer(one, ACCEPTED));
              }
            });
    if (taken) {
      borrowing.proposed(
          message.stampMs == null ? "" : message.tenant,
          message.stampMs == null ? 0 : message.stampMs);
    } else {
      inFlight.remove(key);
      highestInFlight.remove(track);
      answer(requester, ELSEWHERE);
    }
  }

  /** The promise is remembered for longer than a copy of the number can be under way. */
  private void deny(final String key, final Requester requester) {
    final long nowMs = context.nowMs();
    deniedMs.put(key, nowMs);
    for (final Iterator<Long> each = deniedMs.values().iterator(); each.hasNext(); ) {
      if (nowMs - each.next() <= NUMBER_RETENTION_MS) {
        break;
      }
      each.remove();
    }
    answer(requester, DENIED);
  }

  private static void answer(final Requester requester, final int what) {
    final AdmitResponse response = new AdmitResponse();
    response.request = requester.request;
    response.what = what;
    requester.connection.send(response);
  }

  /** Whether this leader admitted the message itself. */
  public boolean admitted(final StoredMessage message) {
    return inFlight.containsKey(key(message));
  }

  /** The leadership changed: what was in flight is the log's matter now. */
  public void leaderChanged() {
    inFlight.clear();
    highestInFlight.clear();
    borrowing.leaderChanged();
  }
}
