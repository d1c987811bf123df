package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Three votes and more machines than that: who sits in them when machines go for good, fall silent
 * or stall.
 */
class VoterPlacementSimulationTest extends RaftSimulation {
  private void beginWith(final long seed, final String... spares) {
    begin(seed);
    assertTrue(network.runUntil(() -> acknowledged.size() > 50, 10_000));
    for (final String spare : spares) {
      boot(spare, false);
    }
    network.runFor(2_000);
  }

  private List<String> voters() {
    return leader() == null
        ? List.of()
        : leader().voters().stream().map(RaftNode::addressOf).sorted().toList();
  }

  private void awaitProgress(final long more, final long withinMs) {
    final long before = acknowledged.size();
    assertTrue(
        network.runUntil(() -> acknowledged.size() > before + more, withinMs),
        "stuck, voters " + voters());
  }

  @Test
  void aSpareMachineTakesNoVoteWhileAllAreFilled() {
    beginWith(1, "a:2", "b:2");
    assertEquals(addresses, voters());
    // It learns all the same, but for what is on its way right now.
    final long learnt =
        acknowledged.stream().filter(recordings.get("a:2").applied::containsValue).count();
    assertTrue(
        learnt > 50 && learnt >= acknowledged.size() - 5, learnt + " of " + acknowledged.size());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void aMachineReplacedAtAnotherAddressHasItsVoteBackBeforeTheNextLoss(final long seed) {
    beginWith(seed);
    network.loss = 0.02;
    final String gone = addresses.get((int) (seed % 3));
    network.host(gone).powerOff();
    network.runFor(1_000);
    // Empty, and nobody told the others that it stands for the one that went.
    boot("d:9", false);
    assertTrue(
        network.runUntil(() -> voters().contains("d:9") && voters().size() == 3, 4_000),
        "voters " + voters());
    // Committed and told: well within the time for which a machine that came back still counts as
    // lost.
    network.runFor(500);
    // From now on any other single machine may go, whether with its disk or without.
    final String next = addresses.get((int) ((seed + 1) % 3));
    network.host(next).powerOff();
    if (seed % 2 == 0) {
      network.host(next).wipe();
    }
    awaitProgress(50, 5_000);
    final String last = addresses.get((int) ((seed + 2) % 3));
    assertTrue(
        recordings.get(last).applied.values().containsAll(acknowledged)
            || recordings.get("d:9").applied.values().containsAll(acknowledged),
        "an acknowledged entry is gone");
    assertTrue(!voters().contains(gone), "the departed address votes");
  }

  @Test
  void oneThatLostItsVoteWhileItWasCutOffLearnsOfItAndWaitsAsASpare() {
    beginWith(7, "d:1");
    final String away =
        addresses.stream()
            .filter(one -> !one.equals(RaftNode.addressOf(leader().identity())))
            .findFirst()
            .orElseThrow();
    members.keySet().forEach(other -> network.cut(away, other));
    assertTrue(network.runUntil(() -> voters().contains("d:1"), 5_000));
    // Long enough for the leader to forget it altogether.
    network.runFor(25_000);
    network.join();
    network.runFor(6_000);
    assertEquals(voters().size(), 3);
    assertTrue(!voters().contains(away));
    // The load goes on: what is acknowledged this very moment reaches it within a heartbeat.
    final java.util.Set<Long> owed = java.util.Set.copyOf(acknowledged);
    network.runFor(100);
    assertTrue(
        recordings.get(away).applied.values().containsAll(owed), "it was not brought up to date");
    assertTrue(
        !members.get(away).voters().contains(members.get(away).identity()),
        "it still thinks that it votes");
  }

  @Test
  void aVoterWhoseDiskStallsGivesItsVoteToASpareAndALeaderTransfersItsLeadershipFirst() {
    beginWith(8, "d:1");
    final String stalled = RaftNode.addressOf(leader().identity());
    network.host(stalled).syncMicros = 60_000_000;
    assertTrue(
        network.runUntil(
            () -> leader() != null && !RaftNode.addressOf(leader().identity()).equals(stalled),
            4_000));
    assertTrue(
        network.runUntil(() -> !voters().contains(stalled) && voters().contains("d:1"), 8_000),
        "voters " + voters());
    // From here on somebody leads all the time, and what is offered is acknowledged.
    final long offeredBefore = proposed;
    final long before = acknowledged.size();
    network.runFor(3_000);
    final long offered = proposed - offeredBefore;
    assertTrue(
        offered > 80 && acknowledged.size() - before >= offered - 5,
        (acknowledged.size() - before) + " of " + offered);
  }

  @Test
  void aLeavingMachinePassesItsVoteOnBeforeItGoes() {
    beginWith(9, "d:1");
    leaving.put("b:1", true);
    assertTrue(network.runUntil(() -> voters().size() == 4, 5_000), "voters " + voters());
    assertTrue(voters().contains("d:1"));
  }

  /**
   * The one that leads, or another voter, stops for good while a spare that followed it is there.
   */
  private boolean replacedAsPlanned(final long seed, final boolean leads) {
    beginWith(seed);
    network.loss = 0.02;
    // The new machine first, then the old one's orderly stop.
    boot("d:9", false);
    network.runFor(2_000);
    final String gone =
        leads
            ? RaftNode.addressOf(leader().identity())
            : addresses.stream()
                .filter(one -> !one.equals(RaftNode.addressOf(leader().identity())))
                .findFirst()
                .orElseThrow();
    final boolean[] ended = new boolean[1];
    members
        .get(gone)
        .groupMembership()
        .leaveGroup(
            () -> {
              ended[0] = true;
              network.host(gone).powerOff();
            });
    network.runUntil(() -> ended[0], 3_000);
    network.host(gone).wipe();
    return leader() != null
        && voters()
            .equals(
                java.util.stream.Stream.concat(
                        addresses.stream(), java.util.stream.Stream.of("d:9"))
                    .filter(one -> !one.equals(gone))
                    .toList());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void aSpareHasTheVoteBeforeWhoeverStopsForGoodHasEnded(final long seed) {
    assertTrue(replacedAsPlanned(seed, seed % 2 == 0), "voters " + voters());
    // At once: its successor may have been there for long, so the next loss may come now, with its
    // disk.
    final String next = voters().get((int) (seed % 3));
    network.host(next).powerOff();
    network.host(next).wipe();
    awaitProgress(50, 5_000);
    final java.util.Set<Long> owed = java.util.Set.copyOf(acknowledged);
    network.runFor(100);
    assertTrue(
        recordings.get(RaftNode.addressOf(leader().identity())).applied.values().containsAll(owed),
        "an acknowledged entry is gone");
  }

  /**
   * Planted: what a member says of its end is not heard, so its vote passes only once it has been
   * silent.
   */
  @Test
  void aVoteThatPassesOnlyAfterSilenceIsSeen() {
    int late = 0;
    for (long seed = 1; seed <= 4; seed++) {
      final VoterPlacementSimulationTest one = new VoterPlacementSimulationTest();
      one.tampering =
          message -> {
            if (message instanceof RaftMessages.JoinRequest request) {
              request.leaving = null;
            }
          };
      late += one.replacedAsPlanned(seed, false) ? 0 : 1;
    }
    assertEquals(4, late);
  }

  @Test
  void aMemberThatStopsWithNobodyToTakeItsVoteEndsAtOnce() {
    beginWith(2);
    final String gone =
        addresses.stream()
            .filter(one -> !one.equals(RaftNode.addressOf(leader().identity())))
            .findFirst()
            .orElseThrow();
    final boolean[] ended = new boolean[1];
    members.get(gone).groupMembership().leaveGroup(() -> ended[0] = true);
    network.runFor(1);
    assertTrue(ended[0], "it waits for nothing");
    assertEquals(addresses, voters());
  }

  /** Planted: nobody but the former leader is asked, as when a spare never let go of one. */
  @Test
  void aSpareThatKnowsOnlyTheFormerLeaderIsSeenToStayOutside() {
    forgotten.addAll(addresses);
    beginWith(1, "d:9");
    final String gone = RaftNode.addressOf(leader().identity());
    network.host(gone).powerOff();
    assertTrue(
        !network.runUntil(() -> voters().contains("d:9"), 6_000),
        "the planted fault does not show");
    forgotten.clear();
    assertTrue(
        network.runUntil(() -> voters().contains("d:9") && !voters().contains(gone), 4_000),
        "voters " + voters());
  }

  /**
   * Away for as long as a vote is kept, and back: meanwhile another voter goes for good, but the
   * rest have everything.
   */
  @ParameterizedTest
  @ValueSource(ints = {1_450, 1_500, 1_550, 1_600, 1_650, 1_700, 1_750, 1_800, 1_850, 1_900})
  void nobodyIsVotedOutByAChangeThatCanNeverBeCommitted(final int awayMs) {
    beginWith(awayMs, "d:1");
    network.loss = 0;
    final List<String> others =
        addresses.stream()
            .filter(one -> !one.equals(RaftNode.addressOf(leader().identity())))
            .toList();
    members.keySet().forEach(other -> network.cut(others.get(0), other));
    network.runFor(awayMs);
    network.host(others.get(1)).powerOff();
    network.host(others.get(1)).wipe();
    network.runFor(100);
    network.join();
    awaitProgress(50, 12_000);
    assertTrue(
        recordings
            .get(RaftNode.addressOf(leader().identity()))
            .applied
            .values()
            .containsAll(acknowledged),
        "an acknowledged entry is gone");
  }

  @Test
  void aMemberThatLagsSaysForHowLong() {
    beginWith(3, "d:1");
    network.loss = 0;
    network.runFor(1_000);
    assertTrue(members.get("d:1").groupMembership().lagMs() < 100, "behind while all is well");
    // It hears how far the others are, but not the entries.
    network.host("d:1").messageFilter =
        message -> {
          if (message instanceof RaftMessages.AppendEntriesRequest request) {
            request.entries.clear();
            request.relayAddress = null;
          } else if (message instanceof RaftMessages.FetchResponse response) {
            response.entries.clear();
          }
        };
    assertTrue(network.runUntil(() -> members.get("d:1").groupMembership().lagMs() > 1_000, 3_000));
    network.host("d:1").messageFilter = message -> {};
    assertTrue(network.runUntil(() -> members.get("d:1").groupMembership().lagMs() == 0, 3_000));
  }
}
