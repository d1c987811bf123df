package yewjunction.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import yewjunction.control.Configuration;
import yewjunction.control.FormerRetention;
import yewjunction.limits.QuotaLimits;
import yewjunction.simulation.SimulatedNetwork;

/** How long a store keeps messages while configurations change. */
class MessageRetentionTest {
  private static final String TOPIC = "orders.a";
  private static final long LINGER_MS = 35_000;

  private final SimulatedNetwork network = new SimulatedNetwork(1);
  private MessageStore store;

  @BeforeEach
  void startStore() {
    store = startedStore("10.1.0.9:7000");
    configure(route("orders.", LINGER_MS));
  }

  private MessageStore startedStore(final String address) {
    network.host(address).boot();
    return StoreStateFixture.store(network.host(address));
  }

  private static String route(final String prefix, final long lingerMs) {
    return "{\"Name\":\"r-%s\",\"Pfx\":\"%s\",\"TimeoutMs\":1500,\"LingerS\":%s}"
        .formatted(prefix, prefix, lingerMs / 1_000.0);
  }

  private void configure(final String routes) {
    store.setConfiguration(Configuration.read("{\"Ver\":1,\"Routes\":[" + routes + "]}"));
  }

  /** As an edge builds it, which admits it under a route of that retention. */
  private static byte[] message(final long number, final long lingerMs) {
    final StoredMessage message = new StoredMessage();
    message.topic = TOPIC;
    message.client = "c";
    message.sequenceNumber = number;
    message.body = ("body-" + number).getBytes(UTF_8);
    message.retainFor(lingerMs);
    return MessageStore.encode(message);
  }

  private void assertKept(final long... indexes) {
    final List<StoredMessage> kept = store.messagesAfter(TOPIC, 0);
    assertNotNull(kept, "dropped: " + store.describeDropped(TOPIC));
    assertEquals(
        Arrays.stream(indexes).boxed().toList(),
        kept.stream().map(message -> message.index).toList());
  }

  private void assertDropped() {
    assertNull(store.messagesAfter(TOPIC, 0));
  }

  /** Routes that keep the topic's messages for less than the one it began with. */
  static Stream<Arguments> shorterRetentions() {
    return Stream.of(
        Arguments.of("the route is removed", ""),
        Arguments.of("its retention is lowered", route("orders.", 1_000)),
        Arguments.of(
            "a more specific route keeps less",
            route("orders.", LINGER_MS) + "," + route("orders.a", 1_000)));
  }

  /** Guards against: a removed route's messages were dropped at 12 s, and EXPIRED told later. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("shorterRetentions")
  void whatAConfigurationTakesAwayForTwoSecondsIsKept(final String change, final String routes) {
    store.apply(1, message(1, LINGER_MS));
    network.runFor(14_000);
    configure(routes);
    network.runFor(2_000);
    configure(route("orders.", LINGER_MS));
    network.runFor(LINGER_MS - 16_000);
    assertKept(1);
    network.runFor(QuotaLimits.RETENTION_SLACK_MS + 2_000);
    assertDropped();
  }

  /** Guards against: messages of a route that stays away were kept for ever, or not long enough. */
  @Test
  void aRemovedRoutesMessagesAreKeptForItsRetentionAndNoLonger() {
    store.apply(1, message(1, LINGER_MS));
    configure("");
    network.runFor(LINGER_MS);
    assertKept(1);
    network.runFor(QuotaLimits.RETENTION_SLACK_MS + 2_000);
    assertDropped();
  }

  /** Guards against: a message sent under a lower LingerS was kept for its predecessor's term. */
  @Test
  void aMessageSentUnderALoweredRetentionIsDroppedInItsTime() {
    configure(route("orders.", 1_000));
    store.apply(1, message(1, 1_000));
    network.runFor(1_000);
    assertKept(1);
    network.runFor(QuotaLimits.RETENTION_SLACK_MS + 2_000);
    assertDropped();
  }

  /** Guards against: a raised LingerS that is lowered again was forgotten. */
  @Test
  void aRaisedRetentionHoldsForWhatWasThere() {
    configure(route("orders.", 10_000));
    store.apply(1, message(1, 10_000));
    configure(route("orders.", LINGER_MS));
    network.runFor(2_000);
    configure("");
    network.runFor(LINGER_MS - 2_000);
    assertKept(1);
  }

