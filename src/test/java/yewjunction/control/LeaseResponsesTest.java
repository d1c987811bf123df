package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.common.Limits.LEASE_MS;

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
 * A lease counts only as the answer to a question of this life, from the crux that it was asked of,
 * and from when it was.
 */
class LeaseResponsesTest {
  private final List<String> homes = new ArrayList<>(List.of("near:1", "far:1"));
  private ScriptedTransport links;
  private SimulatedNetwork world;
  private long lives;
  private LeaseClient tenure;

  private static final class IgnoringListener implements LeaseClient.Listener {
    @Override
    public void configChanged(final Configuration charter) {}

    @Override
    public void factsChanged(final ClusterState facts) {}
  }

  private ScriptedTransport.ScriptedConnection link(final String address) {
    return links.dial(address);
  }

  /** A life of an edge, which has asked once and knows the configuration already. */
  private void begin(final boolean drawn) {
    links = new ScriptedTransport();
    world = new SimulatedNetwork(1);
    final SimulatedHost host = world.host("edge:1");
    host.boot();
    world.runFor(100_000);
    tenure =
        new LeaseClient(host, links, () -> homes, new IgnoringListener())
            .named("edge:1", "edge", "zone", NodeRole.EDGE, drawn ? ++lives : 1);
    tenure.start();
    final LeaseResponse news = new LeaseResponse();
    news.version = 7;
    news.json = ConfigurationTest.json("", "");
    links.answer("near:1", news);
    assertFalse(tenure.held(), "news are no lease");
  }

  private void grant(final String from, final LeaseRequest renew) {
    final LeaseResponse lease = new LeaseResponse();
    lease.held = true;
    lease.version = 7;
    lease.request = renew.request;
    links.answer(from, lease);
  }

  @Test
  void itEndsSoLongAfterItsOwnQuestion() {
    begin(true);
    final LeaseRequest first = link("near:1").newest();
    final long askedMs = world.nowMs();
    world.runFor(300);
    assertTrue(link("far:1").size() + link("near:1").size() > 1, "a newer question is open");
    grant("near:1", first);
    world.runFor(askedMs + LEASE_MS - 1 - world.nowMs());
    assertTrue(tenure.held());
    world.runFor(1);
    assertFalse(tenure.held());
  }

  @Test
  void anotherCruxsAnswerIsNone() {
    begin(true);
    grant("far:1", link("near:1").newest());
    assertFalse(tenure.held());
    grant("near:1", link("near:1").newest());
    assertTrue(tenure.held());
  }

  @Test
  void whoseAnswerCameIsAskedNext() {
    begin(true);
    final LeaseRequest first = link("near:1").newest();
    world.runUntil(() -> link("far:1").size() > 0, 1_000);
    final int askedFar = link("far:1").size();
    final int askedNear = link("near:1").size();
    grant("near:1", first);
    world.runUntil(
        () -> link("far:1").size() > askedFar || link("near:1").size() > askedNear, 1_000);
    assertEquals(askedFar, link("far:1").size(), "the other one has not answered yet");
    assertEquals(askedNear + 1, link("near:1").size());
    world.runFor(2_000);
    assertTrue(link("far:1").size() > askedFar, "asked again once this one is silent");
  }

  /**
   * An answer to the first life's question reaches the second one, as it were on a link that
   * outlived the first.
   */
  private boolean heldByAnEarlierLifesLease(final boolean drawn) {
    begin(drawn);
    final LeaseRequest earlier = link("near:1").newest();
    begin(drawn);
    assertEquals(1, link("near:1").size());
    grant("near:1", earlier);
    return tenure.held();
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
