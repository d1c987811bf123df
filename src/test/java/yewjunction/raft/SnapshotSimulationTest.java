package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.common.Limits.LEDGER_BYTES;
import static yewjunction.common.Limits.LEDGER_TAIL_ENTRIES;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Members far behind, links that are narrow, and a load that goes on: a snapshot once begun is
 * finished.
 */
class SnapshotSimulationTest extends SnapshotSimulation {
  private static final List<String> LATE = List.of("d:1", "e:1");

  private boolean caughtUp(final String address) {
    final long applied = ledgers.get(address).applied();
    return leader() != null && applied > 0 && applied + 100 >= leader().applied();
  }

  private boolean all(final long withinMs) {
    return world.runUntil(() -> LATE.stream().allMatch(this::caughtUp), withinMs);
  }

  @Test
  void twoMembersCatchUpAtOnceOverANarrowLink() {
    beginNarrow(1, 3 << 20, 0);
    LATE.forEach(address -> boot(address, false));
    final int before = snapshots;
    // In full to both they take 25 s of the link.
    assertTrue(all(60_000), "not caught up in 60 s");
    assertEquals(before + 1, snapshots, "one is built, and both share it");
  }

  @Test
  void theFaultOfBeginningAnewIsSeen() {
    beginNarrow(1, 3 << 20, 0);
    // As it was: a piece that is late on the shared link, and the whole is begun again.
    world.every(1_000, () -> ledgers.values().forEach(ledger -> ledger.leading.images.drop()));
    LATE.forEach(address -> boot(address, false));
    assertFalse(all(60_000), "caught up with a sender that begins anew");
  }

  private void rewrittenMeanwhile(final long seed) {
    beginNarrow(seed, 6 << 20, LEDGER_BYTES - 800_000);
    world.host("c:1").powerOff();
    world.every(5, () -> propose(300));
    boot("d:1", false);
  }

  @Test
  void theLogKeepsWhatFollowsASnapshotUnderWay() {
    rewrittenMeanwhile(2);
    assertTrue(
        world.runUntil(() -> leader() != null && leader().log.baseIndex() > 0, 60_000),
        "never rewritten");
    assertFalse(caughtUp("d:1"), "caught up before the log was cut");
    final RaftNode cutting = leader();
    assertTrue(
        cutting.applied() - cutting.log.baseIndex() > LEDGER_TAIL_ENTRIES,
        "no more than the usual tail is kept");
    assertTrue(world.runUntil(() -> caughtUp("d:1"), 120_000), "not caught up");
    // What was kept lies in the rewritten file, too.
    final long base = cutting.log.baseIndex();
    final String address = RaftNode.address(cutting.identity());
    world.host(address).powerOff();
    boot(address, false);
    assertEquals(base, ledgers.get(address).log.baseIndex());
  }

  @Test
  void theFaultOfALogCutPastTheSnapshotIsSeen() {
    rewrittenMeanwhile(2);
    world.every(
        500,
        () -> {
          if (leader() != null) {
            leader().log.dropTo(leader().applied() - LEDGER_TAIL_ENTRIES);
          }
        });
    assertFalse(
        world.runUntil(() -> caughtUp("d:1"), 120_000), "caught up although the log was cut");
  }

  /** A member that holds a part of its snapshot. */
  private RaftNode halfWay(final long seed) {
    beginNarrow(seed, 3 << 20, 0);
    boot("d:1", false);
    world.runFor(8_000);
    assertTrue(leader().leading.images.sends(ledgers.get("d:1").identity()), "not under way");
    return leader();
  }

  private void finishes(final int built) {
    assertTrue(world.runUntil(() -> caughtUp("d:1"), 60_000), "not caught up");
    assertEquals(built, snapshots, "snapshots built");
    final List<Long> owed = List.copyOf(acknowledged);
    world.runFor(500);
    assertTrue(tales.get("d:1").told.values().containsAll(owed), "lacks what was acknowledged");
  }

  @Test
  void aReceiverThatRestartsGetsTheSameOne() {
    halfWay(3);
    final int built = snapshots;
    world.host("d:1").kill();
    world.runFor(2_000);
    boot("d:1", false);
    finishes(built);
  }

  @Test
  void aCutOfSomeSecondsLosesOnePieceAndNotTheWhole() {
    halfWay(4);
    final int built = snapshots;
    addresses.forEach(address -> world.cut("d:1", address));
    world.runFor(6_000);
    world.join();
    final long startMs = world.nowMs();
    finishes(built);
    // The whole takes 14 s of the link, and more than a third was there.
    assertTrue(world.nowMs() - startMs < 13_000, "took " + (world.nowMs() - startMs) + " ms");
  }