  /** Guards against: a store that restarts while the route is gone dropped at 12 s what it held. */
  @Test
  void aStoreThatReplaysItsLogWithoutTheRouteKeepsTheMessages() {
    store = startedStore("10.2.0.9:7000");
    store.apply(1, message(1, LINGER_MS));
    configure("");
    network.runFor(LINGER_MS);
    configure(route("orders.", LINGER_MS));
    assertKept(1);
  }

  /** Guards against: the same with a snapshot, from which a raised retention must come back too. */
  @Test
  void aStoreThatTakesASnapshotWithoutTheRouteKeepsTheMessages() {
    configure(route("orders.", 10_000));
    store.apply(1, message(1, 10_000));
    configure(route("orders.", LINGER_MS));
    final byte[] snapshot = store.snapshot();
    store = startedStore("10.2.0.9:7000");
    store.restore(1, snapshot);
    configure("");
    network.runFor(LINGER_MS);
    assertKept(1);
  }

  private void learnFormerRetention(final long lingerMs) {
    store.addFormerRetentions(List.of(new FormerRetention("orders.", lingerMs, 1)));
    configure("");
  }

  /** Guards against: a raise and a removal that a store missed, and its log knows nothing of. */
  @Test
  void aStoreThatNeverSawTheLongerRetentionKeepsTheMessages() {
    configure(route("orders.", 10_000));
    store.apply(1, message(1, 10_000));
    learnFormerRetention(LINGER_MS);
    network.runFor(LINGER_MS);
    assertKept(1);
    network.runFor(QuotaLimits.RETENTION_SLACK_MS + 2_000);
    assertDropped();
  }

  /** Guards against: the same in a store that replays its log only after it was told. */
  @Test
  void whatIsReplayedAfterTheFormerRetentionWasToldIsKeptByIt() {
    store = startedStore("10.2.0.9:7000");
    learnFormerRetention(LINGER_MS);
    network.runFor(1_000);
    store.apply(1, message(1, 10_000));
    network.runFor(LINGER_MS);
    assertKept(1);
  }

  /** Guards against: a retention that has ended holds for ever, and the store fills up. */
  @Test
  void aFormerRetentionHoldsNoLongerThanAMessageOfItsTimeMayBeYoung() {
    learnFormerRetention(LINGER_MS);
    configure(route("orders.", 1_000));
    network.runFor(LINGER_MS + QuotaLimits.RETENTION_SLACK_MS + 2_000);
    store.apply(1, message(1, 1_000));
    network.runFor(QuotaLimits.RETENTION_SLACK_MS + 3_000);
    assertDropped();
  }

  /** Guards against: event 605 named an age of 0 ms, which operators are told is a fault. */
  @Test
  void aStoreThatBeganWithASnapshotDoesNotNameTheAgeOfWhatWasDroppedBeforeIt() {
    store.apply(1, message(1, LINGER_MS));
    network.runFor(LINGER_MS + QuotaLimits.RETENTION_SLACK_MS + 2_000);
    final String dropped = store.describeDropped(TOPIC);
    assertTrue(
        dropped.matches("dropped through 1, 4[7-9]\\d{3} ms old, kept for 47000 ms"), dropped);
    final byte[] snapshot = store.snapshot();
    store = startedStore("10.2.0.9:7000");
    store.restore(1, snapshot);
    assertDropped();
    assertEquals(
        "dropped through 1, before the snapshot that this store began with",
        store.describeDropped(TOPIC));
  }

  /** Guards against: entries of earlier releases, without a retention, dropped with their route. */
  @Test
  void anEntryWithoutARetentionIsKeptAsLongAsAnyRouteAsks() {
    final StoredMessage earlier = new StoredMessage();
    earlier.topic = TOPIC;
    earlier.client = "c";
    earlier.sequenceNumber = 1;
    store = startedStore("10.2.0.9:7000");
    store.apply(1, MessageStore.encode(earlier));
    configure(route("other.", LINGER_MS));
    network.runFor(LINGER_MS);
    assertKept(1);
    network.runFor(QuotaLimits.RETENTION_SLACK_MS + 2_000);
    assertDropped();
  }

  /** Guards against: without any configuration, as after a start, something is dropped. */
  @Test
  void nothingIsDroppedBeforeAConfigurationIsKnown() {
    store = startedStore("10.2.0.9:7000");
    store.apply(1, message(1, 1_000));
    store.apply(2, message(2, 1_000));
    network.runFor(10 * LINGER_MS);
    assertKept(1, 2);
  }
}
