package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.system.OperatorCalls.config;
import static yewjunction.system.OperatorCalls.update;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.control.OperatorApi;
import yewjunction.node.ControlNode;
import yewjunction.system.OperatorCalls.Call;

/** What the operator API says while leaders are cut off, deposed and new. */
class OperatorApiSimulationTest extends OperatorCallsSimulation {
  private static final String REPLACE = "/-/config/replace";

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aLeaderThatIsCutOffTellsNoFacts(final long seed) {
    begin(seed);
    final String old = orders.leader();
    orders.cutOff(old);
    final String fresh = orders.leader(orders.others(old));
    assertEquals(200, orders.now(fresh, "POST", REPLACE, "1", config(3, "b.")).status());
    assertTrue(
        orders.now(old, "GET", "/-/outlook/show", "0", "").json().contains("\"Leads\":true"),
        "the old leader knows already");
    // Proper on what is current elsewhere: here it looks like a wrong base, a wrong number, an
    // unknown name.
    final List<Call> calls =
        List.of(
            orders.replace(old, 3, config(5, "c.")),
            orders.send(old, "POST", "/-/config/update", "3", update(5, "c.")),
            orders.send(old, "POST", "/-/retire/node-10.1.0.19:7000/begin", "0", "{}"),
            orders.send(old, "GET", "/-/retire/node-10.1.0.19:7000/show", "0", ""),
            orders.send(old, "GET", "/-/quota/u/show", "0", ""),
            orders.send(old, "GET", "/-/quota/t/show", "0", ""),
            orders.send(old, "GET", "/-/config/show", "0", ""));
    cluster.network.runFor(1_600);
    for (final Call call : calls) {
      assertEquals(503, call.status(), call.json());
    }
  }

