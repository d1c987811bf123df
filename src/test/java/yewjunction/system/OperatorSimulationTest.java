package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.system.OperatorCalls.config;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;

/** The operator's calls against the control group, while it changes. */
class OperatorSimulationTest {
  private static final int MAX_ATTEMPTS = 20;

  private SimulatedCluster cluster;

  private OperatorApi.Response ask(
      final String method, final String path, final String base, final String body) {
    return new OperatorCalls(cluster)
        .insist(MAX_ATTEMPTS, method, path, Long.parseLong(base), body)
        .response;
  }

  private void begin(final long seed) {
    cluster = new SimulatedCluster(seed);
    cluster.network.runFor(1_500);
  }

  @Test
  void versionsAreCheckedAndExactRepeatsAreTaken() {
    begin(1);
    assertEquals(404, ask("GET", "/-/config/show", "0", "").status());
    assertEquals(412, ask("POST", "/-/config/replace", "3", config(5, "s.")).status());
    assertEquals(200, ask("POST", "/-/config/replace", "0", config(5, "s.")).status());
    assertEquals(200, ask("POST", "/-/config/replace", "0", config(5, "s.")).status());
    assertEquals(412, ask("POST", "/-/config/replace", "0", config(6, "s.")).status());
    assertEquals(400, ask("POST", "/-/config/replace", "5", config(5, "s.")).status());
    assertEquals(400, ask("POST", "/-/config/replace", "5", config(4, "s.")).status());
    assertEquals(400, ask("POST", "/-/config/replace", "5", "{\"Ver\":7").status());
    final String update =
        "{\"Ver\":9,\"Upsert\":{\"Routes\":["
            + SimulatedCluster.route("new.")
            + "]},\"Del\":{\"Routes\":[\"r-s.\"]}}";
    assertEquals(200, ask("POST", "/-/config/update", "5", update).status());
    assertEquals(200, ask("POST", "/-/config/update", "5", update).status());
    assertEquals(200, ask("POST", "/-/config/replace", "0", config(5, "s.")).status());
    final String shown = ask("GET", "/-/config/show", "0", "").json();
    assertTrue(
        shown.contains("\"new.\"") && !shown.contains("\"s.\"") && shown.contains("\"Ver\":9"),
        shown);
  }

  @Test
  void wrongCallsAreToldApart() {
    begin(2);
    assertEquals(404, ask("GET", "/-/nothing", "0", "").status());
    assertEquals(405, ask("GET", "/-/config/replace", "0", "").status());
    assertEquals(405, ask("POST", "/-/config/show", "0", "").status());
    assertEquals(413, ask("POST", "/-/config/replace", "0", "x".repeat(2 << 20)).status());
    assertEquals(404, ask("POST", "/-/retire/nobody/begin", "0", "{}").status());
    assertEquals(409, ask("POST", "/-/retire/node-10.1.0.9:7000/begin", "0", "{}").status());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void ofTwoChangesOnOneVersionOneWinsWhoeverLeads(final long seed) {
    begin(seed);
    assertEquals(200, ask("POST", "/-/config/replace", "0", config(1, "s.")).status());
    final List<String> acked = new ArrayList<>();
    for (long version = 1; version < 12; ) {
      final long base = version;
      final List<Long> won = new ArrayList<>();
      for (int operator = 0; operator < 2; operator++) {
        final long next = base + 1 + operator;
        for (int attempt = 0; attempt < 3; attempt++) {
          cluster.call(
              cluster.all(NodeRole.CONTROL).get(attempt),
              "POST",
              "/-/config/replace",
              base,
              config(next, "s."),
              response -> {
                if (response.status() == 200 && !won.contains(next)) {
                  won.add(next);
                }
              });
        }
      }
      if (cluster.network.random.nextInt(3) == 0) {
        final String victim = cluster.all(NodeRole.CONTROL).get(cluster.network.random.nextInt(3));
        cluster.network.runFor(cluster.network.random.nextInt(8));
        cluster.powerOff(victim);
        cluster.network.runFor(1_500);
        cluster.bootAll();
      }
      cluster.network.runFor(2_000);
      assertTrue(won.size() <= 1, "both won on " + base);
      final String shown = ask("GET", "/-/config/show", "0", "").json();
      final long current = Long.parseLong(shown.replaceAll(".*\"Ver\":([0-9]+).*", "$1"));
      assertTrue(
          won.isEmpty() || current == won.get(0), "won " + won + " but " + current + " is shown");
      won.forEach(one -> acked.add("" + one));
      version = current == base ? base : current;
    }
    assertTrue(acked.size() > 1);
  }

  @Test
  void aSpareTakesTheRetiredMachinesPlaceAndNothingIsLost() {
    begin(7);
    cluster.version = 0;
    cluster.configure(SimulatedCluster.route("s."), SimulatedCluster.tenant("t", "key", 1_000));
    assertTrue(cluster.network.runUntil(() -> cluster.readyEdges(null).size() == 6, 10_000));
    final DeliveryChecker checker = new DeliveryChecker();
    for (int i = 0; i < 6; i++) {
      new SimulatedClient(cluster, checker, "c" + i, "zone" + (1 + i % 3), "key").subscribe("s.a");
    }
    cluster.network.runFor(1_000);
    final boolean[] quiet = new boolean[1];
    cluster.network.every(
        50,
        () -> {
          if (!quiet[0]) {
            cluster.clients.get(cluster.network.random.nextInt(6)).publish("s.a");
          }
        });
    cluster.boot("10.1.0.99:7000".replace("99", "19"), false);
    cluster.network.runFor(2_000);
    assertEquals(
        200, ask("POST", "/-/retire/node-10.1.0.9:7000/begin", "0", "{\"OverS\":10}").status());
    assertEquals(
        "{\"St\":\"up\"}", ask("GET", "/-/retire/node-10.2.0.9:7000/show", "0", "").json());
    final long startMs = cluster.network.nowMs();
    while (!ask("GET", "/-/retire/node-10.1.0.9:7000/show", "0", "").json().contains("finished")) {
      cluster.network.runFor(200);
      assertTrue(cluster.network.nowMs() - startMs < 20_000, "never finished");
    }
    // Removed at once, with its disk; then one more voter is lost: the two left hold everything.
    final long goneMs = cluster.network.nowMs();
    checker.clock = cluster.network::nowMs;
    cluster.powerOff("10.1.0.9:7000");
    cluster.network.host("10.1.0.9:7000").wipe();
    cluster.nodes.remove("10.1.0.9:7000");
    cluster.network.runFor(3_000);
    // Its edges had left it before: nobody waits until its silence is noticed.
    final long longestMs =
        checker.arrivals.stream()
            .filter(arrival -> arrival.sentMs() > goneMs && arrival.sentMs() < goneMs + 700)
            .mapToLong(arrival -> arrival.atMs() - arrival.sentMs())
            .max()
            .orElseThrow();
    assertTrue(longestMs < 400, "a message took " + longestMs + " ms");
    cluster.powerOff("10.2.0.9:7000");
    cluster.network.host("10.2.0.9:7000").wipe();
    cluster.network.runFor(4_000);
    quiet[0] = true;
    cluster.network.runFor(6_000);
    checker.settle();
    assertNotNull(cluster);
    assertTrue(checker.ackedCount() > 100);
  }
}
