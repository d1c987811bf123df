package yewjunction.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A client that keeps to the protocol: resumes with its cursors, sends unanswered messages again,
 * follows MOVE.
 */
final class SimulatedClient {
  final String name;
  final String zone;
  final Map<String, String> cursors = new TreeMap<>();
  final Map<String, String> filters = new TreeMap<>();
  final Map<Long, DeliveryChecker.Sent> unanswered = new TreeMap<>();
  String key;

  /** Bytes that are added to each body. */
  int padding;

  private long readingPausedUntilMs;
  private final SimulatedCluster cluster;
  private final DeliveryChecker checker;
  private SimulatedClientConnection connection;
  private long newestNumber;
  private long lastReceivedMs;
  private boolean greeted;
  private boolean away;

  SimulatedClient(
      final SimulatedCluster cluster,
      final DeliveryChecker checker,
      final String name,
      final String zone,
      final String key) {
    this.cluster = cluster;
    this.checker = checker;
    this.name = name;
    this.zone = zone;
    this.key = key;
    cluster.clients.add(this);
    cluster.network.every(200, this::check);
  }

  /** What the edge has written arrives, unless the client has another connection by now. */
  void onReceived(final SimulatedClientConnection from, final String text) {
    if (connection != from) {
      return;
    }
    lastReceivedMs = cluster.network.nowMs();
    for (final FrameSplitter.Frame frame : from.frames.feed(text)) {
      if (connection == from) {
        onFrame(frame.fields(), frame.body());
      }
    }
  }

  void onConnectionClosed(final SimulatedClientConnection closed) {
    if (connection == closed) {
      connection = null;
    }
  }

  /** How long it still reads nothing. */
  long readingPausedMs() {
    return Math.max(0, readingPausedUntilMs - cluster.network.nowMs());
  }

  /** Whether its edge has answered HELLO. */
  boolean isGreeted() {
    return connection != null && greeted;
  }

  /** How often the newest message that has no answer was sent, 0 without one. */
  int timesSent() {
    return unanswered.values().stream()
        .reduce((one, later) -> later)
        .map(sent -> sent.tries)
        .orElse(0);
  }

  String edge() {
    return connection == null ? null : connection.edge;
  }

  /** The client resets its own connection. */
  void resetConnection() {
    if (connection != null) {
      final SimulatedClientConnection old = connection;
      connection = null;
      cluster.network.after(1, old::close);
    }
  }

  /** Closes its connection and stays away, with its cursors, until it returns. */
  void leave() {
    away = true;
    resetConnection();
  }

  void comeBack() {
    away = false;
  }

  /** Reads nothing for a while; what comes piles up at the edge. */
  void pauseReading(final long forMs) {
    readingPausedUntilMs = cluster.network.nowMs() + forMs;
  }

  void onEdgeGone(final String edge) {
    if (connection != null && connection.edge.equals(edge)) {
      connection = null;
    }
  }

  private void check() {
    final long nowMs = cluster.network.nowMs();
    if (connection != null && nowMs - lastReceivedMs > 3_000) {
      resetConnection();
    } else if (connection != null && nowMs - lastReceivedMs > 1_000) {
      connection.receive("PING\r\n");
    }
    if (connection == null && !away) {
      List<String> ready = cluster.readyEdges(zone);
      ready = ready.isEmpty() ? cluster.readyEdges(null) : ready;
      if (!ready.isEmpty()) {
        connect(ready.get(cluster.network.random.nextInt(ready.size())));
      }
    }
  }

  private void connect(final String edge) {
    connection = new SimulatedClientConnection(cluster, this, edge);
    greeted = false;
    lastReceivedMs = cluster.network.nowMs();
    connection.receive("HELLO " + name + " " + key + "\r\n");
  }

  void subscribe(final String topic) {
    cursors.putIfAbsent(topic, "");
    if (greeted && connection != null) {
      final String filter = filters.getOrDefault(topic, "");
      final String cursor =
          cursors.get(topic).isEmpty() && !filter.isEmpty() ? "-" : cursors.get(topic);
      connection.receive(("SUB " + topic + " " + cursor + " " + filter).trim() + "\r\n");
    }
  }

  /** Another filter from now on; an open subscription changes it where it stands. */
  void filter(final String topic, final String filter) {
    filters.put(topic, filter);
    subscribe(topic);
  }

  DeliveryChecker.Sent publish(final String topic) {
    final long number = ++newestNumber;
    final DeliveryChecker.Sent sent =
        checker.sent(name, topic, number, cluster.network.nowMs(), padding);
    unanswered.put(number, sent);
    if (greeted && connection != null) {
      send(sent);
    }
    return sent;
  }

  private void send(final DeliveryChecker.Sent sent) {
    sent.tries++;
    sent.lastSentMs = cluster.network.nowMs();
    connection.receive(
        "PUB "
            + sent.topic
            + " "
            + sent.number
            + " "
            + sent.body.length()
            + "\r\n"
            + sent.body
            + "\r\n");
  }

  private void onFrame(final String[] fields, final String body) {
    switch (fields[0]) {
      case "OK" -> {
        if (fields[1].equals("HELLO")) {
          greeted = true;
          new ArrayList<>(cursors.keySet()).forEach(this::subscribe);
          new ArrayList<>(unanswered.values()).forEach(this::send);
        } else if (fields[1].equals("SUB")) {
          cursors.put(fields[2], fields[3]);
          if (fields.length > 4) {
            checker.filtered(name, fields[2], Long.parseLong(fields[3]), fields[4]);
          }
          checker.subscribed(name, fields[2], cluster.network.nowMs());
        }
      }
      case "MSG" -> {
        checker.received(
            name, fields[1], Long.parseLong(fields[2]), fields[3], Long.parseLong(fields[4]), body);
        cursors.put(fields[1], fields[2]);
      }
      case "ACK" -> {
        final DeliveryChecker.Sent sent = unanswered.remove(Long.parseLong(fields[2]));
        if (sent != null) {
          checker.acknowledged(sent);
        }
      }
      case "REFUSE" -> refused(fields);
      case "MOVE" -> {
        resetConnection();
        connect(fields[1].substring(0, fields[1].indexOf(':')) + ":" + SimulatedCluster.PORT);
      }
      default -> {}
    }
  }

  private void refused(final String[] fields) {
    if (fields[1].equals("PUB")) {
      final long number = Long.parseLong(fields[3]);
      if (fields[4].equals("RETRY")) {
        final DeliveryChecker.Sent sent = unanswered.remove(number);
        if (sent != null) {
          sent.denied = true;
          sent.deniedMs = cluster.network.nowMs();
        }
      } else if (fields[4].equals("NOSPACE")) {
        // No promise, and no use in saying it again: it may have been accepted or not.
        unanswered.remove(number);
      } else if (unanswered.containsKey(number) && connection != null) {
        send(unanswered.get(number));
      }
    } else if (fields[1].equals("SUB")) {
      checker.refused(name, fields[2], fields[4], cluster.network.nowMs());
      if (cursors.containsKey(fields[2]) && fields[4].equals("RETRY")) {
        cluster.network.after(300, () -> subscribe(fields[2]));
      }
    } else {
      if (fields[4].equals("DENIED")) {
        checker.revoked.add(name + " HELLO");
      }
      resetConnection();
    }
  }
}
