package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import yewjunction.membership.NodeRole;

/**
 * A space is taken away for a while, or its terms are lowered, while clients are away with their
 * cursors and stores fail. Whoever returns gets all that was acknowledged before.
 */
class RouteChangeSimulationTest extends SystemSimulation {
  private static final int LINGER_S = 35;

  /**
   * What a space keeps before its retention is raised: with the stores' slack less than RETURN_MS.
   */
  private static final int SHORT_LINGER_S = 10;

  /** ms; when clients return: what they lack is then younger than the space keeps messages. */
  private static final int RETURN_MS = 30_000;

  /** ms; from a version's acknowledgement until every edge serves by it. */
  private static final int APPLY_MS = 3_000;

  /** ms; for how long stores are down. */
  private static final int MIN_DOWN_MS = 500;

  private static final int MAX_DOWN_MS = 1_500;

  /** ms; a store that lost its disk counts as lost until so long after its return. */
  private static final int SYNC_MS = 4_000;

  private static final String OTHER_SPACE = SimulatedCluster.route("s.");
  private static final String SPACE = SimulatedCluster.route("v.", LINGER_S);
  private static final String BOTH_SPACES = OTHER_SPACE + "," + SPACE;
  private static final String TENANTS = SimulatedCluster.tenant("t", "key", 1_000);

  private final List<SimulatedClient> readers = new ArrayList<>();
  private final List<SimulatedClient> senders = new ArrayList<>();

  /** Until then no other disk may be lost: the system tolerates one. */
  private long diskLostUntilMs;

  /** The first ones in CI; more by hand: mvn test -Droutes.seeds=COUNT. */
  static LongStream seeds() {
    return LongStream.rangeClosed(1, Long.getLong("routes.seeds", 18));
  }

  private void begin(final long seed) {
    begin(seed, BOTH_SPACES);
  }

  private void begin(final long seed, final String routes) {
    open(seed, TENANTS);
    cluster.configure(routes, TENANTS);
    cluster.network.runFor(APPLY_MS);
    for (int i = 0; i < 6; i++) {
      final SimulatedClient client =
          new SimulatedClient(cluster, checker, "c" + i, "zone" + (1 + i % 3), "key");
      (i < 3 ? readers : senders).add(client);
      if (i < 3) {
        client.subscribe("v.t0");
        client.subscribe("v.t" + (1 + i % 2));
      }
    }
    cluster.network.runFor(1_500);
  }

  /** Messages that the readers, who are away, are owed. */
  private void publishWhileReadersAreAway() {
    readers.forEach(SimulatedClient::leave);
    publish(60);
    cluster.network.runFor(800);
    senders.forEach(sender -> assertEquals(0, sender.unanswered.size(), "unanswered"));
  }

  private void publish(final int count) {
    for (int i = 0; i < count; i++) {
      senders.get(i % senders.size()).publish("v.t" + i % 3);
      cluster.network.runFor(20);
    }
  }

  /** Routes under which the space is gone, or keeps messages for a second only. */
  private String changedRoutes() {
    return switch (cluster.network.random.nextInt(3)) {
      case 0 -> OTHER_SPACE + "," + SimulatedCluster.route("v.", 1);
      case 1 -> BOTH_SPACES + "," + SimulatedCluster.route("v.t", 1);
      default -> OTHER_SPACE;
    };
  }

  /** What happens to the stores while the space is gone. */
  private void fail() {
    final List<String> stores = cluster.all(NodeRole.STORE);
    final String store = stores.get(cluster.network.random.nextInt(stores.size()));
    switch (cluster.network.random.nextInt(6)) {
      case 0 -> stores.forEach(cluster::kill);
      case 1 -> cluster.nodes.keySet().forEach(cluster::powerOff);
      case 2 -> losePowerAndDisk(store);
      case 3 -> cluster.stop(cluster.leadingStore());
      case 4 -> cluster.kill(store);
      default -> {
        // The change alone must lose nothing either.
      }
    }
    cluster.network.runFor(MIN_DOWN_MS + cluster.network.random.nextInt(MAX_DOWN_MS - MIN_DOWN_MS));
    cluster.bootAll();
  }

