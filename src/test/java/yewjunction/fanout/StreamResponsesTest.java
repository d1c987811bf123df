package yewjunction.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.common.Limits.HOME_SILENCE_MS;

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
 * What the link to a former home still brings counts for nothing: the link is the question, and
 * ends with it.
 */
class StreamResponsesTest {
  private final ScriptedTransport links = new ScriptedTransport();
  private final List<String> told = new ArrayList<>();
  private SimulatedNetwork world;
  private PeerConnection former;

  private final class RecordingListener implements StreamClient.Listener {
    @Override
    public void message(final StoredMessage message) {
      told.add("message " + message.topic);
    }

    @Override
    public void taken(
        final long request,
        final boolean expired,
        final long position,
        final List<StoredMessage> behind,
        final boolean more) {
      told.add("taken " + request);
    }

    @Override
    public void leaderIs(final String address) {
      told.add("leader " + address);
    }

    @Override
    public void leaderHeard() {
      // At each piece of the stream.
    }

    @Override
    public void attached() {
      told.add("attached");
    }

    @Override
    public void gapped() {
      told.add("gapped");
    }
  }

  private void welcome(final PeerConnection on, final long start) {
    final AttachResponse welcome = new AttachResponse();
    welcome.accepted = true;
    welcome.start = start;
    links.answer(on, welcome);
  }

  /**
   * Attached to one home, which falls silent, and asked of the next one at the same address anew.
   */
  @BeforeEach
  void begin() {
    world = new SimulatedNetwork(1);
    final SimulatedHost host = world.host("edge:1");
    host.boot();
    final AddWinsSet weave = new AddWinsSet();
    weave.self(1);
    final StreamClient envoy =
        new StreamClient(
            host,
            links,
            weave,
            "edge",
            () -> List.of("vault:1"),
            new RecordingListener(),
            () -> {});
    envoy.attach();
    former = links.dial("vault:1");
    welcome(former, 10);
    assertEquals(List.of("attached"), told);
    world.runFor(2 * HOME_SILENCE_MS);
    assertNotSame(former, links.dial("vault:1"));
    assertTrue(links.dial("vault:1").newest() instanceof AttachRequest);
    told.clear();
  }

  private void allOfIt(final PeerConnection on) {
    welcome(on, 10);
    final ReplayResponse taken = new ReplayResponse();
    taken.request = 7;
    links.answer(on, taken);
    final StreamBatch flow = new StreamBatch();
    flow.from = 10;
    flow.upTo = 11;
    flow.leader = "leader:1";
    final StoredMessage message = new StoredMessage();
    message.topic = "s.x";
    flow.messages.add(message);
    links.answer(on, flow);
  }

  @Test
  void aFormerLinksAnswersAreNone() {
    allOfIt(former);
    assertEquals(List.of(), told);
  }

  /** The fault planted: the same comes on the present home's link. */
  @Test
  void onThePresentLinkTheyCount() {
    allOfIt(links.dial("vault:1"));
    assertEquals(List.of("attached", "taken 7", "message s.x", "leader leader:1"), told);
  }

  @Test
  void nothingIsTakenBeforeTheHomeHasSaidYes() {
    final ReplayResponse taken = new ReplayResponse();
    taken.request = 7;
    links.answer(links.dial("vault:1"), taken);
    links.answer(links.dial("vault:1"), new StreamBatch());
    assertEquals(List.of(), told);
  }
}
