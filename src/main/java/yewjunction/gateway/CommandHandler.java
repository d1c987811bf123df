package yewjunction.gateway;

import static yewjunction.common.ErrorCode.FILTER_TOO_LARGE;
import static yewjunction.limits.ClientLimits.HELLO_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.List;
import yewjunction.control.Configuration;
import yewjunction.control.LeaseClient;
import yewjunction.subscription.AddWinsSet;

/** What each word of a client asks for, checked against the configuration in force. */
final class CommandHandler {
  /** bytes; a cursor of this system is a number and never longer. */
  private static final int POSITION_CHARS = 18;

  private final List<PendingHello> waiting = new ArrayList<>();
  private final ClientRegistry clientRegistry;
  private final LeaseClient leaseClient;
  private final AddWinsSet subscriptions;

  /** A HELLO that this edge can't answer yet. */
  private record PendingHello(ClientSession session, String client, String secret, long sinceMs) {}

  CommandHandler(
      final ClientRegistry clientRegistry,
      final LeaseClient leaseClient,
      final AddWinsSet subscriptions) {
    this.clientRegistry = clientRegistry;
    this.leaseClient = leaseClient;
    this.subscriptions = subscriptions;
  }

  void take(final ClientSession session, final CommandParser parser) {
    if (parser.is("PUB")) {
      publish(session, parser);
    } else if (parser.is("PING")) {
      session.plain("PONG");
    } else if (parser.is("SUB")) {
      subscribe(session, parser.text(1), parser.text(2), parser.text(3));
    } else if (parser.is("HELLO")) {
      hello(session, parser.text(1), parser.text(2));
    } else if (parser.is("UNSUB")) {
      unsubscribe(session, parser.text(1));
    } else if (parser.is("WHO")) {
      who(session, parser.text(1));
    } else {
      session.refuse(parser.text(0).isEmpty() ? "-" : parser.text(0), "", "", "BADMSG");
    }
  }

  private void hello(final ClientSession session, final String client, final String secret) {
    if (client.isEmpty() || session.greeted()) {
      session.refuse("HELLO", "", "", "BADMSG");
    } else if (able()) {
      greet(session, client, secret);
    } else {
      // Starting, or the lease is being renewed: served as soon as that is done, which takes
      // moments.
      waiting.add(new PendingHello(session, client, secret, clientRegistry.nowMs()));
    }
  }

  private boolean able() {
    return leaseClient.held() && subscriptions.self() != 0;
  }

  void look(final long nowMs) {
    if (waiting.isEmpty()) {
      return;
    }
    final List<PendingHello> asked = new ArrayList<>(waiting);
    waiting.clear();
    for (final PendingHello one : asked) {
      if (!one.session.connection.open() || one.session.greeted()) {
        continue;
      }
      if (able()) {
        greet(one.session, one.client, one.secret);
      } else if (nowMs - one.sinceMs > HELLO_TIMEOUT_MS) {
        one.session.refuse("HELLO", "", "", "RETRY");
      } else {
        waiting.add(one);
      }
    }
  }

  private void greet(final ClientSession session, final String client, final String secret) {
    if (!secret.isEmpty() && leaseClient.charter().tenantOfKey(secret) == null) {
      session.refuse("HELLO", "", "", "DENIED");
      return;
    }
    session.greetedMs = clientRegistry.nowMs();
    session.client = client;
    session.secret = secret;
    clientRegistry.greeted(session);
    session.ok("HELLO", "", "", "");
    clientRegistry.moveIfDraining(session);
  }

  /** Why this client may not use the topic right now, or null when it may. */
  String denial(final ClientSession session, final String topic) {
    if (!leaseClient.held() || subscriptions.self() == 0) {
      return "RETRY";
    }
    return charterDenial(leaseClient.charter(), session.secret, topic);
  }

  static String charterDenial(
      final Configuration configuration, final String secret, final String topic) {
    final Configuration.Route route = configuration.space(topic);
    // The key comes first: a key that was taken away opens nothing, not even what is public.
    if (!secret.isEmpty() && configuration.tenantOfKey(secret) == null) {
      return "DENIED";
    }
    if (route == null) {
      return "NOSPACE";
    }
    return secret.isEmpty() && !route.open() ? "DENIED" : null;
  }

  private void subscribe(
      final ClientSession session, final String topic, final String cursor, final String patterns) {
    if (topic.isEmpty() || !session.greeted()) {
      session.refuse("SUB", topic, "", "BADMSG");
      return;
    }
    final String denial = denial(session, topic);
    if (denial != null) {
      session.refuse("SUB", topic, "", denial);
      return;
    }
    final Filter filter;
    try {
      filter = patterns.isEmpty() ? null : Filter.read(patterns);
    } catch (final FilterException failure) {
      // A filter that is in force stays so.
      session.refuse("SUB", topic, "", failure.code() == FILTER_TOO_LARGE ? "TOOBIG" : "BADMSG");
      return;
    }
    final Subscription known = session.subs.get(topic);
    final long position = position(cursor);
    if (known != null) {
      clientRegistry.boarding().again(known, filter);
    } else if (session.subs.size() >= leaseClient.charter().subs()) {
      session.refuse("SUB", topic, "", "TOOBIG");
    } else if (position < -1) {
      session.refuse("SUB", topic, "", "EXPIRED");
    } else {
      final Configuration.Tenant tenant = leaseClient.charter().tenantOfKey(session.secret);
      clientRegistry
          .boarding()
          .join(
              new Subscription(
                  session,
                  topic,
                  leaseClient.charter().space(topic),
                  tenant == null ? "" : tenant.name(),
                  position,
                  filter,
                  clientRegistry.nowMs()));
    }
  }

  /** The index a cursor names, -1 for none, -2 for one this system never gave. */
  private static long position(final String cursor) {
    if (cursor.isEmpty()) {
      return -1;
    }
    if (cursor.length() > POSITION_CHARS
        || !cursor.chars().allMatch(one -> one >= '0' && one <= '9')) {
      return -2;
    }
    return Long.parseLong(cursor);
  }

  private void unsubscribe(final ClientSession session, final String topic) {
    if (topic.isEmpty() || !session.greeted()) {
      session.refuse("UNSUB", topic, "", "BADMSG");
      return;
    }
    clientRegistry.boarding().drop(session, topic);
    session.ok("UNSUB", topic, "", "");
  }

  private void who(final ClientSession session, final String topic) {
    final String denial = topic.isEmpty() || !session.greeted() ? "BADMSG" : denial(session, topic);
    if (denial != null) {
      session.refuse("WHO", topic, "", denial);
    } else {
      clientRegistry.count(session, topic);
    }
  }

  private void publish(final ClientSession session, final CommandParser parser) {
    final String topic = parser.text(1);
    final long number = parser.number(2);
    final boolean firstTry = session.firstTry(number);
    final String denial = topic.isEmpty() || !session.greeted() ? "BADMSG" : denial(session, topic);
    if (denial != null) {
      session.denied(
          leaseClient.charter() == null ? null : leaseClient.charter().space(topic),
          clientRegistry.nowMs());
      session.refuse(
          "PUB", topic, parser.text(2), denial.equals("RETRY") && !firstTry ? "UNKNOWN" : denial);
    } else {
      final Configuration.Tenant tenant = leaseClient.charter().tenantOfKey(session.secret);
      clientRegistry
          .shipping()
          .ship(
              session,
              topic,
              number,
              firstTry,
              tenant == null ? "" : tenant.name(),
              leaseClient.charter().space(topic),
              parser.bodyBytes());
    }
  }
}