  private void losePowerAndDisk(final String store) {
    cluster.powerOff(store);
    if (cluster.network.nowMs() >= diskLostUntilMs) {
      cluster.network.host(store).wipe();
      diskLostUntilMs = cluster.network.nowMs() + MAX_DOWN_MS + SYNC_MS;
    }
  }

  /** Readers return while all that they lack, sent from that moment on, is young enough. */
  private void assertReadersGetAllOnTheirReturn(final long startMs) {
    cluster.network.runFor(Math.max(APPLY_MS, startMs + RETURN_MS - cluster.network.nowMs()));
    readers.forEach(SimulatedClient::comeBack);
    cluster.network.runFor(LINGER_S * 1_000 - RETURN_MS - 1_000);
    assertEquals(List.of(), checker.expired);
    settle();
    assertEquals(List.of(), checker.expired);
    assertTrue(checker.owed >= 100, "owed " + checker.owed);
  }

  /**
   * Guards against: a space that was removed for two seconds had lost what it had kept, and clients
   * that returned were told EXPIRED.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void whoWasAwayWhileTheSpaceWasGoneGetsWhatWasKept(final long seed) {
    begin(seed);
    final long startMs = cluster.network.nowMs();
    publishWhileReadersAreAway();
    cluster.network.runFor(cluster.network.random.nextInt(15_000));
    cluster.configure(changedRoutes(), TENANTS);
    fail();
    final long untilReturnMs = startMs + RETURN_MS - APPLY_MS - cluster.network.nowMs();
    cluster.network.runFor(
        untilReturnMs / 2 + cluster.network.random.nextInt((int) untilReturnMs / 2));
    cluster.configure(BOTH_SPACES, TENANTS);
    assertReadersGetAllOnTheirReturn(startMs);
  }

  /**
   * Guards against: who is connected when its space is removed, and subscribes again with its
   * cursors once it is back, lacks what was acknowledged before, or gets it twice.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void whoWasConnectedWhenTheSpaceWentGetsWhatWasKept(final long seed) {
    begin(seed);
    final long startMs = cluster.network.nowMs();
    cluster.network.every(
        15,
        () -> {
          final SimulatedClient sender =
              senders.get(cluster.network.random.nextInt(senders.size()));
          if (!quiet && sender.unanswered.size() < 4) {
            sender.publish("v.t" + cluster.network.random.nextInt(3));
          }
        });
    cluster.network.runFor(1_000 + cluster.network.random.nextInt(500));
    cluster.configure(OTHER_SPACE, TENANTS);
    fail();
    quiet = true;
    cluster.network.runFor(1_000 + cluster.network.random.nextInt(20_000));
    cluster.configure(BOTH_SPACES, TENANTS);
    cluster.network.runFor(APPLY_MS);
    assertTrue(cluster.network.nowMs() - startMs < RETURN_MS, "messages are too old by now");
    for (final SimulatedClient reader : readers) {
      for (final String topic : List.copyOf(reader.cursors.keySet())) {
        checker.reopen(reader.name, topic);
        reader.subscribe(topic);
      }
    }
    cluster.network.runFor(4_000);
    assertEquals(List.of(), checker.expired);
    settle();
    assertTrue(checker.owed >= 100, "owed " + checker.owed);
  }

  /**
   * Guards against: what was kept survives one removal, and not several ones that follow each other
   * while stores fail in each of them.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void whoWasAwayDuringSeveralRemovalsGetsWhatWasKept(final long seed) {
    begin(seed);
    final long startMs = cluster.network.nowMs();
    publishWhileReadersAreAway();
    int removals = 0;
    while (cluster.network.nowMs() - startMs < RETURN_MS - 3 * APPLY_MS) {
      cluster.configure(changedRoutes(), TENANTS);
      fail();
      cluster.configure(BOTH_SPACES, TENANTS);
      cluster.network.runFor(cluster.network.random.nextInt(APPLY_MS));
      publish(15);
      removals++;
    }
    assertTrue(removals >= 3, "removals " + removals);
    assertReadersGetAllOnTheirReturn(startMs);
  }

  private void raiseAndRemoveTheSpace() {
    cluster.configure(BOTH_SPACES, TENANTS);
    cluster.network.runFor(cluster.network.random.nextInt(APPLY_MS));
    cluster.configure(OTHER_SPACE, TENANTS);
  }

  private void assertReadersGetAllOnceTheSpaceIsBack(final long startMs) {
    cluster.network.runFor(startMs + RETURN_MS - APPLY_MS - cluster.network.nowMs());
    cluster.configure(BOTH_SPACES, TENANTS);
    assertReadersGetAllOnTheirReturn(startMs);
  }

  /**
   * Guards against: a longer retention was learned from a configuration alone, and stores that
   * restarted after the space was removed again dropped what it had kept.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void whatALongerRetentionKeptOutlivesARestartOfTheStores(final long seed) {
    begin(seed, OTHER_SPACE + "," + SimulatedCluster.route("v.", SHORT_LINGER_S));
    final long startMs = cluster.network.nowMs();
    publishWhileReadersAreAway();
    raiseAndRemoveTheSpace();
    fail();
    assertReadersGetAllOnceTheSpaceIsBack(startMs);
  }

  /** Guards against: the same while no store was up to learn of the longer retention at all. */
  @ParameterizedTest
  @MethodSource("seeds")
  void aLongerRetentionThatNoStoreHasSeenHoldsAllTheSame(final long seed) {
    begin(seed, OTHER_SPACE + "," + SimulatedCluster.route("v.", SHORT_LINGER_S));
    final long startMs = cluster.network.nowMs();
    publishWhileReadersAreAway();
    cluster.all(NodeRole.STORE).forEach(cluster::kill);
    raiseAndRemoveTheSpace();
    if (cluster.network.random.nextBoolean()) {
      cluster.all(NodeRole.CONTROL).forEach(cluster::powerOff);
    }
    cluster.bootAll();
    assertReadersGetAllOnceTheSpaceIsBack(startMs);
  }

