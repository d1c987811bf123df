package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_CLIENT_QUEUE_BYTES;
import static yewjunction.limits.OrderingLimits.REFUSAL_ROUND_TRIP_MS;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import yewjunction.common.LogEvent;
import yewjunction.control.Configuration;
import yewjunction.store.StoredMessage;
import yewjunction.transport.ClientConnection;
import yewjunction.transport.WriteBuffer;

/**
 * One client's connection: what it has said, what it subscribes to, and how responses are written
 * to it. The protocol is that of docs/design.md; all calls on the agent's thread.
 */
final class ClientSession implements ClientConnection.Handler {
  private static final byte[] LINE_END = {'\r', '\n'};
  final ClientConnection connection;
  final Map<String, Subscription> subscriptions = new LinkedHashMap<>();

  /** The last check before a message is written. */
  final OrderingGuard guard = new OrderingGuard();

  /** When a message of this client to a route was last refused. */
  private final Map<String, Long> refusedMs = new HashMap<>(2);

  private final ClientRegistry clientRegistry;
  private final CommandParser parser = new CommandParser();
  String client = "";
  String secret = "";
  long lastReceivedMs;
  long helloMs;

  /** When the newest SUB was read. */
  long subscribedMs;

  int publishesInFlight;
  boolean moved;

  ClientSession(
      final ClientRegistry clientRegistry, final ClientConnection connection, final long nowMs) {
    this.clientRegistry = clientRegistry;
    this.connection = connection;
    lastReceivedMs = nowMs;
  }

  void onRefused(final Configuration.Route route, final long nowMs) {
    if (route != null) {
      refusedMs.put(route.name(), nowMs);
    }
  }

  /**
   * Whether a message was most likely sent before its sender heard that an earlier one, which it
   * follows, was refused.
   */
  boolean followsRefused(final Configuration.Route route, final long nowMs) {
    return route.after().stream()
        .anyMatch(
            earlier ->
                nowMs - refusedMs.getOrDefault(earlier, Long.MIN_VALUE / 2)
                    < REFUSAL_ROUND_TRIP_MS);
  }

  boolean isGreeted() {
    return !client.isEmpty();
  }

  @Override
  public int onReceived(final byte[] bytes, final int length) {
    lastReceivedMs = clientRegistry.nowMs();
    int at = 0;
    while (at < length && connection.isOpen()) {
      final CommandParser.Result state = parser.wrap(bytes, at, length);
      if (state == CommandParser.Result.INCOMPLETE) {
        break;
      }
      if (state == CommandParser.Result.UNRECOVERABLE) {
        onProtocolError(RefuseReason.BADMSG);
        return length;
      }
      if (state == CommandParser.Result.COMPLETE) {
        clientRegistry.commandHandler().handle(this, parser);
      } else {
        sendRefuse(
            ClientCommand.PUB,
            parser.text(1),
            parser.count() > 3 ? parser.text(2) : "",
            state == CommandParser.Result.INVALID ? RefuseReason.BADMSG : RefuseReason.TOOBIG);
        if (parser.bodyUnread()) {
          connection.closeAfterFlush();
          return length;
        }
      }
      at = parser.end();
    }
    return at;
  }

  private void onProtocolError(final RefuseReason reason) {
    LogEvent.CLIENT_PROTOCOL_ERROR.info(client);
    // The command can be named only if it was received whole.
    if (parser.count() > 0 && !parser.text(0).isEmpty()) {
      sendRefuse(parser.text(0), "", "", reason);
    }
    connection.closeAfterFlush();
  }

  @Override
  public void onClosed() {
    clientRegistry.onSessionClosed(this);
  }

  private static void putField(final WriteBuffer out, final String text) {
    out.putAscii(" ");
    out.putAscii(text.isEmpty() ? "-" : text);
  }

  private void endLine(final WriteBuffer out) {
    out.put(LINE_END, 0, 2);
    // A client that reads slowly is closed; it resumes by its cursors.
    if (connection.queuedBytes() > MAX_CLIENT_QUEUE_BYTES) {
      LogEvent.CLIENT_SLOW.info(client);
      connection.close();
    }
  }

  /** Fields at the end that are empty are left out. */
  void sendOk(
      final ClientCommand about, final String topic, final String position, final String filter) {
    final WriteBuffer out = connection.out();
    out.putAscii("OK ");
    out.putAscii(about.name());
    if (!topic.isEmpty()) {
      putField(out, topic);
    }
    if (!position.isEmpty()) {
      putField(out, position);
    }
    if (!filter.isEmpty()) {
      putField(out, filter);
    }
    endLine(out);
  }

  void sendRefuse(
      final ClientCommand about,
      final String topic,
      final String number,
      final RefuseReason reason) {
    sendRefuse(about.name(), topic, number, reason);
  }

  /** Refuses what came under a word that may be no command. */
  void sendRefuse(
      final String about, final String topic, final String number, final RefuseReason reason) {
    final WriteBuffer out = connection.out();
    out.putAscii("REFUSE ");
    out.putAscii(about);
    putField(out, topic);
    putField(out, number);
    putField(out, reason.name());
    endLine(out);
  }

  void sendAck(final String topic, final long number) {
    sendNumber("ACK ", topic, number);
  }

  void sendCount(final String topic, final int number) {
    sendNumber("COUNT ", topic, number);
  }

  private void sendNumber(final String word, final String topic, final long number) {
    final WriteBuffer out = connection.out();
    out.putAscii(word);
    out.putAscii(topic);
    out.putAscii(" ");
    out.putNumber(number);
    endLine(out);
  }

  void sendLine(final String text) {
    final WriteBuffer out = connection.out();
    out.putAscii(text);
    endLine(out);
  }

  void sendMessage(final StoredMessage message) {
    final String violation = guard.violation(message, clientRegistry.nowMs());
    if (violation != null) {
      // Never written out of order: the client's cursors decide what it gets when it comes back.
      clientRegistry.violations().onViolation(message.topic, client, violation);
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
    out.putNumber(message.sequenceNumber);
    out.putAscii(" ");
    out.putNumber(message.body.length);
    out.put(LINE_END, 0, 2);
    out.put(message.body, 0, message.body.length);
    endLine(out);
  }
}
