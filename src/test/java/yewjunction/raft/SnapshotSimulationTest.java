package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.limits.StorageLimits.MIN_COMPACTION_BYTES;
import static yewjunction.limits.StorageLimits.RETAINED_TAIL_ENTRIES;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Members far behind, connections that are narrow, and a load that goes on: a snapshot once begun
 * is finished.
 */
class SnapshotSimulationTest extends SnapshotSimulation {
  private static final List<String> LATE = List.of("d:1", "e:1");

  private boolean caughtUp(final String address) {
    final long applied = members.get(address).appliedIndex();
    return leader() != null && applied > 0 && applied + 100 >= leader().appliedIndex();
  }

  private boolean all(final long withinMs) {
    return network.runUntil(() -> LATE.stream().allMatch(this::caughtUp), withinMs);
  }

  @Test
  void twoMembersCatchUpAtOnceOverANarrowConnection() {
    beginNarrow(1, 3 << 20, 0);
    LATE.forEach(address -> boot(address, false));
    final int before = snapshots;
    // In full to both they take 25 s of the connection.
    assertTrue(all(60_000), "not caught up in 60 s");
    assertEquals(before + 1, snapshots, "one is built, and both share it");
  }

  @Test
  void theFaultOfBeginningAnewIsSeen() {
    beginNarrow(1, 3 << 20, 0);
    // As it was: a piece that is late on the shared connection, and the whole is begun again.
    network.every(
        1_000,
        () ->
            members
                .values()
                .forEach(raftNode -> raftNode.leaderState().snapshotTransfer().abandonAll()));
    LATE.forEach(address -> boot(address, false));
    assertFalse(all(60_000), "caught up with a sender that begins anew");
  }

  private void rewrittenMeanwhile(final long seed) {
    beginNarrow(seed, 6 << 20, MIN_COMPACTION_BYTES - 800_000);
    network.host("c:1").powerOff();
    network.every(5, () -> propose(300));
    boot("d:1", false);
  }

  @Test
  void theLogKeepsWhatFollowsASnapshotUnderWay() {
    rewrittenMeanwhile(2);
    assertTrue(
        network.runUntil(() -> leader() != null && leader().log().snapshotIndex() > 0, 60_000),
        "never rewritten");
    assertFalse(caughtUp("d:1"), "caught up before the log was cut");
    final RaftNode cutting = leader();
    assertTrue(
        cutting.appliedIndex() - cutting.log().snapshotIndex() > RETAINED_TAIL_ENTRIES,
        "no more than the usual tail is kept");
    assertTrue(network.runUntil(() -> caughtUp("d:1"), 120_000), "not caught up");
    // What was kept lies in the rewritten file, too.
    final long base = cutting.log().snapshotIndex();
    final String address = RaftNode.addressOf(cutting.identity());
    network.host(address).powerOff();
    boot(address, false);
    assertEquals(base, members.get(address).log().snapshotIndex());
  }

  @Test
  void theFaultOfALogCutPastTheSnapshotIsSeen() {
    rewrittenMeanwhile(2);
    network.every(
        500,
        () -> {
          if (leader() != null) {
            leader().log().discardThrough(leader().appliedIndex() - RETAINED_TAIL_ENTRIES);
          }
        });
    assertFalse(
        network.runUntil(() -> caughtUp("d:1"), 120_000), "caught up although the log was cut");
  }

  /** A member that holds a part of its snapshot. */
  private RaftNode halfWay(final long seed) {
    beginNarrow(seed, 3 << 20, 0);
    boot("d:1", false);
    network.runFor(8_000);
    assertTrue(
        leader().leaderState().snapshotTransfer().isSendingTo(members.get("d:1").identity()),
        "not under way");
    return leader();
  }

  private void finishes(final int built) {
    assertTrue(network.runUntil(() -> caughtUp("d:1"), 60_000), "not caught up");
    assertEquals(built, snapshots, "snapshots built");
    final List<Long> owed = List.copyOf(acknowledged);
    network.runFor(500);
    assertTrue(
        recordings.get("d:1").applied.values().containsAll(owed), "lacks what was acknowledged");
  }

  @Test
  void aReceiverThatRestartsGetsTheSameOne() {
    halfWay(3);
    final int built = snapshots;
    network.host("d:1").kill();
    network.runFor(2_000);
    boot("d:1", false);
    finishes(built);
  }

