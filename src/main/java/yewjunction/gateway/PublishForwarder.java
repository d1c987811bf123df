package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.LEADER_UNREACHABLE_AFTER_MS;
import static yewjunction.limits.ClientLimits.MAX_PUBLISHES_IN_FLIGHT;
import static yewjunction.limits.ClientLimits.MAX_PUBLISH_BACKOFF_MS;
import static yewjunction.limits.ClientLimits.MIN_PUBLISH_BACKOFF_MS;
import static yewjunction.limits.ClientLimits.SENT_PUBLISH_DEADLINE_SHARE;
import static yewjunction.limits.ClientLimits.UNSENT_PUBLISH_DEADLINE_SHARE;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.common.PendingRequests;
import yewjunction.control.Configuration.Route;
import yewjunction.gateway.PublishQueue.PendingPublish;
import yewjunction.store.AdmissionMessages;
import yewjunction.store.AdmissionMessages.AdmitRequest;
import yewjunction.store.AdmissionMessages.AdmitResponse;
import yewjunction.store.StoredMessage;

/**
 * Messages on their way from this edge's clients to the leading store. Only the leader adds to the
 * log: while none is in reach messages wait in the {@link PublishQueue}.
 *
 * <p>Invariant: RETRY is answered only when the message never left this edge, or on the leader's
 * promise that it never will be accepted; else the answer is UNKNOWN.
 *
 * <p>All calls on the agent's thread.
 */
public final class PublishForwarder {
  private final AgentContext context;
  private final PeerTransport transport;
  private final PublishQueue publishQueue = new PublishQueue();
  private final PublishDependencies dependencies = new PublishDependencies();
  private final Map<Long, PendingPublish> publishes = new LinkedHashMap<>();
  private final PendingRequests<PeerConnection, PendingPublish> pendingOffers;
  private PeerConnection leaderConnection;
  private String leader = "";
  private long newestRequestId;
  private int inFlight;

  /** No offers before this: whoever said that it does not lead is not asked at once again. */
  private long backoffUntilMs;

  private long backoffMs = MIN_PUBLISH_BACKOFF_MS;

  /** Since when messages wait without any answer of a leader; 0 while none do. */
  private long unansweredSinceMs;

  private boolean leaderUnreachable;

  PublishForwarder(final AgentContext context, final PeerTransport transport, final long life) {
    this.context = context;
    this.transport = transport;
    pendingOffers = new PendingRequests<>(life);
    transport.onMessage(AdmitResponse.class, this::onAdmitResponse);
    transport.onClose(
        connection -> {
          if (connection == leaderConnection) {
            leaderConnection = null;
            requeueInFlight();
            backOff();
          }
        });
  }

  void publish(
      final ClientSession session,
      final String topic,
      final long number,
      final boolean firstTry,
      final String tenant,
      final Route route,
      final byte[] body) {
    final StoredMessage message = new StoredMessage();
    message.topic = topic;
    message.client = session.client;
    message.sequenceNumber = number;
    message.body = body;
    message.tenant(tenant);
    final PendingPublish publish =
        new PendingPublish(++newestRequestId, session, message, tenant, context.nowMs(), route);
    publish.maybeSent = !firstTry;
    // No prospect: said at once, and the client may try where there is more.
    final boolean follows = !route.after().isEmpty();
    final boolean followsRefused = follows && session.followsRefused(route, publish.receivedMs);
    publish.revoked = followsRefused && publish.maybeSent;
    if (leaderUnreachable
        || followsRefused && !publish.maybeSent
        || !(follows
                && !followsRefused
                && dependencies.holdIfDependent(publish, publishes.values()))
            && !publishQueue.add(publish)) {
      giveUp(publish);
      return;
    }
    if (unansweredSinceMs == 0) {
      unansweredSinceMs = publish.receivedMs;
    }
    session.publishesInFlight++;
    publishes.put(publish.id, publish);
    sendQueued();
  }

  /** Tenants in turn, a message each, up to the window; within a tenant in the order of arrival. */
  private void sendQueued() {
    final long nowMs = context.nowMs();
    if (leader.isEmpty() || nowMs < backoffUntilMs) {
      return;
    }
    while (inFlight < MAX_PUBLISHES_IN_FLIGHT && !publishQueue.isEmpty()) {
      if (leaderConnection == null || !leaderConnection.isOpen()) {
        leaderConnection = transport.connect(leader);
      }
      final PendingPublish publish = publishQueue.next();
      final AdmitRequest request = new AdmitRequest();
      request.requestId = publish.onSent(pendingOffers, leaderConnection);
      request.message = publish.message;
      request.revoked = publish.revoked ? true : null;
      inFlight++;
      if (!leaderConnection.send(request)) {
        requeueInFlight();
        backOff();
        return;
      }
    }
  }

  /**
   * What was offered and not answered goes back to its place: the same numbers again, which a
   * leader knows how to take.
   */
  private void requeueInFlight() {
    inFlight = 0;
    publishQueue.clear();
    publishes.values().stream()
        .filter(publish -> !dependencies.isHeld(publish))
        .forEach(
            publish -> {
              publish.inFlight = false;
              publishQueue.requeue(publish);
            });
  }