  @Test
  void whatTheRequestAloneDecidesNeedsNoMajority() {
    begin(3);
    assertEquals(200, orders.insist("POST", REPLACE, 1, config(5, "a.")).status());
    final String old = orders.leader();
    orders.cutOff(old);
    for (final String[] wrong :
        new String[][] {
          {"5", "{\"Ver\":7"},
          {"5", config(5, "b.")},
          {"5", config(4, "b.")},
          {"5", config(7, "b.").replace("1500", "0")},
          {null, config(7, "b.")},
          {"5, 5", config(7, "b.")},
          {"", config(7, "b.")},
          {"five", config(7, "b.")},
          {"5", "[".repeat(500_000)}
        }) {
      final Call call = orders.now(old, "POST", REPLACE, wrong[0], wrong[1]);
      assertEquals(400, call.status(), call.json());
      assertTrue(call.tookMs < 20, "took " + call.tookMs + " ms");
    }
    assertEquals(413, orders.now(old, "POST", REPLACE, "5", "x".repeat(2 << 20)).status());
    assertEquals(405, orders.now(old, "GET", REPLACE, "5", "").status());
    // What was taken stays taken, whoever leads.
    assertEquals(200, orders.now(old, "POST", REPLACE, "1", config(5, "a.")).status());
    // On a member that does not lead, too.
    assertEquals(
        400,
        orders.now(orders.others(old).get(0), "POST", REPLACE, "5, 5", config(7, "b.")).status());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void aRepeatAfterALostAnswerIsNeverRefused(final long seed) {
    begin(seed);
    final String[] bodies = {config(2, "b."), update(3, "c."), config(4, "d."), update(5, "e.")};
    for (int step = 0; step < bodies.length; step++) {
      final String path = bodies[step].contains("Upsert") ? "/-/config/update" : REPLACE;
      final String leader = orders.leader();
      orders.send(leader, "POST", path, "" + (step + 1), bodies[step]);
      // The fault comes before, while and after the order is on its way to the others' disks; its
      // answer counts as lost.
      cluster.network.runFor(cluster.network.random.nextInt(9));
      switch (cluster.network.random.nextInt(3)) {
        case 0 -> cluster.kill(leader);
        case 1 -> cluster.powerOff(leader);
        default -> orders.cutOff(leader);
      }
      final List<Call> repeats = new ArrayList<>();
      for (int again = 0; again < 12; again++) {
        repeats.add(
            orders.send(
                orders.controlNodes.get(again % 3), "POST", path, "" + (step + 1), bodies[step]));
        cluster.network.runFor(100);
      }
      cluster.network.join();
      cluster.bootAll();
      assertEquals(200, orders.insist("POST", path, step + 1, bodies[step]).status());
      cluster.network.runFor(2_000);
      for (final Call repeat : repeats) {
        assertTrue(
            repeat.status() == 0
                || repeat.status() == 200
                || repeat.status() == 307
                || repeat.status() == 503,
            repeat.json());
      }
    }
    // Once all machines were without power and nothing but the disks is left.
    orders.controlNodes.forEach(cluster::powerOff);
    cluster.bootAll();
    for (int step = 0; step < bodies.length; step++) {
      final String path = bodies[step].contains("Upsert") ? "/-/config/update" : REPLACE;
      assertEquals(200, orders.insist("POST", path, step + 1, bodies[step]).status());
    }
    assertEquals(5, orders.shown());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void ofTwoChangesWithOneNumberOneIsTakenAndTheOtherRefused(final long seed) {
    begin(seed);
    final List<Call> ones = new ArrayList<>();
    final List<Call> others = new ArrayList<>();
    for (int attempt = 0; attempt < 30; attempt++) {
      ones.add(orders.replace(orders.controlNodes.get(attempt % 3), 1, config(2, "one.")));
      others.add(
          orders.replace(orders.controlNodes.get((attempt + 1) % 3), 1, config(2, "other.")));
      cluster.network.runFor(cluster.network.random.nextInt(40));
      if (attempt % 10 == 2) {
        cluster.kill(orders.leader());
      } else if (attempt % 10 == 8) {
        cluster.bootAll();
      }
    }
    cluster.bootAll();
    final int one = orders.insist("POST", REPLACE, 1, config(2, "one.")).status();
    final int other = orders.insist("POST", REPLACE, 1, config(2, "other.")).status();
    assertEquals(200 + 412, one + other);
    assertTrue(orders.show().json().contains(one == 200 ? "\"one.\"" : "\"other.\""));
    assertTrue(
        (one == 200 ? others : ones).stream().noneMatch(call -> call.status() == 200),
        "the loser was acknowledged");
    assertTrue(
        (one == 200 ? ones : others).stream().noneMatch(call -> call.status() == 412),
        "the winner was refused");
  }

  @Test
  void aChangeThatIsNoLongerRememberedIsNotRefused() {
    begin(2);
    final String leader = orders.leader();
    for (long version = 1; version <= 513; version++) {
      assertEquals(
          200,
          orders.now(leader, "POST", REPLACE, "" + version, config(version + 1, "a.")).status());
    }
    // Version 1 and 2 are forgotten, 3 is not.
    assertEquals(503, orders.now(leader, "POST", REPLACE, "0", config(1, "a.")).status());
    assertEquals(503, orders.now(leader, "POST", REPLACE, "1", config(2, "a.")).status());
    assertEquals(200, orders.now(leader, "POST", REPLACE, "2", config(3, "a.")).status());
    assertEquals(412, orders.now(leader, "POST", REPLACE, "2", config(3, "b.")).status());
    assertEquals(412, orders.now(leader, "POST", REPLACE, "0", config(900, "b.")).status());
    assertEquals(412, orders.now(leader, "POST", REPLACE, "1", config(1, "b.")).status());
    // A wrong base comes before a number that is wrong on that base alone.
    assertEquals(412, orders.now(leader, "POST", REPLACE, "9000", config(900, "b.")).status());
    assertEquals(
        412, orders.now(leader, "POST", "/-/config/update", "0", update(900, "b.")).status());
    assertEquals(400, orders.now(leader, "POST", REPLACE, "514", config(514, "b.")).status());
  }

  @Test
  void whoLearntBySnapshotKnowsWhatWasTaken() {
    begin(5);
    assertEquals(200, orders.insist("POST", "/-/config/update", 1, update(4, "b.")).status());
    final String wiped = orders.others(orders.leader()).get(0);
    cluster.powerOff(wiped);
    cluster.network.host(wiped).wipe();
    cluster.bootAll();
    cluster.network.runFor(6_000);
    for (int turn = 0; turn < 30 && !orders.leader().equals(wiped); turn++) {
      cluster.kill(orders.leader());
      orders.leader();
      cluster.bootAll();
      cluster.network.runFor(2_000);
    }
    assertEquals(wiped, orders.leader());
    assertEquals(200, orders.now(wiped, "POST", REPLACE, "0", config(1, "a.")).status());
    assertEquals(200, orders.now(wiped, "POST", "/-/config/update", "1", update(4, "b.")).status());
    assertEquals(412, orders.now(wiped, "POST", "/-/config/update", "1", update(4, "c.")).status());
  }

  @Test
  void eightOrdersAtOnceAreAnsweredTogether() {
    begin(4);
    final String leader = orders.leader();
    final List<Call> calls = new ArrayList<>();
    for (int operator = 0; operator < 8; operator++) {
      calls.add(orders.replace(leader, 1, config(2 + operator, "r" + operator + ".")));
    }
    cluster.network.runFor(1_000);
    assertEquals(1, calls.stream().filter(call -> call.status() == 200).count());
    assertEquals(7, calls.stream().filter(call -> call.status() == 412).count());
    final long longestMs = calls.stream().mapToLong(call -> call.tookMs).max().orElseThrow();
    assertTrue(longestMs < 40, "took " + longestMs + " ms");
  }

  @Test
  void ordersWhoseCallersHaveGoneHoldUpNobody() {
    begin(6);
    final String leader = orders.leader();
    orders.cutOff(leader);
    final List<Call> gone = new ArrayList<>();
    for (int operator = 0; operator < 8; operator++) {
      gone.add(orders.replace(leader, 1, config(2 + operator, "gone" + operator + ".")));
    }
    // Healed after the callers have gone, before the leader gives up: the first may be taken yet,
    // the others not.
    cluster.network.runFor(1_000);
    cluster.network.join();
    final Call call = orders.insist("POST", REPLACE, 1, config(20, "new."));
    final long current = orders.shown();
    assertEquals(call.status() == 200 ? 20 : 2, current);
    cluster.network.runFor(2_000);
    assertEquals(current, orders.shown());
    assertTrue(gone.stream().skip(1).noneMatch(one -> one.status() == 200));
    final int repeated = orders.insist("POST", REPLACE, 1, config(2, "gone0.")).status();
    assertEquals(current == 2 ? 200 : 412, repeated);
  }

  /** The planted fault: whoever reads beside the owner comes back without having done it. */
  @Test
  void whatWasNotWorkedOutIsNeitherTakenNorInTheWay() {
    begin(11);
    final OperatorApi operatorApi =
        ((ControlNode) cluster.nodes.get(orders.leader())).operatorApi();
    operatorApi.setExecutor((blocking, continuation) -> continuation.run());
    assertEquals(503, orders.now(orders.leader(), "POST", REPLACE, "1", config(2, "b.")).status());
    operatorApi.setExecutor(
        (blocking, continuation) -> {
          throw new OutOfMemoryError("planted");
        });
    assertEquals(503, orders.now(orders.leader(), "POST", REPLACE, "1", config(2, "b.")).status());
    operatorApi.setExecutor(cluster.network.host(orders.leader()).executor());
    assertEquals(1, orders.shown());
    assertEquals(200, orders.now(orders.leader(), "POST", REPLACE, "1", config(2, "b.")).status());
  }

  private void isFound(
      final Function<SimulatedCluster, ConcurrentOperators.Gate> fault, final LongConsumer test) {
    plant = fault;
    assertThrows(
        AssertionError.class,
        () -> {
          for (long seed = 1; seed <= 6; seed++) {
            test.accept(seed);
          }
        });
  }

  @Test
  void eachPlantedFaultIsFound() {
    isFound(FaultyOperatorApi::refusesFromStaleState, this::aLeaderThatIsCutOffTellsNoFacts);
    isFound(FaultyOperatorApi.ofMachines(503, 404), this::aLeaderThatIsCutOffTellsNoFacts);
    isFound(FaultyOperatorApi::refusesWhatWasTaken, this::aRepeatAfterALostAnswerIsNeverRefused);
    isFound(
        FaultyOperatorApi::acknowledgesBothOfAPair,
        this::ofTwoChangesWithOneNumberOneIsTakenAndTheOtherRefused);
  }
}
