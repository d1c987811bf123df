package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.limits.LeaseLimits.LEASE_DURATION_MS;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yewjunction.control.LeaseMessages.LeaseRequest;
import yewjunction.control.LeaseMessages.LeaseResponse;
import yewjunction.membership.NodeRole;
import yewjunction.simulation.ScriptedTransport;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;

/**
 * A lease counts only as the answer to a question of this life, from the control node that it was
 * asked of, and from when it was.
 */
class LeaseResponsesTest {
  private final List<String> controlNodes = new ArrayList<>(List.of("near:1", "far:1"));
  private ScriptedTransport transport;
  private SimulatedNetwork network;
  private long lives;
  private LeaseClient leaseClient;

  private static final class IgnoringListener implements LeaseClient.Listener {
    @Override
    public void onConfigurationChanged(final Configuration configuration) {}

    @Override
    public void onClusterStateChanged(final ClusterState clusterState) {}
  }

  private ScriptedTransport.ScriptedConnection connection(final String address) {
    return transport.connect(address);
  }

  /** A life of an edge, which has asked once and knows the configuration already. */
  private void begin(final boolean drawn) {
    transport = new ScriptedTransport();
    network = new SimulatedNetwork(1);
    final SimulatedHost host = network.host("edge:1");
    host.boot();
    network.runFor(100_000);
    leaseClient =
        new LeaseClient(host, transport, () -> controlNodes, new IgnoringListener())
            .identifiedAs("edge:1", "edge", "zone", NodeRole.EDGE, drawn ? ++lives : 1);
    leaseClient.start();
    final LeaseResponse response = new LeaseResponse();
    response.version = 7;
    response.json = ConfigurationTest.json("", "");
    transport.respond("near:1", response);
    assertFalse(leaseClient.isHeld(), "news are no lease");
  }

  private void grant(final String from, final LeaseRequest request) {
    final LeaseResponse response = new LeaseResponse();
    response.granted = true;
    response.version = 7;
    response.requestId = request.requestId;
    transport.respond(from, response);
  }

  @Test
  void itEndsSoLongAfterItsOwnRequest() {
    begin(true);
    final LeaseRequest first = connection("near:1").newest();
    final long askedMs = network.nowMs();
    network.runFor(300);
    assertTrue(
        connection("far:1").size() + connection("near:1").size() > 1, "a newer question is open");
    grant("near:1", first);
    network.runFor(askedMs + LEASE_DURATION_MS - 1 - network.nowMs());
    assertTrue(leaseClient.isHeld());
    network.runFor(1);
    assertFalse(leaseClient.isHeld());
  }

  @Test
  void anotherControlNodesResponseIsNone() {
    begin(true);
    grant("far:1", connection("near:1").newest());
    assertFalse(leaseClient.isHeld());
    grant("near:1", connection("near:1").newest());
    assertTrue(leaseClient.isHeld());
  }

  @Test
  void whoseResponseCameIsAskedNext() {
    begin(true);
    final LeaseRequest first = connection("near:1").newest();
    network.runUntil(() -> connection("far:1").size() > 0, 1_000);
    final int askedFar = connection("far:1").size();
    final int askedNear = connection("near:1").size();
    grant("near:1", first);
    network.runUntil(
        () -> connection("far:1").size() > askedFar || connection("near:1").size() > askedNear,
        1_000);
    assertEquals(askedFar, connection("far:1").size(), "the other one has not answered yet");
    assertEquals(askedNear + 1, connection("near:1").size());
    network.runFor(2_000);
    assertTrue(connection("far:1").size() > askedFar, "asked again once this one is silent");
  }

  /**
   * An answer to the first life's question reaches the second one, as it were on a connection that
   * outlived the first.
   */
  private boolean heldByAnEarlierLifesLease(final boolean drawn) {
    begin(drawn);
    final LeaseRequest earlier = connection("near:1").newest();
    begin(drawn);
    assertEquals(1, connection("near:1").size());
    grant("near:1", earlier);
    return leaseClient.isHeld();
  }

  @Test
  void anEarlierLifesLeaseIsNone() {
    assertFalse(heldByAnEarlierLifesLease(true));
  }

  /** The fault planted: each life draws the same, and so numbers alike. */
  @Test
  void withNumbersThatBeginAlikeItCounts() {
    assertTrue(heldByAnEarlierLifesLease(false));
  }
}
