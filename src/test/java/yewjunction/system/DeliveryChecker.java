package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Holds what clients saw against the rules. */
final class DeliveryChecker {
  private final Map<String, Sent> sent = new HashMap<>();

  /** What one subscriber has been delivered, in order. */
  private final Map<String, Reading> readings = new HashMap<>();

  private final Map<String, String> atPosition = new HashMap<>();

  /** One delivery: to whom, sent when, come when. */
  record Arrival(String client, long sentMs, long atMs) {}

  final List<Arrival> arrivals = new ArrayList<>();
  LongSupplier clock = () -> 0;
  private final Map<String, Long> positions = new HashMap<>();
  int owed;
  final List<String> expired = new ArrayList<>();
  final List<String> revoked = new ArrayList<>();
  final Map<String, Long> newestDelivered = new HashMap<>();
  int deliveries;
  int acks;

  /** Of all that was acknowledged, when the newest was first sent. */
  long newestAckedMs;

  /** All that clients saw, in the order in which each of them saw it. */
  final List<Delivery> allDeliveries = new ArrayList<>();

  /** One message as one client saw it. */
  record Delivery(String client, String topic, long position, String sender, long number) {}

  /** One message under one number. */
  static final class Sent {
    String client;
    String topic;
    long number;
    String body;
    long firstMs;
    int tries;
    boolean acked;
    boolean denied;
    long deniedMs;

    /** When it was last said, on which connection. */
    long lastSentMs;
  }

  /** One subscription. */
  private static final class Reading {
    long subscribedMs = -1;
    long untilMs = Long.MAX_VALUE;
    long lastPosition = -1;
    final Set<String> bodies = new HashSet<>();
    final Map<String, Long> lastNumbers = new HashMap<>();

    /** From each position on, which filter judges; nothing for a subscription that has none. */
    final TreeMap<Long, String> filters = new TreeMap<>();

    /** The reference for filters: every pattern tried, on the first word. */
    boolean wants(final long position, final String body) {
      final Map.Entry<Long, String> inForce = filters.lowerEntry(position);
      if (inForce == null) {
        return true;
      }
      final String key = body.substring(0, body.indexOf(' '));
      for (final String pattern : inForce.getValue().split(",")) {
        if (pattern.endsWith("*")
            ? key.startsWith(pattern.substring(0, pattern.length() - 1))
            : key.equals(pattern)) {
          return true;
        }
      }
      return false;
    }
  }

  void acknowledged(final Sent one) {
    one.acked = true;
    acks++;
    newestAckedMs = Math.max(newestAckedMs, one.firstMs);
  }

  /** A client was told that a filter is in force behind a position. */
  void filtered(final String client, final String topic, final long position, final String filter) {
    reading(client, topic).filters.put(position, filter);
  }

  Sent sent(
      final String client,
      final String topic,
      final long number,
      final long nowMs,
      final int padding) {
    final Sent one = new Sent();
    one.client = client;
    one.topic = topic;
    one.number = number;
    one.firstMs = nowMs;
    one.body =
        String.format("key-%d %s/%s/%d/xxxxxxxxxxxxxxxxxxxx", number % 7, client, topic, number)
            + "x".repeat(padding);
    sent.put(one.body, one);
    return one;
  }

  private Reading reading(final String client, final String topic) {
    return readings.computeIfAbsent(client + " " + topic, key -> new Reading());
  }

  void subscribed(final String client, final String topic, final long nowMs) {
    final Reading reading = reading(client, topic);
    if (reading.subscribedMs < 0) {
      reading.subscribedMs = nowMs;
    }
  }

  void refused(final String client, final String topic, final String reason, final long nowMs) {
    if (reason.equals("EXPIRED")) {
      expired.add(client + " " + topic);
    } else if (!reason.equals("RETRY")) {
      revoked.add(client + " " + topic + " " + reason);
      reading(client, topic).untilMs = nowMs;
    }
  }

  /** What was refused was a change, not the subscription. */
  void reopen(final String client, final String topic) {
    reading(client, topic).untilMs = Long.MAX_VALUE;
  }

  void received(
      final String client,
      final String topic,
      final long position,
      final String sender,
      final long number,
      final String body) {
    deliveries++;
    allDeliveries.add(new Delivery(client, topic, position, sender, number));
    final Sent one = sent.get(body);
    assertNotNull(one, "a message that nobody sent: " + body);
    arrivals.add(new Arrival(client, one.firstMs, clock.getAsLong()));
    newestDelivered.merge(client, one.firstMs, Math::max);
    assertEquals(
        one.client + " " + one.topic + " " + one.number, sender + " " + topic + " " + number);
    assertFalse(one.denied, "delivered though denied: " + body);
    final Reading reading = reading(client, topic);
    assertTrue(
        reading.wants(position, body),
        client
            + " got what its filter leaves out: "
            + body
            + " at "
            + position
            + " "
            + reading.filters);
    assertTrue(reading.subscribedMs >= 0, "delivered before the answer to SUB");
    assertTrue(reading.bodies.add(body), client + " got twice: " + body);
    assertTrue(
        position > reading.lastPosition,
        client + " " + topic + ": " + position + " after " + reading.lastPosition);
    reading.lastPosition = position;
    final Long last = reading.lastNumbers.put(sender, number);
    assertTrue(last == null || last < number, "out of the sender's order: " + body);
    final String known = atPosition.putIfAbsent(topic + " " + position, body);
    assertTrue(known == null || known.equals(body), "two messages at one position");
    positions.put(body, position);
  }

  /** All that was acknowledged and owed has come; nothing that was denied has. */
  void settle() {
    int acked = 0;
    for (final Sent one : sent.values()) {
      acked += one.acked ? 1 : 0;
      for (final Map.Entry<String, Reading> entry : readings.entrySet()) {
        final String topic = entry.getKey().substring(entry.getKey().indexOf(' ') + 1);
        final Reading reading = entry.getValue();
        if (one.acked
            && topic.equals(one.topic)
            && reading.subscribedMs >= 0
            && one.firstMs > reading.subscribedMs
            && reading.untilMs == Long.MAX_VALUE
            && (reading.filters.isEmpty() || reading.wants(positions.get(one.body), one.body))) {
          owed++;
          assertTrue(
              reading.bodies.contains(one.body),
              entry.getKey() + " lacks " + one.body + " sent at " + one.firstMs);
        }
        assertFalse(
            one.denied && reading.bodies.contains(one.body), "denied and delivered: " + one.body);
      }
    }
    assertTrue(acked > 0 && deliveries > 0, "nothing was served");
  }

  long ackedCount() {
    return sent.values().stream().filter(one -> one.acked).count();
  }

  /** Acknowledged messages first sent in a span. */
  long ackedBetween(final long fromMs, final long toMs) {
    return sent.values().stream()
        .filter(one -> one.acked && one.firstMs >= fromMs && one.firstMs < toMs)
        .count();
  }
}
