package yewjunction.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.limits.FanoutLimits.STREAM_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yewjunction.common.PeerConnection;
import yewjunction.fanout.FanoutMessages.AttachRequest;
import yewjunction.fanout.FanoutMessages.AttachResponse;
import yewjunction.fanout.FanoutMessages.ReplayResponse;
import yewjunction.fanout.FanoutMessages.StreamBatch;
import yewjunction.simulation.ScriptedTransport;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;

/**
 * What the connection to a former serving store still brings counts for nothing: the connection is
 * the question, and ends with it.
 */
class StreamResponsesTest {
  private final ScriptedTransport transport = new ScriptedTransport();
  private final List<String> told = new ArrayList<>();
  private SimulatedNetwork network;
  private PeerConnection former;

  private final class RecordingListener implements StreamClient.Listener {
    @Override
    public void onMessage(final StoredMessage message) {
      told.add("message " + message.topic);
    }

    @Override
    public void onReplay(
        final long request,
        final boolean expired,
        final long position,
        final List<StoredMessage> behind,
        final boolean more) {
      told.add("taken " + request);
    }

    @Override
    public void onLeaderChange(final String address) {
      told.add("leader " + address);
    }

    @Override
    public void onLeaderReachable() {
      // At each piece of the stream.
    }

    @Override
    public void onAttached() {
      told.add("attached");
    }

    @Override
    public void onStreamGap() {
      told.add("gapped");
    }
  }

  private void welcome(final PeerConnection on, final long start) {
    final AttachResponse response = new AttachResponse();
    response.accepted = true;
    response.startIndex = start;
    transport.respond(on, response);
  }

  /**
   * Attached to one serving store, which falls silent, and asked of the next one at the same
   * address anew.
   */
  @BeforeEach
  void begin() {
    network = new SimulatedNetwork(1);
    final SimulatedHost host = network.host("edge:1");
    host.boot();
    final AddWinsSet subscriptions = new AddWinsSet();
    subscriptions.self(1);
    final StreamClient streamClient =
        new StreamClient(
            host,
            transport,
            subscriptions,
            "edge",
            () -> List.of("vault:1"),
            new RecordingListener(),
            () -> {});
    streamClient.attach();
    former = transport.connect("vault:1");
    welcome(former, 10);
    assertEquals(List.of("attached"), told);
    network.runFor(2 * STREAM_TIMEOUT_MS);
    assertNotSame(former, transport.connect("vault:1"));
    assertTrue(transport.connect("vault:1").newest() instanceof AttachRequest);
    told.clear();
  }

  private void allOfIt(final PeerConnection on) {
    welcome(on, 10);
    final ReplayResponse response = new ReplayResponse();
    response.requestId = 7;
    transport.respond(on, response);
    final StreamBatch batch = new StreamBatch();
    batch.previousIndex = 10;
    batch.throughIndex = 11;
    batch.leader = "leader:1";
    final StoredMessage message = new StoredMessage();
    message.topic = "s.x";
    batch.messages.add(message);
    transport.respond(on, batch);
  }

  @Test
  void aFormerConnectionsResponsesAreNone() {
    allOfIt(former);
    assertEquals(List.of(), told);
  }

  /** The fault planted: the same comes on the present serving store's connection. */
  @Test
  void onThePresentConnectionTheyCount() {
    allOfIt(transport.connect("vault:1"));
    assertEquals(List.of("attached", "taken 7", "message s.x", "leader leader:1"), told);
  }

  @Test
  void nothingIsTakenBeforeTheStoreHasSaidYes() {
    final ReplayResponse response = new ReplayResponse();
    response.requestId = 7;
    transport.respond(transport.connect("vault:1"), response);
    transport.respond(transport.connect("vault:1"), new StreamBatch());
    assertEquals(List.of(), told);
  }
}
