package yewjunction.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import yewjunction.control.Configuration.Route;
import yewjunction.store.StoredMessage;

/** What the guard stops before it is written, and that it never accuses wrongly. */
class OrderingGuardTest {
  private static final Route ORDERS = new Route("orders", "", "o.", 1_000, 35_000, false, Set.of());
  private static final Route DISPATCHES =
      new Route("dispatches", "", "d.", 1_000, 35_000, false, Set.of("orders"));
  private final OrderingGuard guard = new OrderingGuard();

  private static StoredMessage message(
      final String topic, final long index, final String client, final long number) {
    final StoredMessage message = new StoredMessage();
    message.topic = topic;
    message.index = index;
    message.client = client;
    message.sequenceNumber = number;
    return message;
  }

  private String breach(
      final String topic, final long index, final String client, final long number) {
    return guard.violation(message(topic, index, client, number), 1_000);
  }

  @Test
  void eachIndexOnceAndInOrder() {
    guard.onSubscribed("o.1", ORDERS);
    assertNull(breach("o.1", 5, "a", 1));
    assertEquals("5 after 5", breach("o.1", 5, "a", 1));
    assertEquals("4 after 5", breach("o.1", 4, "b", 1));
    assertNull(breach("o.1", 9, "b", 1));
    assertEquals("not subscribed", breach("o.2", 10, "b", 2));
    guard.onUnsubscribed("o.1");
    assertEquals("not subscribed", breach("o.1", 11, "b", 2));
    // Subscribed anew with an older cursor: what came before the end is no matter any more.
    guard.onSubscribed("o.1", ORDERS);
    assertNull(breach("o.1", 5, "a", 1));
  }

  @Test
  void eachSendersNumbersRise() {
    guard.onSubscribed("o.1", ORDERS);
    assertNull(breach("o.1", 5, "a", 7));
    assertNull(breach("o.1", 6, "b", 3));
    assertNotNull(breach("o.1", 7, "a", 7));
    assertNotNull(breach("o.1", 7, "a", 6));
    assertNull(breach("o.1", 7, "a", 8));
    // What was long ago is no ground for an accusation.
    assertNull(guard.violation(message("o.1", 8, "a", 2), 100_000));
  }

  @Test
  void nothingEarlierOfAFollowedChannelComesLater() {
    guard.onSubscribed("d.1", DISPATCHES);
    assertNull(breach("d.1", 10, "a", 1));
    // Subscribed only now: what was written before counts for nothing.
    guard.onSubscribed("o.1", ORDERS);
    assertNull(breach("o.1", 5, "a", 2));
    assertNull(breach("d.1", 12, "a", 3));
    assertEquals("11 after 12 of d.1, which follows it", breach("o.1", 11, "b", 4));
    assertNull(breach("o.1", 13, "b", 4));
    // The other way round nothing was declared.
    assertNull(breach("d.1", 14, "b", 5));
    guard.onRouteChanged("d.1", ORDERS);
    assertNull(breach("d.1", 20, "b", 6));
    assertNull(breach("o.1", 15, "b", 7));
  }

  /** In any order that keeps what was declared nothing is reported. */
  @Test
  void aGoodOrderIsNeverAccused() {
    final Random random = new Random(5);
    guard.onSubscribed("o.1", ORDERS);
    guard.onSubscribed("o.2", ORDERS);
    guard.onSubscribed("d.1", DISPATCHES);
    final long[] last = new long[200];
    for (long index = 1; index < 20_000; index++) {
      final int sender = random.nextInt(200);
      assertNull(
          breach(
              random.nextInt(3) == 0 ? "d.1" : "o." + (1 + random.nextInt(2)),
              index,
              "c" + sender,
              ++last[sender]));
    }
  }
}
