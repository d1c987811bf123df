package yewjunction.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static yewjunction.store.AdmissionMessages.ACCEPTED;
import static yewjunction.store.AdmissionMessages.DENIED;
import static yewjunction.store.AdmissionMessages.NOT_LEADER;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;
import yewjunction.control.Configuration.Route;
import yewjunction.simulation.ScriptedTransport;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;
import yewjunction.store.AdmissionMessages.AdmitRequest;
import yewjunction.store.AdmissionMessages.AdmitResponse;
import yewjunction.transport.ClientConnection;
import yewjunction.transport.WriteBuffer;

/**
 * RETRY is said only on a denial of the newest offer; whatever was said of earlier ones may be
 * overtaken.
 */
class AdmitResponsesTest {
  private static final Route SPACE = new Route("orders", "", "s.", 1_500, 35_000, true, Set.of());
  private static final String RETRIED = "REFUSE PUB s.x 5 RETRY\r\n";
  private static final String ACKED = "ACK s.x 5\r\n";
  private final WriteBuffer told = new WriteBuffer(64);
  private ScriptedTransport transport;
  private PublishForwarder publishForwarder;
  private SimulatedNetwork network;
  private long lives;

  private final class Written implements ClientConnection {
    @Override
    public WriteBuffer out() {
      return told;
    }

    @Override
    public int queuedBytes() {
      return 0;
    }

    @Override
    public void closeAfterFlush() {
      throw new IllegalStateException("closed");
    }

    @Override
    public void close() {
      throw new IllegalStateException("closed");
    }

    @Override
    public boolean isOpen() {
      return true;
    }
  }

  /** A life of an edge that has a message of a client on its way to the first leader. */
  private AdmitRequest begin(final boolean drawn) {
    transport = new ScriptedTransport();
    network = new SimulatedNetwork(1);
    final SimulatedHost host = network.host("edge:1");
    host.boot();
    publishForwarder = new PublishForwarder(host, transport, drawn ? ++lives : 1);
    publishForwarder.onLeaderChange("one:1");
    final ClientSession session = new ClientSession(null, new Written(), 0);
    session.client = "c";
    publishForwarder.publish(session, "s.x", 5, true, "", SPACE, new byte[0]);
    return transport.connect("one:1").newest();
  }

  private String afterResponse(final String from, final AdmitRequest on, final int what) {
    final AdmitResponse response = new AdmitResponse();
    response.requestId = on.requestId;
    response.outcome = what;
    transport.respond(from, response);
    return new String(told.take(), StandardCharsets.US_ASCII);
  }

  /**
   * Denied by the first leader, accepted, perhaps, by the second, and now the first one leads
   * again.
   */
  private AdmitRequest requestedThrice() {
    publishForwarder.onLeaderChange("two:1");
    assertEquals(1, transport.connect("two:1").size());
    publishForwarder.onLeaderChange("one:1");
    assertEquals(2, transport.connect("one:1").size());
    return transport.connect("one:1").newest();
  }

  /** Guards against: a message that waited for a leader is charged as if it were new. */
  @Test
  void aRequestSaysForHowLongItsEdgeHeldTheMessage() {
    assertNull(begin(true).heldMs);
    network.runFor(600);
    publishForwarder.onLeaderChange("two:1");
    final AdmitRequest second = transport.connect("two:1").newest();
    assertEquals(600, second.heldMs);
  }

  @Test
  void aDenialOfAnEarlierRequestOnTheSameConnectionBindsNobody() {
    final AdmitRequest first = begin(true);
    final AdmitRequest third = requestedThrice();
    assertEquals("", afterResponse("one:1", first, DENIED));
    assertEquals(ACKED, afterResponse("one:1", third, ACCEPTED));
  }

  /**
   * The fault planted: the late denial bears the newest offer's number, as when a message's number
   * served for all its offers.
   */
  @Test
  void withOneNumberForAllRequestsTheLateDenialIsTold() {
    begin(true);
    assertEquals(RETRIED, afterResponse("one:1", requestedThrice(), DENIED));
  }

  @Test
  void anAcceptanceOfAnEarlierRequestIsAFact() {
    final AdmitRequest first = begin(true);
    final AdmitRequest third = requestedThrice();
    assertEquals(ACKED, afterResponse("one:1", first, ACCEPTED));
    assertEquals("", afterResponse("one:1", third, ACCEPTED), "told once");
  }

  @Test
  void anotherStoresAdmitResponseIsNone() {
    final AdmitRequest first = begin(true);
    assertEquals("", afterResponse("two:1", first, DENIED));
    assertEquals("", afterResponse("two:1", first, ACCEPTED));
    assertEquals(RETRIED, afterResponse("one:1", first, DENIED));
  }

  @Test
  void thatAnEarlierRequestWentToNoLeaderTakesNothingBack() {
    final AdmitRequest first = begin(true);
    requestedThrice();
    assertEquals("", afterResponse("one:1", first, NOT_LEADER));
    // Taken back it would be offered again after a pause.
    network.runFor(2_000);
    assertEquals(2, transport.connect("one:1").size());
    assertEquals(1, publishForwarder.waitingCount());
  }

  private String afterResponseOnAnEarlierLife(final boolean drawn) {
    final AdmitRequest earlier = begin(drawn);
    begin(drawn);
    return afterResponse("one:1", earlier, DENIED);
  }

  @Test
  void anAdmitResponseOnAnEarlierLifesRequestIsNone() {
    assertEquals("", afterResponseOnAnEarlierLife(true));
  }

  /** The fault planted: each life draws the same, and so numbers alike. */
  @Test
  void withNumbersThatBeginAlikeItIsTold() {
    assertEquals(RETRIED, afterResponseOnAnEarlierLife(false));
  }
}
