package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.CLIENT_TIMEOUT_PING_INTERVALS;
import static yewjunction.limits.ClientLimits.CLOSE_CLIENTS_AFTER_LEASE_EXPIRY_MS;
import static yewjunction.limits.ClientLimits.CURSOR_RENEWAL_INTERVAL_MS;
import static yewjunction.limits.ClientLimits.SESSION_CHECK_INTERVAL_MS;
import static yewjunction.limits.FanoutLimits.DETACHED_NOT_READY_MS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.control.Configuration;
import yewjunction.control.LeaseClient;
import yewjunction.fanout.StreamClient;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;
import yewjunction.transport.ClientConnection;

/**
 * All clients of one edge: which session owns which client, and what reaches them. Nothing is
 * delivered under an expired lease. All calls on the agent's thread.
 */
public final class ClientRegistry implements StreamClient.Listener {
  /** Deliveries: more than this held back under an expired lease are given up. */
  private static final int MAX_STALLED_DELIVERIES = 20_000;

  private final AgentContext context;
  private final LeaseClient leaseClient;
  private final AddWinsSet subscriptions;
  private final CommandHandler commandHandler;
  private final PublishForwarder publishForwarder;
  private final long clientTimeoutMs;
  private final Map<String, ClientSession> sessionByClient = new HashMap<>();
  private final DisconnectedClients disconnectedClients;
  private final SubscriptionManager subscriptionManager;
  private final OrderViolationCounters violations = new OrderViolationCounters();
  private final ArrayDeque<Runnable> stalledDeliveries = new ArrayDeque<>();
  private LongPredicate liveReplicas = replica -> true;
  private ConnectionDrainer drainer;
  private long leaseHeldMs;
  private StreamClient streamClient;

  /** Creates the registry of an edge; {@link #setStreamClient} completes it. */
  public ClientRegistry(
      final AgentContext context,
      final PeerTransport transport,
      final LeaseClient leaseClient,
      final AddWinsSet subscriptions,
      final double pingS) {
    this.context = context;
    this.leaseClient = leaseClient;
    this.subscriptions = subscriptions;
    commandHandler = new CommandHandler(this, leaseClient, subscriptions);
    publishForwarder = new PublishForwarder(context, transport, leaseClient.life());
    disconnectedClients = new DisconnectedClients(subscriptions);
    subscriptionManager = new SubscriptionManager(this, context, subscriptions);
    clientTimeoutMs = (long) (pingS * 1_000 * CLIENT_TIMEOUT_PING_INTERVALS);
    context.scheduleAtFixedRate(SESSION_CHECK_INTERVAL_MS, this::check);
  }

  /** Where subscriptions are announced and messages come from. */
  public void setStreamClient(final StreamClient chosenStreamClient) {
    streamClient = chosenStreamClient;
    subscriptionManager.setStreamClient(chosenStreamClient);
  }

  /** Sets which replicas' clients count as connected. */
  public void setLiveReplicas(final LongPredicate chosenLive) {
    liveReplicas = chosenLive;
  }

  /** The session of a new connection; it has no client before HELLO. */
  public ClientConnection.Handler newSession(final ClientConnection connection) {
    return new ClientSession(this, connection, context.nowMs());
  }

  long nowMs() {
    return context.nowMs();
  }

  CommandHandler commandHandler() {
    return commandHandler;
  }

  SubscriptionManager subscriptionManager() {
    return subscriptionManager;
  }

  /** Violations of a declared order met here. */
  public OrderViolationCounters violations() {
    return violations;
  }

  /** Messages on their way to the leader. */
  public PublishForwarder publishForwarder() {
    return publishForwarder;
  }

  List<ClientSession> sessions() {
    return new ArrayList<>(sessionByClient.values());
  }

  /**
   * Answers how many clients subscribe: from the store, or from this edge's replica when the store
   * does not respond.
   */
  void requestCount(final ClientSession session, final String topic) {
    final boolean asked =
        streamClient != null
            && streamClient
                .syncClient()
                .requestCount(
                    topic,
                    count -> {
                      if (session.connection.isOpen()) {
                        session.sendCount(
                            topic, count >= 0 ? count : subscriptions.count(topic, liveReplicas));
                      }
                    });
    if (!asked) {
      session.sendCount(topic, subscriptions.count(topic, liveReplicas));
    }
  }

  void onHello(final ClientSession session) {
    final ClientSession older = sessionByClient.put(session.client, session);
    // The newest connection owns the client; the older one gets nothing more.
    if (older != null) {
      older.connection.close();
    }
    disconnectedClients.onConnected(session.client);
  }

