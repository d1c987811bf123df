package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The short run of the model check, and faults that it must find. The long one:
 * docs/control/model.md.
 */
class ModelCheckTest {
  private static final int THREADS = 4;
  private static final int LENGTH = 400;
  private static final int WALKS = 50;
  private static final long MOST_MS = 600_000;
  private static final long PLENTY = 100_000_000;
  private static final PrintStream OUT = System.out;

  @BeforeAll
  static void silence() {
    // Each of a million starts would say that a log opened.
    System.setProperty("tinylog.level", "off");
    System.setOut(new PrintStream(OutputStream.nullOutputStream()));
  }

  @AfterAll
  static void speak() {
    System.setOut(OUT);
  }

  static Stream<ModelSetup> setups() {
    return ModelSetup.ALL.stream();
  }

  @ParameterizedTest
  @MethodSource("setups")
  void noScheduleOfAFewStepsBreaksAnInvariant(final ModelSetup setup) {
    // With each member more a step has more choices.
    final int depth = setup.addresses().size() == 3 ? 5 : 4;
    final ModelSearch.Result result =
        new ModelSearch(setup, ModelFault.NONE, THREADS, 0).run(depth, PLENTY, MOST_MS);
    OUT.println("model " + result);
    assertNull(result.finding());
    assertTrue(
        result.complete() && result.depth() == depth && result.states() > 100, result.toString());
  }

  @ParameterizedTest
  @MethodSource("setups")
  void noLongRandomScheduleBreaksAnInvariant(final ModelSetup setup) {
    final ModelWalks walks = new ModelWalks(setup, ModelFault.NONE, LENGTH);
    for (long seed = 1; seed <= WALKS; seed++) {
      assertNull(walks.walk(seed));
    }
    final long[] reached = walks.reached();
    OUT.println("model walks " + setup.name() + " " + java.util.Arrays.toString(reached));
    // A walk that elects nobody, acknowledges nothing or loses no disk shows nothing.
    assertEquals(WALKS * LENGTH, reached[0]);
    assertTrue(
        reached[1] > WALKS && reached[2] > WALKS && reached[4] > 0,
        java.util.Arrays.toString(reached));
  }

  /**
   * A spare takes an entry of term 3 from the member that relays to it, while it follows the leader
   * of term 2 that has not heard of its end and appends its own entry at the same index.
   */
  @Test
  void aMemberFedByARelayIsNotLedAstrayByADeposedLeader() {
    final String steps =
        "b2 t2 t1 d2>0 t0 r0>2 d0>1 d2>1 t2 d2>3 d0>3 t0 d0>2 t0 d2>1 d2>0 d0>1 t3 r1>2 s2 d0>1 d0>2 d2>1"
            + " r1>0 d0>2 s0 d0>1 d0>2 d2>0 s1 r0>2 d3>0 d3>0 s1 r1>0 r1>2 d2>0 s0 r0>2 d2>1 d3>0 t1 d0>2 s2 t0 d0>1 p2 r1>0 s0"
            + " d0>1 s1 s1 r1>0 s0 d0>1 s1 r1>0 r0>3 d2>3";
    assertNull(
        ModelFinding.replay(ModelSetup.named("seats"), ModelFault.NONE, ModelStep.parse(steps)));
  }

  /** What a search finds with the fault, a search of the same bound does not find without it. */
  @ParameterizedTest
  @CsvSource({
    "VOTE_FORGOTTEN, votes3, 8, one leader a term",
    "ROUND_MADE_UP, deposed3, 5, no fact from a deposed leader",
    "ANSWERED_BEFORE_SYNC, fresh3, 7, committed is durable"
  })
  void aPlantedFaultIsFoundByTheSearch(
      final ModelFault fault, final String name, final int depth, final String invariant) {
    final ModelSetup setup = ModelSetup.named(name);
    final ModelFinding finding =
        new ModelSearch(setup, fault, THREADS, 0).run(depth, PLENTY, MOST_MS).finding();
    found(finding, invariant);
    final ModelSearch.Result honest =
        new ModelSearch(setup, ModelFault.NONE, THREADS, 0).run(depth, PLENTY, MOST_MS);
    assertNull(honest.finding());
    assertTrue(honest.complete(), honest.toString());
  }

  @ParameterizedTest
  @CsvSource({
    "SYNC_SKIPPED, fresh3, 20, committed is durable",
    "OLD_NAME_AFTER_WIPE, led3, 100, nothing committed is lost",
    "CLOSE_UNTOLD, led3, 20, it goes on"
  })
  void aPlantedFaultIsFoundByWalks(
      final ModelFault fault, final String name, final int seeds, final String invariant) {
    final ModelSetup setup = ModelSetup.named(name);
    final ModelWalks walks = new ModelWalks(setup, fault, LENGTH);
    ModelFinding finding = null;
    for (long seed = 1; seed <= seeds && finding == null; seed++) {
      finding = walks.walk(seed);
    }
    found(finding, invariant);
    final ModelWalks honest = new ModelWalks(setup, ModelFault.NONE, LENGTH);
    for (long seed = 1; seed <= seeds; seed++) {
      assertNull(honest.walk(seed));
    }
  }

  /**
   * The text that is printed breaks the same, shrunk and replayed; the same steps without the fault
   * break nothing.
   */
  private static void found(final ModelFinding finding, final String invariant) {
    assertNotNull(finding, "the fault was not found");
    final ModelFinding shrunk = finding.shrunk();
    OUT.println("model " + shrunk);
    assertEquals(invariant, finding.invariant());
    assertTrue(shrunk.schedule().length() <= finding.schedule().length());
    final String steps = ModelStep.text(shrunk.schedule());
    final ModelFinding again =
        ModelFinding.replay(finding.setup(), finding.fault(), ModelStep.parse(steps));
    assertNotNull(again, "not broken again by " + steps);
    assertEquals(invariant, again.invariant());
  }

  @Test
  void theSameScheduleAlwaysLeadsToTheSameState() {
    final ModelSetup setup = ModelSetup.named("led3");
    final String schedule =
        ModelStep.parse("p0 s0 d0>1 s1 k0 d0>1 t1 f2 d1>2 r2>1 s1 d1>2 s2 s2 r2>1");
    final long once = ModelDigest.of(new ModelWorld(setup, ModelFault.NONE).run(schedule));
    assertEquals(once, ModelDigest.of(new ModelWorld(setup, ModelFault.NONE).run(schedule)));
    assertTrue(
        once
            != ModelDigest.of(
                new ModelWorld(setup, ModelFault.NONE)
                    .run(schedule.substring(0, schedule.length() - 1))));
    assertEquals(
        1,
        new ModelWorld(setup, ModelFault.NONE)
            .run(schedule).hosts.stream()
                .filter(host -> host.up() && host.raftNode.isLeader())
                .count());
  }
}