  @Test
  void aCutOfSomeSecondsLosesOnePieceAndNotTheWhole() {
    halfWay(4);
    final int built = snapshots;
    addresses.forEach(address -> network.cut("d:1", address));
    network.runFor(6_000);
    network.join();
    final long startMs = network.nowMs();
    finishes(built);
    // The whole takes 14 s of the connection, and more than a third was there.
    assertTrue(network.nowMs() - startMs < 13_000, "took " + (network.nowMs() - startMs) + " ms");
  }

  @Test
  void aSenderThatDiesIsFollowedByOneThatBeginsAnew() {
    final RaftNode sender = halfWay(5);
    final int built = snapshots;
    network.host(RaftNode.addressOf(sender.identity())).kill();
    finishes(built + 1);
  }

  @Test
  void aReceiverWhoseDiskIsLostIsAnotherOne() {
    final RaftNode sender = halfWay(6);
    final int built = snapshots;
    final String before = members.get("d:1").identity();
    network.host("d:1").powerOff();
    network.host("d:1").wipe();
    boot("d:1", false);
    finishes(built);
    network.runFor(15_000);
    assertFalse(
        sender.leaderState().snapshotTransfer().isSendingTo(before),
        "a snapshot is held for a name that is gone");
    assertFalse(sender.leaderState().snapshotTransfer().isSendingTo(members.get("d:1").identity()));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 300, 600, 900, 999, 1_001, 1_100, 2_000})
  void aLossOfPowerWhileItIsInstalledLeavesTheOldOrTheNew(final long lateMs) {
    final long term = halfWay(7).currentTerm();
    final int built = snapshots;
    // The whole is there, and on its way to a disk that takes a second for it.
    network.host("d:1").syncMicros = 1_000_000;
    assertTrue(network.runUntil(() -> members.get("d:1").appliedIndex() > 0, 30_000));
    network.runFor(lateMs);
    network.host("d:1").powerOff();
    network.host("d:1").syncMicros = 2_000;
    network.runFor(1_000);
    boot("d:1", false);
    // Whoever leads may go once all pieces are there: where the new is lost the next leader builds
    // one, and nobody else.
    final boolean kept = members.get("d:1").appliedIndex() > 0;
    assertTrue(network.runUntil(() -> caughtUp("d:1"), 60_000), "not caught up");
    finishes(kept ? built : built + (int) (leader().currentTerm() - term));
  }

  @Test
  void noneIsBuiltForASilentMember() {
    beginNarrow(8, 1 << 20, MIN_COMPACTION_BYTES - 200_000);
    network.host("c:1").powerOff();
    network.every(5, () -> propose(300));
    assertTrue(
        network.runUntil(() -> leader() != null && leader().log().snapshotIndex() > 0, 60_000),
        "never rewritten");
    // The other one rewrites its file at the same entry.
    network.runFor(500);
    // As after a change of the leader, or a cut by the bound: nothing is known to be there.
    leader().leaderState().progressByMember().get("c:1#founder").nextIndex = 1;
    leader().leaderState().progressByMember().get("c:1#founder").matchIndex = 0;
    final int built = snapshots;
    network.runFor(5_000);
    assertEquals(built, snapshots);
    boot("c:1", false);
    assertTrue(network.runUntil(() -> caughtUp("c:1"), 30_000), "not caught up");
  }

  @Test
  void aMemberFarBehindByEntriesAloneHoldsUpNoHeartbeats() {
    begin(12);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    network.loss = 0;
    final String away =
        addresses.stream()
            .filter(one -> !one.equals(RaftNode.addressOf(leader().identity())))
            .findFirst()
            .orElseThrow();
    addresses.forEach(one -> network.cut(away, one));
    for (int i = 0; i < 3_000; i++) {
      propose(2_000);
      network.runFor(2);
    }
    addresses.forEach(address -> network.narrow(address, NARROW));
    network.join();
    final long term = leader().currentTerm();
    // 6 MB, 24 s of the connection, and nothing of it as a snapshot.
    final int built = snapshots;
    assertTrue(network.runUntil(() -> caughtUp(away), 60_000), "not caught up");
    assertEquals(term, leader().currentTerm(), "the leader was lost");
    assertEquals(built, snapshots);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 12})
  void aLargeStateArrivesUnderLoad(final int megabytes) {
    beginNarrow(13, megabytes << 20, 0);
    // Each entry is a message of its own here: more losses alone would make all answers late.
    network.loss = 0.001;
    network.every(5, () -> propose(300));
    boot("d:1", false);
    // Two voters' entries take more than half of the connection: 110 s for the larger, and as many
    // entries again meanwhile.
    assertTrue(network.runUntil(() -> caughtUp("d:1"), 600_000), "not caught up in 600 s");
  }
}
