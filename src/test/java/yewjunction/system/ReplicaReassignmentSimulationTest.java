package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.limits.LeaseLimits.REPLICA_RETIREMENT_MS;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.common.PeerTransport;
import yewjunction.control.StaleRegistration;
import yewjunction.membership.NodeRole;

/**
 * An edge whose replica's name was given up serves again under a new one, and its clients miss
 * nothing.
 */
class ReplicaReassignmentSimulationTest extends SystemSimulation {
  private void begin(final long seed) {
    open(seed, SimulatedCluster.tenant("t", "key", 1_000));
    for (int i = 0; i < 12; i++) {
      final SimulatedClient client =
          new SimulatedClient(cluster, checker, "c" + i, "zone" + (1 + i % 3), "key");
      for (int topic = 0; topic < 3; topic++) {
        client.subscribe("s.t" + (i + topic) % 6);
      }
    }
    publishEvery(40, 6);
    cluster.network.runFor(2_000);
  }

  /**
   * With its zone's other edge gone the zone's clients come to it, and all that is published comes
   * to them.
   */
  private void served(final String edge) {
    final String zone = SimulatedCluster.zone(edge);
    cluster.all(NodeRole.EDGE).stream()
        .filter(other -> !other.equals(edge) && SimulatedCluster.zone(other).equals(zone))
        .forEach(cluster::powerOff);
    // Connections that were held up end, and its next lease tells it of its name.
    cluster.network.runFor(8_000);
    assertTrue(cluster.edge(edge).ready(), edge + " is not ready");
    cluster.clients.stream()
        .filter(client -> client.zone.equals(zone))
        .forEach(SimulatedClient::resetConnection);
    cluster.network.runFor(4_000);
    // Another serving store knows of them by the set alone.
    cluster.kill(edge.substring(0, edge.indexOf(":") - 1) + "9:" + SimulatedCluster.PORT);
    cluster.network.runFor(4_000);
    final long fromMs = cluster.network.nowMs();
    final List<String> here =
        cluster.clients.stream()
            .filter(client -> edge.equals(client.edge()))
            .map(client -> client.name)
            .toList();
    cluster.network.runFor(4_000);
    final long arrived =
        checker.arrivals.stream()
            .filter(arrival -> here.contains(arrival.client()) && arrival.sentMs() > fromMs)
            .count();
    assertTrue(here.size() >= 3 && arrived > 50, arrived + " arrived of " + here);
    settle();
    assertEquals(List.of(), checker.expired);
  }

  /**
   * An earlier life asked for its name through a control node whose message to the leader comes
   * late.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void anEarlierLifesLateRequestDisplacesNobody(final long seed) {
    begin(seed);
    final String edge = cluster.clients.get(0).edge();
    final PeerTransport controlTransport = cluster.network.host("10.9.0.1:1").boot();
    cluster
        .all(NodeRole.CONTROL)
        .forEach(
            other ->
                controlTransport
                    .connect(other)
                    .send(StaleRegistration.registerRequest(edge, 1_000_000)));
    cluster.network.runFor(1_000);
    served(edge);
  }

  /** The same day without any of it. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void whoKeepsItsNameServesOn(final long seed) {
    begin(seed);
    cluster.network.runFor(1_000);
    served(cluster.clients.get(0).edge());
  }

  /** Away for so long that the control group has given its name up, and back in the same life. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void whoWasAwayForLongComesBackUnderAnotherName(final long seed) {
    begin(seed);
    final String edge = cluster.clients.get(0).edge();
    cluster.nodes.keySet().stream()
        .filter(other -> !other.equals(edge))
        .forEach(other -> cluster.network.cut(edge, other));
    cluster.network.runFor(REPLICA_RETIREMENT_MS + 15_000);
    cluster.network.join();
    served(edge);
  }
}
