package yewjunction.gateway;

import static yewjunction.common.Limits.ANSWER_SHARE;
import static yewjunction.common.Limits.DARK_MS;
import static yewjunction.common.Limits.HOLD_SHARE;
import static yewjunction.common.Limits.INTAKE_WINDOW;
import static yewjunction.common.Limits.OFFER_FIRST_MS;
import static yewjunction.common.Limits.OFFER_MOST_MS;

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
  private final AgentContext pulse;
  private final PeerTransport post;
  private final PublishQueue intake = new PublishQueue();
  private final PublishDependencies pipeline = new PublishDependencies();
  private final Map<Long, PendingPublish> parcels = new LinkedHashMap<>();
  private final PendingRequests<PeerConnection, PendingPublish> offers;
  private PeerConnection leaderLink;
  private String leader = "";
  private long requests;
  private int offered;

  /** No offers before this: whoever said that it does not lead is not asked at once again. */
  private long pauseUntilMs;

  private long pauseMs = OFFER_FIRST_MS;

  /** Since when messages wait without any answer of a leader; 0 while none do. */
  private long unansweredMs;

  private boolean dark;

  PublishForwarder(final AgentContext pulse, final PeerTransport post, final long life) {
    this.pulse = pulse;
    this.post = post;
    offers = new PendingRequests<>(life);
    post.on(AdmitResponse.class, this::verdict);
    post.onClose(
        link -> {
          if (link == leaderLink) {
            leaderLink = null;
            takeBack();
            pause();
          }
        });
  }

  void ship(
      final ClientSession berth,
      final String topic,
      final long number,
      final boolean firstTry,
      final String tenant,
      final Route space,
      final byte[] body) {
    final StoredMessage message = new StoredMessage();
    message.topic = topic;
    message.client = berth.client;
    message.number = number;
    message.body = body;
    message.tenant(tenant);
    final PendingPublish parcel =
        new PendingPublish(++requests, berth, message, tenant, pulse.nowMs(), space);
    parcel.sent = !firstTry;
    // No prospect: said at once, and the client may try where there is more.
    final boolean follows = !space.after().isEmpty();
    final boolean bereft = follows && berth.bereft(space, parcel.startMs);
    parcel.revoked = bereft && parcel.sent;
    if (dark
        || bereft && !parcel.sent
        || !(follows && !bereft && pipeline.holds(parcel, parcels.values()))
            && !intake.add(parcel)) {
      giveUp(parcel);
      return;
    }
    if (unansweredMs == 0) {
      unansweredMs = parcel.startMs;
    }
    berth.underWay++;
    parcels.put(parcel.request, parcel);
    offer();
  }

  /** Tenants in turn, a message each, up to the window; within a tenant in the order of arrival. */
  private void offer() {
    final long nowMs = pulse.nowMs();
    if (leader.isEmpty() || nowMs < pauseUntilMs) {
      return;
    }
    while (offered < INTAKE_WINDOW && !intake.isEmpty()) {
      if (leaderLink == null || !leaderLink.open()) {
        leaderLink = post.dial(leader);
      }
      final PendingPublish parcel = intake.next();
      final AdmitRequest admit = new AdmitRequest();
      admit.request = parcel.offer(offers, leaderLink);
      admit.message = parcel.message;
      admit.revoked = parcel.revoked ? true : null;
      offered++;
      if (!leaderLink.send(admit)) {
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
    intake.clear();
    parcels.values().stream()
        .filter(parcel -> !pipeline.holding(parcel))
        .forEach(
            parcel -> {
              parcel.offered = false;
              intake.put(parcel);
            });
  }

  /**
   * A growing pause with some luck in it, so that edges do not come back all together to a vault in
   * trouble.
   */
  private void pause() {
    pauseUntilMs = pulse.nowMs() + pauseMs + pulse.luck().nextInt((int) pauseMs);
    pauseMs = Math.min(OFFER_MOST_MS, 2 * pauseMs);
    pulse.after(pauseUntilMs - pulse.nowMs(), this::offer);
  }

  void leaderIs(final String address) {
    leader = address;
    leaderLink = null;
    pauseUntilMs = 0;
    pauseMs = OFFER_FIRST_MS;
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
      LogEvent.SITE_BACK.info("folding in " + intake.size() + " messages");
    }
  }

  private void verdict(final PeerConnection link, final AdmitResponse verdict) {
    final PendingPublish parcel = offers.answered(verdict.request, link);
    // Bad news on an earlier offer binds nobody once another leader, or the same one anew, has been
    // asked.
    if (parcel == null
        || verdict.what != AdmissionMessages.ACCEPTED && !parcel.newestOffer(verdict.request)) {
      return;
    }
    if (verdict.what == AdmissionMessages.ELSEWHERE) {
      // Not leading, or not yet: the first word says it all.
      if (link == leaderLink && offered > 0) {
        takeBack();
        pause();
      }
      return;
    }
    parcels.remove(parcel.request);
    settled(parcel);
    pauseMs = OFFER_FIRST_MS;
    inTouch();
    if (verdict.what == AdmissionMessages.ACCEPTED) {
      parcel.berth.ack(parcel.message.topic, parcel.message.number);
      pipeline.accepted(parcel).forEach(intake::put);
    } else {
      refuse(parcel, "RETRY");
    }
    offer();
  }

  private void settled(final PendingPublish parcel) {
    parcel.offers.forEach(offers::drop);
    parcel.berth.underWay--;
    pipeline.drop(parcel);
    if (parcel.offered) {
      offered--;
    } else {
      intake.remove(parcel);
    }
  }

  /** Not accepted here, as far as is known: RETRY promises that it never left this edge. */
  private void giveUp(final PendingPublish parcel) {
    refuse(parcel, parcel.sent ? "UNKNOWN" : "RETRY");
  }

  private void refuse(final PendingPublish parcel, final String reason) {
    parcel.berth.denied(parcel.space, pulse.nowMs());
    // What was to follow it must not get a place in the log before it.
    for (final PendingPublish later : pipeline.bereft(parcel)) {
      if (later.sent) {
        // Another edge may have sent it on: the leader says what became of it, and that nothing
        // more will.
        later.revoked = true;
        intake.put(later);
      } else {
        parcels.remove(later.request);
        settled(later);
        giveUp(later);
      }
    }
    parcel.berth.refuse("PUB", parcel.message.topic, String.valueOf(parcel.message.number), reason);
  }

  void look(final long nowMs) {
    for (final PendingPublish parcel : new ArrayList<>(parcels.values())) {
      final long heldMs = nowMs - parcel.startMs;
      // What never left is promised away early; of the rest nothing is known here.
      if (heldMs > parcel.timeoutMs * (parcel.sent ? ANSWER_SHARE : HOLD_SHARE)) {
        if (parcels.remove(parcel.request) != null) {
          settled(parcel);
          giveUp(parcel);
        }
      }
    }
    if (!dark && unansweredMs > 0 && nowMs - unansweredMs > DARK_MS) {
      dark = true;
      LogEvent.SITE_DARK.warn("no leader answers, " + parcels.size() + " messages wait");
    }
    offer();
  }

  /** Messages that wait for a leader's answer. */
  public int depth() {
    return parcels.size();
  }

  /** No leader answers: new messages are denied at once. */
  public boolean dark() {
    return dark;
  }

  /**
   * A link is gone: its messages are not sent again from here, since the client will do so
   * elsewhere.
   */
  void gone(final ClientSession berth) {
    parcels.values().stream()
        .filter(parcel -> parcel.berth == berth)
        .toList()
        .forEach(
            parcel -> {
              parcels.remove(parcel.request);
              settled(parcel);
            });
  }
}
