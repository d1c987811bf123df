package yewjunction.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;

/** Who knows whom, under kills, restarts, losses and a cut between two. */
class MembershipSimulationTest {
  private final Map<String, MembershipList> rosters = new TreeMap<>();
  private final List<String> explained = new ArrayList<>();
  private SimulatedNetwork network;
  private long lives;

  private void boot(final String address) {
    final SimulatedHost host = network.host(address);
    host.boot();
    final Member self = new Member();
    self.address = address;
    self.node = "node-" + address;
    self.zone = "zone" + address.charAt(1);
    self.role = NodeRole.EDGE.wireName();
    self.life = ++lives;
    final MembershipList membership = new MembershipList(host, self, host::datagram);
    membership.setPlannedWork(
        member -> {
          explained.add(member.node);
          return "work";
        });
    host.onDatagram(membership::onMessage);
    rosters.put(address, membership);
    membership.start(List.of("a1:7", "a2:7"));
  }

  private void begin(final long seed) {
    network = new SimulatedNetwork(seed);
    for (final String address :
        List.of("a1:7", "b1:7", "c1:7", "a2:7", "b2:7", "c2:7", "d2:7", "e2:7")) {
      boot(address);
    }
    network.runFor(12_000);
    rosters.forEach(
        (address, membership) ->
            assertEquals(7, membership.membersUp(NodeRole.EDGE).size(), address));
  }

  private boolean allSee(final String address, final boolean up) {
    return rosters.entrySet().stream()
        .filter(one -> !one.getKey().equals(address) && network.host(one.getKey()).up())
        .allMatch(
            one ->
                one.getValue().membersUp(NodeRole.EDGE).stream()
                        .anyMatch(member -> member.address.equals(address))
                    == up);
  }

  @Test
  void aDeadMemberIsMissedByAllAndItsRestartIsSeen() {
    begin(1);
    network.host("b1:7").powerOff();
    assertTrue(network.runUntil(() -> allSee("b1:7", false), 15_000));
    assertTrue(explained.contains("node-b1:7"));
    boot("b1:7");
    assertTrue(network.runUntil(() -> allSee("b1:7", true), 10_000));
    assertEquals(lives, rosters.get("a2:7").memberAt("b1:7").life);
  }

  @Test
  void aCutBetweenTwoRemovesNobodyWhileOthersReachBoth() {
    begin(2);
    network.cut("c2:7", "d2:7");
    for (int second = 0; second < 60; second++) {
      network.runFor(1_000);
      assertTrue(allSee("c2:7", true) && allSee("d2:7", true), "second " + second);
    }
  }

  @Test
  void manyLostDatagramsRemoveNobodyForLong() {
    // Many worlds: in a single one it is chance, with or without a fault.
    final int worlds = 20;
    int wrong = 0;
    for (int seed = 1; seed <= worlds; seed++) {
      rosters.clear();
      begin(seed);
      network.loss = 0.15;
      for (int second = 0; second < 120; second++) {
        network.runFor(1_000);
        wrong += rosters.keySet().stream().allMatch(address -> allSee(address, true)) ? 0 : 1;
      }
    }
    assertTrue(
        wrong <= 2.5 * worlds,
        wrong + " seconds with somebody missing in " + worlds + " times 120");
  }

  @Test
  void oneThatLeavesIsGoneAtOnceWithoutSuspicion() {
    begin(4);
    explained.clear();
    rosters.get("c2:7").leave();
    network.runFor(30);
    network.host("c2:7").kill();
    assertTrue(network.runUntil(() -> allSee("c2:7", false), 12_000));
    assertEquals(List.of(), explained);
  }
}
