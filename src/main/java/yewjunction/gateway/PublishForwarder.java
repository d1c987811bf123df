package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_PUBLISHES_IN_FLIGHT;
import static yewjunction.limits.ClientLimits.PUBLISH_DEADLINE_SHARE;

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
 * <p>Invariant: RETRY is answered only on the leader's promise that the number was not accepted and
 * never will be; else the answer is UNKNOWN. An edge knows of no number that it is new: the client
 * may have sent it on an earlier connection to another edge, any time before.
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
  private final LeaderAvailability availability;
  private PeerConnection leaderConnection;
  private String leader = "";
  private long newestRequestId;
  private int inFlight;

  PublishForwarder(final AgentContext context, final PeerTransport transport, final long life) {
    this.context = context;
    this.transport = transport;
    pendingOffers = new PendingRequests<>(life);
    availability = new LeaderAvailability(context.random());
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
      final String tenant,
      final Route route,
      final byte[] body) {
    final StoredMessage message = new StoredMessage();
    message.topic = topic;
    message.client = session.client;
    message.sequenceNumber = number;
    message.body = body;
    message.tenant(tenant);
    message.retainFor(route.retentionMs());
    final PendingPublish publish =
        new PendingPublish(++newestRequestId, session, message, tenant, context.nowMs(), route);
    // Without prospect it is refused at once: the client may succeed elsewhere.
    if (availability.isUnreachable() || !enqueue(publish)) {
      giveUp(publish);
      return;
    }
    availability.onWaiting(publish.receivedMs);
    session.publishesInFlight++;
    publishes.put(publish.id, publish);
    sendQueued();
  }

  /** Queues a message, or holds it back for those that it follows; returns false without room. */
  private boolean enqueue(final PendingPublish publish) {
    if (!publish.route.after().isEmpty()) {
      publish.revoked = publish.session.followsRefused(publish.route, publish.receivedMs);
      if (!publish.revoked && dependencies.holdIfDependent(publish, publishes.values())) {
        return true;
      }
    }
    return publishQueue.add(publish);
  }

  /** Sends queued messages up to the window: tenants in turn, a message each. */
  private void sendQueued() {
    if (leader.isEmpty() || availability.isBackingOff(context.nowMs())) {
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
      request.heldMs = publish.heldMs(context.nowMs());
      inFlight++;
      if (!leaderConnection.send(request)) {
        requeueInFlight();
        backOff();
        return;
      }
    }
  }

  /**
   * Puts messages that were sent and not answered back into the queue: they are sent again under
   * the same numbers, which a leader recognises.
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

  private void backOff() {
    context.schedule(availability.backOff(context.nowMs()), this::sendQueued);
  }

  void onLeaderChange(final String address) {
    leader = address;
    leaderConnection = null;
    requeueInFlight();
    logIfReachableAgain(availability.onLeaderChange());
    sendQueued();
  }

  /** The store knows a leader: sending may succeed, even if none responded here. */
  void onLeaderReachable() {
    if (availability.onLeaderReported()) {
      logIfReachableAgain(true);
      sendQueued();
    }
  }

  private void logIfReachableAgain(final boolean reachableAgain) {
    if (reachableAgain) {
      LogEvent.LEADER_REACHABLE.info(publishQueue.size() + " waiting messages are sent");
    }
  }

  private void onAdmitResponse(final PeerConnection connection, final AdmitResponse response) {
    final PendingPublish publish = pendingOffers.complete(response.requestId, connection);
    // A denial counts only for the newest request: another leader, or the same one again, may have
    // been asked since.
    if (publish == null
        || response.outcome != AdmissionMessages.ACCEPTED
            && !publish.isNewestRequest(response.requestId)) {
      return;
    }
    if (response.outcome == AdmissionMessages.NOT_LEADER) {
      // Not leading, or not yet: the first such response says it for all.
      if (connection == leaderConnection && inFlight > 0) {
        requeueInFlight();
        backOff();
      }
      return;
    }
    publishes.remove(publish.id);
    onSettled(publish);
    logIfReachableAgain(availability.onResponse());
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

  /** Refuses a message whose fate only a leader could tell. */
  private void giveUp(final PendingPublish publish) {
    refuse(publish, RefuseReason.UNKNOWN);
  }

  private void refuse(final PendingPublish publish, final RefuseReason reason) {
    publish.session.onRefused(publish.route, context.nowMs());
    // Messages that follow it must not be accepted without it. Another edge may have sent them: the
    // leader says what became of them.
    for (final PendingPublish later : dependencies.dependentsOf(publish)) {
      later.revoked = true;
      publishQueue.requeue(later);
    }
    publish.session.sendRefuse(
        ClientCommand.PUB,
        publish.message.topic,
        String.valueOf(publish.message.sequenceNumber),
        reason);
  }

  void check(final long nowMs) {
    for (final PendingPublish publish : new ArrayList<>(publishes.values())) {
      final long heldMs = nowMs - publish.receivedMs;
      if (heldMs > publish.timeoutMs * PUBLISH_DEADLINE_SHARE) {
        publishes.remove(publish.id);
        onSettled(publish);
        giveUp(publish);
      }
    }
    if (availability.checkUnreachable(nowMs)) {
      LogEvent.LEADER_UNREACHABLE.warn("no leader answers, " + publishes.size() + " messages wait");
    }
    sendQueued();
  }

  /** How many messages wait for a leader's response. */
  public int waitingCount() {
    return publishes.size();
  }

  /** Whether no leader responds, so that new messages are refused at once. */
  public boolean isLeaderUnreachable() {
    return availability.isUnreachable();
  }

  /**
   * A session has ended: its messages are not sent again from here, since the client will repeat
   * them elsewhere.
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
