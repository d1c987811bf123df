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

/** All clients of one edge. */
public final class ClientRegistry implements StreamClient.Listener {
  /** turns; more than this held back under a lapsed lease is given up. */
  private static final int STALLED_MOST = 20_000;

  private final AgentContext context;
  private final LeaseClient leaseClient;
  private final AddWinsSet subscriptions;
  private final CommandHandler commandHandler;
  private final PublishForwarder publishForwarder;
  private final long silentMs;
  private final Map<String, ClientSession> clients = new HashMap<>();
  private final DisconnectedClients disconnectedClients;
  private final SubscriptionManager subscriptionManager;
  private final OrderViolationCounters violations = new OrderViolationCounters();
  private final ArrayDeque<Runnable> stalled = new ArrayDeque<>();
  private LongPredicate live = replica -> true;
  private ConnectionDrainer drainer;
  private long heldMs;
  private StreamClient streamClient;

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
    silentMs = (long) (pingS * 1_000 * CLIENT_TIMEOUT_PING_INTERVALS);
    context.every(SESSION_CHECK_INTERVAL_MS, this::look);
  }

  public void envoy(final StreamClient chosenStreamClient) {
    streamClient = chosenStreamClient;
    subscriptionManager.envoy(chosenStreamClient);
  }

  /** Which replicas count as there. */
  public void live(final LongPredicate chosenLive) {
    live = chosenLive;
  }

  public ClientConnection.Handler greet(final ClientConnection connection) {
    return new ClientSession(this, connection, context.nowMs());
  }

  long nowMs() {
    return context.nowMs();
  }

  CommandHandler requests() {
    return commandHandler;
  }

  SubscriptionManager boarding() {
    return subscriptionManager;
  }

  /** Breaks of the declared order met here. */
  public OrderViolationCounters disorders() {
    return violations;
  }

  public PublishForwarder shipping() {
    return publishForwarder;
  }

  List<ClientSession> berths() {
    return new ArrayList<>(clients.values());
  }

  /** How many subscribe, from the home, or from here when that does not answer. */
  void count(final ClientSession session, final String topic) {
    final boolean asked =
        streamClient != null
            && streamClient
                .weft()
                .tally(
                    topic,
                    count -> {
                      if (session.connection.open()) {
                        session.count(topic, count >= 0 ? count : subscriptions.count(topic, live));
                      }
                    });
    if (!asked) {
      session.count(topic, subscriptions.count(topic, live));
    }
  }

  void greeted(final ClientSession session) {
    final ClientSession older = clients.put(session.client, session);
    // The newest link owns the client: the older one gets nothing more.
    if (older != null) {
      older.connection.close();
    }
    disconnectedClients.here(session.client);
  }

  void gone(final ClientSession session) {
    for (final Subscription subscription : new ArrayList<>(session.subs.values())) {
      subscriptionManager.forget(subscription);
    }
    publishForwarder.gone(session);
    if (clients.remove(session.client, session)) {
      disconnectedClients.away(session.client, context.nowMs());
    }
  }

  void moveIfDraining(final ClientSession session) {
    if (drainer != null) {
      drainer.move(session);
    }
  }

  public void drain(final ConnectionDrainer chosenDrainer) {
    drainer = chosenDrainer;
  }

  @Override
  public void attached() {
    subscriptionManager.askAgain();
  }

  @Override
  public void taken(
      final long request,
      final boolean expired,
      final long position,
      final List<StoredMessage> behind,
      final boolean more) {
    subscriptionManager.taken(request, expired, position, behind, more);
  }

  // --- messages ---

  @Override
  public void message(final StoredMessage message) {
    whenHeld(() -> subscriptionManager.deliver(message, context.nowMs()));
  }

  /** Nothing is delivered under a lapsed lease; what came meanwhile follows in its order. */
  void whenHeld(final Runnable delivery) {
    if (stalled.isEmpty() && leaseClient.held()) {
      delivery.run();
    } else {
      stalled.add(delivery);
      if (stalled.size() > STALLED_MOST) {
        letGo();
      }
    }
  }

  private void letGo() {
    stalled.clear();
    berths().forEach(session -> session.connection.close());
  }

  /**
   * Each subscription is taken up by its own cursor, here or elsewhere, or is told that it can't
   * be.
   */
  @Override
  public void gapped() {
    letGo();
  }

  /** How often a filtered subscription's cursor is renewed: well before it could expire. */
  long renewMs(final String topic) {
    final Configuration.Route route = leaseClient.charter().space(topic);
    return route == null
        ? CURSOR_RENEWAL_INTERVAL_MS
        : Math.min(CURSOR_RENEWAL_INTERVAL_MS, route.keepMs() / 4);
  }

  @Override
  public void leaderIs(final String address) {
    publishForwarder.leaderIs(address);
  }

  @Override
  public void leaderHeard() {
    publishForwarder.leaderHeard();
  }

  public void configChanged(final Configuration configuration) {
    subscriptionManager.charter(configuration);
    for (final ClientSession session : berths()) {
      for (final String topic : new ArrayList<>(session.subs.keySet())) {
        final String denial = CommandHandler.charterDenial(configuration, session.secret, topic);
        if (denial != null) {
          subscriptionManager.drop(session, topic);
          session.refuse("SUB", topic, "", denial);
        }
      }
    }
  }

  /** Another edge took a client over: its instance here is cancelled, so the old link goes. */
  public void setChanged() {
    for (final ClientSession session : berths()) {
      for (final Subscription subscription : session.subs.values()) {
        if (subscriptions.instance(subscription.topic, session.client, subscriptions.self()) == 0) {
          session.connection.close();
          break;
        }
      }
    }
  }

  private void look() {
    final long nowMs = context.nowMs();
    while (!stalled.isEmpty() && leaseClient.held()) {
      stalled.poll().run();
    }
    if (leaseClient.held()) {
      heldMs = nowMs;
    } else if (nowMs - heldMs > CLOSE_CLIENTS_AFTER_LEASE_EXPIRY_MS) {
      // A client that only listens would never notice that nothing can come here.
      letGo();
    }
    if (streamClient.homelessMs() > DETACHED_NOT_READY_MS) {
      // The same without a home; whoever has only just come may still see one found.
      berths().stream()
          .filter(session -> nowMs - session.greetedMs > DETACHED_NOT_READY_MS)
          .forEach(session -> session.connection.close());
    }
    commandHandler.look(nowMs);
    publishForwarder.look(nowMs);
    subscriptionManager.look(nowMs);
    streamClient.weft().look();
    for (final ClientSession session : berths()) {
      if (nowMs - session.heardMs > silentMs) {
        session.connection.close();
      }
    }
    SlowReaderLimit.cutSlowest(clients.values());
    disconnectedClients.look(nowMs);
  }
}