  /**
   * A growing pause with some chance in it, so that edges do not come back all together to a store
   * in trouble.
   */
  private void backOff() {
    backoffUntilMs = context.nowMs() + backoffMs + context.random().nextInt((int) backoffMs);
    backoffMs = Math.min(MAX_PUBLISH_BACKOFF_MS, 2 * backoffMs);
    context.schedule(backoffUntilMs - context.nowMs(), this::sendQueued);
  }

  void onLeaderChange(final String address) {
    leader = address;
    leaderConnection = null;
    backoffUntilMs = 0;
    backoffMs = MIN_PUBLISH_BACKOFF_MS;
    requeueInFlight();
    markLeaderReachable();
    sendQueued();
  }

  /** The serving store hears a leader: worth a try, also where none answered here. */
  void onLeaderReachable() {
    if (leaderUnreachable) {
      markLeaderReachable();
      sendQueued();
    }
  }

  private void markLeaderReachable() {
    unansweredSinceMs = 0;
    if (leaderUnreachable) {
      leaderUnreachable = false;
      LogEvent.LEADER_REACHABLE.info("folding in " + publishQueue.size() + " messages");
    }
  }

  private void onAdmitResponse(final PeerConnection connection, final AdmitResponse response) {
    final PendingPublish publish = pendingOffers.complete(response.requestId, connection);
    // Bad news on an earlier offer binds nobody once another leader, or the same one anew, has been
    // asked.
    if (publish == null
        || response.outcome != AdmissionMessages.ACCEPTED
            && !publish.isNewestRequest(response.requestId)) {
      return;
    }
    if (response.outcome == AdmissionMessages.NOT_LEADER) {
      // Not leading, or not yet: the first word says it all.
      if (connection == leaderConnection && inFlight > 0) {
        requeueInFlight();
        backOff();
      }
      return;
    }
    publishes.remove(publish.id);
    onSettled(publish);
    backoffMs = MIN_PUBLISH_BACKOFF_MS;
    markLeaderReachable();
    if (response.outcome == AdmissionMessages.ACCEPTED) {
      publish.session.sendAck(publish.message.topic, publish.message.sequenceNumber);
      dependencies.onAccepted(publish).forEach(publishQueue::requeue);
    } else {
      refuse(publish, RefuseReason.RETRY);
    }
    sendQueued();
  }

  private void onSettled(final PendingPublish publish) {
    publish.requestIds.forEach(pendingOffers::cancel);
    publish.session.publishesInFlight--;
    dependencies.drop(publish);
    if (publish.inFlight) {
      inFlight--;
    } else {
      publishQueue.remove(publish);
    }
  }

  /** Not accepted here, as far as is known: RETRY promises that it never left this edge. */
  private void giveUp(final PendingPublish publish) {
    refuse(publish, publish.maybeSent ? RefuseReason.UNKNOWN : RefuseReason.RETRY);
  }

  private void refuse(final PendingPublish publish, final RefuseReason reason) {
    publish.session.onRefused(publish.route, context.nowMs());
    // What was to follow it must not get a place in the log before it.
    for (final PendingPublish later : dependencies.dependentsOf(publish)) {
      if (later.maybeSent) {
        // Another edge may have sent it on: the leader says what became of it, and that nothing
        // more will.
        later.revoked = true;
        publishQueue.requeue(later);
      } else {
        publishes.remove(later.id);
        onSettled(later);
        giveUp(later);
      }
    }
    publish.session.sendRefuse(
        "PUB", publish.message.topic, String.valueOf(publish.message.sequenceNumber), reason);
  }

  void check(final long nowMs) {
    for (final PendingPublish publish : new ArrayList<>(publishes.values())) {
      final long heldMs = nowMs - publish.receivedMs;
      // What never left is promised away early; of the rest nothing is known here.
      if (heldMs
          > publish.timeoutMs
              * (publish.maybeSent ? SENT_PUBLISH_DEADLINE_SHARE : UNSENT_PUBLISH_DEADLINE_SHARE)) {
        if (publishes.remove(publish.id) != null) {
          onSettled(publish);
          giveUp(publish);
        }
      }
    }
    if (!leaderUnreachable
        && unansweredSinceMs > 0
        && nowMs - unansweredSinceMs > LEADER_UNREACHABLE_AFTER_MS) {
      leaderUnreachable = true;
      LogEvent.LEADER_UNREACHABLE.warn("no leader answers, " + publishes.size() + " messages wait");
    }
    sendQueued();
  }

  /** Messages that wait for a leader's answer. */
  public int waitingCount() {
    return publishes.size();
  }

  /** No leader answers: new messages are denied at once. */
  public boolean isLeaderUnreachable() {
    return leaderUnreachable;
  }

  /**
   * A connection is gone: its messages are not sent again from here, since the client will do so
   * elsewhere.
   */
  void onSessionClosed(final ClientSession session) {
    publishes.values().stream()
        .filter(publish -> publish.session == session)
        .toList()
        .forEach(
            publish -> {
              publishes.remove(publish.id);
              onSettled(publish);
            });
  }
}
