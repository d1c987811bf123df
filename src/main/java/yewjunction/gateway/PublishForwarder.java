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
 * Messages on their way from this edge's clients to the leading vault. There is one history, and
 * only the leader adds to it: while none is in reach messages wait in the intake, and are folded in
 * when one is.
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
  private long requests;
  private int offered;

  /** No offers before this: whoever said that it does not lead is not asked at once again. */
  private long pauseUntilMs;

  private long pauseMs = MIN_PUBLISH_BACKOFF_MS;

  /** Since when messages wait without any answer of a leader; 0 while none do. */
  private long unansweredMs;

  private boolean dark;

  PublishForwarder(final AgentContext context, final PeerTransport transport, final long life) {
    this.context = context;
    this.transport = transport;
    pendingOffers = new PendingRequests<>(life);
    transport.on(AdmitResponse.class, this::verdict);
    transport.onClose(
        connection -> {
          if (connection == leaderConnection) {
            leaderConnection = null;
            takeBack();
            pause();
          }
        });
  }

  void ship(
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
    message.number = number;
    message.body = body;
    message.tenant(tenant);
    final PendingPublish publish =
        new PendingPublish(++requests, session, message, tenant, context.nowMs(), route);
    publish.sent = !firstTry;
    // No prospect: said at once, and the client may try where there is more.
    final boolean follows = !route.after().isEmpty();
    final boolean bereft = follows && session.bereft(route, publish.startMs);
    publish.revoked = bereft && publish.sent;
    if (dark
        || bereft && !publish.sent
        || !(follows && !bereft && dependencies.holds(publish, publishes.values()))
            && !publishQueue.add(publish)) {
      giveUp(publish);
      return;
    }
    if (unansweredMs == 0) {
      unansweredMs = publish.startMs;
    }
    session.underWay++;
    publishes.put(publish.request, publish);
    offer();
  }

  /** Tenants in turn, a message each, up to the window; within a tenant in the order of arrival. */
  private void offer() {
    final long nowMs = context.nowMs();
    if (leader.isEmpty() || nowMs < pauseUntilMs) {
      return;
    }
    while (offered < MAX_PUBLISHES_IN_FLIGHT && !publishQueue.isEmpty()) {
      if (leaderConnection == null || !leaderConnection.open()) {
        leaderConnection = transport.dial(leader);
      }
      final PendingPublish publish = publishQueue.next();
      final AdmitRequest request = new AdmitRequest();
      request.request = publish.offer(pendingOffers, leaderConnection);
      request.message = publish.message;
      request.revoked = publish.revoked ? true : null;
      offered++;
      if (!leaderConnection.send(request)) {
        takeBack();
        pause();
        return;
      }
    }
  }

  /**
   * What was offered and not answered goes back to its place: the same numbers again, which a
   * leader knows how to take.
   */
  private void takeBack() {
    offered = 0;
    publishQueue.clear();
    publishes.values().stream()
        .filter(publish -> !dependencies.holding(publish))
        .forEach(
            publish -> {
              publish.offered = false;
              publishQueue.put(publish);
            });
  }

  /**
   * A growing pause with some luck in it, so that edges do not come back all together to a vault in
   * trouble.
   */
  private void pause() {
    pauseUntilMs = context.nowMs() + pauseMs + context.luck().nextInt((int) pauseMs);
    pauseMs = Math.min(MAX_PUBLISH_BACKOFF_MS, 2 * pauseMs);
    context.after(pauseUntilMs - context.nowMs(), this::offer);
  }

  void leaderIs(final String address) {
    leader = address;
    leaderConnection = null;
    pauseUntilMs = 0;
    pauseMs = MIN_PUBLISH_BACKOFF_MS;
    takeBack();
    inTouch();
    offer();
  }

  /** The home hears a leader: worth a try, also where none answered here. */
  void leaderHeard() {
    if (dark) {
      inTouch();
      offer();
    }
  }

  private void inTouch() {
    unansweredMs = 0;
    if (dark) {
      dark = false;
      LogEvent.SITE_BACK.info("folding in " + publishQueue.size() + " messages");
    }
  }

  private void verdict(final PeerConnection connection, final AdmitResponse response) {
    final PendingPublish publish = pendingOffers.answered(response.request, connection);
    // Bad news on an earlier offer binds nobody once another leader, or the same one anew, has been
    // asked.
    if (publish == null
        || response.what != AdmissionMessages.ACCEPTED && !publish.newestOffer(response.request)) {
      return;
    }
    if (response.what == AdmissionMessages.ELSEWHERE) {
      // Not leading, or not yet: the first word says it all.
      if (connection == leaderConnection && offered > 0) {
        takeBack();
        pause();
      }
      return;
    }
    publishes.remove(publish.request);
    settled(publish);
    pauseMs = MIN_PUBLISH_BACKOFF_MS;
    inTouch();
    if (response.what == AdmissionMessages.ACCEPTED) {
      publish.session.ack(publish.message.topic, publish.message.number);
      dependencies.accepted(publish).forEach(publishQueue::put);
    } else {
      refuse(publish, "RETRY");
    }
    offer();
  }

  private void settled(final PendingPublish publish) {
    publish.offers.forEach(pendingOffers::drop);
    publish.session.underWay--;
    dependencies.drop(publish);
    if (publish.offered) {
      offered--;
    } else {
      publishQueue.remove(publish);
    }
  }

  /** Not accepted here, as far as is known: RETRY promises that it never left this edge. */
  private void giveUp(final PendingPublish publish) {
    refuse(publish, publish.sent ? "UNKNOWN" : "RETRY");
  }

  private void refuse(final PendingPublish publish, final String reason) {
    publish.session.denied(publish.route, context.nowMs());
    // What was to follow it must not get a place in the log before it.
    for (final PendingPublish later : dependencies.bereft(publish)) {
      if (later.sent) {
        // Another edge may have sent it on: the leader says what became of it, and that nothing
        // more will.
        later.revoked = true;
        publishQueue.put(later);
      } else {
        publishes.remove(later.request);
        settled(later);
        giveUp(later);
      }
    }
    publish.session.refuse(
        "PUB", publish.message.topic, String.valueOf(publish.message.number), reason);
  }

  void look(final long nowMs) {
    for (final PendingPublish publish : new ArrayList<>(publishes.values())) {
      final long heldMs = nowMs - publish.startMs;
      // What never left is promised away early; of the rest nothing is known here.
      if (heldMs
          > publish.timeoutMs
              * (publish.sent ? SENT_PUBLISH_DEADLINE_SHARE : UNSENT_PUBLISH_DEADLINE_SHARE)) {
        if (publishes.remove(publish.request) != null) {
          settled(publish);
          giveUp(publish);
        }
      }
    }
    if (!dark && unansweredMs > 0 && nowMs - unansweredMs > LEADER_UNREACHABLE_AFTER_MS) {
      dark = true;
      LogEvent.SITE_DARK.warn("no leader answers, " + publishes.size() + " messages wait");
    }
    offer();
  }

  /** Messages that wait for a leader's answer. */
  public int depth() {
    return publishes.size();
  }

  /** No leader answers: new messages are denied at once. */
  public boolean dark() {
    return dark;
  }

  /**
   * A link is gone: its messages are not sent again from here, since the client will do so
   * elsewhere.
   */
  void gone(final ClientSession session) {
    publishes.values().stream()
        .filter(publish -> publish.session == session)
        .toList()
        .forEach(
            publish -> {
              publishes.remove(publish.request);
              settled(publish);
            });
  }
}
