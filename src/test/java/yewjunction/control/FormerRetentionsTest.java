package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yewjunction.limits.QuotaLimits;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;

/** Which retentions a change ends, for how long they are told, and that they are never lost. */
class FormerRetentionsTest {
  private static final long LINGER_MS = 35_000;

  private final SimulatedNetwork network = new SimulatedNetwork(1);
  private FormerRetentions formerRetentions;

  @BeforeEach
  void start() {
    final SimulatedHost host = network.host("control:1");
    host.boot();
    formerRetentions = new FormerRetentions(host);
  }

  private static String route(final String prefix, final double lingerS) {
    return "{\"Name\":\"r-%s\",\"Pfx\":\"%s\",\"TimeoutMs\":1500,\"LingerS\":%s}"
        .formatted(prefix, prefix, lingerS);
  }

  private static Configuration configuration(final long version, final String... routes) {
    return Configuration.read(
        "{\"Ver\":%d,\"Routes\":[%s]}".formatted(version, String.join(",", routes)));
  }

  private static FormerRetention former(
      final String prefix, final long retentionMs, final long endVersion) {
    return new FormerRetention(prefix, retentionMs, endVersion);
  }

  private static List<FormerRetention> endedBy(
      final Configuration previous, final Configuration changed) {
    return FormerRetentions.after(List.of(), previous, changed);
  }

  @Test
  void aRemovedRoutesRetentionHasEnded() {
    assertEquals(
        List.of(former("v.", LINGER_MS, 7)),
        endedBy(
            configuration(5, route("v.", 35), route("s.", 10)), configuration(7, route("s.", 10))));
  }

  @Test
  void aLoweredRetentionHasEndedAndARaisedOneHasNot() {
    final Configuration low = configuration(5, route("v.", 10));
    final Configuration high = configuration(7, route("v.", 35));
    assertEquals(List.of(), endedBy(low, high));
    assertEquals(
        List.of(former("v.", LINGER_MS, 9)), endedBy(high, configuration(9, route("v.", 10))));
  }

  @Test
  void aLongerPrefixThatKeepsLessEndsTheRetentionOfItsTopicsOnly() {
    assertEquals(
        List.of(former("v.t", LINGER_MS, 7)),
        endedBy(
            configuration(5, route("v.", 35)), configuration(7, route("v.", 35), route("v.t", 1))));
  }

  @Test
  void aLongerPrefixThatGoesLeavesItsTopicsToTheShorterOne() {
    assertEquals(
        List.of(former("v.t", LINGER_MS, 7)),
        endedBy(
            configuration(5, route("v.", 10), route("v.t", 35)),
            configuration(7, route("v.", 10))));
    assertEquals(
        List.of(),
        endedBy(
            configuration(5, route("v.", 35), route("v.t", 10)),
            configuration(7, route("v.", 35))));
  }

  @Test
  void whatEndedEarlierStaysInForceUnlessALaterEndCoversIt() {
    final List<FormerRetention> inForce =
        List.of(former("v.", LINGER_MS, 5), former("w.", 1_000, 5));
    assertEquals(
        List.of(former("v.", LINGER_MS, 5), former("w.", 1_000, 5), former("v.", 10_000, 7)),
        FormerRetentions.after(inForce, configuration(5, route("v.", 10)), configuration(7)));
    assertEquals(
        List.of(former("w.", 1_000, 5), former("v.", 60_000, 7)),
        FormerRetentions.after(inForce, configuration(5, route("v.", 60)), configuration(7)));
  }

  /** Guards against: an end is forgotten while a message of its time is young enough, or never. */
  @Test
  void anEndIsToldUntilNoMessageOfItsTimeIsYoungEnough() {
    final List<FormerRetention> inForce = List.of(former("v.", LINGER_MS, 7));
    formerRetentions.onChanged(inForce);
    network.runFor(LINGER_MS);
    assertEquals(inForce, formerRetentions.unexpired());
    formerRetentions.onChanged(inForce);
    network.runFor(QuotaLimits.RETENTION_SLACK_MS + 1);
    assertEquals(List.of(), formerRetentions.unexpired());
  }

  /** Guards against: a control node that takes a snapshot no longer knows what has ended. */
  @Test
  void aSnapshotHoldsWhatIsInForce() {
    final ControlCommand command = new ControlCommand(ControlCommand.SET_CONFIGURATION);
    command.json = "{\"Ver\":7}";
    command.version = 7;
    command.formerRetentions = List.of(former("v.", LINGER_MS, 7), former("w.", 1_000, 5));
    final ControlStateMachine before = ControlStateFixture.stateMachine();
    before.apply(1, ControlStateMachine.encode(command));
    final ControlStateMachine after = ControlStateFixture.stateMachine();
    after.restore(1, before.snapshot());
    assertEquals(command.formerRetentions, after.formerRetentions());
  }
}
