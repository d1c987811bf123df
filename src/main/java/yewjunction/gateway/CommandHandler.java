package yewjunction.gateway;

import static yewjunction.common.ErrorCode.FILTER_TOO_LARGE;
import static yewjunction.limits.ClientLimits.HELLO_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.List;
import yewjunction.control.Configuration;
import yewjunction.control.LeaseClient;
import yewjunction.subscription.AddWinsSet;

/**
 * What each command of a client does, checked against the configuration in force. All calls on the
 * agent's thread.
 */
final class CommandHandler {
  /** Characters: a cursor of this system is a number and never longer. */
  private static final int MAX_CURSOR_CHARS = 18;

  private final List<PendingHello> pendingHellos = new ArrayList<>();
  private final ClientRegistry clientRegistry;
  private final LeaseClient leaseClient;
  private final AddWinsSet subscriptions;

  /** A HELLO that this edge cannot answer yet. */
  private record PendingHello(
      ClientSession session, String client, String secret, long receivedMs) {}

  CommandHandler(
      final ClientRegistry clientRegistry,
      final LeaseClient leaseClient,
      final AddWinsSet subscriptions) {
    this.clientRegistry = clientRegistry;
    this.leaseClient = leaseClient;
    this.subscriptions = subscriptions;
  }

  /** Handles a whole and valid command. */
  void handle(final ClientSession session, final CommandParser parser) {
    final ClientCommand command = parser.command();
    if (command == null) {
      final String word = parser.text(0);
      session.sendRefuse(word.isEmpty() ? "-" : word, "", "", RefuseReason.BADMSG);
      return;
    }
    switch (command) {
      case PUB -> publish(session, parser);
      case PING -> session.sendLine("PONG");
      case SUB -> subscribe(session, parser.text(1), parser.text(2), parser.text(3));
      case HELLO -> hello(session, parser.text(1), parser.text(2));
      case UNSUB -> unsubscribe(session, parser.text(1));
      case WHO -> count(session, parser.text(1));
      default -> throw new IllegalStateException("no handler for " + command);
    }
  }

  private void hello(final ClientSession session, final String client, final String secret) {
    if (client.isEmpty() || session.isGreeted()) {
      session.sendRefuse(ClientCommand.HELLO, "", "", RefuseReason.BADMSG);
    } else if (canServe()) {
      greet(session, client, secret);
    } else {
      // The edge is starting, or its lease is being renewed: answered as soon as that is done.
      pendingHellos.add(new PendingHello(session, client, secret, clientRegistry.nowMs()));
    }
  }

  private boolean canServe() {
    return leaseClient.isHeld() && subscriptions.self() != 0;
  }

  void servePendingHellos(final long nowMs) {
    if (pendingHellos.isEmpty()) {
      return;
    }
    final List<PendingHello> asked = new ArrayList<>(pendingHellos);
    pendingHellos.clear();
    for (final PendingHello one : asked) {
      if (!one.session.connection.isOpen() || one.session.isGreeted()) {
        continue;
      }
      if (canServe()) {
        greet(one.session, one.client, one.secret);
      } else if (nowMs - one.receivedMs > HELLO_TIMEOUT_MS) {
        one.session.sendRefuse(ClientCommand.HELLO, "", "", RefuseReason.RETRY);
      } else {
        pendingHellos.add(one);
      }
    }
  }

  private void greet(final ClientSession session, final String client, final String secret) {
    if (!secret.isEmpty() && leaseClient.configuration().tenantOfKey(secret) == null) {
      session.sendRefuse(ClientCommand.HELLO, "", "", RefuseReason.DENIED);
      return;
    }
    session.helloMs = clientRegistry.nowMs();
    session.client = client;
    session.secret = secret;
    clientRegistry.onHello(session);
    session.sendOk(ClientCommand.HELLO, "", "", "");
    clientRegistry.moveIfDraining(session);
  }

  /** Why a command about a topic is refused right now; null when it is not. */
  private RefuseReason refusalReason(final ClientSession session, final String topic) {
    if (topic.isEmpty() || !session.isGreeted()) {
      return RefuseReason.BADMSG;
    }
    if (!canServe()) {
      return RefuseReason.RETRY;
    }
    return configuredRefusal(leaseClient.configuration(), session.secret, topic);
  }

