package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.simulation.SimulatedHost;

/** Three members under random kills, losses of power, wiped disks, cuts and hand-overs. */
class RaftSimulationTest extends RaftSimulation {
  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void nothingAcknowledgedIsLostUnderOneLossAtATime(final long seed) {
    begin(seed);
    world.loss = 0.02;
    for (int round = 0; round < 12; round++) {
      world.runFor(500 + world.luck.nextInt(3_000));
      final String victim = addresses.get(world.luck.nextInt(3));
      final String other = addresses.get(world.luck.nextInt(3));
      switch (world.luck.nextInt(6)) {
        case 0 -> world.host(victim).kill();
        case 1 -> world.host(victim).powerOff();
        case 2 -> {
          // A lost disk counts as a loss until the machine has caught up.
          world.host(victim).powerOff();
          world.host(victim).wipe();
        }
        case 3 -> {
          if (!victim.equals(other)) {
            world.cut(victim, other);
          }
        }
        case 4 -> ledgers.get(victim).electorate().handOver(() -> {});
        default -> addresses.forEach(address -> world.host(address).powerOff());
      }
      world.runFor(200 + world.luck.nextInt(2_000));
      world.join();
      for (final String address : addresses) {
        if (!world.host(address).up()) {
          boot(address, false);
        }
      }
      world.runFor(6_000);
    }
    checkAll();
    assertTrue(acknowledged.size() > 1_000, "only " + acknowledged.size());
  }

  @Test
  void aWipedMemberNeverVotesUnderItsOldName() {
    begin(42);
    assertTrue(world.runUntil(() -> acknowledged.size() > 50, 10_000));
    final String victim = RaftNode.address(leader().identity());
    // The leader loses its disk while one other loses power: one disk alone holds the newest
    // entries for sure.
    final SimulatedHost wiped = world.host(victim);
    wiped.powerOff();
    wiped.wipe();
    final String other =
        addresses.stream().filter(one -> !one.equals(victim)).findFirst().orElseThrow();
    world.host(other).powerOff();
    boot(victim, false);
    final long before = acknowledged.size();
    world.runFor(5_000);
    // The wiped one and one old member are no majority of the old voters.
    assertEquals(before, acknowledged.size());
    boot(other, false);
    assertTrue(world.runUntil(() -> acknowledged.size() > before + 50, 10_000));
    checkAll();
  }

  @Test
  void aHandOverLeavesNoGapOfAnElection() {
    begin(5);
    assertTrue(world.runUntil(() -> acknowledged.size() > 50, 10_000));
    world.loss = 0;
    final RaftNode old = leader();
    final long startMs = world.nowMs();
    old.electorate().handOver(() -> {});
    assertTrue(world.runUntil(() -> leader() != null && leader() != old, 2_000));
    assertTrue(world.nowMs() - startMs < 150, "took " + (world.nowMs() - startMs) + " ms");
  }

  @Test
  void aKilledLeaderIsReplacedWithoutFullPatience() {
    begin(11);
    assertTrue(world.runUntil(() -> acknowledged.size() > 50, 10_000));
    world.loss = 0;
    final RaftNode old = leader();
    final long startMs = world.nowMs();
    world.host(RaftNode.address(old.identity())).kill();
    assertTrue(world.runUntil(() -> leader() != null, 5_000));
    assertTrue(world.nowMs() - startMs < 450, "took " + (world.nowMs() - startMs) + " ms");
  }

  @Test
  void aLeaderWhoseOwnLinksAreBadHandsOver() {
    begin(12);
    assertTrue(world.runUntil(() -> acknowledged.size() > 50, 10_000));
    world.loss = 0;
    final String slow = RaftNode.address(leader().identity());
    // Every piece to or from this machine takes far longer than a beat.
    world.drag(slow, 150);
    assertTrue(
        world.runUntil(
            () -> leader() != null && !RaftNode.address(leader().identity()).equals(slow), 10_000));
    final String next = leader().identity();
    world.runFor(8_000);
    assertEquals(next, leader().identity());
  }

  @Test
  void aLongLedgerIsRewrittenAndStillOpens() {
    begin(9);
    assertTrue(world.runUntil(() -> acknowledged.size() > 20, 10_000));
    final byte[] large = new byte[300_000];
    for (int i = 0; i < 60; i++) {
      world.runUntil(() -> leader() != null, 5_000);
      large[7] = (byte) i;
      ByteBuffer.wrap(large).putLong(1_000_000 + i);
      leader().propose(large.clone(), done -> {});
      world.runFor(100);
    }
    world.runFor(2_000);
    final int length = world.host("a:1").disk.read("ledger").length;
    assertTrue(length < 14 << 20, "file of " + length);
    final List<Long> before = new ArrayList<>(tales.get("a:1").told.values());
    world.host("a:1").kill();
    boot("a:1", false);
    world.runFor(3_000);
    assertTrue(tales.get("a:1").told.values().containsAll(before));
    assertNotNull(leader());
    checkAll();
  }
}
