package yewjunction.store;

import static yewjunction.store.AdmissionMessages.ACCEPTED;
import static yewjunction.store.AdmissionMessages.DENIED;
import static yewjunction.store.AdmissionMessages.NOT_LEADER;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.raft.RaftNode;
import yewjunction.store.AdmissionMessages.AdmitRequest;
import yewjunction.store.AdmissionMessages.AdmitResponse;

/**
 * Admission of new messages, by the leading store alone: repeats, each sender's order, the tenant's
 * quota, then the log.
 *
 * <p>Invariant: a message whose number was denied is never accepted later; the denial is a promise
 * to its sender. Without a clear outcome nothing is answered, and the edge asks the next leader
 * with the same number.
 *
 * <p>All calls on the agent's thread.
 */
public final class AdmissionController {
  private final AgentContext context;
  private final RaftNode raftNode;
  private final MessageStore messageStore;
  private final Map<String, List<Requester>> inFlight = new HashMap<>();
  private final Map<String, Long> highestInFlight = new HashMap<>();
  private final DeniedNumbers deniedNumbers = new DeniedNumbers();
  private final QuotaBorrowing borrowing;

  /** Whom to answer, and for how many milliseconds it held the message. */
  private record Requester(PeerConnection connection, long requestId, long heldMs) {}

  /** Registers the handler of admit requests. */
  public AdmissionController(
      final AgentContext context,
      final PeerTransport transport,
      final RaftNode raftNode,
      final MessageStore messageStore) {
    this.context = context;
    this.raftNode = raftNode;
    this.messageStore = messageStore;
    borrowing = new QuotaBorrowing(context, raftNode, messageStore);
    transport.onMessage(AdmitRequest.class, this::onAdmitRequest);
  }

  private static String key(final StoredMessage message) {
    return AcceptedNumbers.key(message.client, message.topic) + " " + message.sequenceNumber;
  }

  /** The leader's side of borrowing ahead. */
  public QuotaBorrowing borrowing() {
    return borrowing;
  }

  private void onAdmitRequest(final PeerConnection connection, final AdmitRequest request) {
    // Log time is set by the leader alone, whatever an edge has sent.
    request.message.logTimeMs = null;
    request.message.termsChange = null;
    final long heldMs = request.heldMs == null ? 0 : Math.max(0, request.heldMs);
    final Requester requester = new Requester(connection, request.requestId, heldMs);
    final StoredMessage message = request.message;
    if (request.revoked != null
        && raftNode.isReadyLeader()
        && !inFlight.containsKey(key(message))
        && !messageStore.acceptedNumbers.accepted(
            message.client, message.topic, message.sequenceNumber)) {
      deny(key(message), requester);
    } else {
      decide(requester, message, false);
    }
  }

  /**
   * Decides about a message.
   *
   * @param inTurn whether it has waited for its turn to borrow
   */
  private void decide(
      final Requester requester, final StoredMessage message, final boolean inTurn) {
    if (!raftNode.isReadyLeader()) {
      respond(requester, NOT_LEADER);
      return;
    }
    final String key = key(message);
    final String senderTopic = AcceptedNumbers.key(message.client, message.topic);
    final List<Requester> requesters = inFlight.get(key);
    if (messageStore.acceptedNumbers.accepted(
        message.client, message.topic, message.sequenceNumber)) {
      respond(requester, ACCEPTED);
    } else if (requesters != null) {
      requesters.add(requester);
    } else if (deniedNumbers.contains(key)) {
      respond(requester, DENIED);
    } else if (message.sequenceNumber
        <= Math.max(
            messageStore.acceptedNumbers.highest(message.client, message.topic),
            highestInFlight.getOrDefault(senderTopic, 0L))) {
      // Never accepted, and below an accepted number: it would break the sender's order.
      deny(key, requester);
    } else if (borrowing.hasAccount(message.tenant)) {
      decideByAccount(key, senderTopic, message, requester, inTurn);
    } else if (!messageStore.rateLimiter.tryAcquire(
        message.tenant, requester.heldMs, context.nowMs())) {
      deny(key, requester);
    } else {
      propose(key, senderTopic, message, requester);
    }
  }

  private void decideByAccount(
      final String key,
      final String senderTopic,
      final StoredMessage message,
      final Requester requester,
      final boolean inTurn) {
    final long stampMs = borrowing.logTimeMs();
    switch (borrowing.decide(message.tenant, stampMs, inTurn)) {
      case PAY, BORROW -> {
        message.logTimeMs = stampMs;
        propose(key, senderTopic, message, requester);
      }
      case WAIT -> borrowing.await(message.tenant, () -> decide(requester, message, true));
      default -> deny(key, requester);
    }
  }

  private void propose(
      final String key,
      final String senderTopic,
      final StoredMessage message,
      final Requester requester) {
    final List<Requester> requesters = new ArrayList<>(1);
    requesters.add(requester);
    inFlight.put(key, requesters);
    highestInFlight.put(senderTopic, message.sequenceNumber);
    final boolean proposed =
        raftNode.propose(
            MessageStore.encode(message),
            done -> {
              final List<Requester> waitingRequesters = inFlight.remove(key);
              highestInFlight.remove(senderTopic, message.sequenceNumber);
              borrowing.onSettled();
              // Without a clear outcome nothing is answered: the edge asks the next leader with the
              // same number.
              if (done && waitingRequesters != null) {
                waitingRequesters.forEach(one -> respond(one, ACCEPTED));
              }
            });
    if (proposed) {
      borrowing.onProposed(
          message.logTimeMs == null ? "" : message.tenant,
          message.logTimeMs == null ? 0 : message.logTimeMs);
    } else {
      inFlight.remove(key);
      highestInFlight.remove(senderTopic);
      respond(requester, NOT_LEADER);
    }
  }

  private void deny(final String key, final Requester requester) {
    deniedNumbers.deny(key, context.nowMs());
    respond(requester, DENIED);
  }

  private static void respond(final Requester requester, final int what) {
    final AdmitResponse response = new AdmitResponse();
    response.requestId = requester.requestId;
    response.outcome = what;
    requester.connection.send(response);
  }

  /** Whether this leader has proposed the message itself. */
  public boolean isInFlight(final StoredMessage message) {
    return inFlight.containsKey(key(message));
  }

  /** The leadership changed: what was in flight is decided by the log. */
  public void onLeaderChange() {
    inFlight.clear();
    highestInFlight.clear();
    borrowing.onLeaderChange();
  }
}
