package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.control.LeaseMessages.ConfirmLeadershipRequest;
import yewjunction.control.LeaseMessages.ConfirmLeadershipResponse;
import yewjunction.control.LeaseMessages.LeaseRequest;
import yewjunction.control.LeaseMessages.LeaseResponse;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;
import yewjunction.settings.Settings;
import yewjunction.settings.SettingsBuilder;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;
import yewjunction.simulation.SimulatedNodes;

/**
 * A control node grants leases only on the word of the leader that it asked, on the connection on
 * which it asked.
 */
class LeadershipConfirmationTest {
  private static final List<String> CRUXES = List.of("10.1.0.1", "10.2.0.1", "10.3.0.1");
  private final Map<String, ControlNode> nodes = new TreeMap<>();
  private final List<ConfirmLeadershipRequest> asked = new ArrayList<>();
  private final List<LeaseResponse> leases = new ArrayList<>();
  private SimulatedNetwork network;
  private String leader;
  private String servingStore;
  private PeerTransport edge;
  private PeerTransport stranger;

  /** The leader's confirmation names no request that was sent. */
  private boolean mute;

  private static String address(final String ip) {
    return ip + ":" + (7000 + Settings.CONTROL_PORT_OFFSET);
  }

  /** Three control nodes with a configuration, and an edge that may ask any of them. */
  @BeforeEach
  void begin() {
    network = new SimulatedNetwork(3);
    network.loss = 0;
    final List<String> seeds = CRUXES.stream().map(ip -> ip + ":8024").toList();
    for (final String ip : CRUXES) {
      final Settings settings =
          SettingsBuilder.settings("node-" + ip, NodeRole.CONTROL.wireName(), ip)
              .zone("zone" + ip.charAt(3))
              .seeds(seeds)
              .bootstrap(true)
              .build();
      final SimulatedHost host = network.host(address(ip));
      nodes.put(
          address(ip),
          (ControlNode)
              SimulatedNodes.boot(host, settings, NodeRole.CONTROL, nodes.size() + 1).node());
      host.messageFilter =
          message -> {
            if (message instanceof ConfirmLeadershipRequest request) {
              leader = host.address;
              final ConfirmLeadershipRequest copy = new ConfirmLeadershipRequest();
              copy.requestId = request.requestId;
              asked.add(copy);
              request.requestId = mute ? -1 : request.requestId;
            }
          };
    }
    final byte[] body = ConfigurationTest.json("", "").getBytes(StandardCharsets.UTF_8);
    final List<Integer> taken = new ArrayList<>();
    assertTrue(
        network.runUntil(
            () -> {
              nodes
                  .values()
                  .forEach(
                      node ->
                          node.operatorApi()
                              .handle(
                                  new OperatorApi.Request("POST", "/-/config/replace", "0", body),
                                  response -> taken.add(response.status())));
              return taken.contains(200);
            },
            10_000));
    edge = network.host("10.9.0.1:1").boot();
    edge.onMessage(
        LeaseResponse.class,
        (connection, response) -> leases.addAll(response.granted ? List.of(response) : List.of()));
    stranger = network.host("10.9.0.2:1").boot();
    // Whoever does not lead asks the leader.
    network.runFor(1_000);
    nodes.keySet().forEach(this::renew);
    assertTrue(network.runUntil(() -> leader != null, 2_000));
    servingStore =
        nodes.keySet().stream().filter(one -> !one.equals(leader)).findFirst().orElseThrow();
    network.runFor(1_000);
    leases.clear();
    asked.clear();
  }

  private PeerConnection renew(final String controlNode) {
    final LeaseRequest request = new LeaseRequest();
    request.version = 7;
    request.requestId = 99;
    request.process.address = "10.9.0.1:1";
    final PeerConnection connection = edge.connect(controlNode);
    connection.send(request);
    return connection;
  }

  @Test
  void theLeadersConfirmationGrantsWhatWasRequested() {
    renew(servingStore);
    assertTrue(network.runUntil(() -> !leases.isEmpty(), 200));
    assertEquals(99, leases.get(0).requestId);
  }

  /** Right in its number, and from a connection on which nothing was asked. */
  @Test
  void aConfirmationFromAnotherConnectionGrantsNothing() {
    mute = true;
    renew(servingStore);
    assertTrue(network.runUntil(() -> !asked.isEmpty(), 200));
    final ConfirmLeadershipResponse response = new ConfirmLeadershipResponse();
    response.requestId = asked.get(0).requestId;
    response.confirmed = true;
    stranger.connect(servingStore).send(response);
    network.runFor(200);
    assertEquals(List.of(), leases);
  }

  @Test
  void aConfirmationThatNamesAnotherRequestGrantsNothing() {
    mute = true;
    renew(servingStore);
    network.runFor(200);
    assertEquals(1, asked.size());
    assertEquals(List.of(), leases);
    // The leader answers: the same edge's next question is served.
    mute = false;
    network.runFor(200);
    renew(servingStore);
    assertTrue(network.runUntil(() -> !leases.isEmpty(), 500));
  }
}
