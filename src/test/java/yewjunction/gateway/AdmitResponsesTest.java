package yewjunction.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.limits.ClientLimits.LEADER_UNREACHABLE_AFTER_MS;
import static yewjunction.limits.ClientLimits.MAX_QUEUED_PUBLISHES;
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
 * RETRY is said only on a leader's denial of the newest offer; whatever was said of earlier ones
 * may be overtaken, and the edge itself knows nothing of what others sent.
 */
class AdmitResponsesTest {
  private static final Route SPACE = new Route("orders", "", "s.", 1_500, 35_000, true, Set.of());
  private static final Route FOLLOWING =
      new Route("dispatches", "", "d.", 1_500, 35_000, true, Set.of("orders"));
  private static final String RETRIED = "REFUSE PUB s.x 5 RETRY\r\n";
  private static final String UNKNOWN = "REFUSE PUB s.x 5 UNKNOWN\r\n";
  private static final String ACKED = "ACK s.x 5\r\n";
  private final WriteBuffer told = new WriteBuffer(64);
  private ScriptedTransport transport;
  private PublishForwarder publishForwarder;
  private ClientSession session;
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
    beginWithoutALeader(drawn);
    publishForwarder.onLeaderChange("one:1");
    publish(5);
    return transport.connect("one:1").newest();
  }

  private void beginWithoutALeader(final boolean drawn) {
    transport = new ScriptedTransport();
    network = new SimulatedNetwork(1);
    final SimulatedHost host = network.host("edge:1");
    host.boot();
    publishForwarder = new PublishForwarder(host, transport, drawn ? ++lives : 1);
    session = new ClientSession(null, new Written(), 0);
    session.client = "c";
  }

  private void publish(final long number) {
    publishForwarder.publish(session, "s.x", number, "", SPACE, new byte[0]);
  }

  private String told() {
    return new String(told.take(), StandardCharsets.US_ASCII);
  }

  private String afterResponse(final String from, final AdmitRequest on, final int what) {
    final AdmitResponse response = new AdmitResponse();
    response.requestId = on.requestId;
    response.outcome = what;
    transport.respond(from, response);
    return told();
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

  /** Time passes without a leader's response until the message has waited for too long. */
  private void waitInVain() {
    network.runFor(SPACE.timeoutMs());
    publishForwarder.check(network.nowMs());
  }

  /**
   * Guards against: a number that another edge had sent was promised never to be accepted, since it
   * had not left this edge.
   */
  @Test
  void whatWaitedForALeaderInVainIsPromisedNothing() {
    beginWithoutALeader(true);
    publish(5);
    waitInVain();
    assertEquals(UNKNOWN, told());
  }

  /** Guards against: the same where no leader has answered for so long that none is waited for. */
  @Test
  void whatIsRefusedAtOnceForWantOfALeaderIsPromisedNothing() {
    beginWithoutALeader(true);
    network.runFor(1);
    publish(4);
    network.runFor(LEADER_UNREACHABLE_AFTER_MS);
    waitInVain();
    assertTrue(publishForwarder.isLeaderUnreachable());
    told();
    publish(5);
    assertEquals(UNKNOWN, told());
  }

  /** Guards against: the same where the edge has no room for another message. */
  @Test
  void whatFindsNoRoomIsPromisedNothing() {
    beginWithoutALeader(true);
    for (int i = 0; i < MAX_QUEUED_PUBLISHES; i++) {
      publish(6 + i);
    }
    assertEquals("", told());
    publish(5);
    assertEquals(UNKNOWN, told());
  }

  /**
   * Guards against: what follows a refused message was refused with a promise by the edge alone.
   */
  @Test
  void whatFollowsARefusedMessageIsPutToTheLeaderAsRevoked() {
    assertEquals(RETRIED, afterResponse("one:1", begin(true), DENIED));
    publishForwarder.publish(session, "d.x", 6, "", FOLLOWING, new byte[0]);
    assertEquals("", told());
    final AdmitRequest request = transport.connect("one:1").newest();
    assertEquals(true, request.revoked);
    assertEquals("REFUSE PUB d.x 6 RETRY\r\n", afterResponse("one:1", request, DENIED));
  }

  /** Guards against: the same for what was held back until the one that was refused. */
  @Test
  void whatWasHeldForARefusedMessageIsPutToTheLeaderAsRevoked() {
    final AdmitRequest first = begin(true);
    publishForwarder.publish(session, "d.x", 6, "", FOLLOWING, new byte[0]);
    assertEquals(1, transport.connect("one:1").size());
    assertEquals(RETRIED, afterResponse("one:1", first, DENIED));
    assertEquals(true, transport.connect("one:1").<AdmitRequest>newest().revoked);
  }

  /** The fault planted: each life draws the same, and so numbers alike. */
  @Test
  void withNumbersThatBeginAlikeItIsTold() {
    assertEquals(RETRIED, afterResponseOnAnEarlierLife(false));
  }
}
