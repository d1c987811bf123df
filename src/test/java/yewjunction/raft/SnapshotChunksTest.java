package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Pieces are put together only with pieces of the same snapshot, and nothing that is here already
 * is given up for one.
 */
class SnapshotChunksTest extends SnapshotSimulation {
  /**
   * A second snapshot of the same index, since nothing is proposed, and with other bytes: the clock
   * is in it.
   */
  private boolean twoOfOneIndex() {
    beginNarrow(9, 3 << 20, 0);
    quiet = true;
    network.runFor(1_000);
    boot("d:1", false);
    network.runFor(8_000);
    final long numbers = snapshots;
    leader().leaderState().snapshotTransfer().abandonAll();
    final boolean whole = network.runUntil(() -> members.get("d:1").appliedIndex() > 0, 60_000);
    assertEquals(numbers + 1, snapshots);
    return whole;
  }

  @Test
  void twoSnapshotsOfOneIndexAreNeverMixed() {
    assertTrue(twoOfOneIndex(), "not caught up");
  }

  @Test
  void theFaultOfTakingTwoForOneIsSeen() {
    // As it was: only the index tells them apart.
    final long[] number = new long[1];
    tampering =
        message -> {
          if (message instanceof RaftMessages.InstallSnapshotRequest request) {
            number[0] = Math.max(number[0], request.snapshotNumber);
            request.snapshotNumber = 1;
          } else if (message instanceof RaftMessages.InstallSnapshotResponse response) {
            response.snapshotNumber = number[0];
          }
        };
    assertTrue(
        assertThrows(AssertionError.class, this::twoOfOneIndex)
            .getMessage()
            .contains("put together from two"));
  }

  @Test
  void whatLiesBehindTheSnapshotStaysWithWhoeverHasIt() {
    begin(10);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    final RaftNode follower =
        members.values().stream().filter(one -> !one.isLeader()).findFirst().orElseThrow();
    assertTrue(
        network.runUntil(() -> follower.log().lastIndex() > follower.commitIndex() + 1, 10_000));
    final long last = follower.log().lastIndex();
    final RaftMessages.InstallSnapshotRequest request = new RaftMessages.InstallSnapshotRequest();
    request.from = leader().identity();
    request.term = leader().currentTerm();
    request.lastIndex = follower.commitIndex() + 1;
    request.lastTerm = follower.log().termAt(request.lastIndex);
    request.snapshotNumber = 1;
    // All of it in one piece: to be installed, were the entries not here.
    request.chunk = recordings.get(RaftNode.addressOf(leader().identity())).snapshot();
    request.totalBytes = request.chunk.length;
    follower
        .followerState()
        .onInstallSnapshot(follower.transport().connect(RaftNode.addressOf(request.from)), request);
    assertEquals(
        last, follower.log().lastIndex(), "entries that may have been acknowledged are gone");
    assertEquals(request.lastIndex, follower.commitIndex());
  }
}
