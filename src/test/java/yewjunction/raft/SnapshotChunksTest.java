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
    world.runFor(1_000);
    boot("d:1", false);
    world.runFor(8_000);
    final long numbers = snapshots;
    leader().leading.images.drop();
    final boolean whole = world.runUntil(() -> ledgers.get("d:1").applied() > 0, 60_000);
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
        letter -> {
          if (letter instanceof RaftMessages.InstallSnapshotRequest image) {
            number[0] = Math.max(number[0], image.number);
            image.number = 1;
          } else if (letter instanceof RaftMessages.InstallSnapshotResponse answer) {
            answer.number = number[0];
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
    assertTrue(world.runUntil(() -> acknowledged.size() > 50, 10_000));
    final RaftNode follower =
        ledgers.values().stream().filter(one -> !one.leadsTerm()).findFirst().orElseThrow();
    assertTrue(world.runUntil(() -> follower.log.lastIndex() > follower.commit() + 1, 10_000));
    final long last = follower.log.lastIndex();
    final RaftMessages.InstallSnapshotRequest image = new RaftMessages.InstallSnapshotRequest();
    image.from = leader().identity();
    image.term = leader().archive.term;
    image.lastIndex = follower.commit() + 1;
    image.lastTerm = follower.log.termAt(image.lastIndex);
    image.number = 1;
    // All of it in one piece: to be installed, were the entries not here.
    image.piece = tales.get(RaftNode.address(leader().identity())).snapshot();
    image.length = image.piece.length;
    follower.following.image(follower.post.dial(RaftNode.address(image.from)), image);
    assertEquals(
        last, follower.log.lastIndex(), "entries that may have been acknowledged are gone");
    assertEquals(image.lastIndex, follower.commit());
  }
}
