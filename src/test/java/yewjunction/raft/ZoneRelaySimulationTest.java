package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Members without a vote learn from their zone, whoever of it fails. */
class ZoneRelaySimulationTest extends RaftSimulation {
  private String relay(final String address) {
    return leader()
        .leaderState()
        .progressByMember()
        .get(members.get(address).identity())
        .relayAddress;
  }

  private void allLearn(final String when) {
    network.runFor(1_500);
    final long known = acknowledged.size();
    for (final String spare : SPARES) {
      final long learnt =
          acknowledged.stream().filter(recordings.get(spare).applied::containsValue).count();
      assertTrue(learnt >= known - 10, when + ": " + spare + " knows " + learnt + " of " + known);
    }
  }

  @Test
  void theLeaderServesOneInEachZone() {
    beginWithSpares(1);
    assertTrue(
        network.runUntil(() -> "d:1".equals(relay("d:2")), 2_000), "served by " + relay("d:2"));
    assertEquals("a:1", relay("a:2"));
    assertEquals("a:1", relay("a:3"));
    assertEquals("b:1", relay("b:2"));
    // Nobody votes in that zone: the first is served, and serves the other one.
    assertNull(relay("d:1"));
    assertEquals("d:1", relay("d:2"));
    assertNull(relay("c:1"));
    allLearn("all is well");
    // Close behind the end, or a vote could not be filled from them.
    SPARES.forEach(
        spare ->
            assertTrue(
                leader().reconfiguration().isCaughtUp(members.get(spare).identity()), spare));
  }

  @Test
  void whoeverServesAZoneMayGo() {
    beginWithSpares(2);
    final String served = RaftNode.addressOf(leader().identity()).equals("a:1") ? "b:1" : "a:1";
    network.host(served).powerOff();
    allLearn("without " + served);
    boot(served, false);
    network.host("d:1").kill();
    boot("d:1", false);
    assertTrue(
        network.runUntil(() -> "d:1".equals(relay("d:2")), 6_000), "served by " + relay("d:2"));
    allLearn("all are back");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 26, 74, 77, 98, 104, 105, 108})
  void oneHistoryWhoeverFails(final long seed) {
    history(seed, message -> {});
  }

  /**
   * Planted: what a zone hands on says nothing of its term, so a member takes a former leader's
   * word after it.
   */
  @Test
  void aMemberThatKeepsAnEarlierTermThanItsEntriesIsCaught() {
    int caught = 0;
    for (final long seed : new long[] {26, 74, 77, 98, 104, 105, 108}) {
      try {
        new ZoneRelaySimulationTest()
            .history(
                seed,
                message -> {
                  if (message instanceof RaftMessages.FetchResponse response) {
                    response.term = 0;
                  }
                });
      } catch (final IllegalStateException failure) {
        caught += failure.getMessage().startsWith("cut at") ? 1 : 0;
      }
    }
    assertTrue(caught > 0, "the planted fault showed in no world");
  }

  private void history(final long seed, final java.util.function.Consumer<Object> chosenTampering) {
    tampering = chosenTampering;
    beginWithSpares(seed);
    network.loss = 0.03;
    final List<String> all = List.copyOf(members.keySet());
    for (int round = 0; round < 12; round++) {
      final String victim = all.get(network.random.nextInt(all.size()));
      switch (network.random.nextInt(4)) {
        case 0 -> network.host(victim).kill();
        case 1 -> network.host(victim).powerOff();
        case 2 -> {
          network.host(victim).powerOff();
          network.host(victim).wipe();
        }
        default -> all.forEach(other -> network.cut(victim, other));
      }
      network.runFor(300 + network.random.nextInt(2_500));
      network.join();
      for (final String address : all) {
        if (!network.host(address).up()) {
          boot(address, false);
        }
      }
      network.runFor(2_500);
    }
    network.loss = 0;
    network.runFor(6_000);
    assertTrue(leader() != null, "nobody leads");
    for (final String address : all) {
      final long learnt =
          acknowledged.stream().filter(recordings.get(address).applied::containsValue).count();
      assertTrue(
          learnt >= acknowledged.size() - 10,
          address + " knows " + learnt + " of " + acknowledged.size());
    }
    assertTrue(acknowledged.size() > 500, "acknowledged " + acknowledged.size());
  }
}