  void onSessionClosed(final ClientSession session) {
    for (final Subscription subscription : new ArrayList<>(session.subscriptions.values())) {
      subscriptionManager.remove(subscription);
    }
    publishForwarder.onSessionClosed(session);
    if (sessionByClient.remove(session.client, session)) {
      disconnectedClients.onDisconnected(session.client, context.nowMs());
    }
  }

  void moveIfDraining(final ClientSession session) {
    if (drainer != null) {
      drainer.move(session);
    }
  }

  /** From now on clients that come are moved on. */
  public void setDrainer(final ConnectionDrainer chosenDrainer) {
    drainer = chosenDrainer;
  }

  @Override
  public void onAttached() {
    subscriptionManager.requestAllAgain();
  }

  @Override
  public void onReplay(
      final long request,
      final boolean expired,
      final long position,
      final List<StoredMessage> behind,
      final boolean more) {
    subscriptionManager.onReplay(request, expired, position, behind, more);
  }

  // --- messages ---

  @Override
  public void onMessage(final StoredMessage message) {
    deliverUnderLease(() -> subscriptionManager.deliver(message, context.nowMs()));
  }

  /**
   * Runs a delivery under a valid lease: what comes while it has expired is held back and follows
   * in order.
   */
  void deliverUnderLease(final Runnable delivery) {
    if (stalledDeliveries.isEmpty() && leaseClient.isHeld()) {
      delivery.run();
    } else {
      stalledDeliveries.add(delivery);
      if (stalledDeliveries.size() > MAX_STALLED_DELIVERIES) {
        closeAllSessions();
      }
    }
  }

  private void closeAllSessions() {
    stalledDeliveries.clear();
    sessions().forEach(session -> session.connection.close());
  }

  /**
   * Closes all sessions: each client resumes by its cursors, here or elsewhere, or is told that it
   * cannot.
   */
  @Override
  public void onStreamGap() {
    closeAllSessions();
  }

  /** How often a filtered subscription's cursor is renewed: well before it could expire. */
  long cursorRenewalMs(final String topic) {
    final Configuration.Route route = leaseClient.configuration().routeOf(topic);
    return route == null
        ? CURSOR_RENEWAL_INTERVAL_MS
        : Math.min(CURSOR_RENEWAL_INTERVAL_MS, route.retentionMs() / 4);
  }

  @Override
  public void onLeaderChange(final String address) {
    publishForwarder.onLeaderChange(address);
  }

  @Override
  public void onLeaderReachable() {
    publishForwarder.onLeaderReachable();
  }

  /** Ends subscriptions that the new configuration no longer allows. */
  public void onConfigurationChanged(final Configuration configuration) {
    subscriptionManager.setConfiguration(configuration);
    for (final ClientSession session : sessions()) {
      for (final String topic : new ArrayList<>(session.subscriptions.keySet())) {
        final RefuseReason refusal =
            CommandHandler.configuredRefusal(configuration, session.secret, topic);
        if (refusal != null) {
          subscriptionManager.unsubscribe(session, topic);
          session.sendRefuse(ClientCommand.SUB, topic, "", refusal);
        }
      }
    }
  }

  /**
   * A client whose instance here was cancelled has moved to another edge: its old connection is
   * closed.
   */
  public void onSubscriptionsMerged() {
    for (final ClientSession session : sessions()) {
      for (final Subscription subscription : session.subscriptions.values()) {
        if (subscriptions.instance(subscription.topic, session.client, subscriptions.self()) == 0) {
          session.connection.close();
          break;
        }
      }
    }
  }

  private void check() {
    final long nowMs = context.nowMs();
    while (!stalledDeliveries.isEmpty() && leaseClient.isHeld()) {
      stalledDeliveries.poll().run();
    }
    if (leaseClient.isHeld()) {
      leaseHeldMs = nowMs;
    } else if (nowMs - leaseHeldMs > CLOSE_CLIENTS_AFTER_LEASE_EXPIRY_MS) {
      // A client that only listens would not notice that nothing can reach it here.
      closeAllSessions();
    }
    if (streamClient.detachedMs() > DETACHED_NOT_READY_MS) {
      // The same without a store; a client that has only just come may still see one found.
      sessions().stream()
          .filter(session -> nowMs - session.helloMs > DETACHED_NOT_READY_MS)
          .forEach(session -> session.connection.close());
    }
    commandHandler.servePendingHellos(nowMs);
    publishForwarder.check(nowMs);
    subscriptionManager.check(nowMs);
    streamClient.syncClient().expireCounts();
    for (final ClientSession session : sessions()) {
      if (nowMs - session.lastReceivedMs > clientTimeoutMs) {
        session.connection.close();
      }
    }
    SlowReaderLimit.closeSlowest(sessionByClient.values());
    disconnectedClients.removeExpired(nowMs);
  }
}
