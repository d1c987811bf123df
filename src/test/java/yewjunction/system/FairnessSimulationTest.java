package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * One partner floods and its readers stall and come back in numbers: the others' messages take no
 * longer for it.
 */
class FairnessSimulationTest extends SystemSimulation {
  /** Times the figure of the same day without the flood. */
  private static final double FACTOR = 2.0;

  /** Delays of the calm tenant's messages, sorted. */
  private List<Long> play(final boolean flood) {
    quiet = false;
    open(
        77,
        SimulatedCluster.tenant("calm", "calm", 1_000)
            + ","
            + SimulatedCluster.tenant("loud", "loud", 1_000));
    cluster.network.loss = 0;
    final List<SimulatedClient> calm = new ArrayList<>();
    final List<SimulatedClient> loud = new ArrayList<>();
    connect(calm, loud);
    cluster.network.runFor(2_000);
    publishEvery(40, calm, "s.calm");
    if (flood) {
      publishEvery(4, loud, "s.loud");
      // Some of its readers read nothing for seconds, and all of them come back at once with old
      // cursors.
      cluster.network.every(
          3_000,
          () -> {
            loud.subList(0, 4).forEach(client -> client.pauseReading(1_500));
            loud.subList(4, 12).forEach(SimulatedClient::resetConnection);
          });
    }
    cluster.network.runFor(15_000);
    quiet = true;
    cluster.network.runFor(8_000);
    checker.settle();
    assertEquals(List.of(), checker.expired);
    final List<Long> delays = new ArrayList<>();
    checker.arrivals.stream()
        .filter(arrival -> arrival.client().startsWith("calm"))
        .forEach(arrival -> delays.add(arrival.atMs() - arrival.sentMs()));
    Collections.sort(delays);
    return delays;
  }

  private void connect(final List<SimulatedClient> calm, final List<SimulatedClient> loud) {
    for (int i = 0; i < 18; i++) {
      final boolean isCalm = i < 6;
      final SimulatedClient client =
          new SimulatedClient(
              cluster,
              checker,
              (isCalm ? "calm" : "loud") + i,
              "zone" + (1 + i % 3),
              isCalm ? "calm" : "loud");
      if (!isCalm) {
        client.padding = 4_000;
        client.filters.put("s.loud", "key-*,nobody,nothing*");
      }
      client.subscribe(isCalm ? "s.calm" : "s.loud");
      (isCalm ? calm : loud).add(client);
    }
  }

  private void publishEvery(
      final long periodMs, final List<SimulatedClient> senders, final String topic) {
    cluster.network.every(
        periodMs,
        () -> {
          if (!quiet) {
            senders.get(cluster.network.random.nextInt(senders.size())).publish(topic);
          }
        });
  }

  @Test
  void aFloodAndStalledReadersOfOneSlowNobodyElse() {
    final List<Long> alone = play(false);
    final List<Long> beside = play(true);
    assertTrue(beside.size() >= alone.size() * 0.9, beside.size() + " against " + alone.size());
    for (final double share : new double[] {0.5, 0.99}) {
      final long before = alone.get((int) (alone.size() * share));
      final long after = beside.get((int) (beside.size() * share));
      assertTrue(
          after <= before * FACTOR,
          "at " + share + ": " + before + " ms alone, " + after + " ms beside the flood");
    }
  }
}
