package yewjunction.gateway;

import static yewjunction.common.ErrorCode.FILTER_TOO_LARGE;
import static yewjunction.common.Limits.HELLO_ANSWER_MS;

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
  private final ClientRegistry dock;
  private final LeaseClient tenure;
  private final AddWinsSet weave;

  /** A HELLO that this edge can't answer yet. */
  private record PendingHello(ClientSession berth, String client, String secret, long sinceMs) {}

  CommandHandler(final ClientRegistry dock, final LeaseClient tenure, final AddWinsSet weave) {
    this.dock = dock;
    this.tenure = tenure;
    this.weave = weave;
  }

  void take(final ClientSession berth, final CommandParser words) {
    if (words.is("PUB")) {
      publish(berth, words);
    } else if (words.is("PING")) {
      berth.plain("PONG");
    } else if (words.is("SUB")) {
      subscribe(berth, words.text(1), words.text(2), words.text(3));
    } else if (words.is("HELLO")) {
      hello(berth, words.text(1), words.text(2));
    } else if (words.is("UNSUB")) {
      unsubscribe(berth, words.text(1));
    } else if (words.is("WHO")) {
      who(berth, words.text(1));
    } else {
      berth.refuse(words.text(0).isEmpty() ? "-" : words.text(0), "", "", "BADMSG");
    }
  }

  private void hello(final ClientSession berth, final String client, final String secret) {
    if (client.isEmpty() || berth.greeted()) {
      berth.refuse("HELLO", "", "", "BADMSG");
    } else if (able()) {
      greet(berth, client, secret);
    } else {
      // Starting, or the lease is being renewed: served as soon as that is done, which takes
      // moments.
      waiting.add(new PendingHello(berth, client, secret, dock.nowMs()));
    }
  }

  private boolean able() {
    return tenure.held() && weave.self() != 0;
  }

  void look(final long nowMs) {
    if (waiting.isEmpty()) {
      return;
    }
    final List<PendingHello> asked = new ArrayList<>(waiting);
    waiting.clear();
    for (final PendingHello one : asked) {
      if (!one.berth.line.open() || one.berth.greeted()) {
        continue;
      }
      if (able()) {
        greet(one.berth, one.client, one.secret);
      } else if (nowMs - one.sinceMs > HELLO_ANSWER_MS) {
        one.berth.refuse("HELLO", "", "", "RETRY");
      } else {
        waiting.add(one);
      }
    }
  }

  private void greet(final ClientSession berth, final String client, final String secret) {
    if (!secret.isEmpty() && tenure.charter().tenantOfKey(secret) == null) {
      berth.refuse("HELLO", "", "", "DENIED");
      return;
    }
    berth.greetedMs = dock.nowMs();
    berth.client = client;
    berth.secret = secret;
    dock.greeted(berth);
    berth.ok("HELLO", "", "", "");
    dock.moveIfDraining(berth);
  }

  /** Why this client may not use the topic right now, or null when it may. */
  String denial(final ClientSession berth, final String topic) {
    if (!tenure.held() || weave.self() == 0) {
      return "RETRY";
    }
    return charterDenial(tenure.charter(), berth.secret, topic);
  }

  static String charterDenial(
      final Configuration charter, final String secret, final String topic) {
    final Configuration.Route space = charter.space(topic);
    // The key comes first: a key that was taken away opens nothing, not even what is public.
    if (!secret.isEmpty() && charter.tenantOfKey(secret) == null) {
      return "DENIED";
    }
    if (space == null) {
      return "NOSPACE";
    }
    return secret.isEmpty() && !space.open() ? "DENIED" : null;
  }

  private void subscribe(
      final ClientSession berth, final String topic, final String cursor, final String patterns) {
    if (topic.isEmpty() || !berth.greeted()) {
      berth.refuse("SUB", topic, "", "BADMSG");
      return;
    }
    final String denial = denial(berth, topic);
    if (denial != null) {
      berth.refuse("SUB", topic, "", denial);
      return;
    }
    final Filter filter;
    try {
      filter = patterns.isEmpty() ? null : Filter.read(patterns);
    } catch (final FilterException defect) {
      // A filter that is in force stays so.
      berth.refuse("SUB", topic, "", defect.code() == FILTER_TOO_LARGE ? "TOOBIG" : "BADMSG");
      return;
    }
    final Subscription known = berth.subs.get(topic);
    final long position = position(cursor);
    if (known != null) {
      dock.boarding().again(known, filter);
    } else if (berth.subs.size() >= tenure.charter().subs()) {
      berth.refuse("SUB", topic, "", "TOOBIG");
    } else if (position < -1) {
      berth.refuse("SUB", topic, "", "EXPIRED");
    } else {
      final Configuration.Tenant tenant = tenure.charter().tenantOfKey(berth.secret);
      dock.boarding()
          .join(
              new Subscription(
                  berth,
                  topic,
                  tenure.charter().space(topic),
                  tenant == null ? "" : tenant.name(),
                  position,
                  filter,
                  dock.nowMs()));
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

  private void unsubscribe(final ClientSession berth, final String topic) {
    if (topic.isEmpty() || !berth.greeted()) {
      berth.refuse("UNSUB", topic, "", "BADMSG");
      return;
    }
    dock.boarding().drop(berth, topic);
    berth.ok("UNSUB", topic, "", "");
  }

  private void who(final ClientSession berth, final String topic) {
    final String denial = topic.isEmpty() || !berth.greeted() ? "BADMSG" : denial(berth, topic);
    if (denial != null) {
      berth.refuse("WHO", topic, "", denial);
    } else {
      dock.count(berth, topic);
    }
  }

  private void publish(final ClientSession berth, final CommandParser words) {
    final String topic = words.text(1);
    final long number = words.number(2);
    final boolean firstTry = berth.firstTry(number);
    final String denial = topic.isEmpty() || !berth.greeted() ? "BADMSG" : denial(berth, topic);
    if (denial != null) {
      berth.denied(tenure.charter() == null ? null : tenure.charter().space(topic), dock.nowMs());
      berth.refuse(
          "PUB", topic, words.text(2), denial.equals("RETRY") && !firstTry ? "UNKNOWN" : denial);
    } else {
      final Configuration.Tenant tenant = tenure.charter().tenantOfKey(berth.secret);
      dock.shipping()
          .ship(
              berth,
              topic,
              number,
              firstTry,
              tenant == null ? "" : tenant.name(),
              tenure.charter().space(topic),
              words.bodyBytes());
    }
  }
}