  /**
   * Guards against: stores that run, and are told of the raise and of the removal in one message,
   * saw the last version alone.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void aLongerRetentionThatCameTogetherWithItsEndHolds(final long seed) {
    begin(seed, OTHER_SPACE + "," + SimulatedCluster.route("v.", SHORT_LINGER_S));
    final long startMs = cluster.network.nowMs();
    publishWhileReadersAreAway();
    for (final String store : cluster.all(NodeRole.STORE)) {
      cluster.all(NodeRole.CONTROL).forEach(control -> cluster.network.cut(store, control));
    }
    raiseAndRemoveTheSpace();
    cluster.network.join();
    assertReadersGetAllOnceTheSpaceIsBack(startMs);
  }

  /** Guards against: a longer retention survives one change, and not several ones with failures. */
  @ParameterizedTest
  @MethodSource("seeds")
  void whatALongerRetentionKeptOutlivesSeveralChanges(final long seed) {
    begin(seed, OTHER_SPACE + "," + SimulatedCluster.route("v.", SHORT_LINGER_S));
    final long startMs = cluster.network.nowMs();
    publishWhileReadersAreAway();
    cluster.configure(BOTH_SPACES, TENANTS);
    int changes = 0;
    while (cluster.network.nowMs() - startMs < RETURN_MS - 3 * APPLY_MS) {
      cluster.configure(changedRoutes(), TENANTS);
      fail();
      // A machine counts as lost for SYNC_MS after its return, and one may be lost at a time.
      cluster.network.runFor(Math.max(0, diskLostUntilMs - cluster.network.nowMs()));
      if (cluster.network.random.nextBoolean()) {
        final String control = cluster.all(NodeRole.CONTROL).get(changes % 3);
        cluster.stop(control);
        cluster.network.runFor(MIN_DOWN_MS);
        cluster.bootAll();
      }
      changes++;
    }
    assertTrue(changes >= 2, "changes " + changes);
    assertReadersGetAllOnceTheSpaceIsBack(startMs);
  }
}
