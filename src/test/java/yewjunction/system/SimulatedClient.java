package yewjunction.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A client that keeps to the protocol: resumes with its cursors, repeats its numbers, follows MOVE.
 */
final class SimulatedClient {
  final String name;
  final String zone;
  final Map<String, String> cursors = new TreeMap<>();
  final Map<String, String> filters = new TreeMap<>();
  final Map<Long, DeliveryChecker.Sent> open = new TreeMap<>();
  String key;

  /** Bytes that are added to each body. */
  int padding;

  private long stalledUntilMs;
  private final SimulatedCluster cluster;
  private final DeliveryChecker checker;
  private SimulatedClientConnection wire;
  private long numbers;
  private long heardMs;
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
  void hear(final SimulatedClientConnection from, final String text) {
    if (wire != from) {
      return;
    }
    heardMs = cluster.network.nowMs();
    for (final FrameSplitter.Frame frame : from.frames.feed(text)) {
      if (wire == from) {
        onFrame(frame.fields(), frame.body());
      }
    }
  }

  void closed(final SimulatedClientConnection gone) {
    if (wire == gone) {
      wire = null;
    }
  }

  /** How long it still reads nothing. */
  long stalledMs() {
    return Math.max(0, stalledUntilMs - cluster.network.nowMs());
  }

  String edge() {
    return wire == null ? null : wire.edge;
  }

  /** The client resets its own connection. */
  void cut() {
    if (wire != null) {
      final SimulatedClientConnection old = wire;
      wire = null;
      cluster.network.after(1, old::close);
    }
  }

  /** Closes its connection and stays away, with its cursors, until it returns. */
  void leave() {
    away = true;
    cut();
  }

  void comeBack() {
    away = false;
  }

  /** Reads nothing for a while; what comes piles up at the edge. */
  void stall(final long forMs) {
    stalledUntilMs = cluster.network.nowMs() + forMs;
  }

  void resetBy(final String edge) {
    if (wire != null && wire.edge.equals(edge)) {
      wire = null;
    }
  }

  private void check() {
    final long nowMs = cluster.network.nowMs();
    if (wire != null && nowMs - heardMs > 3_000) {
      cut();
    } else if (wire != null && nowMs - heardMs > 1_000) {
      wire.receive("PING\r\n");
    }
    if (wire == null && !away) {
      List<String> ready = cluster.readyEdges(zone);
      ready = ready.isEmpty() ? cluster.readyEdges(null) : ready;
      if (!ready.isEmpty()) {
        connect(ready.get(cluster.network.random.nextInt(ready.size())));
      }
    }
  }

  private void connect(final String edge) {
    wire = new SimulatedClientConnection(cluster, this, edge);
    greeted = false;
    heardMs = cluster.network.nowMs();
    wire.receive("HELLO " + name + " " + key + "\r\n");
  }

  void subscribe(final String topic) {
    cursors.putIfAbsent(topic, "");
    if (greeted && wire != null) {
      final String filter = filters.getOrDefault(topic, "");
      final String cursor =
          cursors.get(topic).isEmpty() && !filter.isEmpty() ? "-" : cursors.get(topic);
      wire.receive(("SUB " + topic + " " + cursor + " " + filter).trim() + "\r\n");
    }
  }

  /** Another filter from now on; an open subscription changes it where it stands. */
  void filter(final String topic, final String filter) {
    filters.put(topic, filter);
    subscribe(topic);
  }

  DeliveryChecker.Sent publish(final String topic) {
    final long number = ++numbers;
    final DeliveryChecker.Sent sent =
        checker.sent(name, topic, number, cluster.network.nowMs(), padding);
    open.put(number, sent);
    if (greeted && wire != null) {
      send(sent);
    }
    return sent;
  }

  private void send(final DeliveryChecker.Sent sent) {
    sent.tries++;
    sent.lastSentMs = cluster.network.nowMs();
    wire.receive(
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
          new ArrayList<>(open.values()).forEach(this::send);
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
        final DeliveryChecker.Sent sent = open.remove(Long.parseLong(fields[2]));
        if (sent != null) {
          checker.acknowledged(sent);
        }
      }
      case "REFUSE" -> refused(fields);
      case "MOVE" -> {
        cut();
        connect(fields[1].substring(0, fields[1].indexOf(':')) + ":" + SimulatedCluster.PORT);
      }
      default -> {}
    }
  }

  private void refused(final String[] fields) {
    if (fields[1].equals("PUB")) {
      final long number = Long.parseLong(fields[3]);
      if (fields[4].equals("RETRY")) {
        final DeliveryChecker.Sent sent = open.remove(number);
        if (sent != null) {
          sent.denied = true;
          sent.deniedMs = cluster.network.nowMs();
        }
      } else if (fields[4].equals("NOSPACE")) {
        // No promise, and no use in saying it again: it may have been accepted or not.
        open.remove(number);
      } else if (open.containsKey(number) && wire != null) {
        send(open.get(number));
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
      cut();
    }
  }
}
