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

/**
 * Three members under random kills, losses of power, wiped disks, cuts and leadership transfers.
 */
class RaftSimulationTest extends RaftSimulation {
  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void nothingAcknowledgedIsLostUnderOneLossAtATime(final long seed) {
    begin(seed);
    network.loss = 0.02;
    for (int round = 0; round < 12; round++) {
      network.runFor(500 + network.random.nextInt(3_000));
      final String victim = addresses.get(network.random.nextInt(3));
      final String other = addresses.get(network.random.nextInt(3));
      switch (network.random.nextInt(6)) {
        case 0 -> network.host(victim).kill();
        case 1 -> network.host(victim).powerOff();
        case 2 -> {
          // A lost disk counts as a loss until the machine has caught up.
          network.host(victim).powerOff();
          network.host(victim).wipe();
        }
        case 3 -> {
          if (!victim.equals(other)) {
            network.cut(victim, other);
          }
        }
        case 4 -> members.get(victim).reconfiguration().transferLeadership(() -> {});
        default -> addresses.forEach(address -> network.host(address).powerOff());
      }
      network.runFor(200 + network.random.nextInt(2_000));
      network.join();
      for (final String address : addresses) {
        if (!network.host(address).up()) {
          boot(address, false);
        }
      }
      network.runFor(6_000);
    }
    checkAll();
    assertTrue(acknowledged.size() > 1_000, "only " + acknowledged.size());
  }

  @Test
  void aWipedMemberNeverVotesUnderItsOldName() {
    begin(42);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    final String victim = RaftNode.addressOf(leader().identity());
    // The leader loses its disk while one other loses power: one disk alone holds the newest
    // entries for sure.
    final SimulatedHost wiped = network.host(victim);
    wiped.powerOff();
    wiped.wipe();
    final String other =
        addresses.stream().filter(one -> !one.equals(victim)).findFirst().orElseThrow();
    network.host(other).powerOff();
    boot(victim, false);
    final long before = acknowledged.size();
    network.runFor(5_000);
    // The wiped one and one old member are no majority of the old voters.
    assertEquals(before, acknowledged.size());
    boot(other, false);
    assertTrue(network.runUntil(() -> acknowledged.size() > before + 50, 10_000));
    checkAll();
  }

  @Test
  void aLeadershipTransferLeavesNoGapOfAnElection() {
    begin(5);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    network.loss = 0;
    final RaftNode old = leader();
    final long startMs = network.nowMs();
    old.reconfiguration().transferLeadership(() -> {});
    assertTrue(network.runUntil(() -> leader() != null && leader() != old, 2_000));
    assertTrue(network.nowMs() - startMs < 150, "took " + (network.nowMs() - startMs) + " ms");
  }

  @Test
  void aKilledLeaderIsReplacedWithoutFullPatience() {
    begin(11);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    network.loss = 0;
    final RaftNode old = leader();
    final long startMs = network.nowMs();
    network.host(RaftNode.addressOf(old.identity())).kill();
    assertTrue(network.runUntil(() -> leader() != null, 5_000));
    assertTrue(network.nowMs() - startMs < 450, "took " + (network.nowMs() - startMs) + " ms");
  }

  @Test
  void aLeaderWhoseOwnConnectionsAreBadTransfersItsLeadership() {
    begin(12);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    network.loss = 0;
    final String slow = RaftNode.addressOf(leader().identity());
    // Every piece to or from this machine takes far longer than a heartbeat.
    network.drag(slow, 150);
    assertTrue(
        network.runUntil(
            () -> leader() != null && !RaftNode.addressOf(leader().identity()).equals(slow),
            10_000));
    final String next = leader().identity();
    network.runFor(8_000);
    assertEquals(next, leader().identity());
  }

  @Test
  void aLongLogIsRewrittenAndStillOpens() {
    begin(9);
    assertTrue(network.runUntil(() -> acknowledged.size() > 20, 10_000));
    final byte[] large = new byte[300_000];
    for (int i = 0; i < 60; i++) {
      network.runUntil(() -> leader() != null, 5_000);
      large[7] = (byte) i;
      ByteBuffer.wrap(large).putLong(1_000_000 + i);
      leader().propose(large.clone(), done -> {});
      network.runFor(100);
    }
    network.runFor(2_000);
    final int length = network.host("a:1").disk.read("log").length;
    assertTrue(length < 14 << 20, "file of " + length);
    final List<Long> before = new ArrayList<>(recordings.get("a:1").applied.values());
    network.host("a:1").kill();
    boot("a:1", false);
    network.runFor(3_000);
    assertTrue(recordings.get("a:1").applied.values().containsAll(before));
    assertNotNull(leader());
    checkAll();
  }
}
