package yewjunction.subscription;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The set against a reference that keeps whole histories: an element is there when some add was
 * seen by no remove.
 */
class AddWinsSetTest {
  private static final List<String> TOPICS = List.of("t1", "t2", "t3");
  private static final List<String> CLIENTS = List.of("c1", "c2");

  /** One operation and all that its replica had seen before it. */
  private record Operation(boolean add, String topic, String client, Set<Operation> seen) {
    @Override
    public boolean equals(final Object other) {
      return this == other;
    }

    @Override
    public int hashCode() {
      return System.identityHashCode(this);
    }
  }

  private record Copy(byte[] state, Set<Operation> history) {}

  private static final class Pair {
    final AddWinsSet subscriptions = new AddWinsSet();
    final Set<Operation> history = new HashSet<>();

    Pair(final long name) {
      subscriptions.self(name);
    }

    void act(final boolean add, final String topic, final String client) {
      if (add) {
        subscriptions.add(topic, client);
      } else {
        subscriptions.remove(topic, client);
      }
      history.add(new Operation(add, topic, client, Set.copyOf(history)));
    }

    boolean expected(final String topic, final String client) {
      for (final Operation add : history) {
        if (add.add
            && add.topic.equals(topic)
            && add.client.equals(client)
            && history.stream()
                .noneMatch(
                    remove ->
                        !remove.add
                            && remove.topic.equals(topic)
                            && remove.client.equals(client)
                            && remove.seen.contains(add))) {
          return true;
        }
      }
      return false;
    }

    void check(final String when) {
      for (final String topic : TOPICS) {
        int count = 0;
        for (final String client : CLIENTS) {
          final boolean there = expected(topic, client);
          boolean active = false;
          for (long replica = 1; replica <= 4; replica++) {
            active |= subscriptions.instance(topic, client, replica) > 0;
          }
          assertEquals(there, active, when + " " + topic + " " + client);
          count += there ? 1 : 0;
        }
        assertEquals(count, subscriptions.count(topic, replica -> true), when);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void agreesWithWholeHistoriesUnderLossReorderingAndDoubling(final long seed) {
    final Random random = new Random(seed);
    final List<Pair> pairs = new ArrayList<>();
    for (long name = 1; name <= 4; name++) {
      pairs.add(new Pair(name));
    }
    final List<Copy> onTheWay = new ArrayList<>();
    for (int step = 0; step < 160; step++) {
      final Pair pair = pairs.get(random.nextInt(4));
      switch (random.nextInt(5)) {
        case 0, 1 ->
            pair.act(
                random.nextInt(3) > 0,
                TOPICS.get(random.nextInt(3)),
                CLIENTS.get(random.nextInt(2)));
        case 2 ->
            onTheWay.add(new Copy(pair.subscriptions.encodeStates(), Set.copyOf(pair.history)));
        default -> {
          if (!onTheWay.isEmpty()) {
            // Any old state may arrive, again and again, and some never do.
            final Copy copy = onTheWay.get(random.nextInt(onTheWay.size()));
            pair.subscriptions.merge(copy.state);
            pair.history.addAll(copy.history);
          }
        }
      }
      pair.check("seed " + seed + " step " + step);
    }
    // Everyone hears everyone in the end: all read the same.
    for (int round = 0; round < 2; round++) {
      for (final Pair from : pairs) {
        for (final Pair to : pairs) {
          to.subscriptions.merge(from.subscriptions.encodeStates());
          to.history.addAll(from.history);
        }
      }
    }
    pairs.forEach(pair -> pair.check("seed " + seed + " end"));
  }

  @Test
  void receivingIsIdempotentAndCommutes() {
    final AddWinsSet one = new AddWinsSet();
    final AddWinsSet other = new AddWinsSet();
    one.self(1);
    other.self(2);
    one.add("t", "a");
    other.merge(one.encodeStates());
    other.remove("t", "a");
    other.add("t", "b");
    one.add("t", "a");
    final byte[] ofOne = one.encodeStates();
    final byte[] ofOther = other.encodeStates();
    final AddWinsSet first = new AddWinsSet();
    first.merge(ofOne);
    first.merge(ofOther);
    final AddWinsSet second = new AddWinsSet();
    second.merge(ofOther);
    second.merge(ofOne);
    second.merge(ofOther);
    for (final String client : List.of("a", "b")) {
      for (long replica = 1; replica <= 2; replica++) {
        assertEquals(first.instance("t", client, replica), second.instance("t", client, replica));
      }
    }
    // The concurrent add survived the remove, which had seen only the first one.
    assertEquals(2, first.instance("t", "a", 1));
    final long mark = first.digest(1);
    first.merge(ofOther);
    assertEquals(mark, first.digest(1));
    assertEquals(second.digest(1), first.digest(1));
  }

  @Test
  void aRemovedInstanceDoesNotComeBackWithAnOldState() {
    final AddWinsSet one = new AddWinsSet();
    one.self(1);
    one.add("t", "a");
    final byte[] old = one.encodeStates();
    one.remove("t", "a");
    one.merge(old);
    assertFalse(one.hasSubscriber("t", 1));
    assertEquals(1, one.observed(1));
  }

  @Test
  void aRetiredReplicaIsForgottenAndItsLateStatesAreIgnored() {
    final AddWinsSet gone = new AddWinsSet();
    gone.self(1);
    gone.add("t", "a");
    final AddWinsSet reader = new AddWinsSet();
    reader.merge(gone.encodeStates());
    assertTrue(reader.hasSubscriber("t", 1));
    reader.setReplicas(2, Set.of(2L));
    assertFalse(reader.hasSubscriber("t", 1));
    reader.merge(gone.encodeStates());
    assertFalse(reader.hasSubscriber("t", 1));
    assertEquals(0, reader.observed(1));
    // A name above the newest known one is new, not retired.
    final AddWinsSet fresh = new AddWinsSet();
    fresh.self(3);
    fresh.add("t", "b");
    reader.merge(fresh.encodeStates());
    assertTrue(reader.hasSubscriber("t", 3));
  }

  @Test
  void absentClientsAreNotCountedButStaySubscribed() {
    final AddWinsSet edge = new AddWinsSet();
    edge.self(1);
    edge.add("t", "a");
    edge.add("t", "b");
    edge.setDisconnected("a", true);
    final AddWinsSet other = new AddWinsSet();
    other.self(2);
    other.merge(edge.encodeStates());
    assertEquals(1, other.count("t", replica -> true));
    assertTrue(other.isActiveElsewhere("t", "a"));
    edge.setDisconnected("a", false);
    other.merge(edge.encodeStates());
    assertEquals(2, other.count("t", replica -> true));
    assertEquals(0, other.count("t", replica -> replica != 1));
  }

  @Test
  void packingKeepsAllOfAState() {
    final AddWinsSet edge = new AddWinsSet();
    edge.self(7);
    final Map<String, Long> instances = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      instances.put("topic." + i % 40 + " client" + i, edge.add("topic." + i % 40, "client" + i));
    }
    edge.setDisconnected("client7", true);
    final AddWinsSet copy = new AddWinsSet();
    copy.merge(edge.encodeStates());
    instances.forEach(
        (element, instance) ->
            assertEquals(instance, copy.instance(element.split(" ")[0], element.split(" ")[1], 7)));
    assertArrayEquals(new long[] {300, 300}, new long[] {copy.observed(7), edge.observed(7)});
  }
}