  @Test
  void aSenderThatDiesIsFollowedByOneThatBeginsAnew() {
    final RaftNode sender = halfWay(5);
    final int built = snapshots;
    world.host(RaftNode.address(sender.identity())).kill();
    finishes(built + 1);
  }

  @Test
  void aReceiverWhoseDiskIsLostIsAnotherOne() {
    final RaftNode sender = halfWay(6);
    final int built = snapshots;
    final String before = ledgers.get("d:1").identity();
    world.host("d:1").powerOff();
    world.host("d:1").wipe();
    boot("d:1", false);
    finishes(built);
    world.runFor(15_000);
    assertFalse(sender.leading.images.sends(before), "a snapshot is held for a name that is gone");
    assertFalse(sender.leading.images.sends(ledgers.get("d:1").identity()));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 300, 600, 900, 999, 1_001, 1_100, 2_000})
  void aLossOfPowerWhileItIsInstalledLeavesTheOldOrTheNew(final long lateMs) {
    final long term = halfWay(7).archive.term;
    final int built = snapshots;
    // The whole is there, and on its way to a disk that takes a second for it.
    world.host("d:1").syncMicros = 1_000_000;
    assertTrue(world.runUntil(() -> ledgers.get("d:1").applied() > 0, 30_000));
    world.runFor(lateMs);
    world.host("d:1").powerOff();
    world.host("d:1").syncMicros = 2_000;
    world.runFor(1_000);
    boot("d:1", false);
    // Whoever leads may go once all pieces are there: where the new is lost the next leader builds
    // one, and nobody else.
    final boolean kept = ledgers.get("d:1").applied() > 0;
    assertTrue(world.runUntil(() -> caughtUp("d:1"), 60_000), "not caught up");
    finishes(kept ? built : built + (int) (leader().archive.term - term));
  }

  @Test
  void noneIsBuiltForASilentPeer() {
    beginNarrow(8, 1 << 20, LEDGER_BYTES - 200_000);
    world.host("c:1").powerOff();
    world.every(5, () -> propose(300));
    assertTrue(
        world.runUntil(() -> leader() != null && leader().log.baseIndex() > 0, 60_000),
        "never rewritten");
    // The other one rewrites its file at the same entry.
    world.runFor(500);
    // As after a change of the leader, or a cut by the bound: nothing is known to be there.
    leader().leading.standings.get("c:1#founder").next = 1;
    leader().leading.standings.get("c:1#founder").match = 0;
    final int built = snapshots;
    world.runFor(5_000);
    assertEquals(built, snapshots);
    boot("c:1", false);
    assertTrue(world.runUntil(() -> caughtUp("c:1"), 30_000), "not caught up");
  }

  @Test
  void aMemberFarBehindByEntriesAloneHoldsUpNoBeats() {
    begin(12);
    assertTrue(world.runUntil(() -> acknowledged.size() > 50, 10_000));
    world.loss = 0;
    final String away =
        addresses.stream()
            .filter(one -> !one.equals(RaftNode.address(leader().identity())))
            .findFirst()
            .orElseThrow();
    addresses.forEach(one -> world.cut(away, one));
    for (int i = 0; i < 3_000; i++) {
      propose(2_000);
      world.runFor(2);
    }
    addresses.forEach(address -> world.narrow(address, NARROW));
    world.join();
    final long term = leader().archive.term;
    // 6 MB, 24 s of the link, and nothing of it as a snapshot.
    final int built = snapshots;
    assertTrue(world.runUntil(() -> caughtUp(away), 60_000), "not caught up");
    assertEquals(term, leader().archive.term, "the leader was lost");
    assertEquals(built, snapshots);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 12})
  void aLargeStateArrivesUnderLoad(final int megabytes) {
    beginNarrow(13, megabytes << 20, 0);
    // Each entry is a letter of its own here: more losses alone would make all answers late.
    world.loss = 0.001;
    world.every(5, () -> propose(300));
    boot("d:1", false);
    // Two voters' entries take more than half of the link: 110 s for the larger, and as many
    // entries again meanwhile.
    assertTrue(world.runUntil(() -> caughtUp("d:1"), 600_000), "not caught up in 600 s");
  }
}
