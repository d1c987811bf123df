package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_CLIENT_QUEUE_BYTES;
import static yewjunction.limits.ClientLimits.RESENT_AFTER_HELLO_MS;
import static yewjunction.limits.OrderingLimits.REFUSAL_ROUND_TRIP_MS;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import yewjunction.common.LogEvent;
import yewjunction.control.Configuration;
import yewjunction.store.StoredMessage;
import yewjunction.transport.ClientConnection;
import yewjunction.transport.WriteBuffer;

/** One client's link: what it has said, what it subscribes, and how answers are written to it. */
final class ClientSession implements ClientConnection.Handler {
  private static final byte[] END = {'\r', '\n'};
  final ClientConnection connection;
  final Map<String, Subscription> subs = new LinkedHashMap<>();

  /** Looks at each message once more before it is written. */
  final OrderingGuard guard = new OrderingGuard();

  /** When this client's messages to a space were last not accepted. */
  private final Map<String, Long> deniedMs = new HashMap<>(2);

  private final ClientRegistry clientRegistry;
  private final CommandParser parser = new CommandParser();
  String client = "";
  String secret = "";
  long heardMs;
  long greetedMs;

  /** When the newest SUB was read. */
  long subscribedMs;

  private long highestNumber = -1;
  int underWay;
  boolean moved;

  ClientSession(
      final ClientRegistry clientRegistry, final ClientConnection connection, final long nowMs) {
    this.clientRegistry = clientRegistry;
    this.connection = connection;
    heardMs = nowMs;
  }

  /**
   * What may be said of a number that is not sent on. RETRY promises that it never was nor will be:
   * true only of a number's first try. A client brings what it sent on other links right after its
   * greeting, and numbers only rise.
   */
  boolean firstTry(final long number) {
    final boolean first =
        number > highestNumber && clientRegistry.nowMs() - greetedMs > RESENT_AFTER_HELLO_MS;
    highestNumber = Math.max(highestNumber, number);
    return first;
  }

  void denied(final Configuration.Route route, final long nowMs) {
    if (route != null) {
      deniedMs.put(route.name(), nowMs);
    }
  }

  /**
   * A message of this space was sent, most likely, before its sender heard that one it is to follow
   * was not accepted.
   */
  boolean bereft(final Configuration.Route route, final long nowMs) {
    return route.after().stream()
        .anyMatch(
            earlier ->
                nowMs - deniedMs.getOrDefault(earlier, Long.MIN_VALUE / 2) < REFUSAL_ROUND_TRIP_MS);
  }

  boolean greeted() {
    return !client.isEmpty();
  }

  @Override
  public int take(final byte[] bytes, final int length) {
    heardMs = clientRegistry.nowMs();
    int at = 0;
    while (at < length && connection.open()) {
      final int state = parser.wrap(bytes, at, length);
      if (state == CommandParser.MORE) {
        break;
      }
      if (state == CommandParser.LOST) {
        lost("BADMSG");
        return length;
      }
      if (state == CommandParser.GOOD) {
        clientRegistry.requests().take(this, parser);
      } else {
        refuse(
            "PUB",
            parser.text(1),
            parser.count() > 3 ? parser.text(2) : "",
            state == CommandParser.BAD ? "BADMSG" : "TOOBIG");
        if (parser.bodyUnread()) {
          connection.closeSoon();
          return length;
        }
      }
      at = parser.end();
    }
    return at;
  }

  private void lost(final String reason) {
    LogEvent.CLIENT_GARBLED.info(client);
    // The word can be told only when it stands there whole.
    if (parser.count() > 0 && !parser.text(0).isEmpty()) {
      refuse(parser.text(0), "", "", reason);
    }
    connection.closeSoon();
  }

  @Override
  public void closed() {
    clientRegistry.gone(this);
  }

  private static void field(final WriteBuffer out, final String text) {
    out.putAscii(" ");
    out.putAscii(text.isEmpty() ? "-" : text);
  }

  private void done(final WriteBuffer out) {
    out.put(END, 0, 2);
    // A client that reads slowly is cut; it takes up its cursors when it comes back.
    if (connection.waiting() > MAX_CLIENT_QUEUE_BYTES) {
      LogEvent.CLIENT_SLOW.info(client);
      connection.close();
    }
  }

  /** Fields at the end that are empty are left out. */
  void ok(final String about, final String topic, final String position, final String filter) {
    final WriteBuffer out = connection.out();
    out.putAscii("OK ");
    out.putAscii(about);
    if (!topic.isEmpty()) {
      field(out, topic);
    }
    if (!position.isEmpty()) {
      field(out, position);
    }
    if (!filter.isEmpty()) {
      field(out, filter);
    }
    done(out);
  }

  void refuse(final String about, final String topic, final String number, final String reason) {
    final WriteBuffer out = connection.out();
    out.putAscii("REFUSE ");
    out.putAscii(about);
    field(out, topic);
    field(out, number);
    field(out, reason);
    done(out);
  }

  void ack(final String topic, final long number) {
    final WriteBuffer out = connection.out();
    out.putAscii("ACK ");
    out.putAscii(topic);
    out.putAscii(" ");
    out.putNumber(number);
    done(out);
  }

  void count(final String topic, final int number) {
    final WriteBuffer out = connection.out();
    out.putAscii("COUNT ");
    out.putAscii(topic);
    out.putAscii(" ");
    out.putNumber(number);
    done(out);
  }

  void plain(final String text) {
    final WriteBuffer out = connection.out();
    out.putAscii(text);
    done(out);
  }

  void message(final StoredMessage message) {
    final String breach = guard.breach(message, clientRegistry.nowMs());
    if (breach != null) {
      // Never written out of place: the client's cursor decides what it gets when it comes back.
      clientRegistry.disorders().broken(message.topic, client, breach);
      connection.close();
      return;
    }
    final WriteBuffer out = connection.out();
    out.putAscii("MSG ");
    out.putAscii(message.topic);
    out.putAscii(" ");
    out.putNumber(message.index);
    out.putAscii(" ");
    out.putAscii(message.client);
    out.putAscii(" ");
    out.putNumber(message.number);
    out.putAscii(" ");
    out.putNumber(message.body.length);
    out.put(END, 0, 2);
    out.put(message.body, 0, message.body.length);
    done(out);
  }
}