  static RefuseReason configuredRefusal(
      final Configuration configuration, final String secret, final String topic) {
    final Configuration.Route route = configuration.routeOf(topic);
    // The key comes first: a revoked key opens nothing, not even what is public.
    if (!secret.isEmpty() && configuration.tenantOfKey(secret) == null) {
      return RefuseReason.DENIED;
    }
    if (route == null) {
      return RefuseReason.NOSPACE;
    }
    return secret.isEmpty() && !route.isPublic() ? RefuseReason.DENIED : null;
  }

  private void subscribe(
      final ClientSession session, final String topic, final String cursor, final String patterns) {
    final RefuseReason refusal = refusalReason(session, topic);
    if (refusal != null) {
      session.sendRefuse(ClientCommand.SUB, topic, "", refusal);
      return;
    }
    final Filter filter;
    try {
      filter = patterns.isEmpty() ? null : Filter.parse(patterns);
    } catch (final FilterException failure) {
      // The filter in force stays.
      session.sendRefuse(
          ClientCommand.SUB,
          topic,
          "",
          failure.code() == FILTER_TOO_LARGE ? RefuseReason.TOOBIG : RefuseReason.BADMSG);
      return;
    }
    final Subscription known = session.subscriptions.get(topic);
    final long position = parseCursor(cursor);
    if (known != null) {
      clientRegistry.subscriptionManager().resubscribe(known, filter);
    } else if (session.subscriptions.size() >= leaseClient.configuration().maxSubscriptions()) {
      session.sendRefuse(ClientCommand.SUB, topic, "", RefuseReason.TOOBIG);
    } else if (position < -1) {
      session.sendRefuse(ClientCommand.SUB, topic, "", RefuseReason.EXPIRED);
    } else {
      final Configuration.Tenant tenant = leaseClient.configuration().tenantOfKey(session.secret);
      clientRegistry
          .subscriptionManager()
          .subscribe(
              new Subscription(
                  session,
                  topic,
                  leaseClient.configuration().routeOf(topic),
                  tenant == null ? "" : tenant.name(),
                  position,
                  filter,
                  clientRegistry.nowMs()));
    }
  }

  /** The index that a cursor names, -1 for none, -2 for a cursor that this system never gave. */
  private static long parseCursor(final String cursor) {
    if (cursor.isEmpty()) {
      return -1;
    }
    if (cursor.length() > MAX_CURSOR_CHARS
        || !cursor.chars().allMatch(one -> one >= '0' && one <= '9')) {
      return -2;
    }
    return Long.parseLong(cursor);
  }

  private void unsubscribe(final ClientSession session, final String topic) {
    if (topic.isEmpty() || !session.isGreeted()) {
      session.sendRefuse(ClientCommand.UNSUB, topic, "", RefuseReason.BADMSG);
      return;
    }
    clientRegistry.subscriptionManager().unsubscribe(session, topic);
    session.sendOk(ClientCommand.UNSUB, topic, "", "");
  }

  private void count(final ClientSession session, final String topic) {
    final RefuseReason refusal = refusalReason(session, topic);
    if (refusal != null) {
      session.sendRefuse(ClientCommand.WHO, topic, "", refusal);
    } else {
      clientRegistry.requestCount(session, topic);
    }
  }

  private void publish(final ClientSession session, final CommandParser parser) {
    final String topic = parser.text(1);
    final long number = parser.number(2);
    final RefuseReason refusal = refusalReason(session, topic);
    if (refusal != null) {
      session.onRefused(
          leaseClient.configuration() == null ? null : leaseClient.configuration().routeOf(topic),
          clientRegistry.nowMs());
      session.sendRefuse(
          ClientCommand.PUB,
          topic,
          parser.text(2),
          // Only the leader can promise that a number was not accepted, perhaps at another edge.
          refusal == RefuseReason.RETRY ? RefuseReason.UNKNOWN : refusal);
    } else {
      final Configuration.Tenant tenant = leaseClient.configuration().tenantOfKey(session.secret);
      clientRegistry
          .publishForwarder()
          .publish(
              session,
              topic,
              number,
              tenant == null ? "" : tenant.name(),
              leaseClient.configuration().routeOf(topic),
              parser.bodyBytes());
    }
  }
}
